"""Bodies of callers' requests, received into memory.

The library's own receivers put large bodies into temporary files, which are memory on a
host without a disk, and take time that grows with the square of what is unread.
"""

import io

import waitress.rfc7230
import waitress.utilities

__all__ = ["ChunkedBody", "FixedBody"]

_MAX_LINE_BYTES = 1024
_LINE_END = b"\r\n"
_HEXADECIMAL = 16
_HEXADECIMAL_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class _Body:
    """A body; has the methods that the library calls on its receivers."""

    def __init__(self):
        self._file = io.BytesIO()
        self.size = 0
        self.completed = False
        self.error = None

    def __len__(self):
        return self.size

    def getfile(self):
        """Return the body as a file at its beginning."""
        # Trims the buffer to its content, which read() then returns without a copy.
        self._file.getvalue()
        self._file.seek(0)
        return self._file

    def getbuf(self):
        """Return an object whose method ``close`` frees the body."""
        return self

    def close(self):
        """Free the body."""
        # A closed file would break a reader in another thread.
        self._file = io.BytesIO()

    def _append(self, data):
        self._file.write(data)
        self.size += len(data)


class FixedBody(_Body):
    """Body of known length.

    Parameters
    ----------
    length : int
    """

    def __init__(self, length):
        super().__init__()
        self._length = length

    @property
    def remaining(self):
        """Bytes to come."""
        return self._length - self.size

    def received(self, data):
        """Take a part of the input; returns the number of bytes taken."""
        part = data[: self.remaining]
        self._append(part)
        self.completed = not self.remaining
        return len(part)


class ChunkedBody(_Body):
    """Body in chunks.

    Parameters
    ----------
    max_bytes : int
        Largest content. The framing may take as much again.
    """

    remaining = None

    def __init__(self, max_bytes):
        super().__init__()
        self._max_bytes = max_bytes
        self._framing_bytes = 0
        self._unread = b""
        self._chunk_remaining = 0
        self._step = self._read_size

    def received(self, data):
        """Take a part of the input; returns the number of bytes taken."""
        before = len(self._unread)
        size_before = self.size
        data = self._unread + data
        position = 0
        while not (self.completed or self.error):
            position = self._read_whole_chunks(data, position)
            next_position = self._step(data, position)
            if next_position is None:
                break
            position = next_position
        if self.completed or self.error:
            self._unread = b""
            return max(0, position - before)
        self._unread = data[position:]
        self._framing_bytes += position - (self.size - size_before)
        if self._framing_bytes > self._max_bytes:
            self._fail_size("the framing of the chunks", self._max_bytes)
        return len(data) - before

    def _read_whole_chunks(self, data, position):
        """Read the chunks that lie whole in the input; returns where they end.

        Leaves chunks with extensions, the last one and faulty ones.
        """
        if self._step != self._read_size:
            return position
        parts = []
        room = self._max_bytes - self.size
        while (begin := self._find_line(data, position)) is not None:
            digits = data[position:begin]
            if not digits or not _HEXADECIMAL_DIGITS.issuperset(digits):
                break
            size = int(digits, _HEXADECIMAL)
            begin += len(_LINE_END)
            end = begin + size
            if not 0 < size <= room or data[end : end + len(_LINE_END)] != _LINE_END:
                break
            parts.append(data[begin:end])
            room -= size
            position = end + len(_LINE_END)
        self._append(b"".join(parts))
        return position

    def _fail(self, detail):
        self.error = waitress.utilities.BadRequest(detail)

    def _fail_size(self, what, limit):
        detail = f"{what} exceeds {limit} bytes"
        self.error = waitress.utilities.RequestEntityTooLarge(detail)

    def _find_line(self, data, position):
        """Return the end of the line at a position, None if it is incomplete."""
        end = data.find(_LINE_END, position, position + _MAX_LINE_BYTES)
        if end >= 0:
            return end
        if len(data) - position >= _MAX_LINE_BYTES:
            self._fail("a line of the chunked body is too long")
        return None

    def _read_size(self, data, position):
        end = self._find_line(data, position)
        if end is None:
            return None
        digits, semicolon, extension = data[position:end].partition(b";")
        if semicolon and not waitress.rfc7230.CHUNK_EXT_RE.match(b";" + extension):
            return self._fail("Invalid chunk extension")
        if not waitress.rfc7230.ONLY_HEXDIG_RE.match(digits):
            return self._fail("Invalid chunk size")
        self._chunk_remaining = int(digits, _HEXADECIMAL)
        if self.size + self._chunk_remaining > self._max_bytes:
            return self._fail_size("the body", self._max_bytes)
        self._step = self._read_data if self._chunk_remaining else self._read_trailer
        return end + len(_LINE_END)

    def _read_data(self, data, position):
        part = data[position : position + self._chunk_remaining]
        if not part:
            return None
        self._append(part)
        self._chunk_remaining -= len(part)
        if not self._chunk_remaining:
            self._step = self._read_data_end
        return position + len(part)

    def _read_data_end(self, data, position):
        line_end = data[position : position + len(_LINE_END)]
        if not _LINE_END.startswith(line_end):
            return self._fail("Chunk not properly terminated")
        if line_end != _LINE_END:
            return None
        self._step = self._read_size
        return position + len(_LINE_END)

    def _read_trailer(self, data, position):
        end = self._find_line(data, position)
        if end is None:
            return None
        self.completed = end == position
        return end + len(_LINE_END)
