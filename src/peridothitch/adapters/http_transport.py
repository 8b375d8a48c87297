"""Calls upstreams over HTTP with pooled `http.client` connections."""

import datetime
import http
import http.client
import re
import threading
import time

import msgspec

from peridothitch import bounded_reader, errors
from peridothitch.adapters import boot_clock
from peridothitch.ports import upstream

__all__ = ["HttpHostList", "HttpTransport"]

_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
_MAX_IDLE_AGE = datetime.timedelta(seconds=20)
_MAX_EVENT_BYTES = 1 << 20
_MAX_RESPONSE_BYTES = 64 << 20
_MAX_HOST_LIST_BYTES = 8 << 20
_READ_BYTES = 1 << 16
_EVENT_END = re.compile(rb"\n\r?\n")


class _Pool:
    """Pool of idle connections by address; broken or cancelled ones are not reused."""

    def __init__(self):
        self._lock = threading.Lock()
        self._idle_by_address = {}

    def acquire(self, address):
        oldest = time.monotonic() - _MAX_IDLE_AGE.total_seconds()
        with self._lock:
            idle = self._idle_by_address.get(address, [])
            while idle:
                since, connection = idle.pop()
                if since >= oldest:
                    return connection
                connection.close()
        return None

    def release(self, address, connection):
        with self._lock:
            idle = self._idle_by_address.setdefault(address, [])
            idle.append((time.monotonic(), connection))


class HttpTransport(upstream.Transport):
    """Transport over HTTP/1.1.

    Parameters
    ----------
    connect_timeout : datetime.timedelta
        Limit on the time for opening a connection.
    clock : peridothitch.ports.clock.Clock or None
    """

    def __init__(self, connect_timeout=_CONNECT_TIMEOUT, clock=None):
        self._clock = clock or boot_clock.BootClock()
        self._connect_timeout = connect_timeout
        self._pool = _Pool()

    def open(self, host, call):
        """Send `call` to `host` on a new or pooled connection."""
        connection = self._pool.acquire(host.address) or self._connect(host)
        connection.sock.settimeout(call.first_byte_timeout.total_seconds())
        try:
            connection.request(call.method, call.path, call.body, call.header_by_name)
            reader = bounded_reader.limit_response(
                connection,
                self._clock,
                _MAX_RESPONSE_BYTES,
                call.first_byte_timeout,
                call.first_byte_timeout,
            )
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise errors.UpstreamError(
                _to_code(error, errors.Code.OUTCOME_UNKNOWN),
                f"{host.host_id}: {error!r}",
                errors.Ran.UNKNOWN,
            ) from None
        reader.deadline, reader.max_wait = None, call.gap_timeout
        return _HttpExchange(self._pool, host.address, connection, response, reader)

    def probe(self, host, timeout):
        """Send `host` a request on a new connection; even a broken response counts."""
        name, _, port = host.address.rpartition(":")
        connection = http.client.HTTPConnection(
            name, int(port), timeout=timeout.total_seconds()
        )
        try:
            connection.request("HEAD", "/")
            with bounded_reader.open_response(
                connection, self._clock, _MAX_RESPONSE_BYTES, timeout, timeout
            ):
                return True
        except (OSError, http.client.IncompleteRead):
            return False
        except http.client.HTTPException:
            return True
        finally:
            connection.close()

    def _connect(self, host):
        name, _, port = host.address.rpartition(":")
        connection = http.client.HTTPConnection(
            name, int(port), timeout=self._connect_timeout.total_seconds()
        )
        try:
            connection.connect()
        except OSError as error:
            raise errors.UpstreamError(
                errors.Code.UPSTREAM_REFUSED,
                f"{host.host_id}: {error}",
                errors.Ran.NO,
            ) from None
        return connection


def _to_code(error, default_code):
    if isinstance(error, TimeoutError):
        return errors.Code.UPSTREAM_SILENT
    if isinstance(error, OSError | http.client.IncompleteRead):
        return default_code
    return errors.Code.ANSWER_INVALID


class _HttpExchange(upstream.Exchange):
    def __init__(self, pool, address, connection, response, reader):
        self._pool = pool
        self._address = address
        self._connection = connection
        self._response = response
        self._reader = reader
        self._finished = False
        self.status = response.status
        self.header_by_name = response.header_by_name

    def read(self):
        try:
            body = self._response.read()
        except (OSError, http.client.HTTPException) as error:
            raise self._abort(error) from None
        self._finish()
        return body

    def events(self):
        pending = b""
        while chunk := self._read_chunk():
            pending += chunk
            begin = 0
            for end in _EVENT_END.finditer(pending):
                yield pending[begin : end.end()]
                begin = end.end()
            pending = pending[begin:]
            if len(pending) > _MAX_EVENT_BYTES:
                raise self._abort("an event is too large")
        self._finish()
        if pending:
            yield pending

    def _read_chunk(self):
        """Return the bytes received; one read per token, where lines need several."""
        try:
            return self._response.read1(_READ_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._abort(error) from None

    def cancel(self):
        if not self._finished:
            self._close()

    def _finish(self):
        self._finished = True
        self._response.close()
        # Bytes beyond the response's end belong to no request.
        if self._response.will_close or self._reader.has_buffered:
            self._close()
            return
        self._pool.release(self._address, self._connection)

    def _close(self):
        self._response.close()
        self._connection.close()

    def _abort(self, error):
        self._close()
        return errors.UpstreamError(
            _to_code(error, errors.Code.STREAM_INTERRUPTED),
            f"{error!r}",
            errors.Ran.UNKNOWN,
        )


class HttpHostList(upstream.HostList):
    """Host list that is read over HTTP.

    Parameters
    ----------
    address : str
        IP address and port.
    timeout : datetime.timedelta
        Limit on the duration of one read.
    clock : peridothitch.ports.clock.Clock or None
    """

    def __init__(self, address, timeout=datetime.timedelta(seconds=2), clock=None):
        self._address = address
        self._timeout = timeout
        self._clock = clock or boot_clock.BootClock()

    def read(self):
        """Read the list."""
        name, _, port = self._address.rpartition(":")
        connection = http.client.HTTPConnection(
            name, int(port), timeout=self._timeout.total_seconds()
        )
        try:
            connection.request("GET", "/v1/hosts")
            with bounded_reader.open_response(
                connection,
                self._clock,
                _MAX_HOST_LIST_BYTES,
                self._timeout,
                self._timeout,
            ) as response:
                payload = response.read()
            if response.status != http.HTTPStatus.OK:
                raise http.client.HTTPException(f"status {response.status}")
            hosts = msgspec.json.decode(payload, type=list[upstream.Host])
        except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
            raise errors.UpstreamError(
                errors.Code.NO_UPSTREAM, f"host list: {error!r}", errors.Ran.NO
            ) from None
        finally:
            connection.close()
        return {host.host_id: host for host in hosts}
