"""Processes and callers for measurements of the request path."""

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
        self.fleet = processes.Fleet()
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
            place = DATA_CENTRES[index % 3]
            lines += ["--upstream", f"{name},{address},assistant,v1,{place}"]
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
        """End one entry host with SIGTERM; returns its exit code."""
        return self.fleet.stop(f"entry-{index}")

    def counts(self, address):
        """Return what an upstream ran."""
        return processes.ask(address, "GET", "/standin/counts").json()

    def close(self):
        """End all processes."""
        return self.fleet.stop_all()


class Balancer:
    """Client-side stand-in for the platform's balancer; it obeys /readyz."""

    def __init__(self, address_by_id):
        self._address_by_id = address_by_id
        self._ready = []
        self._turn = 0
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.poll()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while not self._stop.wait(POLL_SECONDS):
            self.poll()

    def poll(self):
        """Ask every host once whether it is ready."""
        ready = []
        for address in list(self._address_by_id.values()):
            try:
                if processes.ask(address, "GET", "/readyz", key=None).status == 200:
                    ready.append(address)
            except OSError:
                continue
        with self._lock:
            self._ready = ready

    def choose(self):
        """Return the next ready host's address, or None."""
        with self._lock:
            self._turn += 1
            return self._ready[self._turn % len(self._ready)] if self._ready else None

    def close(self):
        """Stop polling."""
        self._stop.set()


@dataclasses.dataclass
class StreamResult:
    """What a caller got of one stream."""

    status: int = 0
    request_id: str = ""
    events: list = dataclasses.field(default_factory=list)
    first_token_seconds: float = 0.0
    gap_seconds: list = dataclasses.field(default_factory=list)
    resumed: int = 0
    problem: str = ""

    @property
    def is_complete(self):
        """Whether all events came, each once and in order, to the end mark."""
        ids = [int(event.split(b"\n")[0][4:]) for event in self.events]
        ended = bool(self.events) and b"[DONE]" in self.events[-1]
        return ended and ids == list(range(len(ids)))


def stream(balancer, path, key, token_count, tries=8):
    """Ask for a stream; go on by request id when it is cut or handed over."""
    body = {
        "stream": True,
        "max_tokens": token_count,
        "messages": [{"role": "user", "content": key}],
    }
    answer = StreamResult()
    start = time.monotonic()
    for _ in range(tries):
        try:
            _read_part(balancer, path, key, body, answer, start)
        except (OSError, http.client.HTTPException) as error:
            answer.problem = repr(error)
        if answer.is_complete:
            return answer
        if path != "/v1/bulletins":
            return answer
        answer.resumed += 1
        time.sleep(0.3)
    return answer


def _read_part(balancer, path, key, body, answer, start):
    host, _, port = balancer.choose().rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    headers = {
        "authorization": f"Bearer {embedded.EXAMPLE_KEY}",
        "content-type": "application/json",
        "idempotency-key": key,
    }
    try:
        if answer.request_id:
            headers["last-event-id"] = str(len(answer.events) - 1)
            if not answer.events:
                del headers["last-event-id"]
            connection.request(
                "GET", f"/v1/requests/{answer.request_id}", headers=headers
            )
        else:
            connection.request("POST", path, json.dumps(body).encode(), headers)
        response = connection.getresponse()
        answer.status = response.status
        answer.request_id = response.getheader("x-request-id") or answer.request_id
        if response.status != 200:
            answer.problem = response.read().decode()
            return
        _read_events(response, answer, start)
    finally:
        connection.close()


def _read_events(response, answer, start):
    lines = []
    last = time.monotonic()
    while line := response.readline():
        if line != b"\n":
            lines.append(line)
            continue
        event, lines = b"".join(lines), []
        now = time.monotonic()
        if event.startswith(b"event: error"):
            answer.problem = event.decode()
            return
        if not answer.events:
            answer.first_token_seconds = now - start
        else:
            answer.gap_seconds.append(now - last)
        last = now
        answer.events.append(event)
