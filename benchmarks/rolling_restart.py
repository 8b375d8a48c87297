"""Restarts seven entry hosts one after another under load and counts failures."""

import collections
import concurrent.futures
import itertools
import threading
import time

import click
import entry_fleet as fleets
import processes

CHAT_TOKEN_COUNT = 40


class Load:
    """Callers that send requests of four kinds until `stop` is called."""

    def __init__(self, balancer, bulletin_tokens):
        self._balancer = balancer
        self._bulletin_tokens = bulletin_tokens
        self._stop = threading.Event()
        self._serial_numbers = itertools.count()
        self.counts = collections.Counter()
        self.failures = []
        self.payment_keys = []

    def run(self, kind):
        """Send requests of one kind, one after another, and record failures."""
        while not self._stop.is_set():
            key = f"{kind}-{next(self._serial_numbers)}"
            try:
                failure_text = getattr(self, f"_{kind}")(key)
            except Exception as error:
                failure_text = repr(error)
            self.counts[kind] += 1
            if failure_text:
                self.failures.append((key, failure_text))

    def _bulletin(self, key):
        result = fleets.stream(
            self._balancer, "/v1/bulletins", key, self._bulletin_tokens
        )
        self.counts["resumed bulletins"] += bool(result.resumed)
        return "" if result.is_complete else f"bulletin incomplete: {result.problem}"

    def _chat(self, key):
        result = fleets.stream(
            self._balancer, "/v1/chat/completions", key, CHAT_TOKEN_COUNT
        )
        return "" if result.is_complete else f"chat incomplete: {result.problem}"

    def _payment(self, key):
        self.payment_keys.append(key)
        return self._send_plain("POST", "/payments", key)

    def _lookup(self, key):
        return self._send_plain("GET", f"/tickets/{key}", key)

    def _send_plain(self, method, path, key):
        time.sleep(0.02)
        result = processes.send_request(
            self._balancer.choose(),
            method,
            path,
            {"amount": 1} if method == "POST" else None,
            header_by_name={"idempotency-key": key},
        )
        return "" if result.status == 200 else f"{result.status} {result.body}"

    def stop(self):
        """Stop each caller after its current request."""
        self._stop.set()


@click.command()
@click.option("--entries", default=7, show_default=True)
@click.option("--callers", default=4, show_default=True, help="Of each kind.")
@click.option("--drain-seconds", default=1.5, show_default=True)
@click.option("--bulletin-tokens", default=800, show_default=True)
def main(entries, callers, drain_seconds, bulletin_tokens):
    """Print requests, failures, resumed bulletins and payments that ran twice."""
    options = ("--drain-timeout", f"{1000 * drain_seconds:.0f}ms")
    fleet = fleets.EntryFleet(entries, options=options)
    try:
        balancer = fleets.Balancer(fleet.address_by_id)
        load = Load(balancer, bulletin_tokens)
        pool = concurrent.futures.ThreadPoolExecutor(4 * callers)
        kinds = ("bulletin", "chat", "payment", "lookup") * callers
        futures = [pool.submit(load.run, kind) for kind in kinds]
        time.sleep(2)
        codes = []
        for index in range(entries):
            codes.append(fleet.stop_entry(index))
            fleet.start_entry(index)
            time.sleep(1)
        load.stop()
        concurrent.futures.wait(futures)
        balancer.close()
        _report(fleet, load, codes)
    finally:
        fleet.close()


def _report(fleet, load, codes):
    run_count_by_key = collections.Counter()
    for address in fleet.services.values():
        run_count_by_key.update(fleet.counts(address)["run_count_by_key"])
    doubled = [key for key in load.payment_keys if run_count_by_key[key] > 1]
    print(dict(load.counts))
    print(f"exit codes {codes}")
    print(f"{len(load.failures)} failed, {len(doubled)} payments doubled")
    for failure in load.failures[:10]:
        print(failure)


if __name__ == "__main__":
    main()
