"""Compares first tokens during the reclaim of a data centre with a run without it.

Nine engines in three data centres and seven entry hosts run as processes. In the second
run the host list names one data centre's engines as leaving, its entry hosts get
SIGTERM, and its engines are killed some seconds later.
"""

import collections
import concurrent.futures
import itertools
import json
import threading
import time

import click
import entry_fleet as fleets
import processes

RECLAIMED_DATA_CENTRE = 0
NOTICE_SECONDS = 6
ENGINE_COUNT = 9
ENTRY_COUNT = 7


class Callers:
    """Callers that each request one stream after another."""

    def __init__(self, balancer, tokens):
        self._balancer = balancer
        self._tokens = tokens
        self._serial_numbers = itertools.count()
        self.stop = threading.Event()
        self.results = []

    def run(self, path):
        """Send requests until `stop` is set."""
        while not self.stop.is_set():
            key = f"{path}-{next(self._serial_numbers)}"
            try:
                result = fleets.stream(self._balancer, path, key, self._tokens)
            except Exception as error:
                result = fleets.StreamResult(problem=repr(error))
            self.results.append((path, result))


def _list_leaving(fleet, index):
    name = f"engine-{index}"
    host = {
        "host_id": name,
        "address": fleet.engines[name],
        "service": "assistant",
        "version": "v1",
        "data_centre": fleets.DATA_CENTRES[index % 3],
        "state": "leaving",
    }
    processes.send_request(fleet.hosts, "PUT", "/v1/hosts", host, key=None)


def _reclaim_data_centre(fleet):
    engines = [
        index for index in range(ENGINE_COUNT) if index % 3 == RECLAIMED_DATA_CENTRE
    ]
    entries = [
        index for index in range(ENTRY_COUNT) if index % 3 == RECLAIMED_DATA_CENTRE
    ]
    for index in engines:
        _list_leaving(fleet, index)
    with concurrent.futures.ThreadPoolExecutor(len(entries)) as pool:
        list(pool.map(fleet.stop_entry, entries))
    time.sleep(max(0, NOTICE_SECONDS - 5))
    for index in engines:
        process = fleet.fleet.process_by_name[f"engine-{index}"]
        process.kill()


def _run(with_reclaim, callers, tokens, seconds):
    options = ("--drain-timeout", "4500ms")
    fleet = fleets.EntryFleet(ENTRY_COUNT, ENGINE_COUNT, options, token_gap_ms=20)
    try:
        balancer = fleets.Balancer(fleet.address_by_id)
        stream_callers = Callers(balancer, tokens)
        pool = concurrent.futures.ThreadPoolExecutor(2 * callers)
        paths = ("/v1/bulletins", "/v1/chat/completions") * callers
        futures = [pool.submit(stream_callers.run, path) for path in paths]
        time.sleep(seconds / 3)
        if with_reclaim:
            _reclaim_data_centre(fleet)
        time.sleep(seconds * 2 / 3 - (NOTICE_SECONDS if with_reclaim else 0))
        stream_callers.stop.set()
        concurrent.futures.wait(futures)
        balancer.close()
        return stream_callers.results
    finally:
        fleet.close()


def _print_row(name, results):
    firsts = sorted(
        result.first_token_seconds for _, result in results if result.events
    )
    gap_seconds = sorted(gap for _, result in results for gap in result.gap_seconds)
    incomplete_by_path = collections.Counter(
        path for path, result in results if not result.is_complete
    )
    resumed = sum(bool(result.resumed) for _, result in results)
    print(
        f"| {name} | {len(results)} | {_quantile_ms(firsts, 0.95):.0f}, "
        f"{_quantile_ms(firsts, 0.99):.0f} | {_quantile_ms(gap_seconds, 0.95):.0f} "
        f"| {resumed} | {json.dumps(incomplete_by_path)} |",
        flush=True,
    )


def _quantile_ms(values, share):
    return 1000 * values[min(len(values) - 1, int(share * len(values)))]


@click.command()
@click.option("--callers", default=10, show_default=True, help="Of each kind.")
@click.option("--tokens", default=200, show_default=True)
@click.option("--seconds", default=24, show_default=True)
def main(callers, tokens, seconds):
    """Print a table of both runs."""
    print("| run | streams | first token p95, p99 ms | gap p95 ms | resumed | broken |")
    print("|---|---|---|---|---|---|")
    for name, with_reclaim in (("calm", False), ("reclaim", True)):
        _print_row(name, _run(with_reclaim, callers, tokens, seconds))


if __name__ == "__main__":
    main()
