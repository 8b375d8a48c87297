"""Reads the heads of HTTP responses by the grammar of RFC 9112.

`http.client` leaves the fields to the parser of e-mails, which ends the head at the
first line that it can't read and doesn't say so. The response then has other fields
than the server sent, and another length.

Where the grammar leaves a choice, such heads are errors: folded lines (section 5.2) and
control bytes in values (RFC 9110, section 5.5).
"""

import dataclasses
import http.client
import re

__all__ = ["InvalidHeadError", "ResponseHead", "read", "read_fields"]

_PREFIX = b"HTTP/1."
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_FIELD = re.compile(rb"(%b):(%b)" % (_TOKEN, _TEXT))
_MAX_SHOWN_BYTES = 60


class InvalidHeadError(http.client.HTTPException):
    """The head of a response does not follow the grammar."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Head of a response.

    Attributes
    ----------
    minor_version : int
        Of HTTP/1.
    status : int
    reason : str
    fields : tuple of (str, str)
        Each character stands for one byte.
    """

    minor_version: int
    status: int
    reason: str
    fields: tuple

    @property
    def is_chunked(self):
        """Whether a body would come in chunks."""
        return self._values("transfer-encoding")[:1] == ["chunked"]

    @property
    def length(self):
        """Length of the body in bytes, None if the head doesn't tell it."""
        lengths = self._values("content-length")[:1]
        if not lengths or self.is_chunked:
            return None
        if not lengths[0].isdigit():
            raise InvalidHeadError(f"the length {lengths[0]!r} is no number")
        return int(lengths[0])

    @property
    def closes(self):
        """Whether the server closes the connection after the response."""
        options = {
            option.strip(" \t")
            for value in self._values("connection")
            for option in value.split(",")
        }
        if "close" in options:
            return True
        return self.minor_version == 0 and "keep-alive" not in options

    def _values(self, name):
        """Return the values of the fields of a name in lower case."""
        return [value.lower() for found, value in self.fields if found.lower() == name]


def read(reader):
    """Read a head and the interim responses before it.

    Parameters
    ----------
    reader : peridothitch.bounded_reader.BoundedReader

    Returns
    -------
    ResponseHead

    Raises
    ------
    InvalidHeadError
    http.client.IncompleteRead
        The server closed the connection before the head's end.
    """
    while True:
        # A line without an end would otherwise be read up to the size limit.
        if not reader.may_start_with(_PREFIX):
            raise InvalidHeadError(f"no status line: {_show(reader.buffer)}")
        version, status, reason = _read_status(_read_line(reader))
        fields = read_fields(reader)
        if status != http.client.CONTINUE:
            return ResponseHead(
                minor_version=0 if version == "HTTP/1.0" else 1,
                status=status,
                reason=reason,
                fields=fields,
            )


def read_fields(reader):
    """Read the fields of a head or a trailer and the empty line after them.

    Returns
    -------
    tuple of (str, str)

    Raises
    ------
    InvalidHeadError
    http.client.IncompleteRead
    """
    fields = []
    while line := _read_line(reader):
        found = _FIELD.fullmatch(line)
        if found is None:
            raise InvalidHeadError(f"not a field: {_show(line)}")
        name, value = found.groups()
        fields.append((name.decode("ascii"), value.strip(b" \t").decode("latin-1")))
    return tuple(fields)


def _read_line(reader):
    line = reader.readline()
    if not line.endswith(b"\n"):
        raise InvalidHeadError(f"a line without an end: {_show(line)}")
    return line.removesuffix(b"\n").removesuffix(b"\r")


def _read_status(line):
    version, _, rest = line.decode("latin-1").partition(" ")
    status, _, reason = rest.strip().partition(" ")
    try:
        code = int(status)
    except ValueError:
        code = 0
    if not 100 <= code <= 999:
        raise InvalidHeadError(f"not a status line: {_show(line)}")
    return version, code, reason.strip()


def _show(data):
    return repr(bytes(data[:_MAX_SHOWN_BYTES]))
