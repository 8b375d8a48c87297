"""Counts calls of the key-value service for requests that run at most once.

Each host claims and finishes requests at a fixed rate from a few threads; the store
answers after some milliseconds. Reads happen only when a write was refused or unclear.
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

LIFETIME = datetime.timedelta(seconds=60)
STORE_DELAY = datetime.timedelta(milliseconds=3)
THREADS = 4


def _make_books(host_count):
    clock = system_clock.SystemClock()
    store = faulty_store.FaultyStore(memory_store.MemoryStore(clock), clock)
    rule = faulty_store.FaultRule(fault=faulty_store.Fault.SLOW, delay=STORE_DELAY)
    store.inject(rule)
    network = fakes.PeerNetwork()
    books = []
    for index in range(host_count):
        name = f"entry-{index}"
        peer = peers.Peer(host_id=name, address=name, data_centre="abcd"[index % 4])
        own = fakes.FakePeers(network, peer)
        writer = claim_writes.ClaimWriter(store, own, clock, metrics.Metrics())
        books.append(claims.ClaimStore(store, writer, own, clock))
    return store, books


def _send(book, name, rate, seconds, seed):
    source = random.Random(seed)
    latencies = []
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        time.sleep(source.expovariate(rate / THREADS))
        start = time.monotonic()
        hold = book.claim("parish", f"{name}-{number}", "digest", LIFETIME)
        latencies.append(time.monotonic() - start)
        book.finish(hold, 200, "application/json", b"{}")
        number += 1
    return latencies


def measure(host_count, rate, seconds, seed):
    """Return requests and store calls a second, calls a request and latencies."""
    store, books = _make_books(host_count)
    with concurrent.futures.ThreadPoolExecutor(host_count * THREADS) as pool:
        futures = [
            pool.submit(
                _send,
                book,
                f"{index}-{thread}",
                rate,
                seconds,
                f"{seed} {index} {thread}",
            )
            for index, book in enumerate(books)
            for thread in range(THREADS)
        ]
        latencies = sorted(latency for future in futures for latency in future.result())
    calls = sum(store.call_count_by_method.values())
    return len(latencies) / seconds, calls / seconds, calls / len(latencies), latencies


@click.command()
@click.option("--rate", default=20.0, show_default=True, help="Requests/s of a host.")
@click.option("--seconds", default=6.0, show_default=True)
@click.option("--seed", default=20261204, show_default=True)
def main(rate, seconds, seed):
    """Print a table of hosts and store calls."""
    print(f"seed {seed}, {rate:g} keyed requests/s a host, store {STORE_DELAY}")
    print("| hosts | requests/s | store calls/s | calls/request | claim p50, p95 ms |")
    print("|---|---|---|---|---|")
    for host_count in (1, 3, 7, 14):
        requests, calls, each, latencies = measure(host_count, rate, seconds, seed)
        middle = 1000 * latencies[len(latencies) // 2]
        high = 1000 * latencies[int(len(latencies) * 0.95)]
        print(
            f"| {host_count} | {requests:.0f} | {calls:.0f} | {each:.2f} "
            f"| {middle:.0f}, {high:.0f} |"
        )


if __name__ == "__main__":
    main()
