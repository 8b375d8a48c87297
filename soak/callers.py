"""Callers that keep connections open, repeat as they may and note what they get."""

import contextlib
import dataclasses
import http.client
import itertools
import random
import socket
import threading
import time

from peridothitch.standins import platform_records

__all__ = [
    "Attempt",
    "Callers",
    "ROUTE_BY_NAME",
    "HOST_NAME",
    "API_KEY",
    "SPARE_API_KEY",
]

HOST_NAME = "soak.example"
API_KEY = "key-of-the-soak"
SPARE_API_KEY = "spare-key"
DEADLINE_SECONDS = 2.5
_PROMISES = (408, 421, 429, 503)
_KEEP_CHANCE = 0.7
_LEAVE_CHANCE = 0.04
_PAUSE_SECONDS = 0.05
_BURST_PAUSE_SECONDS = 0.002
_LONGEST_RETRY_SECONDS = 0.8
_RETRIES = 1


@dataclasses.dataclass(frozen=True)
class Route:
    """How callers use a route.

    Attributes
    ----------
    prefix : str
    repeats : bool
        Whether a request may run more than once.
    streamed : bool
    """

    prefix: str
    repeatable: bool
    streamed: bool = False


ROUTE_BY_NAME = {
    "charge": Route("/charge/", False),
    "lookup": Route("/lookup/", True),
    "helper": Route("/helper/", True, True),
    "planner": Route("/planner/", False, True),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt and what came of it.

    Attributes
    ----------
    request_id, route, path, host : str
    began, ended : float
        Monotonic seconds.
    status : int
        0 if no answer came.
    fields : dict of str to str
        Header lines by lower-case name.
    body : bytes
    complete : bool
        Whether the answer arrived whole.
    left : bool
        Whether the caller left before the end.
    """

    request_id: str
    route: str
    path: str
    host: str
    began: float
    ended: float
    status: int = 0
    fields: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    left: bool = False


class Callers:
    """Threads that send requests until they are stopped.

    Parameters
    ----------
    pick_host : callable
        Returns name and address of an entry host for a new connection.
    count : int
    seed : int

    Attributes
    ----------
    attempts : list of Attempt
    burst : bool
        Whether callers hardly pause between requests.
    """

    def __init__(self, pick_host, count, seed):
        self._pick_host = pick_host
        self._stop = threading.Event()
        self._serial = itertools.count()
        self._prefix = f"s{seed}"
        self.attempts = []
        self.burst = False
        self._threads = [
            threading.Thread(
                target=self._run, args=(random.Random(seed * 1000 + n),), daemon=True
            )
            for n in range(count)
        ]

    def start(self):
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """End after the requests in progress."""
        self._stop.set()
        for thread in self._threads:
            thread.join(DEADLINE_SECONDS + 5)

    def _run(self, source):
        kept = None
        while not self._stop.is_set():
            route = source.choice(list(ROUTE_BY_NAME))
            for _ in range(1 + _RETRIES):
                kept = kept or self._connect()
                if kept is None:
                    break
                attempt = self.send(route, *kept, source)
                self.attempts.append(attempt)
                kept = self._keep(kept, attempt, source)
                if not self._may_repeat(attempt):
                    break
            pause = _BURST_PAUSE_SECONDS if self.burst else _PAUSE_SECONDS
            self._stop.wait(pause * source.uniform(0.5, 1.5))
        if kept is not None:
            kept[1].close()

    def _connect(self):
        picked = self._pick_host()
        if picked is None:
            self._stop.wait(_PAUSE_SECONDS)
            return None
        name, address = picked
        host, _, port = address.rpartition(":")
        try:
            return name, socket.create_connection((host, int(port)), 1.0)
        except OSError:
            self._stop.wait(_PAUSE_SECONDS)
            return None

    def _keep(self, kept, attempt, source):
        """Return the connection if it is used again."""
        says_close = attempt.fields.get("connection", "").lower() == "close"
        if attempt.complete and not says_close and source.random() < _KEEP_CHANCE:
            return kept
        kept[1].close()
        return None

    def _may_repeat(self, attempt):
        if self._stop.is_set() or attempt.left:
            return False
        if attempt.status in _PROMISES:
            wait = float(attempt.fields.get("retry-after", 0.0))
            self._stop.wait(min(wait, _LONGEST_RETRY_SECONDS))
            return True
        failed = not attempt.complete or attempt.status >= 500
        return ROUTE_BY_NAME[attempt.route].repeatable and failed

    def send(self, name, host, sock, source, key=API_KEY):
        """Send one request on a connection; returns the `Attempt`."""
        route = ROUTE_BY_NAME[name]
        request_id = f"{self._prefix}-{next(self._serial)}"
        path = f"{route.prefix}{request_id}"
        began = time.monotonic()
        leaves = source.random() < _LEAVE_CHANCE
        found = Attempt(
            request_id=request_id,
            route=name,
            path=path,
            host=host,
            began=began,
            ended=began,
            left=leaves,
        )
        patience = 0.02 if leaves else DEADLINE_SECONDS + 1.0
        try:
            sock.settimeout(patience)
            sock.sendall(_encode(route, path, request_id, key))
            found = dataclasses.replace(found, **_read(sock, began + patience))
        except (OSError, http.client.HTTPException):
            # No answer, or none that can be read: what came of it is not known.
            found = dataclasses.replace(found, complete=False)
        return dataclasses.replace(found, ended=time.monotonic())

    def probe(self, address, prefix, key):
        """Ask one host for a path once; returns the status, 0 for none."""
        host, _, port = address.rpartition(":")
        path = f"{prefix}{self._prefix}-{next(self._serial)}"
        route = ROUTE_BY_NAME["lookup"]
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.settimeout(DEADLINE_SECONDS)
                request_id = f"probe-{path}"
                sock.sendall(_encode(route, path, request_id, key))
                until = time.monotonic() + DEADLINE_SECONDS
                return _read(sock, until)["status"]
        except (OSError, http.client.HTTPException):
            return 0


def _encode(route, path, request_id, key):
    headers = platform_records.request_headers(HOST_NAME, key, request_id)
    headers["Peridothitch-Deadline-Ms"] = str(int(DEADLINE_SECONDS * 1000))
    headers["Content-Length"] = "2"
    if route.streamed:
        headers |= platform_records.stream_headers()
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", "{}"]).encode("latin-1")


def _read(sock, until):
    response = http.client.HTTPResponse(sock, method="POST")
    response.begin()
    found = {
        "status": response.status,
        "fields": {name.lower(): value for name, value in response.getheaders()},
    }
    body = bytearray()
    try:
        while data := response.read1(1 << 16):
            body += data
            sock.settimeout(max(0.01, until - time.monotonic()))
        complete = response.length in (None, 0)
    except (OSError, http.client.HTTPException):
        complete = False
    with contextlib.suppress(OSError):
        response.close()
    return found | {"body": bytes(body), "complete": complete}
