"""Measures cost per 1,000 requests at the latency target, by strategy.

For each strategy, a search finds the highest request rate at which 95 in 100 requests
meet the target on the deployment's hosts. The cost is the price of the hosts and of
paid traffic, divided by the requests served. Run ``python benchmarks/serving_cost.py``.
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
MIN_RATE_PER_REPLICA = 1.5
MAX_RATE_PER_REPLICA = 9.0
STEP_COUNT = 6
SECONDS_BY_FACTOR = {1: 180.0, 10: 75.0}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One strategy on one deployment."""

    deployment: str
    factor: int
    reclaim: bool
    strategy: str
    steps: int = STEP_COUNT

    def run(self, rate):
        """Run at a rate per replica; returns a result for each seed."""
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
class SearchResult:
    """The highest rate that meets the target, and the results at that rate."""

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
    """Search a case's highest rate by bisection on a logarithmic scale.

    Returns the `SearchResult`, None if no rate met the target.
    """
    low, high = MIN_RATE_PER_REPLICA, MAX_RATE_PER_REPLICA
    best_result = None
    for _ in range(case.steps):
        rate = (low * high) ** 0.5
        results = case.run(rate)
        share = _mean(result.share_within for result in results)
        if share < TARGET_SHARE:
            high = rate
            continue
        low = rate
        best_result = SearchResult(
            case=case,
            rate=rate,
            share=share,
            cost=_mean(result.cost_per_1000 for result in results),
            recomputed=_mean(result.recomputed_per_request for result in results),
        )
    return best_result


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
    for case, search_result in group:
        if search_result is None:
            print(f"| {case.strategy} | none holds the target | | | |")
            continue
        cost_by_strategy[case.strategy] = search_result.cost
        print(
            f"| {case.strategy} | {search_result.rate:.2f} | {search_result.share:.3f}"
            f" | {search_result.cost:.4f} | {search_result.recomputed:.0f} |"
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
    print(f"seeds {SEEDS_BY_FACTOR}, target {TARGET_SHARE}, steps {STEP_COUNT}")
    cases = list(_cases(options.factors))
    strategy_count = len(strategies.STRATEGY_BY_NAME)
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(options.workers, context) as pool:
        group = []
        for case, search_result in zip(cases, pool.map(search, cases), strict=True):
            group.append((case, search_result))
            if len(group) == strategy_count:
                _print(group)
                group = []


if __name__ == "__main__":
    main()
