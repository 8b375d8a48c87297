"""Reads the heads of HTTP responses by the grammar of RFC 9112.

`http.client` leaves the fields to the parser of e-mails, which ends the head at the
first line that it can't read and doesn't say so. The response then has other fields
than the server sent, and another length.

Where the RFCs leave a choice, these are errors: folded lines (section 5.2), control
bytes in values (RFC 9110, section 5.5), a length beside chunks (section 6.3), more than
one blank in the status line (section 4), statuses outside 100 to 599 (RFC 9110, section
15). Lines may end with a line feed alone (section 2.2) if all lines of the head do; a
single one may be damage. The blank before an absent reason may be missing.
"""

import dataclasses
import http
import http.client
import re

__all__ = ["InvalidHeadError", "ResponseHead", "read", "read_fields"]

_PREFIX = b"HTTP/1."
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"(HTTP/1\.[01]) ([1-5][0-9]{2})(?: (%b))?" % _TEXT)
_FIELD = re.compile(rb"(%b):(%b)" % (_TOKEN, _TEXT))
_LENGTH = re.compile("[0-9]{1,15}")
_LINE_ENDS = (b"\r\n", b"\n")
_MAX_SHOWN_BYTES = 60


class InvalidHeadError(http.client.HTTPException):
    """The head of a response does not follow the grammar."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Head of a response.

    Attributes
    ----------
    status : int
    reason : str
    fields : tuple of (str, str)
        Each character stands for one byte.
    length : int or None
        Length of the body in bytes, None if the head doesn't tell it.
    is_chunked : bool
        Whether a body would come in chunks.
    closes : bool
        Whether the server closes the connection after the response.
    """

    status: int
    reason: str
    fields: tuple
    length: int | None
    is_chunked: bool
    closes: bool


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
        line, line_end = _read_line(reader)
        version, status, reason = _parse_status_line(line)
        fields = read_fields(reader, line_end)
        if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
            raise InvalidHeadError("another protocol, which no request asks for")
        if status < http.HTTPStatus.OK:
            continue
        is_chunked = _is_chunked(version, fields)
        return ResponseHead(
            status=status,
            reason=reason,
            fields=fields,
            length=_find_length(fields, is_chunked),
            is_chunked=is_chunked,
            closes=_closes(version, fields),
        )


def read_fields(reader, line_end=None):
    """Read the fields of a head or a trailer and the empty line after them.

    Parameters
    ----------
    reader : peridothitch.bounded_reader.BoundedReader
    line_end : bytes or None
        How each line has to end; None for the end of the first one.

    Returns
    -------
    tuple of (str, str)

    Raises
    ------
    InvalidHeadError
    http.client.IncompleteRead
    """
    fields = []
    line, line_end = _read_line(reader, line_end)
    while line:
        found = _FIELD.fullmatch(line)
        if found is None:
            raise InvalidHeadError(f"not a field: {_show(line)}")
        name, value = found.groups()
        fields.append((name.decode("ascii"), value.strip(b" \t").decode("latin-1")))
        line, line_end = _read_line(reader, line_end)
    return tuple(fields)


def _read_line(reader, expected_end=None):
    """Return a line and how it ends."""
    line = reader.readline()
    line_end = next(filter(line.endswith, _LINE_ENDS), None)
    if line_end is None or line_end != (expected_end or line_end):
        raise InvalidHeadError(f"the line's end is not {expected_end}: {_show(line)}")
    return line.removesuffix(line_end), line_end


def _parse_status_line(line):
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise InvalidHeadError(f"not a status line: {_show(line)}")
    version, status, reason = found.groups(default=b"")
    return version.decode(), int(status), reason.strip(b" \t").decode("latin-1")


def _is_chunked(version, fields):
    codings = _values(fields, "transfer-encoding")
    if not codings:
        return False
    # HTTP/1.0 has no transfer codings (RFC 9112, section 6.1).
    if codings != ["chunked"] or version == "HTTP/1.0":
        raise InvalidHeadError(f"not the coding chunked: {version}, {codings}")
    return True


def _find_length(fields, is_chunked):
    """Return the length of the body, None if there is none.

    Several that are the same count as one (RFC 9110, section 8.6).
    """
    texts = _options(fields, "content-length")
    if not texts:
        return None
    lengths = {int(text) if _LENGTH.fullmatch(text) else None for text in texts}
    if None in lengths or len(lengths) > 1:
        raise InvalidHeadError(f"not one length: {', '.join(texts)!r}")
    if is_chunked:
        raise InvalidHeadError(f"a length beside chunks: {texts[0]!r}")
    return lengths.pop()


def _closes(version, fields):
    options = _options(fields, "connection")
    return "close" in options or (version == "HTTP/1.0" and "keep-alive" not in options)


def _values(fields, name):
    """Return the values of the fields of a name in lower case."""
    return [value.lower() for found, value in fields if found.lower() == name]


def _options(fields, name):
    """Return the elements of the lists in the fields of a name in lower case."""
    return [
        option.strip(" \t")
        for value in _values(fields, name)
        for option in value.split(",")
    ]


def _show(data):
    return repr(bytes(data[:_MAX_SHOWN_BYTES]))
