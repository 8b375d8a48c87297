"""Measures fair order against first come, first served under one large customer.

A pool of slots serves requests; one customer sends ten times its share, four send less
than theirs. Both orders see the same arrivals.

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

SLOTS = 40
SECONDS_PER_TOKEN = 0.02
MEAN_TOKENS = 100
DURATION_SECONDS = 300.0
TARGET_SECONDS = 0.83
FIRST_TOKEN_SECONDS = 0.15
LARGE_SHARES = 10.0
SMALL_LOAD = 0.6
QUEUE_CAPACITY = 128
FAR = datetime.timedelta(days=1)
CUSTOMERS = ("large", "small-1", "small-2", "small-3", "small-4")
FAIR_RATE = SLOTS / (SECONDS_PER_TOKEN * MEAN_TOKENS) / len(CUSTOMERS)


@dataclasses.dataclass(frozen=True, order=True)
class Arrival:
    """A request as it arrives."""

    seconds: float
    customer: str
    tokens: int


class FirstComeFirstServed:
    """Baseline: one line, the newest is shed when it is full."""

    def __init__(self, capacity):
        self._capacity = capacity
        self._waiting = []

    def add(self, ticket):
        """Append a request; returns it when the line is full."""
        if len(self._waiting) >= self._capacity:
            return ticket
        self._waiting.append(ticket)
        return None

    def pop_next(self, now):
        """Return the oldest request."""
        return (self._waiting.pop(0) if self._waiting else None), ()


def _arrivals(rng):
    found = []
    for customer in CUSTOMERS:
        rate = FAIR_RATE * (LARGE_SHARES if customer == "large" else SMALL_LOAD)
        seconds = rng.expovariate(rate)
        while seconds < DURATION_SECONDS:
            tokens = 1 + int(rng.expovariate(1 / MEAN_TOKENS))
            found.append(Arrival(seconds, customer, tokens))
            seconds += rng.expovariate(rate)
    return sorted(found)


def _to_ticket(arrival):
    return fairness.WaitingRequest(
        customer=arrival.customer,
        weight=1,
        tokens=arrival.tokens,
        priority=documents.Priority.NORMAL,
        deadline=FAR,
    )


def _run(queue, arrivals):
    waits = {customer: [] for customer in CUSTOMERS}
    shed = dict.fromkeys(CUSTOMERS, 0)
    tokens = dict.fromkeys(CUSTOMERS, 0)
    ends = []
    arrival_by_ticket_id = {}

    def start(now):
        while len(ends) < SLOTS:
            ticket, _ = queue.pop_next(datetime.timedelta(seconds=now))
            if ticket is None:
                return
            arrival = arrival_by_ticket_id.pop(id(ticket))[0]
            waits[arrival.customer].append(now - arrival.seconds)
            tokens[arrival.customer] += arrival.tokens
            heapq.heappush(ends, now + arrival.tokens * SECONDS_PER_TOKEN)

    for arrival in arrivals:
        while ends and ends[0] <= arrival.seconds:
            start_at = heapq.heappop(ends)
            start(start_at)
        ticket = _to_ticket(arrival)
        arrival_by_ticket_id[id(ticket)] = (arrival, ticket)
        dropped = queue.add(ticket)
        if dropped is not None:
            shed[arrival_by_ticket_id.pop(id(dropped))[0].customer] += 1
        start(arrival.seconds)
    return waits, shed, tokens


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
        waits, shed, tokens = _run(queue, arrivals)
        total = sum(tokens.values())
        for customer in CUSTOMERS:
            first = np.array(waits[customer]) + FIRST_TOKEN_SECONDS
            asked = len(first) + shed[customer]
            within = np.count_nonzero(first <= TARGET_SECONDS) / asked
            print(
                f"| {name} | {customer} | {np.percentile(first, 95):.2f} "
                f"| {np.percentile(first, 99):.2f} | {within:.3f} "
                f"| {shed[customer] / asked:.3f} | {tokens[customer] / total:.3f} |"
            )


if __name__ == "__main__":
    main()
