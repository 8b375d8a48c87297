"""Plays case 4: one of two machines is removed while many streams run."""

import asyncio
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

STREAM_CLIENTS = 300
"""150 a machine; each machine has 192 threads for requests."""

EVENT_COUNT = 48
EVENT_GAP_SECONDS = 0.25
STREAM_DEADLINE_MS = 15000
STREAM_TARGET_MS = 1000
STREAM_FIELDS = (
    "Peridothitch-Model: m",
    "Peridothitch-Token-Usage: 640,144",
    "Peridothitch-Prompt-Prefix: a1:100,b2:540",
)
LOOKUPS_PER_SECOND = 10
LOOKUP_TIMEOUT_MS = 1000
LOOKUP_DEADLINE_MS = 4000
GRACE_SECONDS = 0.5
CONTACT_SECONDS = 4.0
MIN_UNANSWERED = 8
RAMP_SECONDS = 12.0
AFTER_SECONDS = 40.0


class Balancer:
    """Chooses the machine of a new connection, as the platform does."""

    def __init__(self, hosts):
        self._hosts = hosts
        self._misses = dict.fromkeys(hosts, 0)
        self.polls = []
        self.has_stopped = threading.Event()

    def run(self):
        """Ask each machine once a second whether it is ready."""
        while not self.has_stopped.wait(1.0):
            for host in self._hosts:
                ready = host.is_ready()
                self._misses[host] = 0 if ready else self._misses[host] + 1
                self.polls.append((time.monotonic(), host.name, ready))

    def choose(self, number):
        """Return the machine for a client's new connection."""
        chosen = [host for host in self._hosts if self._misses[host] < 2]
        chosen = chosen or self._hosts
        return chosen[number % len(chosen)]


async def open_request(host, data, seconds):
    """Send a request on a new connection; returns the streams and the status."""
    reader, writer = await asyncio.open_connection(*host.address)
    try:
        async with asyncio.timeout(seconds):
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            return reader, writer, int(head.split(b" ")[1])
    except BaseException:
        writer.close()
        raise


async def run_stream_client(record, number, balancer, delay):
    """Ask for one stream after the other."""
    await asyncio.sleep(delay)
    while True:
        host = balancer.choose(number)
        request_id = harness.new_id()
        data = harness.request_bytes(
            "/stream/1", request_id, STREAM_DEADLINE_MS, fields=STREAM_FIELDS
        )
        began = time.monotonic()
        try:
            reader, writer, status = await open_request(
                host, data, STREAM_DEADLINE_MS / 1000
            )
            content = b""
            if status == 200:
                async with asyncio.timeout(STREAM_DEADLINE_MS / 1000):
                    content = await reader.readuntil(b"\r\n0\r\n\r\n")
            writer.close()
            outcome = f"{status} with {content.count(b'id: ')} events"
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            outcome = type(error).__name__
        seconds = time.monotonic() - began
        record(f"stream {request_id} at {host.name}: {outcome} in {seconds:.1f} s")
        await asyncio.sleep(0.5)


async def look_up(record, balancer, number, results):
    """Send one lookup; note when it was answered."""
    host = balancer.choose(number)
    request_id = harness.new_id()
    data = harness.request_bytes("/lookup/1", request_id, LOOKUP_DEADLINE_MS)
    began = time.monotonic()
    try:
        _, writer, status = await open_request(host, data, LOOKUP_DEADLINE_MS / 1000)
        writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    seconds = time.monotonic() - began
    results.append((began, host, status, seconds))
    record(f"lookup {request_id} at {host.name}: {status} after {seconds:.2f} s")


async def drive(record, deployment, balancer, results, has_trouble):
    """Run the clients; remove the second machine once all streams run."""
    tasks = [
        asyncio.create_task(
            run_stream_client(
                record, number, balancer, RAMP_SECONDS * number / STREAM_CLIENTS
            )
        )
        for number in range(STREAM_CLIENTS)
    ]
    began = time.monotonic()
    changed_at = None
    number = 0
    while time.monotonic() - began < RAMP_SECONDS + 8 + AFTER_SECONDS:
        number += 1
        tasks.append(asyncio.create_task(look_up(record, balancer, number, results)))
        await asyncio.sleep(1 / LOOKUPS_PER_SECOND)
        if changed_at is None and time.monotonic() - began > RAMP_SECONDS + 8:
            changed_at = time.monotonic()
            if has_trouble:
                deployment.hosts[1].signal(signal.SIGTERM)
                record(f"SIGTERM for {deployment.hosts[1].name}, which is removed")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return changed_at


def play(record, has_trouble):
    """Return whether lookups are answered by their route's timeout."""
    deployment = harness.Deployment(record, ["lothian-a"] * 2)
    balancer = Balancer(deployment.hosts)
    results = []
    try:
        routes = [
            harness.route(
                "lookup",
                "/lookup/",
                "desk",
                timeout_ms=LOOKUP_TIMEOUT_MS,
                target_latency_ms=200,
                priority=2,
            ),
            harness.route(
                "planner",
                "/stream/",
                "model",
                "streaming",
                timeout_ms=15000,
                target_latency_ms=STREAM_TARGET_MS,
                priority=0,
                session_affinity=True,
                target_gap_ms=300,
            ),
        ]
        deployment.configure(1, routes)
        for number in range(3):
            deployment.add_replica(harness.Replica(f"i-{number}", "desk", record))
        for number in range(8):
            replica = harness.Replica(
                f"m-{number}",
                "model",
                record,
                event_count=EVENT_COUNT,
                event_gap_seconds=EVENT_GAP_SECONDS,
            )
            deployment.add_replica(replica)
        deployment.start()
        threading.Thread(target=balancer.run, daemon=True).start()
        changed_at = asyncio.run(
            drive(record, deployment, balancer, results, has_trouble)
        )
    finally:
        balancer.has_stopped.set()
        deployment.close()
    return judge(record, deployment, balancer, results, changed_at)


def judge(record, deployment, balancer, results, changed_at):
    """Return whether the rule held at the machine that stays."""
    before = [r for r in results if r[0] < changed_at]
    if sum(status == 200 for _, _, status, _ in before) < 0.9 * len(before):
        raise harness.CannotRunError("lookups failed before the disruption")
    host = deployment.hosts[0]
    after = [r for r in results if r[0] > changed_at + CONTACT_SECONDS and r[1] is host]
    unanswered = [r for r in after if r[3] >= LOOKUP_TIMEOUT_MS / 1000]
    silent = [r for r in unanswered if r[3] >= LOOKUP_TIMEOUT_MS / 1000 + GRACE_SECONDS]
    polls = [p[2] for p in balancer.polls if p[0] > changed_at and p[1] == host.name]
    record(
        f"{len(after)} lookups at {host.name}, {len(unanswered)} unanswered at the"
        f" timeout, {len(silent)} half a second later; ready at {sum(polls)} of"
        f" {len(polls)} polls"
    )
    return len(unanswered) < MIN_UNANSWERED or len(silent) <= len(unanswered) / 2


if __name__ == "__main__":
    harness.run(play, pathlib.Path(__file__).resolve().parent)
