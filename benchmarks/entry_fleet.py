"""Process fleet, load balancer and streaming client for request path benchmarks."""

import dataclasses
import http.client
import json
import pathlib
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "features"))

import processes  # noqa: E402

from peridothitch.gateway import embedded  # noqa: E402

BULLETIN_ROUTE = """\
  bulletin:
    method: POST
    path: /v1/bulletins
    service: assistant
    effect: durable
"""
DATA_CENTRES = ("lothian", "fife", "ayrshire")
POLL_SECONDS = 0.2
HANDED_OVER_CODE = 3008


def document():
    """Return the example document with a durable route."""
    return embedded.EXAMPLE_DOCUMENT.replace(
        "customers:\n", BULLETIN_ROUTE + "customers:\n", 1
    )


class EntryFleet:
    """A store, a host list, upstreams and entry hosts as processes."""

    def __init__(self, entry_count, engine_count=3, options=(), token_gap_ms=10):
        self.fleet = processes.ProcessFleet()
        self.options = options
        self.engines = {}
        self.services = {}
        self.store = self.fleet.start("store", "standin", "store")
        lines = []
        for index in range(engine_count):
            name = f"engine-{index}"
            address = self.fleet.start(
                *(name, "standin", "engine", "--name", name),
                *("--token-gap-ms", token_gap_ms),
            )
            self.engines[name] = address
            data_centre = DATA_CENTRES[index % 3]
            lines += ["--upstream", f"{name},{address},assistant,v1,{data_centre}"]
        for index in range(2):
            name = f"service-{index}"
            address = self.fleet.start(name, "standin", "service", "--name", name)
            self.services[name] = address
            lines += ["--upstream", f"{name},{address},ticketing,v1,fife"]
        self.hosts = self.fleet.start("hosts", "standin", "hosts", *lines)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "document.yaml"
            path.write_text(document(), encoding="utf-8")
            done = self.fleet.run("config", "create", "--store", self.store, path)
            assert done.returncode == 0, done.stderr
        self.address_by_id = {}
        for index in range(entry_count):
            self.start_entry(index)

    def start_entry(self, index):
        """Start one entry host."""
        name = f"entry-{index}"
        self.address_by_id[name] = self.fleet.start(
            *(name, "serve", "--host-id", name),
            *("--data-centre", DATA_CENTRES[index % 3]),
            *("--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"),
            *("--store", self.store, "--host-list", self.hosts),
            *self.options,
        )

    def stop_entry(self, index):
        """Stop one entry host with SIGTERM; returns its exit code."""
        return self.fleet.stop(f"entry-{index}")

    def counts(self, address):
        """Return the request counts of an upstream."""
        return processes.send_request(address, "GET", "/standin/counts").json()

    def close(self):
        """Stop all processes."""
        return self.fleet.stop_all()


class Balancer:
    """Client-side stand-in for the platform's load balancer; follows /readyz."""

    def __init__(self, address_by_id):
        self._address_by_id = address_by_id
        self._ready = []
        self._next_index = 0
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.poll()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while not self._stop.wait(POLL_SECONDS):
            self.poll()

    def poll(self):
        """Query /readyz of every host once."""
        ready = []
        for address in list(self._address_by_id.values()):
            try:
                if (
                    processes.send_request(address, "GET", "/readyz", key=None).status
                    == 200
                ):
                    ready.append(address)
            except OSError:
                continue
        with self._lock:
            self._ready = ready

    def choose(self):
        """Return the next ready host's address, or None."""
        with self._lock:
            self._next_index += 1
            return (
                self._ready[self._next_index % len(self._ready)]
                if self._ready
                else None
            )

    def close(self):
        """Stop polling."""
        self._stop.set()


@dataclasses.dataclass
class StreamResult:
    """Events and timings that a caller received for one stream."""

    status: int = 0
    request_id: str = ""
    events: list = dataclasses.field(default_factory=list)
    first_token_seconds: float = 0.0
    gap_seconds: list = dataclasses.field(default_factory=list)
    resumed: int = 0
    problem: str = ""

    @property
    def is_complete(self):
        """Whether all events arrived once and in order, up to the end marker."""
        ids = [int(event.split(b"\n")[0][4:]) for event in self.events]
        has_end_marker = bool(self.events) and b"[DONE]" in self.events[-1]
        return has_end_marker and ids == list(range(len(ids)))


def stream(balancer, path, key, token_count, max_attempts=8):
    """Request a stream; resume it by request id if it is cut or handed over."""
    body = {
        "stream": True,
        "max_tokens": token_count,
        "messages": [{"role": "user", "content": key}],
    }
    result = StreamResult()
    start = time.monotonic()
    for _ in range(max_attempts):
        try:
            _read_once(balancer, path, key, body, result, start)
        except (OSError, http.client.HTTPException) as error:
            result.problem = repr(error)
        if result.is_complete:
            return result
        if path != "/v1/bulletins":
            return result
        result.resumed += 1
        time.sleep(0.3)
    return result


def _read_once(balancer, path, key, body, result, start):
    host, _, port = balancer.choose().rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    headers = {
        "authorization": f"Bearer {embedded.EXAMPLE_KEY}",
        "content-type": "application/json",
        "idempotency-key": key,
    }
    try:
        if result.request_id:
            headers["last-event-id"] = str(len(result.events) - 1)
            if not result.events:
                del headers["last-event-id"]
            connection.request(
                "GET", f"/v1/requests/{result.request_id}", headers=headers
            )
        else:
            connection.request("POST", path, json.dumps(body).encode(), headers)
        response = connection.getresponse()
        result.status = response.status
        result.request_id = response.getheader("x-request-id") or result.request_id
        if response.status != 200:
            result.problem = response.read().decode()
            return
        _read_events(response, result, start)
    finally:
        connection.close()


def _read_events(response, result, start):
    lines = []
    last = time.monotonic()
    while line := response.readline():
        if line != b"\n":
            lines.append(line)
            continue
        event, lines = b"".join(lines), []
        now = time.monotonic()
        if event.startswith(b"event: error"):
            result.problem = event.decode()
            return
        if not result.events:
            result.first_token_seconds = now - start
        else:
            result.gap_seconds.append(now - last)
        last = now
        result.events.append(event)
