"""Reads HTTP responses from a socket with limits on size and time.

A faulty server may send bytes without end, in a line, in the head or in the body, or
take a long time for each.
"""

import contextlib
import datetime
import http.client

from peridothitch import http_response

__all__ = [
    "MAX_HEAD_BYTES",
    "BoundedReader",
    "SizeLimitError",
    "limit_response",
    "open_response",
]

_READ_BYTES = 1 << 16
_MAX_LINE_BYTES = 1 << 16
_NO_TIME = datetime.timedelta(0)

MAX_HEAD_BYTES = 64 << 10
"""Largest head of a response, interim responses included."""


class SizeLimitError(http.client.HTTPException):
    """More bytes were received than are allowed.

    Parameters
    ----------
    limit : int
        Bytes that were allowed.
    """

    def __init__(self, limit):
        super().__init__(f"over {limit} bytes")


class BoundedReader:
    """Buffered reader of one connection, for one or several responses.

    It retains what was read beyond the end of a response.

    Parameters
    ----------
    sock : socket.socket
    clock : peridothitch.ports.clock.Clock

    Attributes
    ----------
    deadline : datetime.timedelta or None
        Monotonic time at which reading fails with `TimeoutError`.
    max_wait : datetime.timedelta or None
        Longest wait for further bytes. If neither is set, the socket's timeout applies.
    at_end : bool
        Whether the server has closed its side of the connection.
    buffer : bytearray
        Bytes that were received and not consumed; changed by `consume` and `fill` only.
    """

    def __init__(self, sock, clock):
        self._sock = sock
        self._clock = clock
        self.buffer = bytearray()
        self._limit = self._allowance = 0
        self._line_limit = self._line_allowance = 0
        self.deadline = None
        self.max_wait = None
        self.at_end = False

    def allow(self, size, line_size):
        """Limit the bytes that may be read from now on; more raise `SizeLimitError`.

        Parameters
        ----------
        size : int
            All further bytes.
        line_size : int
            Lines that follow each other without other bytes between them: the fields
            of a head or a trailer.
        """
        self._limit = self._allowance = size
        self._line_limit = self._line_allowance = line_size

    def makefile(self, mode):
        """Return this reader; responses request a file from their socket."""
        return self

    @property
    def has_buffered(self):
        """Whether bytes were received that no response has consumed."""
        return bool(self.buffer)

    def may_start_with(self, prefix):
        """Return whether the next bytes are `prefix`, or the connection ends before."""
        while len(self.buffer) < len(prefix) and prefix.startswith(self.buffer):
            if not self.fill():
                return True
        return self.buffer.startswith(prefix)

    def readline(self):
        """Return a line, without its end if it is longer than 64 KB.

        Raises
        ------
        http.client.IncompleteRead
            The server closed the connection inside the line or before it.
        """
        searched = 0
        while True:
            end = self.buffer.find(b"\n", searched) + 1
            searched = len(self.buffer)
            if end or searched >= _MAX_LINE_BYTES:
                break
            if not self.fill():
                raise http.client.IncompleteRead(bytes(self.buffer))
        line = self.consume(min(end or _MAX_LINE_BYTES, _MAX_LINE_BYTES))
        self._line_allowance -= len(line)
        if self._line_allowance < 0:
            raise SizeLimitError(self._line_limit)
        return line

    def check_size(self, size):
        """Raise `SizeLimitError` if `size` bytes are more than may still be read."""
        if size > self._allowance:
            raise SizeLimitError(self._limit)

    def read1(self, size):
        """Return at most `size` bytes with at most one read from the socket."""
        if size and not self.buffer:
            self.fill()
        self._line_allowance = self._line_limit
        return self.consume(size)

    def fill(self):
        """Wait for further bytes; returns whether there were any."""
        if len(self.buffer) > self._allowance:
            raise SizeLimitError(self._limit)
        waits = []
        if self.max_wait is not None:
            waits.append(self.max_wait)
        if self.deadline is not None:
            waits.append(self.deadline - self._clock.monotonic())
        if waits and min(waits) <= _NO_TIME:
            raise TimeoutError("the deadline has passed")
        if waits:
            self._sock.settimeout(min(waits).total_seconds())
        data = self._sock.recv(_READ_BYTES)
        self.buffer += data
        self.at_end = not data
        return bool(data)

    def consume(self, size):
        """Remove bytes from the buffer and return them."""
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        self._allowance -= len(data)
        if self._allowance < 0:
            raise SizeLimitError(self._limit)
        return data

    def close(self):
        """Do nothing; the connection is closed with its socket."""


class _ConnectionReader(BoundedReader):
    """Reader of an `http.client.HTTPConnection`, which may close its socket first."""

    _file = None

    def makefile(self, mode):
        self._file = self._sock.makefile(mode, buffering=0)
        return self

    def close(self):
        if self._file is not None:
            self._file.close()


def limit_response(connection, clock, size, max_wait, max_time):
    """Limit the next response on an `http.client.HTTPConnection`.

    Parameters
    ----------
    connection : http.client.HTTPConnection
        Connected.
    clock : peridothitch.ports.clock.Clock
    size : int
        Bytes of the response; its head or trailer is limited to `MAX_HEAD_BYTES`.
    max_wait : datetime.timedelta
        Longest wait for the first and between further bytes.
    max_time : datetime.timedelta
        Time for the whole response.

    Returns
    -------
    BoundedReader
        Reader of the response, whose limits of time may be changed.
    """
    reader = _ConnectionReader(connection.sock, clock)
    reader.deadline = clock.monotonic() + max_time
    reader.max_wait = max_wait
    reader.allow(size, MAX_HEAD_BYTES)
    connection.response_class = lambda sock, **options: http_response.Response(
        reader, **options
    )
    return reader


@contextlib.contextmanager
def open_response(connection, clock, size, max_wait, max_time):
    """Read the response of an `http.client.HTTPConnection` in a ``with`` block.

    The parameters are those of `limit_response`.
    """
    reader = limit_response(connection, clock, size, max_wait, max_time)
    try:
        yield connection.getresponse()
    finally:
        # A connection that ends with its response is open as long as the reader.
        reader.close()
