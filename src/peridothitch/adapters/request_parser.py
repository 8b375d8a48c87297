"""Parser of callers' requests that counts what they hold."""

import waitress.parser
import waitress.utilities

from peridothitch.adapters import request_body

__all__ = ["MemoryShortageError", "RequestParser"]

_HEAD_COPIES = 3
_FIELD_BYTES = 384
"""Memory of a parsed header field beyond its characters."""


class MemoryShortageError(waitress.utilities.BadRequest):
    """The request had to yield its memory to others."""

    code = 503
    reason = "Service Unavailable"


class RequestParser(waitress.parser.HTTPRequestParser):
    """Receives one request.

    Parameters
    ----------
    adj : waitress.adjustments.Adjustments
        With the attribute `request_room`, a `peridothitch.policy.request_room`.
    source : str
        IP address of the caller.
    """

    def __init__(self, adj, source=""):
        super().__init__(adj)
        self._source = source
        self._parsed_head_bytes = 0
        self._holding = None

    def __del__(self):
        # The library drops requests behind one whose caller has left without closing
        # them.
        self.close()

    @property
    def is_stalled(self):
        """Whether the request has made too little progress."""
        return self._holding is not None and self._holding.is_stalled

    def received(self, data):
        """Take a part of the input; returns the number of bytes taken."""
        if self.error:
            self.completed = True
            return len(data)
        if self.body_rcv is None:
            consumed = super().received(data)
        else:
            consumed = self._receive_body(data)
        self._count()
        if self.completed:
            # The library would ask for a body that is refused or isn't there.
            self.expect_continue = False
        return consumed

    def parse_header(self, header_plus):
        """Parse the head."""
        super().parse_header(header_plus)
        field_count = header_plus.count(b"\n")
        self._parsed_head_bytes = (
            _HEAD_COPIES * len(header_plus) + _FIELD_BYTES * field_count
        )
        if self.chunked:
            max_bytes = self.adj.max_request_body_size - 1
            self.body_rcv = request_body.ChunkedBody(max_bytes)
        elif self.body_rcv is not None:
            self.body_rcv = request_body.FixedBody(self.content_length)

    def refuse(self, reason):
        """Refuse the request, which hasn't been received completely."""
        held = self._holding.size
        self.expect_continue = False
        self.error = MemoryShortageError(
            f"request memory is short, {reason}: {held} bytes of {self._source}"
        )
        self.close()

    def close(self):
        """Free what the request holds."""
        super().close()
        self.header_plus = b""
        if self._holding is not None:
            self._holding.release()

    def _receive_body(self, data):
        body = self.body_rcv
        consumed = body.received(data)
        self.body_bytes_received += consumed
        self.error = body.error
        self.completed = bool(body.completed or body.error)
        if body.completed and self.chunked:
            self.headers["CONTENT_LENGTH"] = str(len(body))
        return consumed

    def _count(self):
        if self.error or self.empty:
            self.close()
            return
        if self._holding is None:
            self._holding = self.adj.request_room.add(self._source, self.refuse)
        size = len(self.header_plus) + self._parsed_head_bytes
        remaining = None
        if self.body_rcv is not None:
            size += self.body_rcv.size
            remaining = self.body_rcv.remaining
        if not self._holding.grow(size, remaining):
            self.refuse("largest")
            self.completed = True
        elif self.completed:
            self._holding.complete()
