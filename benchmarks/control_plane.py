"""Measures the control plane: cost for each entry host and propagation of changes.

Starts ``peridothitch serve`` processes with a store and a host list in this process and
prints markdown tables. Run it with
``PYTHONPATH=src python benchmarks/control_plane.py --sizes 3,7,20,60``.
"""

import argparse
import dataclasses
import http.client
import os
import pathlib
import random
import signal
import statistics
import subprocess
import sys
import time

import numpy
import psutil

from peridothitch.adapters import (
    memory_store,
    system_clock,
    wsgi_server,
    yaml_codec,
)
from peridothitch.coordination import documents
from peridothitch.gateway import embedded
from peridothitch.standins import faulty_store, hosts, store

ROOT = pathlib.Path(__file__).resolve().parent.parent
ANY_PORT = "127.0.0.1:0"
DATA_CENTRE_COUNT = 4
SEED = 20261204
TARGET_HOST_COUNT = 380
# TCP/IP over Ethernet: 66 bytes each for a request, a response and an acknowledgement.
HEADER_BYTES_PER_CALL = 198
# Each open watch occupies a thread.
STORE_THREAD_COUNT = 64
# Gossip about joined hosts continues for some time.
SETTLE_SECONDS = 15
SETTLE_SECONDS_PER_HOST = 1.5
EDIT_COUNT = 5
EDIT_GAP_SECONDS = 2.0
PROPAGATION_TIMEOUT_SECONDS = 20
METRICS = (
    "peer_payload_bytes_total",
    "peer_calls_sent_total",
    "peer_calls_answered_total",
    "document_revision",
    "document_taken_timestamp_seconds",
    "members",
)


@dataclasses.dataclass
class Row:
    """Measurements of one fleet size, per host unless the name says otherwise."""

    size: int
    payload_bytes: float
    wire_bytes: float
    calls: float
    cpu_percent: float
    memory_mb: float
    store_calls: float
    calm_seconds: list
    killed_seconds: list


class CountingStore:
    """Counts the control plane's store calls, without those for spending and moves."""

    def __init__(self, inner):
        self._inner = inner
        self.calls = 0

    def __getattr__(self, name):
        value = getattr(self._inner, name)
        if not callable(value):
            return value

        def call(*arguments):
            text = repr(arguments)
            if "/document/" in text or "/members/" in text or "lease" in name:
                self.calls += 1
            return value(*arguments)

        return call


class Bench:
    """A store and a host list in this process, and entry host processes."""

    def __init__(self):
        clock = system_clock.SystemClock()
        memory = memory_store.MemoryStore(clock)
        self.memory = CountingStore(faulty_store.FaultyStore(memory, clock))
        self.servers = [
            wsgi_server.WsgiServer(
                store.StoreService(self.memory), ANY_PORT, threads=STORE_THREAD_COUNT
            ),
            wsgi_server.WsgiServer(
                hosts.HostListService(hosts.StaticHostList()), ANY_PORT
            ),
        ]
        for server in self.servers:
            server.start()
        self.document_store = documents.DocumentStore(
            self.memory, yaml_codec.YamlCodec()
        )
        self.document_store.create(embedded.EXAMPLE_DOCUMENT)
        self.process_by_port = {}

    def start(self, index, with_peers=True):
        """Start one entry host and wait until it listens."""
        command = [sys.executable, "-m", "peridothitch", "serve"]
        command += ["--host-id", f"entry-{index}", "--listen", ANY_PORT]
        command += [
            "--data-centre",
            f"dc-{index % DATA_CENTRE_COUNT}",
            "--threads",
            "4",
        ]
        command += ["--store", f"127.0.0.1:{self.servers[0].port}"]
        command += ["--host-list", f"127.0.0.1:{self.servers[1].port}"]
        if with_peers:
            command += ["--peer-listen", ANY_PORT]
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
        )
        for line in process.stdout:
            if "listening on port " in line:
                tail = line.split("listening on port ")[1]
                port = int(tail.split(";")[0].split()[0])
                self.process_by_port[port] = process
                return port
        raise RuntimeError(f"entry host entry-{index} ended before it listened")

    def read(self, port):
        """Return the sums of `METRICS` of one host by name."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        connection.request("GET", "/metrics")
        lines = connection.getresponse().read().decode().splitlines()
        connection.close()
        total_by_name = dict.fromkeys(METRICS, 0.0)
        for line in lines:
            name = line.partition("{")[0].partition(" ")[0]
            name = name.removeprefix("peridothitch_")
            if name in total_by_name:
                total_by_name[name] += float(line.rpartition(" ")[2])
        return total_by_name

    def wait_until_joined(self):
        """Wait until every host lists all hosts as members."""
        size = len(self.process_by_port)
        end = time.monotonic() + 120
        while time.monotonic() < end:
            if all(self.read(port)["members"] == size for port in self.process_by_port):
                return
            time.sleep(0.5)
        raise RuntimeError(f"not all of the {size} hosts joined within 120 seconds")

    def store_calls(self):
        """Return the number of control plane calls that the store has received."""
        return self.memory.calls

    def cpu_seconds(self):
        """Return the processor time of all hosts, in seconds."""
        total = 0.0
        for process in self.process_by_port.values():
            times = psutil.Process(process.pid).cpu_times()
            total += times.user + times.system
        return total

    def memory_mb(self):
        """Return the mean unique set size of the hosts, in MB."""
        return statistics.mean(
            psutil.Process(process.pid).memory_full_info().uss / 1e6
            for process in self.process_by_port.values()
        )

    def edit(self):
        """Change the document; returns the seconds until the last host applied it."""
        route = f"r{time.monotonic_ns()}"
        text = f"{route}: {{method: GET, path: /{route}, service: ticketing}}\n"
        started = time.time()
        revision = self.document_store.edit("routes", text, "")
        end = started + PROPAGATION_TIMEOUT_SECONDS
        time.sleep(EDIT_GAP_SECONDS)
        while time.time() < end:
            readings = [self.read(port) for port in self.process_by_port]
            if all(reading["document_revision"] == revision for reading in readings):
                taken = [one["document_taken_timestamp_seconds"] for one in readings]
                return max(taken) - started
            time.sleep(0.5)
        return float("inf")

    def kill(self, count, random_source):
        """Kill some hosts at once."""
        for port in random_source.sample(sorted(self.process_by_port), count):
            process = self.process_by_port.pop(port)
            os.kill(process.pid, signal.SIGKILL)
            process.wait()
            process.stdout.close()

    def close(self):
        """Stop all processes and servers."""
        for process in self.process_by_port.values():
            process.terminate()
        for process in self.process_by_port.values():
            process.wait()
            process.stdout.close()
        for server in self.servers:
            server.close()


def measure_baseline(window):
    """Return the processor percentage and the memory in MB of a host without peers."""
    bench = Bench()
    try:
        bench.start(0, with_peers=False)
        time.sleep(5)
        before = bench.cpu_seconds()
        time.sleep(window)
        return 100 * (bench.cpu_seconds() - before) / window, bench.memory_mb()
    finally:
        bench.close()


def measure(size, window, baseline):
    """Measure one fleet size; returns its `Row`."""
    random_source = random.Random(SEED)
    bench = Bench()
    try:
        for index in range(size):
            bench.start(index)
        bench.wait_until_joined()
        time.sleep(SETTLE_SECONDS + SETTLE_SECONDS_PER_HOST * size)
        before = [bench.read(port) for port in bench.process_by_port]
        store_before, cpu_before = bench.store_calls(), bench.cpu_seconds()
        time.sleep(window)
        store_calls = (bench.store_calls() - store_before) / window
        cpu = 100 * (bench.cpu_seconds() - cpu_before) / window / size
        after = [bench.read(port) for port in bench.process_by_port]

        def rate(name):
            total = sum(one[name] for one in after) - sum(one[name] for one in before)
            return total / window / size

        calls = rate("peer_calls_sent_total") + rate("peer_calls_answered_total")
        payload = rate("peer_payload_bytes_total")
        memory_mb = bench.memory_mb()
        calm = [bench.edit() for _ in range(EDIT_COUNT)]
        killed = []
        for _ in range(2 if size > 5 else 1):
            bench.kill(max(1, size // 5) if size > 5 else 1, random_source)
            killed.append(bench.edit())
        return Row(
            size=size,
            payload_bytes=payload,
            wire_bytes=payload + calls * HEADER_BYTES_PER_CALL,
            calls=calls,
            cpu_percent=cpu - baseline[0],
            memory_mb=memory_mb - baseline[1],
            store_calls=store_calls,
            calm_seconds=calm,
            killed_seconds=killed,
        )
    finally:
        bench.close()


def measure_losses(signal_number, size=7, count=5):
    """Return the seconds until all others detected that a host was killed or frozen."""
    random_source = random.Random(SEED)
    bench = Bench()
    seconds = []
    try:
        for index in range(size):
            bench.start(index)
        for attempt in range(count):
            bench.wait_until_joined()
            time.sleep(random_source.uniform(1, 3))
            port = random_source.choice(sorted(bench.process_by_port))
            process = bench.process_by_port.pop(port)
            os.kill(process.pid, signal_number)
            started = time.monotonic()
            while any(bench.read(p)["members"] == size for p in bench.process_by_port):
                time.sleep(0.02)
            seconds.append(time.monotonic() - started)
            process.kill()
            process.wait()
            process.stdout.close()
            bench.start(size + attempt)
    finally:
        bench.close()
    return seconds


def print_losses():
    for name, number in (("killed", signal.SIGKILL), ("frozen", signal.SIGSTOP)):
        seconds = measure_losses(number)
        times = ", ".join(f"{value:.2f}" for value in seconds)
        print(f"7 hosts, one {name}: noticed by all others after {times} s")


def print_rows(rows, baseline):
    print(
        f"One host without peers: {baseline[0]:.2f} % of a core, {baseline[1]:.1f} MB;"
        " the control columns are what peers add to it.\n"
    )
    print(
        "| hosts | payload B/s | B/s with headers | calls/s | core % | MB "
        "| store calls/s, fleet | change calm, s: median, most "
        "| change with 1/5 killed, s |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for row in rows:
        killed = ", ".join(f"{value:.2f}" for value in row.killed_seconds)
        print(
            f"| {row.size} | {row.payload_bytes:.0f} | {row.wire_bytes:.0f} "
            f"| {row.calls:.1f} | {row.cpu_percent:.2f} | {row.memory_mb:.1f} "
            f"| {row.store_calls:.2f} "
            f"| {statistics.median(row.calm_seconds):.2f}, "
            f"{max(row.calm_seconds):.2f} | {killed} |"
        )


def print_slopes(rows):
    print(f"\n| figure | slope per host | at {TARGET_HOST_COUNT}, extrapolated |")
    print("|---|---|---|")
    sizes = numpy.array([row.size for row in rows], dtype=float)
    for name in ("wire_bytes", "calls", "cpu_percent", "memory_mb", "store_calls"):
        values = numpy.array([getattr(row, name) for row in rows])
        (slope, intercept), covariance = numpy.polyfit(sizes, values, 1, cov="unscaled")
        residual = values - (slope * sizes + intercept)
        variance = residual @ residual / max(1, len(sizes) - 2)
        slope_error = float(numpy.sqrt(covariance[0, 0] * variance))
        extrapolated = slope * TARGET_HOST_COUNT + intercept
        print(f"| {name} | {slope:.4f} +- {slope_error:.4f} | {extrapolated:.1f} |")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="3,7,20,60")
    parser.add_argument("--window", type=float, default=20.0, help="in seconds")
    parser.add_argument("--losses", action="store_true", help="only kill and freeze")
    arguments = parser.parse_args()
    if arguments.losses:
        print_losses()
        return
    print(f"seed {SEED}, window {arguments.window:g} s, {os.cpu_count()} cores\n")
    baseline = measure_baseline(arguments.window)
    rows = []
    for size in map(int, arguments.sizes.split(",")):
        rows.append(measure(size, arguments.window, baseline))
        print(f"measured {size}: {rows[-1]}", file=sys.stderr, flush=True)
    print_rows(rows, baseline)
    if len(rows) > 2:
        print_slopes(rows)


if __name__ == "__main__":
    main()
