"""Calls to the platform's HTTP interfaces with JSON bodies."""

import collections
import datetime
import http.client
import threading
import urllib.parse

import logbook
import msgspec

from peridothitch import bounded_reader, errors, sockets

__all__ = ["Answer", "CallError", "Client", "to_store_error"]

_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
"""Above the round trip between two regions by a wide margin."""

_MAX_IDLE_CONNECTIONS = 4
"""More calls than that are rarely in progress at once."""

_MAX_ANSWER_BYTES = 16 << 20
"""Above the largest configuration; several answers at once have to fit into memory."""

_MAX_TRANSFER_TIME = datetime.timedelta(seconds=30)
"""Time for the rest of an answer whose first byte has arrived."""

_MAX_SHOWN_BYTES = 60
_log = logbook.Logger(__name__)


class CallError(Exception):
    """A call got no answer, or one that can't be read.

    Parameters
    ----------
    detail : str
    sent : bool
        Whether bytes of the call may have left this process.
    """

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


class Answer:
    """Answer to a call.

    Attributes
    ----------
    status : int
    header_by_name : dict of str to str
        Headers with lower-case names.
    """

    def __init__(self, status, body, header_by_name):
        self._body = body
        self.status = status
        self.header_by_name = header_by_name

    def decode(self, kind):
        """Return the JSON body as an object of a type.

        Raises
        ------
        CallError
            The body is no JSON, or not that of the type.
        """
        try:
            return msgspec.json.decode(self._body, type=kind)
        except (msgspec.DecodeError, RecursionError) as error:
            shown = self._body[:_MAX_SHOWN_BYTES]
            detail = f"status {self.status} with the body {shown!r}: {error}"
            raise CallError(detail, True) from None

    @property
    def error_text(self):
        """What the body tells about an error, empty if it tells nothing."""
        try:
            return str(self.decode(dict).get("error", ""))
        except CallError as error:
            _log.info("unreadable answer", reason=str(error))
            return ""


class Client:
    """Client of one address of the platform.

    Parameters
    ----------
    address : str
        IP number and port.
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, address, clock):
        self._address = address
        self._clock = clock
        self._lock = threading.Lock()
        self._idle = collections.deque()
        self._busy = set()
        self._closed = False

    def call(self, method, path, timeout, query=None, body=None, headers=None):
        """Make one call.

        Parameters
        ----------
        method, path : str
        timeout : datetime.timedelta
            Longest wait for the answer, and between parts of it.
        query : dict of str to str or int, or None
        body : object or None
            Sent as JSON.
        headers : dict of str to str or None

        Returns
        -------
        Answer

        Raises
        ------
        CallError
        """
        target = path if not query else f"{path}?{urllib.parse.urlencode(query)}"
        payload = None if body is None else msgspec.json.encode(body)
        sent_headers = dict(headers or {})
        if payload is not None:
            sent_headers["Content-Type"] = "application/json"
        connection = self._pop_idle() or self._connect()
        sock = connection.sock
        sock.settimeout(timeout.total_seconds())
        self._add_busy(sock)
        try:
            connection.request(method, target, payload, sent_headers)
            with bounded_reader.open_response(
                connection,
                self._clock,
                _MAX_ANSWER_BYTES,
                timeout,
                timeout + _MAX_TRANSFER_TIME,
            ) as response:
                content = response.read()
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise CallError(f"{method} {path}: {error!r}", True) from None
        finally:
            with self._lock:
                self._busy.discard(sock)
        if response.will_close:
            connection.close()
        else:
            self._put_idle(connection)
        return Answer(response.status, content, response.header_by_name)

    def close(self):
        """Close all connections; calls in progress fail with an error."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, collections.deque()
            busy = tuple(self._busy)
        for connection in idle:
            connection.close()
        for sock in busy:
            sockets.close(sock)

    def _add_busy(self, sock):
        with self._lock:
            if not self._closed:
                self._busy.add(sock)
                return
        sockets.close(sock)
        raise CallError(f"the client of {self._address} is closed", False)

    def _pop_idle(self):
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            if not sockets.has_input(connection.sock):
                return connection
            connection.close()

    def _put_idle(self, connection):
        with self._lock:
            if len(self._idle) < _MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()

    def _connect(self):
        host, _, port = self._address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port))
        try:
            connection.sock = sockets.connect(self._address, _CONNECT_TIMEOUT)
        except OSError as error:
            raise CallError(f"connect to {self._address}: {error}", False) from None
        return connection


def to_store_error(error, writes):
    """Return the store error that corresponds to a `CallError`.

    Parameters
    ----------
    error : CallError
    writes : bool
        Whether the call was a write.
    """
    if writes and error.sent:
        return errors.StoreUnclearError(str(error))
    return errors.StoreUnavailableError(str(error))
