"""Reads HTTP bodies in chunks, many chunks at once; the trailer's fields are dropped.

`http.client` makes several reads for each chunk, which takes a hundred times the work
where an upstream sends a few bytes in each.
"""

import http.client
import re

from peridothitch import response_head

__all__ = ["ChunkedBody"]

_SIZE = rb"([0-9a-fA-F]{1,15})[ \t]*"
_EXTENSIONS = rb"(?:;[\t\x20-\x7e\x80-\xff]*)?"
_SIZE_LINE = re.compile(_SIZE + _EXTENSIONS + rb"\r?\n")
_BEGUN_SIZE_LINE = re.compile(rb"(?:" + _SIZE + _EXTENSIONS + rb"\r?)?")
_MAX_LINE_BYTES = 4096
_END = b"\r\n"
_MAX_CHUNKS_PER_READ = 256


class ChunkedBody:
    """Body of one response.

    Parameters
    ----------
    reader : peridothitch.bounded_reader.BoundedReader

    Attributes
    ----------
    is_complete : bool
        Whether the last chunk and the trailer were read.
    """

    def __init__(self, reader):
        self._reader = reader
        self._left = 0
        self._needs_end = False
        self.is_complete = False

    def read_some(self, max_size):
        """Return the next bytes, empty at the end, and the number of chunks they began.

        Raises
        ------
        http.client.HTTPException
            The framing is invalid, or the server closed the connection before the end.
        """
        while not self.is_complete:
            data, chunk_count, is_last = self._decode(max_size)
            if is_last:
                response_head.read_fields(self._reader)
                self.is_complete = True
            if data:
                return data, chunk_count
            if not self.is_complete and not self._reader.fill():
                raise http.client.IncompleteRead(b"")
        return b"", 0

    def _decode(self, max_size):
        """Decode what the reader has; returns the data, chunks begun, and the end."""
        buffer = self._reader.buffer
        parts, size, chunk_count, position, is_last = [], 0, 0, 0, False
        while not is_last:
            if self._left:
                part = buffer[position : position + min(self._left, max_size - size)]
                parts.append(part)
                size += len(part)
                position += len(part)
                self._left -= len(part)
                if self._left:
                    break
                self._needs_end = True
            if self._needs_end:
                end = bytes(buffer[position : position + len(_END)])
                if not _END.startswith(end):
                    raise http.client.HTTPException(f"a chunk ends with {end!r}")
                if end != _END:
                    break
                position += len(_END)
                self._needs_end = False
            if size >= max_size or chunk_count >= _MAX_CHUNKS_PER_READ:
                break
            line = _SIZE_LINE.match(buffer, position, position + _MAX_LINE_BYTES)
            if line is None:
                self._check_incomplete_line(buffer, position)
                break
            self._left = int(line[1], 16)
            position = line.end()
            chunk_count += 1
            is_last = not self._left
        self._reader.consume(position)
        return b"".join(parts), chunk_count, is_last

    @staticmethod
    def _check_incomplete_line(buffer, position):
        """Raise unless more bytes may complete the line with a chunk's size."""
        line = bytes(buffer[position : position + _MAX_LINE_BYTES])
        if len(line) == _MAX_LINE_BYTES or not _BEGUN_SIZE_LINE.fullmatch(line):
            raise http.client.HTTPException(f"no size of a chunk: {line[:40]!r}")
