"""Counts calls of the key-value store for requests that run at most once.

Each host claims and finishes requests at a fixed rate from a few threads; the store
replies after some milliseconds. Claims are read only if a write was refused or its
outcome is unknown.
"""

import concurrent.futures
import datetime
import pathlib
import random
import sys
import time

import click

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "features"))

import request_fakes as fakes  # noqa: E402

from peridothitch.adapters import memory_store, metrics, system_clock  # noqa: E402
from peridothitch.coordination import claim_writes, claims  # noqa: E402
from peridothitch.ports import peers  # noqa: E402
from peridothitch.standins import faulty_store  # noqa: E402

CLAIM_TTL = datetime.timedelta(seconds=60)
STORE_DELAY = datetime.timedelta(milliseconds=3)
THREADS_PER_HOST = 4


def _make_claim_stores(host_count):
    clock = system_clock.SystemClock()
    store = faulty_store.FaultyStore(memory_store.MemoryStore(clock), clock)
    slow_rule = faulty_store.FaultRule(fault=faulty_store.Fault.SLOW, delay=STORE_DELAY)
    store.inject(slow_rule)
    network = fakes.PeerNetwork()
    claim_stores = []
    for index in range(host_count):
        name = f"entry-{index}"
        peer = peers.Peer(host_id=name, address=name, data_centre="abcd"[index % 4])
        host_peers = fakes.FakePeers(network, peer)
        writer = claim_writes.ClaimWriter(store, host_peers, clock, metrics.Metrics())
        claim_stores.append(claims.ClaimStore(store, writer, host_peers, clock))
    return store, claim_stores


def _send(claim_store, name, rate, seconds, seed):
    random_source = random.Random(seed)
    latencies = []
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        time.sleep(random_source.expovariate(rate / THREADS_PER_HOST))
        start = time.monotonic()
        stored_claim = claim_store.claim(
            "parish", f"{name}-{number}", "digest", CLAIM_TTL
        )
        latencies.append(time.monotonic() - start)
        claim_store.finish(stored_claim, 200, "application/json", b"{}")
        number += 1
    return latencies


def measure(host_count, rate, seconds, seed):
    """Return requests/s, store calls/s, calls per request and claim latencies."""
    store, claim_stores = _make_claim_stores(host_count)
    with concurrent.futures.ThreadPoolExecutor(host_count * THREADS_PER_HOST) as pool:
        futures = [
            pool.submit(
                _send,
                claim_store,
                f"{index}-{thread}",
                rate,
                seconds,
                f"{seed} {index} {thread}",
            )
            for index, claim_store in enumerate(claim_stores)
            for thread in range(THREADS_PER_HOST)
        ]
        latencies = sorted(latency for future in futures for latency in future.result())
    calls = sum(store.call_count_by_method.values())
    return len(latencies) / seconds, calls / seconds, calls / len(latencies), latencies


@click.command()
@click.option("--rate", default=20.0, show_default=True, help="Requests/s of a host.")
@click.option("--seconds", default=6.0, show_default=True)
@click.option("--seed", default=20261204, show_default=True)
def main(rate, seconds, seed):
    """Print a table of store calls by number of hosts."""
    print(f"seed {seed}, {rate:g} keyed requests/s a host, store {STORE_DELAY}")
    print("| hosts | requests/s | store calls/s | calls/request | claim p50, p95 ms |")
    print("|---|---|---|---|---|")
    for host_count in (1, 3, 7, 14):
        requests, calls, calls_per_request, latencies = measure(
            host_count, rate, seconds, seed
        )
        median_ms = 1000 * latencies[len(latencies) // 2]
        p95_ms = 1000 * latencies[int(len(latencies) * 0.95)]
        print(
            f"| {host_count} | {requests:.0f} | {calls:.0f} | {calls_per_request:.2f} "
            f"| {median_ms:.0f}, {p95_ms:.0f} |"
        )


if __name__ == "__main__":
    main()
