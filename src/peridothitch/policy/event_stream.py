"""Splits a stream of server-sent events into complete events."""

import dataclasses
import re

__all__ = ["EventSplitter", "StreamEvent"]

_EVENT_END = re.compile(rb"\n\r?\n")
_MAX_END_OVERLAP = 2
"""Bytes of an event's end that may have arrived before its last one."""

_NUMBER = re.compile("[0-9]{1,18}")
_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """One server-sent event.

    Attributes
    ----------
    event_id : str
        Empty if the event has none.
    content : bytes
        Bytes as they were sent, with the blank line that ends the event.
    """

    event_id: str
    content: bytes

    @property
    def number(self):
        """The id as int, None if it is not a number of up to 18 digits."""
        return int(self.event_id) if _NUMBER.fullmatch(self.event_id) else None


class EventSplitter:
    """Buffers bytes until events are complete."""

    def __init__(self):
        self._pending = bytearray()
        self._searched = 0

    @property
    def pending(self):
        """Bytes of an event that is not complete yet."""
        return bytes(self._pending)

    @property
    def pending_size(self):
        """Number of bytes of an event that is not complete yet."""
        return len(self._pending)

    def feed(self, data):
        """Add bytes; returns the events that are complete now as a list.

        Bytes that were searched for the end of an event are not searched again.
        """
        self._pending += data
        events = []
        begin = 0
        start = max(0, self._searched - _MAX_END_OVERLAP)
        for end in _EVENT_END.finditer(self._pending, start):
            events.append(_to_event(bytes(self._pending[begin : end.end()])))
            begin = end.end()
        del self._pending[:begin]
        self._searched = len(self._pending)
        return events


def _to_event(content):
    has_id = content.startswith(b"id:") or b"\nid:" in content
    match = _ID.search(content) if has_id else None
    event_id = match.group(1).decode("latin-1").strip() if match else ""
    return StreamEvent(event_id, content)
