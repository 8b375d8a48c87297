"""Measures spending limits: overshoot, unused share and ledger writes.

Hosts share one in-memory store through the real ledger and the real spending limiters;
the network is fake and the clock virtual.

Run: python benchmarks/spending.py [SEED]
"""

import datetime
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "features"))

import spending_fleet

from peridothitch.standins import faulty_store

LIMIT_MICROS = 1_000_000
MAX_REQUEST_MICROS = 400
MEAN_USED_SHARE = 0.4
STEP = datetime.timedelta(milliseconds=20)
HOST_COUNTS = (3, 7, 20, 60)
IN_PROGRESS_COUNT = 4
MAX_REFUSAL_COUNT = 200


def _spend(fleet, rng, disturb):
    refusal_count = 0
    request_count = 0
    while refusal_count < MAX_REFUSAL_COUNT:
        host_id = rng.choice(sorted(fleet.host_by_id))
        host = fleet.host_by_id[host_id]
        request_count += 1
        if fleet.reserve(host, rng.randint(1, MAX_REQUEST_MICROS)) is None:
            refusal_count = 0
        else:
            refusal_count += 1
        if len(host.reservations) > IN_PROGRESS_COUNT or refusal_count:
            fleet.settle(host, rng.random() * 2 * MEAN_USED_SHARE)
        fleet.clock.advance(STEP)
        if request_count % 100 == 0:
            disturb(fleet, rng, host_id)
            for other in fleet.host_by_id.values():
                other.limiter.release_idle()
    return request_count


def _calm(fleet, rng, host_id):
    pass


def _replace_hosts(fleet, rng, host_id):
    fleet.kill(host_id)
    fleet.add_host()


def _break_store(fleet, rng, host_id):
    for host in fleet.host_by_id.values():
        host.store.clear()
    faulty_host = fleet.host_by_id[host_id]
    fault = rng.choice(("down", "reply_lost", "request_lost"))
    faulty_host.store.inject(faulty_store.FaultRule(fault=faulty_store.Fault(fault)))
    fleet.lose_replies = rng.random() < 0.2


DISTURBANCE_BY_CASE = {
    "calm": _calm,
    "replaced": _replace_hosts,
    "store and peers": _break_store,
}


def main():
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 20261204
    print(
        f"seed {seed}; limit {LIMIT_MICROS} micros, "
        f"requests of 1 to {MAX_REQUEST_MICROS} micros"
    )
    print("| hosts | case | requests | overshoot | unused share | ledger writes |")
    print("|---|---|---|---|---|---|")
    for host_count in HOST_COUNTS:
        for name, disturb in DISTURBANCE_BY_CASE.items():
            rng = random.Random(seed)
            fleet = spending_fleet.SpendingFleet(host_count, LIMIT_MICROS)
            period = fleet.current_period()
            requests = _spend(fleet, rng, disturb)
            spent_micros = fleet.committed(period)
            writes = fleet.memory.call_count_by_method.get("txn", 0)
            print(
                f"| {host_count} | {name} | {requests} "
                f"| {max(0, spent_micros - LIMIT_MICROS)} "
                f"| {1 - spent_micros / LIMIT_MICROS:.4f} "
                f"| {writes} ({writes / requests:.4f} each) |"
            )


if __name__ == "__main__":
    main()
