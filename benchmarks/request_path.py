"""Measures the overhead of an entry host on requests and streams.

Run: python benchmarks/request_path.py [--streams 137] [--tokens 220]

The stand-in engines, the store, the host list and the entry host run as separate
processes. In one run, the same client calls the engines directly and through the entry
host.
"""

import argparse
import concurrent.futures
import contextlib
import http.client
import json
import os
import pathlib
import statistics
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "features"), str(ROOT / "src")]

import processes  # noqa: E402

from peridothitch.gateway import embedded  # noqa: E402

TOKEN_GAP_MS = 45
FIRST_TOKEN_MS = 20
ENGINE_COUNT = 6
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_kb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    raise AssertionError(f"no VmRSS line in the status of process {pid}")


def quantile(values, percent):
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def connect(address):
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=60)


def body(tokens, streamed):
    return json.dumps(
        {
            "stream": streamed,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "Hello"}],
        }
    )


HEADERS = {
    "authorization": f"Bearer {embedded.EXAMPLE_KEY}",
    "content-type": "application/json",
}


def stream(address, tokens, started):
    """Return the time to the first token and the gaps after it, in seconds."""
    started.wait()
    with contextlib.closing(connect(address)) as connection:
        began = time.perf_counter()
        connection.request("POST", "/v1/chat/completions", body(tokens, True), HEADERS)
        response = connection.getresponse()
        if response.status != http.client.OK:
            raise AssertionError(response.read())
        token_times = []
        for line in response:
            if line.startswith(b"data: {"):
                token_times.append(time.perf_counter())
                last = line
    if len(token_times) < tokens:
        raise AssertionError(f"got {len(token_times)} of {tokens} tokens; last: {last}")
    gaps = [
        later - sooner
        for sooner, later in zip(token_times, token_times[1:], strict=False)
    ]
    return token_times[0] - began, gaps


def run_streams(label, addresses, count, tokens, pid):
    started = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        futures = [
            pool.submit(stream, addresses[i % len(addresses)], tokens, started)
            for i in range(count)
        ]
        cpu_seconds = processor_seconds(pid)
        memory_kb = resident_kb(pid)
        began = time.perf_counter()
        started.set()
        time.sleep(tokens * TOKEN_GAP_MS / 2000)
        open_memory_kb = resident_kb(pid)
        results = [future.result() for future in futures]
        duration = time.perf_counter() - began
    cpu_seconds = processor_seconds(pid) - cpu_seconds
    first = [result[0] for result in results]
    gaps = [gap for result in results for gap in result[1]]
    print(
        f"{label}: {count} streams, {len(gaps) / duration:.0f} tokens/s; first token "
        f"50/95 in 100: {quantile(first, 50) * 1e3:.2f}/{quantile(first, 95) * 1e3:.2f}"
        f" ms; gaps 50/95/99 in 100: {quantile(gaps, 50) * 1e3:.2f}/"
        f"{quantile(gaps, 95) * 1e3:.2f}/{quantile(gaps, 99) * 1e3:.2f} ms"
    )
    print(
        f"  process: {cpu_seconds / duration:.2f} of a core, "
        f"{cpu_seconds / len(gaps) * 1e6:.0f} us a token, "
        f"{(open_memory_kb - memory_kb) / count:.0f} kB more resident a stream"
    )
    return first, gaps


def run_requests(label, address, count, pid):
    """Measure single-token requests, sent one after another."""
    durations = []
    with contextlib.closing(connect(address)) as connection:
        cpu_seconds = processor_seconds(pid)
        for _ in range(count):
            began = time.perf_counter()
            connection.request("POST", "/v1/chat/completions", body(1, False), HEADERS)
            response = connection.getresponse()
            response.read()
            durations.append(time.perf_counter() - began)
            if response.status != http.client.OK:
                raise AssertionError(response.status)
        cpu_seconds = processor_seconds(pid) - cpu_seconds
    print(
        f"{label}: {count} requests, 50/95 in 100: {quantile(durations, 50) * 1e3:.2f}/"
        f"{quantile(durations, 95) * 1e3:.2f} ms, "
        f"{cpu_seconds / count * 1e3:.2f} ms of processor"
    )
    return durations


def start(fleet, folder):
    store = fleet.start("store", "standin", "store")
    engines, lines = [], []
    for index in range(ENGINE_COUNT):
        name = f"engine-{index}"
        address = fleet.start(
            name,
            *("standin", "engine", "--name", name),
            *("--first-token-ms", FIRST_TOKEN_MS, "--token-gap-ms", TOKEN_GAP_MS),
        )
        engines.append(address)
        lines += ["--upstream", f"{name},{address},assistant,v1,lothian"]
    hosts = fleet.start("hosts", "standin", "hosts", *lines)
    path = pathlib.Path(folder, "document.yaml")
    path.write_text(embedded.EXAMPLE_DOCUMENT, encoding="utf-8")
    fleet.run("config", "create", "--store", store, path)
    entry = fleet.start(
        "entry",
        *("serve", "--host-id", "entry-0", "--data-centre", "lothian"),
        *("--listen", "127.0.0.1:0", "--store", store, "--host-list", hosts),
        *("--unready-time", "1ms"),
    )
    return engines, entry


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--streams", type=int, default=137)
    parser.add_argument("--tokens", type=int, default=220)
    parser.add_argument("--requests", type=int, default=300)
    options = parser.parse_args()
    print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    fleet = processes.ProcessFleet()
    try:
        with tempfile.TemporaryDirectory() as folder:
            engines, entry = start(fleet, folder)
        pids = {name: p.pid for name, p in fleet.process_by_name.items()}
        run_requests("direct", engines[0], 20, pids["engine-0"])
        run_requests("through", entry, 20, pids["entry"])
        direct_times = run_requests(
            "direct", engines[0], options.requests, pids["engine-0"]
        )
        entry_times = run_requests("through", entry, options.requests, pids["entry"])
        for percent in (50, 95):
            added = quantile(entry_times, percent) - quantile(direct_times, percent)
            print(f"  added to a request at {percent} in 100: {added * 1e3:.2f} ms")
        load = (options.streams, options.tokens)
        first, gaps = run_streams("direct", engines, *load, pids["engine-0"])
        entry_first, entry_gaps = run_streams("through", [entry], *load, pids["entry"])
        added = quantile(entry_first, 95) - quantile(first, 95)
        print(f"  added to the first token at 95 in 100: {added * 1e3:.2f} ms")
        for percent in (95, 99):
            added = quantile(entry_gaps, percent) - quantile(gaps, percent)
            print(f"  added to a gap at {percent} in 100: {added * 1e3:.2f} ms")
        print(f"load average {os.getloadavg()[0]:.1f}")
    finally:
        fleet.stop_all()


if __name__ == "__main__":
    main()
