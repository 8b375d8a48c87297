"""Compares first tokens during a data centre's reclaim with a calm run.

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

RECLAIMED = 0
NOTICE_SECONDS = 6
ENGINES = 9
ENTRIES = 7


class Callers:
    """Callers of streams, each one after another."""

    def __init__(self, balancer, tokens):
        self._balancer = balancer
        self._tokens = tokens
        self._numbers = itertools.count()
        self.stop = threading.Event()
        self.answers = []

    def run(self, path):
        """Send requests until told to stop."""
        while not self.stop.is_set():
            key = f"{path}-{next(self._numbers)}"
            try:
                answer = fleets.stream(self._balancer, path, key, self._tokens)
            except Exception as error:
                answer = fleets.StreamResult(problem=repr(error))
            self.answers.append((path, answer))


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
    processes.ask(fleet.hosts, "PUT", "/v1/hosts", host, key=None)


def _reclaim(fleet):
    engines = [index for index in range(ENGINES) if index % 3 == RECLAIMED]
    entries = [index for index in range(ENTRIES) if index % 3 == RECLAIMED]
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
    fleet = fleets.EntryFleet(ENTRIES, ENGINES, options, token_gap_ms=20)
    try:
        balancer = fleets.Balancer(fleet.address_by_id)
        load = Callers(balancer, tokens)
        pool = concurrent.futures.ThreadPoolExecutor(2 * callers)
        paths = ("/v1/bulletins", "/v1/chat/completions") * callers
        futures = [pool.submit(load.run, path) for path in paths]
        time.sleep(seconds / 3)
        if with_reclaim:
            _reclaim(fleet)
        time.sleep(seconds * 2 / 3 - (NOTICE_SECONDS if with_reclaim else 0))
        load.stop.set()
        concurrent.futures.wait(futures)
        balancer.close()
        return load.answers
    finally:
        fleet.close()


def _print_row(name, answers):
    firsts = sorted(
        answer.first_token_seconds for _, answer in answers if answer.events
    )
    gap_seconds = sorted(gap for _, answer in answers for gap in answer.gap_seconds)
    broken = collections.Counter(
        path for path, answer in answers if not answer.is_complete
    )
    resumed = sum(bool(answer.resumed) for _, answer in answers)
    print(
        f"| {name} | {len(answers)} | {_share(firsts, 0.95):.0f}, "
        f"{_share(firsts, 0.99):.0f} | {_share(gap_seconds, 0.95):.0f} | {resumed} "
        f"| {json.dumps(broken)} |",
        flush=True,
    )


def _share(values, share):
    return 1000 * values[min(len(values) - 1, int(share * len(values)))]


@click.command()
@click.option("--callers", default=10, show_default=True, help="Of each kind.")
@click.option("--tokens", default=200, show_default=True)
@click.option("--seconds", default=24, show_default=True)
def main(callers, tokens, seconds):
    """Print both runs as a table."""
    print("| run | streams | first token p95, p99 ms | gap p95 ms | resumed | broken |")
    print("|---|---|---|---|---|---|")
    for name, with_reclaim in (("calm", False), ("reclaim", True)):
        _print_row(name, _run(with_reclaim, callers, tokens, seconds))


if __name__ == "__main__":
    main()
