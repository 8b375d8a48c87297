"""Sends requests to upstreams unchanged over pooled connections."""

import datetime
import http.client
import threading

from peridothitch import errors, sockets
from peridothitch.ports import raw

__all__ = ["HttpRawTransport"]

_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
"""Ten round trips between regions; another upstream is tried after it."""

_CLOSE_CHECK_TIMEOUT = datetime.timedelta(milliseconds=200)
_DEFAULT_IDLE_TIME = datetime.timedelta(seconds=10)
"""How long an upstream that doesn't tell is taken to keep an idle connection."""

_IDLE_MARGIN = datetime.timedelta(milliseconds=700)
"""Kept before an idle connection's announced end; above any one-way delay."""

_READ_BYTES = 1 << 16
_MAX_LINE_BYTES = 1 << 16
_MAX_FOREIGN_ANSWERS = 2
_NO_TIME = datetime.timedelta(0)


class _Reader:
    """Buffered reader of one connection that outlives single answers.

    `http.client` closes the file that it reads an answer from and would lose what was
    read beyond the answer's end; here those bytes stay visible.
    """

    def __init__(self, sock, clock):
        self._sock = sock
        self._clock = clock
        self._buffer = bytearray()
        self.deadline = None
        self.at_end = False

    def makefile(self, mode):
        """Return this reader; `http.client` asks its socket for a file."""
        return self

    @property
    def has_buffered(self):
        return bool(self._buffer)

    def _fill(self):
        left = self.deadline - self._clock.monotonic()
        if left <= _NO_TIME:
            raise TimeoutError("the deadline has passed")
        self._sock.settimeout(left.total_seconds())
        data = self._sock.recv(_READ_BYTES)
        self._buffer += data
        self.at_end = not data
        return bool(data)

    def readline(self, limit=-1):
        most = limit if limit >= 0 else _MAX_LINE_BYTES
        while True:
            end = self._buffer.find(b"\n") + 1
            if end or len(self._buffer) >= most:
                return self._take(min(end or most, most))
            if not self._fill():
                return self._take(len(self._buffer))

    def read(self, size=-1):
        while size < 0 or len(self._buffer) < size:
            if not self._fill():
                break
        return self._take(len(self._buffer) if size < 0 else size)

    def read1(self, size=-1):
        if not self._buffer:
            self._fill()
        return self._take(len(self._buffer) if size < 0 else size)

    def readinto(self, target):
        data = self.read(len(target))
        target[: len(data)] = data
        return len(data)

    def _take(self, size):
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def flush(self):
        """Do nothing; `http.client` flushes its file."""

    def close(self):
        """Do nothing; the connection ends with its socket."""


class _Connection:
    """One connection to an upstream."""

    def __init__(self, sock, clock):
        self.sock = sock
        self.reader = _Reader(sock, clock)
        self.usable_until = None

    def is_usable(self, now):
        return now < self.usable_until and not sockets.has_input(self.sock)

    def close(self):
        sockets.close(self.sock)


class _Pool:
    """Idle connections by upstream."""

    def __init__(self):
        self._lock = threading.Lock()
        self._idle_by_key = {}

    def take(self, key, now):
        """Return a usable connection or None."""
        while True:
            with self._lock:
                idle = self._idle_by_key.get(key)
                connection = idle.pop() if idle else None
            if connection is None or connection.is_usable(now):
                return connection
            connection.close()

    def give(self, key, connection):
        with self._lock:
            self._idle_by_key.setdefault(key, []).append(connection)

    def pop_all(self, key):
        """Return the idle connections of one upstream and forget them."""
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
    dialect : peridothitch.ports.forwarding.HeaderCodec
        Tells which request an answer belongs to.
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, clock, header_codec, metrics):
        self._clock = clock
        self._header_codec = header_codec
        self._metrics = metrics
        self._pool = _Pool()

    def open(self, host, call, on_cancel):
        """Send `call` on an idle or a new connection."""
        key = _key(host)
        connection = self._pool.take(key, self._clock.monotonic())
        if connection is None:
            connection = self._connect(host, call)
        answer = _Answer(self._pool, key, connection, self._clock)
        on_cancel(answer.cancel)
        try:
            self._send(connection, call)
            answer.read_head(call.method, self._header_codec, call.request_id)
        except (OSError, http.client.HTTPException, ValueError) as error:
            answer.cancel()
            raise errors.UpstreamError(
                _code(error), f"{host.host_id}: {error!r}", errors.Ran.UNKNOWN
            ) from None
        return answer

    def is_down(self, host):
        """Try an idle connection, else a new one."""
        idle = self._pool.pop_all(_key(host))
        if idle:
            dead = [c for c in idle if sockets.has_input(c.sock)]
            for connection in idle:
                if connection not in dead:
                    self._pool.give(_key(host), connection)
            for connection in dead:
                connection.close()
            if len(dead) < len(idle):
                return False
        try:
            sock = sockets.connect(host.address, _CLOSE_CHECK_TIMEOUT)
        except OSError:
            return True
        sock.close()
        return False

    def retain_connections(self, hosts):
        """Close the idle connections to all but the given hosts."""
        kept = {_key(host) for host in hosts}
        for key in self._pool.keys() - kept:
            for connection in self._pool.pop_all(key):
                connection.close()

    def _connect(self, host, call):
        left = call.deadline - self._clock.monotonic()
        try:
            if left <= _NO_TIME:
                raise TimeoutError("the deadline has passed")
            sock = sockets.connect(host.address, min(left, _CONNECT_TIMEOUT))
        except OSError as error:
            raise errors.UpstreamError(
                errors.Code.UPSTREAM_REFUSED,
                f"{host.host_id}: connect: {error!r}",
                errors.Ran.NO,
            ) from None
        self._metrics.count("upstream_connections", service=host.service)
        return _Connection(sock, self._clock)

    def _send(self, connection, call):
        lines = [f"{call.method} {call.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in call.fields]
        if call.has_body:
            lines.append(f"Content-Length: {len(call.body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        connection.reader.deadline = call.deadline
        left = call.deadline - self._clock.monotonic()
        connection.sock.settimeout(max(0.001, left.total_seconds()))
        connection.sock.sendall(head + call.body)


def _key(host):
    return host.address, host.host_id, host.incarnation


def _declared_length(response):
    """Return the body's length by its header; an answer to HEAD has none itself."""
    text = response.headers.get("content-length")
    if text is None or response.chunked:
        return response.length
    if not text.isdigit():
        raise http.client.HTTPException(f"the length {text!r} is not a number")
    return int(text)


def _code(error):
    if isinstance(error, TimeoutError):
        return errors.Code.UPSTREAM_SILENT
    return errors.Code.OUTCOME_UNKNOWN


class _Answer(raw.RawResponse):
    def __init__(self, pool, key, connection, clock):
        self._pool = pool
        self._key = key
        self._connection = connection
        self._clock = clock
        self._lock = threading.Lock()
        self._released = False
        self._response = None

    def read_head(self, method, header_codec, request_id):
        """Read heads until one belongs to the request.

        An upstream may send a second answer to the request before; its body is
        dropped.
        """
        for _ in range(_MAX_FOREIGN_ANSWERS):
            response = http.client.HTTPResponse(self._connection.reader, method=method)
            response.begin()
            fields = tuple(response.getheaders())
            metadata = header_codec.read_response(fields)
            if not metadata.request_id or metadata.request_id == request_id:
                break
            response.read()
            if response.will_close:
                raise http.client.HTTPException("the answer is another request's")
        else:
            raise http.client.HTTPException("the answers are other requests'")
        self._response = response
        self.status = response.status
        self.reason = response.reason
        self.fields = fields
        self.metadata = metadata
        self.length = _declared_length(response)

    def set_deadline(self, deadline):
        self._connection.reader.deadline = deadline

    def read_some(self):
        if self._is_whole():
            self._release()
            return b""
        try:
            data = self._response.read1(_READ_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.cancel()
            raise errors.UpstreamError(
                _code(error), f"body: {error!r}", errors.Ran.UNKNOWN
            ) from None
        if data:
            return data
        if not self._is_whole():
            self.cancel()
            raise errors.UpstreamError(
                errors.Code.OUTCOME_UNKNOWN, "the body was cut off", errors.Ran.UNKNOWN
            )
        self._release()
        return b""

    def _is_whole(self):
        response = self._response
        if response.chunked:
            return response.isclosed()
        if response.length is not None:
            return not response.length
        return response.isclosed() or self._connection.reader.at_end

    def close(self):
        self.cancel()

    def cancel(self):
        """Close the connection unless the answer was read to its end."""
        with self._lock:
            released, self._released = self._released, True
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
            # Bytes beyond the answer's end belong to no request.
            or connection.reader.has_buffered
        ):
            connection.close()
            return
        connection.usable_until = self._clock.monotonic() + idle_time
        self._pool.give(self._key, connection)

    def _idle_time(self):
        for name, value in self.fields:
            if name.lower() != "keep-alive":
                continue
            for option in value.split(","):
                key, _, text = option.strip().partition("=")
                if key.lower() == "timeout" and text.isdigit():
                    seconds = datetime.timedelta(seconds=int(text))
                    return seconds - _IDLE_MARGIN
        return _DEFAULT_IDLE_TIME
