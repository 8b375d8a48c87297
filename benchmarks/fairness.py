"""Compares fair queueing with first come, first served under one large customer.

A pool of slots serves requests; one customer sends ten times its share, four send less
than theirs. Both queues get the same arrivals.

Run: python benchmarks/fairness.py [SEED]
"""

import dataclasses
import datetime
import heapq
import random
import sys

import numpy as np

from peridothitch.policy import document as documents
from peridothitch.policy import fairness

SLOT_COUNT = 40
SECONDS_PER_TOKEN = 0.02
MEAN_TOKENS = 100
DURATION_SECONDS = 300.0
TARGET_SECONDS = 0.83
FIRST_TOKEN_SECONDS = 0.15
LARGE_LOAD_FACTOR = 10.0
SMALL_LOAD_FACTOR = 0.6
QUEUE_CAPACITY = 128
FAR_DEADLINE = datetime.timedelta(days=1)
CUSTOMERS = ("large", "small-1", "small-2", "small-3", "small-4")
FAIR_RATE_PER_SECOND = SLOT_COUNT / (SECONDS_PER_TOKEN * MEAN_TOKENS) / len(CUSTOMERS)


@dataclasses.dataclass(frozen=True, order=True)
class Arrival:
    """Arrival time, customer and length of a request."""

    seconds: float
    customer: str
    tokens: int


class FirstComeFirstServed:
    """Baseline: one queue; a full queue sheds the newest request."""

    def __init__(self, capacity):
        self._capacity = capacity
        self._waiting = []

    def add(self, waiting_request):
        """Append a request; returns it if the queue is full."""
        if len(self._waiting) >= self._capacity:
            return waiting_request
        self._waiting.append(waiting_request)
        return None

    def pop_next(self, now):
        """Return the oldest request."""
        return (self._waiting.pop(0) if self._waiting else None), ()


def _arrivals(rng):
    drawn_arrivals = []
    for customer in CUSTOMERS:
        rate = FAIR_RATE_PER_SECOND * (
            LARGE_LOAD_FACTOR if customer == "large" else SMALL_LOAD_FACTOR
        )
        seconds = rng.expovariate(rate)
        while seconds < DURATION_SECONDS:
            tokens = 1 + int(rng.expovariate(1 / MEAN_TOKENS))
            drawn_arrivals.append(Arrival(seconds, customer, tokens))
            seconds += rng.expovariate(rate)
    return sorted(drawn_arrivals)


def _to_waiting_request(arrival):
    return fairness.WaitingRequest(
        customer=arrival.customer,
        weight=1,
        tokens=arrival.tokens,
        priority=documents.Priority.NORMAL,
        deadline=FAR_DEADLINE,
    )


def _run(queue, arrivals):
    waits_by_customer = {customer: [] for customer in CUSTOMERS}
    shed_by_customer = dict.fromkeys(CUSTOMERS, 0)
    tokens = dict.fromkeys(CUSTOMERS, 0)
    end_seconds = []
    arrival_by_request_id = {}

    def start(now):
        while len(end_seconds) < SLOT_COUNT:
            waiting_request, _ = queue.pop_next(datetime.timedelta(seconds=now))
            if waiting_request is None:
                return
            arrival = arrival_by_request_id.pop(id(waiting_request))[0]
            waits_by_customer[arrival.customer].append(now - arrival.seconds)
            tokens[arrival.customer] += arrival.tokens
            heapq.heappush(end_seconds, now + arrival.tokens * SECONDS_PER_TOKEN)

    for arrival in arrivals:
        while end_seconds and end_seconds[0] <= arrival.seconds:
            ended_at = heapq.heappop(end_seconds)
            start(ended_at)
        waiting_request = _to_waiting_request(arrival)
        arrival_by_request_id[id(waiting_request)] = (arrival, waiting_request)
        shed_request = queue.add(waiting_request)
        if shed_request is not None:
            shed_by_customer[
                arrival_by_request_id.pop(id(shed_request))[0].customer
            ] += 1
        start(arrival.seconds)
    return waits_by_customer, shed_by_customer, tokens


def main():
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 20261204
    arrivals = _arrivals(random.Random(seed))
    print(f"seed {seed}; {len(arrivals)} requests, target {TARGET_SECONDS} s")
    print(
        "| order | customer | first token p95, s | p99, s | in target | shed | tokens |"
    )
    print("|---|---|---|---|---|---|---|")
    queues = {
        "first come": FirstComeFirstServed(QUEUE_CAPACITY),
        "fair": fairness.FairQueue(QUEUE_CAPACITY),
    }
    for name, queue in queues.items():
        waits_by_customer, shed_by_customer, tokens = _run(queue, arrivals)
        total = sum(tokens.values())
        for customer in CUSTOMERS:
            first_seconds = np.array(waits_by_customer[customer]) + FIRST_TOKEN_SECONDS
            request_count = len(first_seconds) + shed_by_customer[customer]
            share_within = (
                np.count_nonzero(first_seconds <= TARGET_SECONDS) / request_count
            )
            print(
                f"| {name} | {customer} | {np.percentile(first_seconds, 95):.2f} "
                f"| {np.percentile(first_seconds, 99):.2f} | {share_within:.3f} "
                f"| {shed_by_customer[customer] / request_count:.3f} "
                f"| {tokens[customer] / total:.3f} |"
            )


if __name__ == "__main__":
    main()
