"""Tracks the progress of a streamed answer, so that another upstream can resume it."""

import dataclasses

import msgspec

from peridothitch import errors

__all__ = ["StreamProgress", "ResumePoint", "split_events"]

_DONE = b"data: [DONE]"
_DONE_EVENT = b"data: [DONE]\n\n"
_DATA = b"data: "
_MAX_ID_DIGITS = 18
_ID = b"id: "
_END = b"\n\n"
_TOKEN_MARK = b'"content"'
_FINISH_MARK = b'"finish_reason":"'


@dataclasses.dataclass(frozen=True)
class ResumePoint:
    """Point at which another upstream resumes an answer.

    Attributes
    ----------
    event_id : int
        Number of the next token, which equals the count of received tokens.
    text : str
        Text of the received tokens.
    """

    event_id: int
    text: str


class StreamProgress:
    """The events of one answer, each once and in order.

    Parameters
    ----------
    events : iterable of bytes
        Numbered events that were already received.

    Attributes
    ----------
    events : list of bytes
        Numbered events from 0 on.
    token_count : int
        Events that carry a token.
    done : bool
        Whether the answer is complete.
    """

    def __init__(self, events=()):
        self.events = list(events)
        self.token_count = sum(_TOKEN_MARK in event for event in self.events)
        self.done = any(_DONE in event for event in self.events[-1:])

    def add_event(self, event):
        """Add an upstream's event.

        Returns
        -------
        bytes or None
            The numbered event; None for a duplicate.

        Raises
        ------
        peridothitch.errors.UpstreamError
            Events before this one are missing.
        """
        upstream_id, payload = _split_id(event)
        if upstream_id is not None and upstream_id < self._expected_id():
            return None
        if upstream_id is not None and upstream_id > self.token_count:
            raise errors.UpstreamError(
                errors.Code.STREAM_INTERRUPTED,
                f"event {upstream_id} came instead of {self.token_count}",
                errors.Ran.UNKNOWN,
            )
        return self._append(payload)

    def close(self):
        """Add the end mark if only that is missing.

        Returns
        -------
        bytes or None
            The numbered end mark; None when more is missing.
        """
        if self.done or not self._is_finished():
            return None
        return self._append(_DONE_EVENT)

    def resume_point(self):
        """Return the `ResumePoint` for the next upstream."""
        return ResumePoint(self.token_count, "".join(map(_content, self.events)))

    def since(self, last_event_id):
        """Return the events after the last one the caller received, -1 for none."""
        return self.events[last_event_id + 1 :]

    def _expected_id(self):
        return self.token_count + self._is_finished()

    def _is_finished(self):
        return any(_FINISH_MARK in event for event in self.events[-1:])

    def _append(self, payload):
        numbered = b"id: %d\n" % len(self.events) + payload
        self.events.append(numbered)
        self.token_count += _TOKEN_MARK in payload
        self.done = _DONE in payload
        return numbered


def split_events(body):
    """Split a recorded stream into its events."""
    return [part + _END for part in body.split(_END) if part]


def _split_id(event):
    if not event.startswith(_ID):
        return None, event
    line, _, payload = event.partition(b"\n")
    number = line[len(_ID) :].strip()
    # `int()` refuses very long numbers; this many digits exceed every expected id.
    digits = number[:_MAX_ID_DIGITS]
    return (int(digits) if number.isdigit() else None), payload


def _content(event):
    data = event.rpartition(_DATA)[2]
    if _TOKEN_MARK not in data:
        return ""
    try:
        choices = msgspec.json.decode(data)["choices"]
        return choices[0]["delta"].get("content") or ""
    except (msgspec.DecodeError, LookupError, AttributeError, TypeError):
        return ""
