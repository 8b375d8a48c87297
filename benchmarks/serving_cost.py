"""Cost per 1,000 requests at the latency target, by strategy.

For each strategy the highest request rate is searched at which 95 in 100 requests are
within the target on the deployment's hosts; the hosts' price over the requests served,
with paid traffic, is the cost. Run ``python benchmarks/serving_cost.py``.
"""

import argparse
import concurrent.futures
import dataclasses
import multiprocessing
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

import fleet_run
import strategies
import workloads

SEEDS_BY_FACTOR = {1: (20261204, 20261205), 10: (20261204,)}
TARGET_SHARE = 0.95
LOWEST_RATE = 1.5
HIGHEST_RATE = 9.0
STEPS = 6
SECONDS_BY_FACTOR = {1: 180.0, 10: 75.0}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One strategy on one deployment."""

    deployment: str
    factor: int
    reclaim: bool
    strategy: str
    steps: int = STEPS

    def run(self, rate):
        """Run at a rate per replica; returns the seeds' results."""
        deployment = _deployment(self.deployment).scaled(self.factor)
        seconds = SECONDS_BY_FACTOR[self.factor]
        return [
            fleet_run.FleetRun(
                deployment,
                self.strategy,
                rate * deployment.replicas,
                seconds,
                seed,
                self.reclaim,
            ).run()
            for seed in SEEDS_BY_FACTOR[self.factor]
        ]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Found:
    """The highest rate that holds the target, and the figures there."""

    case: Case
    rate: float
    share: float
    cost: float
    recomputed: float


def _deployment(name):
    return {"Lanark": workloads.LANARK, "Fælles": workloads.FAELLES}[name]


def _mean(values):
    values = list(values)
    return sum(values) / len(values)


def search(case):
    """Return the `Found` of a case by bisection on a logarithmic scale."""
    low, high = LOWEST_RATE, HIGHEST_RATE
    best = None
    for _ in range(case.steps):
        rate = (low * high) ** 0.5
        results = case.run(rate)
        share = _mean(result.share_within for result in results)
        if share < TARGET_SHARE:
            high = rate
            continue
        low = rate
        best = Found(
            case=case,
            rate=rate,
            share=share,
            cost=_mean(result.cost_per_1000 for result in results),
            recomputed=_mean(result.recomputed_per_request for result in results),
        )
    return best


def _cases(factors):
    for factor in factors:
        for name in ("Lanark", "Fælles"):
            for reclaim in (False, True):
                for strategy in strategies.STRATEGY_BY_NAME:
                    yield Case(
                        deployment=name,
                        factor=factor,
                        reclaim=reclaim,
                        strategy=strategy,
                    )


def _print(group):
    case = group[0][0]
    state = "data centre reclaimed" if case.reclaim else "calm"
    print(f"\n{case.deployment} x{case.factor}, {state}")
    print("| strategy | req/s a replica | within | cost / 1,000 | recomputed tokens |")
    print("|---|---|---|---|---|")
    cost_by_strategy = {}
    for case, found in group:
        if found is None:
            print(f"| {case.strategy} | none holds the target | | | |")
            continue
        cost_by_strategy[case.strategy] = found.cost
        print(
            f"| {case.strategy} | {found.rate:.2f} | {found.share:.3f}"
            f" | {found.cost:.4f} | {found.recomputed:.0f} |"
        )
    baselines = [
        cost_by_strategy[name]
        for name in strategies.BASELINES
        if name in cost_by_strategy
    ]
    if baselines and "expected cost" in cost_by_strategy:
        saved = 1.0 - cost_by_strategy["expected cost"] / min(baselines)
        print(f"expected cost against the best baseline: {saved:.1%} less", flush=True)


def main():
    """Run all cases and print a table for each deployment and state."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--factors", type=int, nargs="+", default=[1, 10])
    parser.add_argument("--workers", type=int, default=3)
    options = parser.parse_args()
    print(f"seeds {SEEDS_BY_FACTOR}, target {TARGET_SHARE}, steps {STEPS}")
    cases = list(_cases(options.factors))
    size = len(strategies.STRATEGY_BY_NAME)
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(options.workers, context) as pool:
        group = []
        for case, found in zip(cases, pool.map(search, cases), strict=True):
            group.append((case, found))
            if len(group) == size:
                _print(group)
                group = []


if __name__ == "__main__":
    main()
