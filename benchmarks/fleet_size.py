"""Runs the membership and the document feed of whole fleets on a virtual clock.

Prints how long kills, the loss of a data centre and a change take at sizes that don't
fit one machine as processes, and what each host sends. Run it with
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
LIMIT = 600 * SECOND
CALM_SECONDS = 30
KILLS = 5
EDITS = 3
SPLIT_SECONDS = 180
HEAL_SECONDS = 60
DATA_CENTRE_COUNT = 4


def bytes_per_second(fleet, seconds):
    """Run for some time; returns mean and most bytes a host moved each second."""
    fleet.network.bytes_by_address.clear()
    fleet.run(seconds * SECOND)
    return summary(fleet, seconds)


def summary(fleet, seconds):
    values = fleet.network.bytes_by_address.values()
    return sum(values) / len(values) / seconds, max(values) / seconds


def local_ids(fleet, names):
    return [
        host_id
        for host_id in sorted(fleet.node_by_id)
        if int(host_id.partition("-")[2]) % DATA_CENTRE_COUNT in names
    ]


def report(cells):
    print(f"so far: {cells}", file=sys.stderr, flush=True)


def measure(size):
    """Return the cells of one line."""
    fleet = fake_documents.DocumentFleet(size, SEED, data_centres=DATA_CENTRE_COUNT)
    fleet.run_until(fleet.agrees, LIMIT)
    fleet.run(60 * SECOND)
    mean, most = bytes_per_second(fleet, CALM_SECONDS)
    cells = [size, f"{mean:.0f}, {most:.0f}"]
    changes = []
    calls = sum(fleet.store.call_count_by_method.values())
    for _ in range(EDITS):
        assert fleet.edit()
        took = fleet.run_until(lambda: not fleet.lacking(fleet.live()), LIMIT)
        changes.append(took.total_seconds())
        fleet.run(5 * SECOND)
    calls = sum(fleet.store.call_count_by_method.values()) - calls
    cells += [f"{max(changes):.2f}", f"{calls / EDITS:.0f}"]
    report(cells)
    kills = []
    for _ in range(KILLS):
        fleet.kill(fleet.random.choice(sorted(fleet.live())))
        kills.append(fleet.run_until(fleet.agrees, LIMIT).total_seconds())
    cells.append(f"{max(kills):.2f}")
    report(cells)
    fleet.split(local_ids(fleet, (0, 1)))
    fleet.run(SPLIT_SECONDS * SECOND)
    fleet.heal()
    fleet.network.bytes_by_address.clear()
    healed = fleet.run_until(fleet.agrees, LIMIT).total_seconds()
    fleet.run(max(0.0, HEAL_SECONDS - healed) * SECOND)
    mean, most = summary(fleet, max(healed, HEAL_SECONDS))
    cells.append(f"{healed:.1f}; {mean:.0f}, {most:.0f}")
    report(cells)
    for host_id in local_ids(fleet, (1,)):
        fleet.kill(host_id)
    assert fleet.edit()
    took = fleet.run_until(lambda: not fleet.lacking(fleet.live()), LIMIT)
    agreed = fleet.run_until(fleet.agrees, LIMIT) + took
    cells += [f"{agreed.total_seconds():.2f}", f"{took.total_seconds():.2f}"]
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
