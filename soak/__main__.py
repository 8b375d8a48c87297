"""``python -m soak``: run the soak test for seeds, one after the other."""

import dataclasses
import json
import pathlib
import sys

import click

from soak import run


def _regressions():
    path = pathlib.Path(__file__).with_name("regressions.txt")
    lines = path.read_text(encoding="utf-8").splitlines()
    rows = [line.split(maxsplit=2) for line in lines if not line.startswith("#")]
    return [(int(seed), float(seconds)) for seed, seconds, _ in rows]


@click.command()
@click.option("--seed", "first", type=int, default=1, show_default=True)
@click.option("--count", type=click.IntRange(1), default=1, show_default=True)
@click.option("--seconds", type=float, default=15.0, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 60), default=5, show_default=True)
@click.option("--callers", type=click.IntRange(1, 200), default=10, show_default=True)
@click.option(
    "--regressions", is_flag=True, help="Run the seeds that failed in the past."
)
@click.option("--keep", is_flag=True, help="Keep logs even if no check fails.")
def main(first, count, seconds, hosts, callers, regressions, keep):
    """Run COUNT seeds from SEED on and print a JSON line for each."""
    failed = 0
    cases = [(seed, seconds) for seed in range(first, first + count)]
    for seed, fault_seconds in _regressions() if regressions else cases:
        report = run.run(seed, fault_seconds, hosts, callers, keep)
        failed += bool(report.broken)
        click.echo(json.dumps(dataclasses.asdict(report)))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
