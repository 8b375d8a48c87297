"""Splits a stream of server-sent events into complete events."""

import dataclasses
import re

__all__ = ["EventSplitter", "StreamEvent"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
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
        """The id as int, None if it is not a number."""
        return int(self.event_id) if self.event_id.isdigit() else None


class EventSplitter:
    """Buffers bytes until events are complete."""

    def __init__(self):
        self._pending = b""

    @property
    def pending(self):
        """Bytes of an event that is not complete yet."""
        return self._pending

    def feed(self, data):
        """Add bytes; returns the events that are complete now as a list."""
        self._pending += data
        events = []
        begin = 0
        for end in _EVENT_END.finditer(self._pending):
            events.append(_to_event(self._pending[begin : end.end()]))
            begin = end.end()
        self._pending = self._pending[begin:]
        return events


def _to_event(content):
    match = _ID.search(content)
    event_id = match.group(1).decode("latin-1").strip() if match else ""
    return StreamEvent(event_id, content)
