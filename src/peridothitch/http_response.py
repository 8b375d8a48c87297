"""Responses of HTTP servers, read within the limits of a `BoundedReader`."""

import http.client

from peridothitch import chunked_body, response_head

__all__ = ["Response"]

_READ_BYTES = 1 << 16
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Response:
    """One response; takes the place of `http.client.HTTPResponse`.

    Parameters
    ----------
    connection : peridothitch.bounded_reader.BoundedReader
    method : str or None
        Method of the request.

    Attributes
    ----------
    status : int
    reason : str
    fields : tuple of (str, str)
    chunked_body : peridothitch.chunked_body.ChunkedBody or None
        Body that comes in chunks.
    length : int or None
        Bytes of the body that were not read yet; None if the body comes in chunks or
        ends with the connection.
    declared_length : int or None
        Length of the body as the head tells it, also where no body follows.
    will_close : bool
        Whether the connection can't be used for a further request.
    """

    def __init__(self, connection, method=None):
        self._reader = connection.makefile("rb")
        self._method = method
        self._is_closed = False

    def begin(self):
        """Read the head; interim responses before it are discarded.

        Raises
        ------
        http.client.HTTPException
            The head is invalid, or the server closed the connection before its end.
        """
        head = response_head.read(self._reader)
        self.status, self.reason, self.fields = head.status, head.reason, head.fields
        self.length = self.declared_length = head.length
        self.chunked_body = None
        if self._method == "HEAD" or head.status in _STATUSES_WITHOUT_BODY:
            self.length = 0
            self.declared_length = self.declared_length or 0
        elif head.is_chunked:
            self.chunked_body = chunked_body.ChunkedBody(self._reader)
        ends_with_connection = self.length is None and self.chunked_body is None
        self.will_close = head.closes or ends_with_connection

    @property
    def header_by_name(self):
        """Values by lower-case name; those of several fields are combined."""
        value_by_name = {}
        for name, value in self.fields:
            known = value_by_name.get(name.lower())
            combined = value if known is None else f"{known}, {value}"
            value_by_name[name.lower()] = combined
        return value_by_name

    @property
    def is_complete(self):
        """Whether the body was read to its end."""
        if self.chunked_body is not None:
            return self.chunked_body.is_complete
        if self.length is not None:
            return not self.length
        return self._reader.at_end and not self._reader.has_buffered

    def read(self):
        """Return the rest of the body."""
        parts = []
        while data := self.read1():
            parts.append(data)
        return b"".join(parts)

    def read1(self, size=_READ_BYTES):
        """Return at most `size` bytes of the body as they arrive, empty at its end.

        Raises
        ------
        http.client.HTTPException
            The framing is invalid, or the server closed the connection before the end.
        """
        data = b"" if self.is_complete else self._read_some(size)
        if self.is_complete:
            self.close()
        return data

    def _read_some(self, size):
        if self.chunked_body is not None:
            data, _ = self.chunked_body.read_some(size)
            return data
        if self.length is None:
            return self._reader.read1(size)
        self._reader.check_size(self.length)
        data = self._reader.read1(min(size, self.length))
        if not data:
            raise http.client.IncompleteRead(b"", self.length)
        self.length -= len(data)
        return data

    def isclosed(self):
        """Return whether the response was read to its end or closed."""
        return self._is_closed

    def close(self):
        """Release the connection, which remains open unless the server closes it."""
        self._is_closed = True
        self._reader.close()
