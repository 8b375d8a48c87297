"""Compares version moves with a canary that uses fixed percentages by time.

Run with ``python benchmarks/version_moves.py``; every move is simulated with the
policy's own classes, at both deployments' sizes and at ten times these, by day and by
night.
"""

import collections
import concurrent.futures
import dataclasses
import time

import click
import move_baseline
import move_model
import move_runs
import numpy

SIZE_FACTOR = 10
STOP_GOAL_S = 3.0
EXPOSED_SHARE_GOAL = 0.02
SEED_STRIDE = 1_000_003


@dataclasses.dataclass(frozen=True)
class Cell:
    """Moves of one fault kind at one deployment under one policy."""

    policy: str
    deployment: move_model.Deployment
    kind: move_model.Kind
    seeds: range


def _run_cell(cell):
    run = move_runs.run_move
    if cell.policy == "baseline":
        run = move_baseline.run_baseline
    return cell, [
        run(cell.deployment, cell.kind, bool(seed % 2), seed) for seed in cell.seeds
    ]


def make_cells(count, good_factor, seed, window_s):
    """Return the cells of a complete measurement."""
    sizes = [
        dataclasses.replace(deployment, window_s=window_s)
        for deployment in move_model.DEPLOYMENTS
    ]
    sizes += [deployment.scaled(SIZE_FACTOR) for deployment in sizes]
    cells = []
    for number, (deployment, kind) in enumerate(
        (deployment, kind) for deployment in sizes for kind in move_model.Kind
    ):
        move_count = count * good_factor if kind is move_model.Kind.GOOD else count
        first_seed = seed + number * SEED_STRIDE
        for policy in ("system", "baseline"):
            step = max(1, move_count // 10)
            cells += [
                Cell(policy, deployment, kind, range(first, min(first + step, end)))
                for end in (first_seed + move_count,)
                for first in range(first_seed, end, step)
            ]
    return cells


def _percentile(values, share):
    measured = [value for value in values if value == value]
    return float(numpy.quantile(measured, share)) if measured else float("nan")


def _row(kind, results):
    has_right_outcome = [result.done != (kind != "good") for result in results]
    in_time = [result.elapsed <= 1.0 for result in results]
    right_share = numpy.mean(
        [w and t for w, t in zip(has_right_outcome, in_time, strict=True)]
    )
    shares = [result.exposed / result.requests for result in results]
    shown = [result.stop_after_shown_s for result in results]
    onset = [result.stop_after_onset_s for result in results]
    late_count = sum(value > STOP_GOAL_S for value in shown if value == value)
    over_count = sum(share > EXPOSED_SHARE_GOAL for share in shares)
    if kind == "good":
        return f"{kind:16} {len(results):6} {right_share:8.2%}" + 6 * f"{'-':>9}"
    return (
        f"{kind:16} {len(results):6} {right_share:8.2%} {numpy.mean(shares):8.3%}"
        f" {max(shares):8.3%} {over_count:8} {_percentile(shown, 0.5):8.1f}"
        f" {_percentile(shown, 1.0):8.1f} {late_count:8} {_percentile(onset, 0.5):8.0f}"
    )


HEAD = (
    f"{'kind':16} {'moves':>6} {'right':>8} {'exposed':>8} {'worst':>8}"
    f" {'over 2%':>8} {'stop/s':>8} {'worst/s':>8} {'over 3s':>8} {'onset/s':>8}"
)


def print_tables(results_by_key):
    """Print a table for each policy and size, and one for all sizes."""
    for policy in ("system", "baseline"):
        sizes = sorted({key[1] for key in results_by_key if key[0] == policy})
        for size in [*sizes, "all"]:
            print(f"\n{policy}, {size}\n{HEAD}")
            for kind in move_model.Kind:
                results = [
                    result
                    for key, cell_results in results_by_key.items()
                    if key[0] == policy and key[2] is kind and size in (key[1], "all")
                    for result in cell_results
                ]
                if results:
                    print(_row(kind.value, results))


def print_wrong(results_by_key):
    """Print the results of the system's moves that had the wrong outcome."""
    for (policy, size, kind), results in results_by_key.items():
        for result in results:
            is_wrong = result.done == (kind is not move_model.Kind.GOOD)
            if policy == "system" and is_wrong:
                print(f"wrong: {size}, {kind.value}: {result}")


@click.command()
@click.option("--count", default=50, show_default=True, help="Moves in each cell.")
@click.option("--good-factor", default=1, show_default=True, help="More good moves.")
@click.option("--minutes", default=30.0, show_default=True, help="Length of a move.")
@click.option("--workers", default=4, show_default=True, help="Processes.")
@click.option("--seed", default=20261204, show_default=True, help="First seed.")
def main(count, good_factor, minutes, workers, seed):
    """Run all moves and print the tables."""
    started = time.monotonic()
    cells = make_cells(count, good_factor, seed, 60.0 * minutes)
    print(
        f"seed {seed}, {count} moves of {minutes:g} min a cell,"
        f" good ones {good_factor} times as many"
    )
    print(
        "right: good moves done in time, faulty ones taken back. exposed: the new"
        " version's share\nof the service's requests until the verdict. stop: from the"
        " evidence that shows the fault\nto the last new request. onset: median from"
        " the first faulty answer to the last new request."
    )
    results_by_key = collections.defaultdict(list)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for cell, results in pool.map(_run_cell, cells):
            key = cell.policy, cell.deployment.name, cell.kind
            results_by_key[key] += results
    print_tables(results_by_key)
    print_wrong(results_by_key)
    print(f"\n{time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
