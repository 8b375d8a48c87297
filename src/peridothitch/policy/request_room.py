"""Decides which requests a listener refuses while memory for them is short.

The load: many callers at once, each with a body inside the limit of a single one, most
of which stop before their end or come too slowly to be worth their memory. Bodies
without progress yield before others, those of the source that holds most before those
of another, large ones before small ones. Requests that have been received completely
never yield, since they may have run.
"""

import datetime

from peridothitch.policy import held_bytes

__all__ = [
    "LARGE",
    "SMALL",
    "Holding",
    "RequestRoom",
    "connection_limit",
    "make_account",
    "make_held_bytes",
]

SMALL = "small requests"
LARGE = "large requests"
_SMALL_REQUEST_BYTES = 64 << 10
_LARGE_SHARE = 0.75
"""Share of the memory for large requests; the rest stays free for small ones."""

_MEMORY_SHARE = 0.2
_CONNECTION_SHARE = 0.375
_MAX_CONNECTIONS = 1500
_BODIES_HELD = 2
"""Largest bodies that fit at the same time, whatever the limit is."""

_STALL_TIME = datetime.timedelta(seconds=2)
_PROGRESS_BYTES = 8 << 10
"""Received within the stall time by a caller on a slow line."""

_NEARLY_COMPLETE_SHARE = 0.125


def make_account(capacity):
    """Return the account of all requests in a process on a host of a given size.

    Parameters
    ----------
    capacity : peridothitch.ports.entry_settings.HostCapacity

    Returns
    -------
    peridothitch.policy.held_bytes.HeldBytes
    """
    limit = capacity.request_memory_bytes
    if limit is None:
        limit = int(_MEMORY_SHARE * capacity.memory_bytes)
    return make_held_bytes(limit)


def connection_limit(capacity):
    """Return the number of callers' connections that one process keeps."""
    return min(_MAX_CONNECTIONS, int(_CONNECTION_SHARE * capacity.descriptor_count))


def make_held_bytes(limit):
    """Return the account of all requests that a process holds.

    Parameters
    ----------
    limit : int
        In bytes.

    Returns
    -------
    peridothitch.policy.held_bytes.HeldBytes
    """
    return held_bytes.HeldBytes(limit, _LARGE_SHARE)


class Holding:
    """What one request holds.

    Parameters
    ----------
    room : RequestRoom
    source : str
        IP address of the caller.
    on_refused : callable
        Called with a reason when the request has to yield; it frees its memory.

    Attributes
    ----------
    size : int
        Bytes counted.
    """

    def __init__(self, room, source, on_refused):
        self._room = room
        self.source = source
        self.refuse = on_refused
        self._group = SMALL
        self._counted = 0
        self.size = 0
        self._remaining = None
        self._is_released = False
        self._progress_size = 0
        self._progress_at = room.now()

    @property
    def is_large(self):
        """Whether it counts as a large request."""
        return self.size > _SMALL_REQUEST_BYTES

    @property
    def is_nearly_complete(self):
        """Whether all but a small part of a body of known length has been received."""
        if self._remaining is None:
            return False
        return self._remaining <= _NEARLY_COMPLETE_SHARE * (self.size + self._remaining)

    @property
    def is_stalled(self):
        """Whether it has made too little progress to be worth its memory."""
        return self._room.now() - self._progress_at > _STALL_TIME

    def grow(self, size, remaining=None):
        """Hold `size` bytes from now on.

        Parameters
        ----------
        size : int
        remaining : int or None
            Bytes to come; None if their number isn't known.

        Returns
        -------
        bool
            Whether there is room, after other requests have yielded if need be. False
            once the request has been released.
        """
        if self._is_released:
            return False
        self.size = max(size, self.size)
        self._remaining = remaining
        if self.size - self._progress_size >= _PROGRESS_BYTES:
            self._progress_size = self.size
            self._progress_at = self._room.now()
        return self._room.make_room(self)

    def count(self, held):
        """Count the current size in an account; returns whether it fits."""
        group = LARGE if self.is_large else SMALL
        if group == self._group:
            if self.size == self._counted:
                return True
            if not held.add(group, self.size - self._counted):
                return False
        else:
            held.remove(self._group, self._counted)
            self._group, self._counted = group, 0
            if not held.add(group, self.size):
                return False
        self._counted = self.size
        return True

    def complete(self):
        """Yield no more; the bytes stay counted."""
        self.refuse = None
        self._room.remove(self)

    def release(self):
        """Hold nothing any more."""
        self._is_released = True
        self._room.remove(self)
        counted, self._counted = self._counted, 0
        self._room.held.remove(self._group, counted)


class RequestRoom:
    """Requests that one listener is receiving; several may share an account.

    Parameters
    ----------
    held : peridothitch.policy.held_bytes.HeldBytes
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, held, clock):
        self.held = held
        self._limit = held.limit
        self._clock = clock
        self._receiving = {}

    def now(self):
        """Return the monotonic time."""
        return self._clock.monotonic()

    def set_body_limit(self, size):
        """Leave room for bodies of the largest size that callers may send."""
        self.held.limit = max(self._limit, int(_BODIES_HELD * size / _LARGE_SHARE))

    def add(self, source, on_refused):
        """Return the `Holding` of a request that begins."""
        holding = Holding(self, source, on_refused)
        self._receiving[holding] = None
        return holding

    def remove(self, holding):
        """Let a request yield no more."""
        self._receiving.pop(holding, None)

    def make_room(self, holding):
        """Count what a request holds; others yield, or it is refused itself.

        Returns
        -------
        bool
            False if the request itself has to yield.
        """
        while not holding.count(self.held):
            victim = self._find_victim(holding)
            if victim is holding:
                return False
            reason = "stalled" if victim.is_stalled else "largest"
            victim.release()
            victim.refuse(reason)
        return True

    def _find_victim(self, asking):
        candidates = [
            holding
            for holding in self._receiving
            if holding.is_large or not asking.is_large
        ]
        stalled = [holding for holding in candidates if holding.is_stalled]
        interruptible = [
            holding for holding in candidates if not holding.is_nearly_complete
        ]
        chosen = stalled or interruptible
        if not chosen:
            return asking
        size_by_source = {}
        for holding in chosen:
            held = size_by_source.get(holding.source, 0)
            size_by_source[holding.source] = held + holding.size
        return max(chosen, key=lambda h: (size_by_source[h.source], h.size))
