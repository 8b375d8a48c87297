"""Runs every fault at every step, and generated histories; prints markdown.

Each cell lists the request kinds with violations: L for a lost request, D for a request
that ran twice, W for a wrong report to the caller. An empty cell has no violation.
"""

import collections
import pathlib
import sys

import click

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "features"))

import request_bench as benches  # noqa: E402
import request_faults as faults  # noqa: E402
import request_judge as judge  # noqa: E402


def _print_matrix():
    violations_by_cell = collections.defaultdict(list)
    total = collections.Counter()
    for fault, step, kind in judge.cells():
        verdict, _ = judge.run_history(kind, [(step, fault)])
        total.update(verdict.marks)
        if verdict.marks:
            violations_by_cell[fault, step].append(f"{kind} {verdict.marks}")
    print("| fault | " + " | ".join(benches.STEPS) + " |")
    print("|---" * (len(benches.STEPS) + 1) + "|")
    for fault in faults.FAULTS:
        row = [", ".join(violations_by_cell[fault, step]) for step in benches.STEPS]
        print(f"| {fault} | " + " | ".join(row) + " |")
    print(f"\n{len(judge.cells())} cells: {_summary(total)}")


def _summary(total):
    return f"{total['L']} lost, {total['D']} doubled, {total['W']} wrongly told"


@click.command()
@click.option("--histories", default=10_000, show_default=True)
@click.option("--seed", default=20261204, show_default=True)
@click.option(
    "--show", default=5, show_default=True, help="Histories with violations to print."
)
def main(histories, seed, show):
    """Print the matrix and the totals of the generated histories."""
    _print_matrix()
    total = collections.Counter()
    quarantined = 0
    for kind, plan, sampled in judge.histories(seed, histories):
        verdict, _ = judge.run_history(kind, list(plan), sampled)
        quarantined += verdict.quarantined
        total.update(verdict.marks)
        if verdict.marks and show:
            show -= 1
            print(kind, plan, sampled, verdict)
    print(f"\nseed {seed}, {histories} histories: {_summary(total)}")
    print(f"{quarantined} quarantined after two kills of their upstreams")


if __name__ == "__main__":
    main()
