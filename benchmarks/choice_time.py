"""Measures the processor time of choosing a host, by number of replicas.

Run ``python benchmarks/choice_time.py``.
"""

import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from peridothitch.policy import (
    affinity,
    cost,
    host_choice,
    host_pool,
    host_selector,
    load_estimates,
)
from peridothitch.ports import upstream

SEED = 20261204
REPLICA_COUNTS = (9, 90, 630)
WARM_UP_COUNT = 20_000
MEASURED_COUNT = 10_000
CONVERSATION_COUNT = 3000
SECONDS_BETWEEN_CHOICES = 0.125


def _pool(size):
    return host_pool.HostPool(
        upstream.Host(
            host_id=f"host-{index}",
            address="",
            service="model",
            version="v1",
            data_centre=f"dc{index % 4}",
            region=f"region{index % 2}",
            price_per_hour=1.0 + index % 3,
        )
        for index in range(size)
    )


def _measure_microseconds(size):
    random_source = random.Random(SEED)
    pool = _pool(size)
    chooser = host_selector.HostSelector(
        host_choice.UpstreamEstimates(loads=load_estimates.LoadEstimates(380)),
        "dc0",
        "region0",
        random_source,
    )
    prefixes = [
        affinity.make_prefix(
            b"i" * 2048, random_source.randbytes(600), b"l" * 6000, True
        )
        for _ in range(CONVERSATION_COUNT)
    ]
    demand = cost.Demand(prompt_tokens=2000, output_tokens=370, request_bytes=90_000)
    now = 0.0
    spent_ns = 0
    for index in range(WARM_UP_COUNT + MEASURED_COUNT):
        now += SECONDS_BETWEEN_CHOICES
        prefix = prefixes[index % CONVERSATION_COUNT]
        need = host_selector.AttemptNeed(version="v1", prefix=prefix, demand=demand)
        started_ns = time.thread_time_ns()
        decision = chooser.choose(pool, need, now)
        if index >= WARM_UP_COUNT:
            spent_ns += time.thread_time_ns() - started_ns
        host_id = decision.host.host_id
        chooser.prepare(index, decision, need)
        chooser.start(index, host_id, now)
        report = load_estimates.LoadReport(
            random_source.randrange(90), random_source.randrange(2000)
        )
        chooser.record_report(host_id, report, now)
        chooser.end(host_id)
        chooser.drop_attempt(index)
    return spent_ns / MEASURED_COUNT / 1000.0


def main():
    """Print the processor time of a choice for each number of replicas."""
    print(f"seed {SEED}")
    for size in REPLICA_COUNTS:
        print(
            f"{size} replicas: {_measure_microseconds(size):.0f} µs a choice",
            flush=True,
        )


if __name__ == "__main__":
    main()
