"""Sends requests to upstreams unchanged over pooled connections."""

import datetime
import http.client
import re
import threading

from peridothitch import bounded_reader, errors, http_response, sockets
from peridothitch.policy import work_pace
from peridothitch.ports import raw

__all__ = ["HttpRawTransport"]

_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
"""Ten round trips between regions; another upstream is tried after this time."""

_DOWN_CHECK_TIMEOUT = datetime.timedelta(milliseconds=200)
_DEFAULT_IDLE_TIME = datetime.timedelta(seconds=10)
"""Assumed for upstreams that don't announce how long they keep idle connections."""

_IDLE_MARGIN = datetime.timedelta(milliseconds=700)
"""Margin before an idle connection's announced end; above any one-way delay."""

_READ_BYTES = 1 << 16
_MAX_RESPONSE_HEADS = 2
_EVENT_STREAM_TYPE = "text/event-stream"
_SECONDS = re.compile("[0-9]{1,9}")
_NO_TIME = datetime.timedelta(0)
_DEFAULT_LIMITS = raw.ResponseLimits()


class _Connection:
    """One connection to an upstream."""

    def __init__(self, sock, clock):
        self.sock = sock
        self.reader = bounded_reader.BoundedReader(sock, clock)
        self.usable_until = None

    def is_usable(self, now):
        return now < self.usable_until and not sockets.has_input(self.sock)

    def close(self):
        sockets.close(self.sock)


class _Pool:
    """Pool of idle connections, keyed by upstream."""

    def __init__(self):
        self._lock = threading.Lock()
        self._idle_by_key = {}

    def acquire(self, key, now):
        """Return a usable connection or None."""
        while True:
            with self._lock:
                idle = self._idle_by_key.get(key)
                connection = idle.pop() if idle else None
            if connection is None or connection.is_usable(now):
                return connection
            connection.close()

    def release(self, key, connection):
        with self._lock:
            self._idle_by_key.setdefault(key, []).append(connection)

    def pop_all(self, key):
        """Remove and return the idle connections of one upstream."""
        with self._lock:
            return self._idle_by_key.pop(key, [])

    def keys(self):
        with self._lock:
            return set(self._idle_by_key)


class HttpRawTransport(raw.RawTransport):
    """Transport over HTTP/1.1.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    header_codec : peridothitch.ports.forwarding.HeaderCodec
        Determines which request a response belongs to.
    metrics : peridothitch.adapters.metrics.Metrics
    limits : peridothitch.ports.raw.ResponseLimits
    """

    def __init__(self, clock, header_codec, metrics, limits=_DEFAULT_LIMITS):
        self._limits = limits
        self._clock = clock
        self._header_codec = header_codec
        self._metrics = metrics
        self._pool = _Pool()
        self._lock = threading.Lock()
        self._pace_by_service = {}
        self._record_connection = _ignore

    def observe_connections(self, callback):
        """Call ``callback(host, is_open)`` after each attempt to open a connection."""
        self._record_connection = callback

    def open(self, host, call, on_cancel):
        """Send `call` on an idle or a new connection and read the head."""
        key = _pool_key(host)
        connection = self._pool.acquire(key, self._clock.monotonic())
        if connection is None:
            connection = self._connect(host, call)
        raw_response = _Response(
            self._pool,
            key,
            connection,
            self._clock,
            self._limits,
            self._find_pace(host.service),
        )
        on_cancel(raw_response.cancel)
        try:
            self._send(connection, call)
            raw_response.read_head(call.method, self._header_codec, call.request_id)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raw_response.cancel()
            raise errors.UpstreamError(
                _to_code(error), f"{host.host_id}: {error!r}", errors.Ran.UNKNOWN
            ) from None
        return raw_response

    def _find_pace(self, service):
        with self._lock:
            pace = self._pace_by_service.get(service)
            if pace is None:
                pace = work_pace.for_service(self._clock.monotonic())
                self._pace_by_service[service] = pace
            return pace

    def is_down(self, host):
        """Check the idle connections; if none is alive, open a new one."""
        idle = self._pool.pop_all(_pool_key(host))
        if idle:
            dead = [c for c in idle if sockets.has_input(c.sock)]
            for connection in idle:
                if connection not in dead:
                    self._pool.release(_pool_key(host), connection)
            for connection in dead:
                connection.close()
            if len(dead) < len(idle):
                return False
        return not self._try_connecting(host, _DOWN_CHECK_TIMEOUT)

    def probe(self, host):
        """Return whether a connection to an upstream can be opened."""
        return self._try_connecting(host, _CONNECT_TIMEOUT)

    def _try_connecting(self, host, timeout):
        try:
            sock = sockets.connect(host.address, timeout)
        except OSError as error:
            self._record_failure(host, error)
            return False
        self._record_connection(host, True)
        sock.close()
        return True

    def _record_failure(self, host, error):
        if isinstance(error, TimeoutError):
            # Idle connections to an upstream that is out of reach would hang, too.
            for connection in self._pool.pop_all(_pool_key(host)):
                connection.close()
        self._record_connection(host, False)

    def retain_connections(self, hosts):
        """Close the idle connections to all but the given hosts."""
        hosts = tuple(hosts)
        services = {host.service for host in hosts}
        with self._lock:
            for service in self._pace_by_service.keys() - services:
                del self._pace_by_service[service]
        retained = {_pool_key(host) for host in hosts}
        for key in self._pool.keys() - retained:
            for connection in self._pool.pop_all(key):
                connection.close()

    def _connect(self, host, call):
        remaining = call.deadline - self._clock.monotonic()
        timeout = min(remaining, _CONNECT_TIMEOUT)
        try:
            if remaining <= _NO_TIME:
                raise TimeoutError("the deadline has passed")
            sock = sockets.connect(host.address, timeout)
        except OSError as error:
            if timeout >= _DOWN_CHECK_TIMEOUT or not isinstance(error, TimeoutError):
                self._record_failure(host, error)
            self._metrics.count(
                "upstream_connect_failures",
                service=host.service,
                reason="timeout" if isinstance(error, TimeoutError) else "refused",
            )
            raise errors.UpstreamError(
                errors.Code.UPSTREAM_REFUSED,
                f"{host.host_id}: connect: {error!r}",
                errors.Ran.NO,
            ) from None
        self._record_connection(host, True)
        self._metrics.count("upstream_connections", service=host.service)
        return _Connection(sock, self._clock)

    def _send(self, connection, call):
        lines = [f"{call.method} {call.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in call.fields]
        if call.has_body:
            lines.append(f"Content-Length: {len(call.body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        connection.reader.deadline = call.deadline
        remaining = call.deadline - self._clock.monotonic()
        connection.sock.settimeout(max(0.001, remaining.total_seconds()))
        sockets.send_message(connection.sock, head, call.body)


def _ignore(host, is_open):
    pass


def _pool_key(host):
    return host.address, host.host_id, host.incarnation


def _to_code(error):
    if isinstance(error, TimeoutError):
        return errors.Code.UPSTREAM_SILENT
    if isinstance(error, OSError | http.client.IncompleteRead):
        return errors.Code.OUTCOME_UNKNOWN
    return errors.Code.ANSWER_INVALID


class _Response(raw.RawResponse):
    def __init__(self, pool, key, connection, clock, limits, service_pace):
        self._limits = limits
        self._service_pace = service_pace
        self._pool = pool
        self._key = key
        self._connection = connection
        self._clock = clock
        self._lock = threading.Lock()
        self._released = False
        self._cancelled = threading.Event()
        self._response = None
        self._is_stream = False
        self._pace = None

    def read_head(self, method, header_codec, request_id):
        """Read heads until one belongs to the request.

        An upstream may send a second response to the previous request; its body is
        discarded.
        """
        reader = self._connection.reader
        for _ in range(_MAX_RESPONSE_HEADS):
            reader.allow(self._limits.head_bytes, self._limits.head_bytes)
            response = http_response.Response(reader, method)
            response.begin()
            metadata = header_codec.read_response(response.fields)
            if not metadata.request_id or metadata.request_id == request_id:
                break
            reader.allow(self._limits.discarded_bytes, self._limits.head_bytes)
            response.read()
            if response.will_close:
                raise http.client.HTTPException("the answer is another request's")
        else:
            raise http.client.HTTPException("the answers are other requests'")
        self._response = response
        self.status = response.status
        self.reason = response.reason
        self.fields = response.fields
        self.metadata = metadata
        self.length = response.declared_length
        if (response.length or 0) > self._limits.body_bytes:
            raise bounded_reader.SizeLimitError(self._limits.body_bytes)
        reader.allow(self._limits.body_bytes, self._limits.head_bytes)
        content_type = response.header_by_name.get("content-type", "")
        self._is_stream = content_type.lower().startswith(_EVENT_STREAM_TYPE)
        self._pace = work_pace.for_response(self._clock.monotonic())

    def set_deadline(self, deadline):
        self._connection.reader.deadline = deadline

    def read_some(self):
        if self._response.is_complete:
            self._release()
            return b""
        self._wait_for_pace()
        try:
            data = self._read()
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.cancel()
            raise errors.UpstreamError(
                _to_code(error), f"body: {error!r}", errors.Ran.UNKNOWN
            ) from None
        if not data:
            self._release()
        return data

    def _wait_for_pace(self):
        now = self._clock.monotonic()
        delay = max(self._pace.delay(now), self._service_pace.delay(now))
        deadline = self._connection.reader.deadline
        if deadline is not None:
            delay = min(delay, deadline - now)
        if delay > _NO_TIME:
            self._clock.wait(self._cancelled, delay)

    def _read(self):
        chunks = self._response.chunked_body
        if chunks is None:
            data, chunk_count = self._response.read1(_READ_BYTES), 0
        else:
            data, chunk_count = chunks.read_some(_READ_BYTES)
        event_count = 0
        if self._is_stream:
            event_count = data.count(b"\n\n") + data.count(b"\n\r\n")
        work, bytes_work = work_pace.work_of_read(len(data), chunk_count, event_count)
        self._pace.spend(work)
        self._service_pace.spend(work + bytes_work)
        return data

    def close(self):
        self.cancel()

    def cancel(self):
        """Close the connection unless the response was read to its end."""
        with self._lock:
            released, self._released = self._released, True
        self._cancelled.set()
        if not released:
            self._connection.close()

    def _release(self):
        with self._lock:
            if self._released:
                return
            self._released = True
        connection = self._connection
        idle_time = self._idle_time()
        if (
            idle_time <= _NO_TIME
            or self._response.will_close
            # Bytes beyond the response's end belong to no request.
            or connection.reader.has_buffered
        ):
            connection.close()
            return
        connection.usable_until = self._clock.monotonic() + idle_time
        self._pool.release(self._key, connection)

    def _idle_time(self):
        """Return how long the connection may be idle; not at all if that is unclear."""
        for option in self._response.header_by_name.get("keep-alive", "").split(","):
            key, _, text = option.strip().partition("=")
            if key.lower() != "timeout":
                continue
            if not _SECONDS.fullmatch(text):
                return _NO_TIME
            return datetime.timedelta(seconds=int(text)) - _IDLE_MARGIN
        return _DEFAULT_IDLE_TIME
