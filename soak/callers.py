"""Callers that reuse connections, retry where allowed and record each attempt."""

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
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_KEEP_ALIVE_PROBABILITY = 0.7
_DISCONNECT_PROBABILITY = 0.04
_PAUSE_SECONDS = 0.05
_BURST_PAUSE_SECONDS = 0.002
_MAX_RETRY_DELAY_SECONDS = 0.8
_RETRY_COUNT = 1


@dataclasses.dataclass(frozen=True)
class Route:
    """How callers use a route.

    Attributes
    ----------
    prefix : str
    repeatable : bool
        Whether a request may run more than once.
    streamed : bool
        Whether the response is an event stream.
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
    """One attempt and its result.

    Attributes
    ----------
    request_id, route, path, host : str
    began, ended : float
        Monotonic seconds.
    status : int
        0 if no response arrived.
    fields : dict of str to str
        Response headers by lower-case name.
    body : bytes
    complete : bool
        Whether the response arrived in full.
    disconnects : bool
        Whether the caller may disconnect before the response ends.
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
    disconnects: bool = False


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
        Whether callers send requests with almost no pause between them.
    """

    def __init__(self, pick_host, count, seed):
        self._pick_host = pick_host
        self._stop = threading.Event()
        self._request_numbers = itertools.count()
        self._id_prefix = f"s{seed}"
        self.attempts = []
        self.burst = False
        self._threads = [
            threading.Thread(
                target=self._run, args=(random.Random(seed * 1000 + n),), daemon=True
            )
            for n in range(count)
        ]

    def start(self):
        """Start sending requests."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop once the requests in progress have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join(DEADLINE_SECONDS + 5)

    def _run(self, random_source):
        connection = None
        while not self._stop.is_set():
            route = random_source.choice(list(ROUTE_BY_NAME))
            for _ in range(1 + _RETRY_COUNT):
                connection = connection or self._connect()
                if connection is None:
                    break
                attempt = self.send(route, *connection, random_source)
                self.attempts.append(attempt)
                connection = self._reuse_or_close(connection, attempt, random_source)
                if not self._may_retry(attempt):
                    break
            pause = _BURST_PAUSE_SECONDS if self.burst else _PAUSE_SECONDS
            self._stop.wait(pause * random_source.uniform(0.5, 1.5))
        if connection is not None:
            connection[1].close()

    def _connect(self):
        chosen = self._pick_host()
        if chosen is None:
            self._stop.wait(_PAUSE_SECONDS)
            return None
        name, address = chosen
        host, _, port = address.rpartition(":")
        try:
            return name, socket.create_connection((host, int(port)), 1.0)
        except OSError:
            self._stop.wait(_PAUSE_SECONDS)
            return None

    def _reuse_or_close(self, connection, attempt, random_source):
        """Return the connection if it is reused, else close it."""
        closes = attempt.fields.get("connection", "").lower() == "close"
        if (
            attempt.complete
            and not closes
            and random_source.random() < _KEEP_ALIVE_PROBABILITY
        ):
            return connection
        connection[1].close()
        return None

    def _may_retry(self, attempt):
        if self._stop.is_set() or attempt.disconnects:
            return False
        if attempt.status in _NOT_RUN_STATUSES:
            wait = float(attempt.fields.get("retry-after", 0.0))
            self._stop.wait(min(wait, _MAX_RETRY_DELAY_SECONDS))
            return True
        failed = not attempt.complete or attempt.status >= 500
        return ROUTE_BY_NAME[attempt.route].repeatable and failed

    def send(self, name, host, sock, random_source, key=API_KEY):
        """Send one request on a connection; returns the `Attempt`."""
        route = ROUTE_BY_NAME[name]
        request_id = f"{self._id_prefix}-{next(self._request_numbers)}"
        path = f"{route.prefix}{request_id}"
        began = time.monotonic()
        will_disconnect = random_source.random() < _DISCONNECT_PROBABILITY
        found = Attempt(
            request_id=request_id,
            route=name,
            path=path,
            host=host,
            began=began,
            ended=began,
            disconnects=will_disconnect,
        )
        timeout_seconds = 0.02 if will_disconnect else DEADLINE_SECONDS + 1.0
        try:
            sock.settimeout(timeout_seconds)
            sock.sendall(_encode(route, path, request_id, key))
            found = dataclasses.replace(found, **_read(sock, began + timeout_seconds))
        except (OSError, http.client.HTTPException):
            # Without a readable response, the outcome of the request is unknown.
            found = dataclasses.replace(found, complete=False)
        return dataclasses.replace(found, ended=time.monotonic())

    def probe(self, address, prefix, key):
        """Send one request to a host; returns the status, 0 without a response."""
        host, _, port = address.rpartition(":")
        path = f"{prefix}{self._id_prefix}-{next(self._request_numbers)}"
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
