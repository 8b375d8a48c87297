"""Simulates membership and document feed of whole fleets on a virtual clock.

Prints how long the detection of kills, the loss of a data centre and a change take, and
how much each host sends, for fleets too large to run as processes on one machine. Run
it with
``PYTHONPATH=src python benchmarks/fleet_size.py --sizes 7,60,380``.
"""

import argparse
import datetime
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "features"))

import fake_documents  # noqa: E402

SECOND = datetime.timedelta(seconds=1)
SEED = 20261204
TIMEOUT = 600 * SECOND
IDLE_SECONDS = 30
KILL_COUNT = 5
EDIT_COUNT = 3
PARTITION_SECONDS = 180
AFTER_PARTITION_SECONDS = 60
DATA_CENTRE_COUNT = 4


def bytes_per_second(fleet, seconds):
    """Run for some time; returns the mean and maximum bytes/s of a host."""
    fleet.network.bytes_by_address.clear()
    fleet.run(seconds * SECOND)
    return mean_and_max(fleet, seconds)


def mean_and_max(fleet, seconds):
    values = fleet.network.bytes_by_address.values()
    return sum(values) / len(values) / seconds, max(values) / seconds


def host_ids_in(fleet, centre_indexes):
    return [
        host_id
        for host_id in sorted(fleet.node_by_id)
        if int(host_id.partition("-")[2]) % DATA_CENTRE_COUNT in centre_indexes
    ]


def print_progress(cells):
    print(f"measured so far: {cells}", file=sys.stderr, flush=True)


def measure(size):
    """Measure one fleet size; returns the cells of its table row."""
    fleet = fake_documents.DocumentFleet(size, SEED, data_centres=DATA_CENTRE_COUNT)
    fleet.run_until(fleet.agrees, TIMEOUT)
    fleet.run(60 * SECOND)
    mean, maximum = bytes_per_second(fleet, IDLE_SECONDS)
    cells = [size, f"{mean:.0f}, {maximum:.0f}"]
    changes = []
    calls = sum(fleet.store.call_count_by_method.values())
    for _ in range(EDIT_COUNT):
        assert fleet.edit()
        change_time = fleet.run_until(
            lambda: not fleet.outdated_hosts(fleet.live()), TIMEOUT
        )
        changes.append(change_time.total_seconds())
        fleet.run(5 * SECOND)
    calls = sum(fleet.store.call_count_by_method.values()) - calls
    cells += [f"{max(changes):.2f}", f"{calls / EDIT_COUNT:.0f}"]
    print_progress(cells)
    kills = []
    for _ in range(KILL_COUNT):
        fleet.kill(fleet.random.choice(sorted(fleet.live())))
        kills.append(fleet.run_until(fleet.agrees, TIMEOUT).total_seconds())
    cells.append(f"{max(kills):.2f}")
    print_progress(cells)
    fleet.split(host_ids_in(fleet, (0, 1)))
    fleet.run(PARTITION_SECONDS * SECOND)
    fleet.heal()
    fleet.network.bytes_by_address.clear()
    healed = fleet.run_until(fleet.agrees, TIMEOUT).total_seconds()
    fleet.run(max(0.0, AFTER_PARTITION_SECONDS - healed) * SECOND)
    mean, maximum = mean_and_max(fleet, max(healed, AFTER_PARTITION_SECONDS))
    cells.append(f"{healed:.1f}; {mean:.0f}, {maximum:.0f}")
    print_progress(cells)
    for host_id in host_ids_in(fleet, (1,)):
        fleet.kill(host_id)
    assert fleet.edit()
    change_time = fleet.run_until(
        lambda: not fleet.outdated_hosts(fleet.live()), TIMEOUT
    )
    agreement_time = fleet.run_until(fleet.agrees, TIMEOUT) + change_time
    cells += [
        f"{agreement_time.total_seconds():.2f}",
        f"{change_time.total_seconds():.2f}",
    ]
    return cells


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="7,60,380")
    arguments = parser.parse_args()
    print(f"seed {SEED}, steps of {fake_documents.fake_network.STEP}\n")
    print(
        "| hosts | B/s per host calm: mean, most | change in force everywhere, s "
        "| store calls in 5 s with a change | kill noticed by all, s "
        "| regions split 180 s: agree after, s; B/s mean, most "
        "| data centre killed: agree after, s | change meanwhile, s |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for size in map(int, arguments.sizes.split(",")):
        print("| " + " | ".join(map(str, measure(size))) + " |", flush=True)


if __name__ == "__main__":
    main()
