"""``python -m soak``: play seeds, one after the other."""

import dataclasses
import json
import sys

import click

from soak import run


@click.command()
@click.option("--seed", "first", type=int, default=1, show_default=True)
@click.option("--count", type=click.IntRange(1), default=1, show_default=True)
@click.option("--seconds", type=float, default=15.0, show_default=True)
@click.option("--hosts", type=click.IntRange(1, 60), default=5, show_default=True)
@click.option("--callers", type=click.IntRange(1, 200), default=10, show_default=True)
@click.option("--keep", is_flag=True, help="Keep logs though nothing was broken.")
def main(first, count, seconds, hosts, callers, keep):
    """Play COUNT seeds from FIRST on and print a JSON line for each."""
    failed = 0
    for seed in range(first, first + count):
        report = run.run(seed, seconds, hosts, callers, keep)
        failed += bool(report.broken)
        click.echo(json.dumps(dataclasses.asdict(report)))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
