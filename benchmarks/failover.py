"""Measures retries while a third of the engines fail, and recomputed tokens.

Entry hosts and stand-ins run in one process on a virtual clock.
"""

import collections
import dataclasses
import json
import pathlib
import random
import sys

import click

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "features"))

import request_bench as benches  # noqa: E402
import request_faults as faults  # noqa: E402
import request_judge as judge  # noqa: E402

FAILURES = ("refuses", "failing", "dead")


def _make_bench(kind, **fields):
    bench = benches.Bench(faults.INJECTOR_BY_FAULT)
    bench.request = benches.make_request(kind)
    if fields:
        body = json.loads(bench.request.body) | fields
        bench.request = dataclasses.replace(
            bench.request, body=json.dumps(body).encode()
        )
    return bench


def _measure_attempts(failure, requests):
    bench = _make_bench("chat")
    codes = collections.Counter()
    for index in range(requests):
        if failure:
            setattr(bench.machine_by_id["writer-0"], failure, True)
        bench.request.header_by_name["idempotency-key"] = f"key-{index}"
        codes[bench.send(f"entry-{index % 3}").code] += 1
    attempts = len(bench.observer.outcomes)
    return attempts / requests, {code: n for code, n in codes.items() if code}


def _kill(bench):
    faults.INJECTOR_BY_FAULT["upstream killed"](bench)


def _measure_recomputed(bulletins, tokens, kills, seed):
    source = random.Random(seed)
    generated = prefilled = restarted = completed = 0
    for _ in range(bulletins):
        bench = _make_bench("bulletin", max_tokens=tokens)
        kill_positions = sorted(source.sample(range(1, tokens), kills))
        restarted += tokens + sum(kill_positions)
        bench.injector_by_fault = {"kill": _kill}
        bench.mid_stream_events = kill_positions[0]
        bench.plan = [("mid-stream", "kill")]
        caller = judge.Caller("bulletin")
        for turn in range(benches.MAX_SEND_COUNT):
            caller.receive(bench.send(f"entry-{turn % 3}", caller.last_event_id))
            if caller.done:
                break
        completed += caller.done
        for machine in bench.machine_by_id.values():
            if machine.host.service == "writer":
                generated += machine.application.counts.generated_tokens
                prefilled += machine.application.counts.prefilled_tokens
    needed = bulletins * tokens
    return completed, needed, generated - needed, prefilled, restarted - needed


@click.command()
@click.option("--requests", default=1000, show_default=True)
@click.option("--bulletins", default=300, show_default=True)
@click.option("--seed", default=20261204, show_default=True)
def main(requests, bulletins, seed):
    """Print both tables."""
    print("| a third of the engines | attempts/request | problems by code |")
    print("|---|---|---|")
    for failure in (None, *FAILURES):
        attempts, codes = _measure_attempts(failure, requests)
        print(f"| {failure or 'healthy'} | {attempts:.3f} | {codes or 'none'} |")
    print(f"\nseed {seed}; {bulletins} bulletins of 200 tokens, one engine killed each")
    completed, needed, decoded_again, prefilled, restarted = _measure_recomputed(
        bulletins, 200, 1, seed
    )
    print("| whole | tokens | decoded again | prefilled again | from zero |")
    print("|---|---|---|---|---|")
    print(
        f"| {completed} | {needed} | {decoded_again} | {prefilled} "
        f"| {restarted} decoded again |"
    )


if __name__ == "__main__":
    main()
