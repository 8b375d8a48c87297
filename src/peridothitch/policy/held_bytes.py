"""Limits the bytes that a process holds for many requests or responses together.

The limit of a single one doesn't bound what many of them hold at once. Each group may
use a share of the whole, so that the large ones of one group leave room for others.
"""

import threading

__all__ = ["HeldBytes", "Holding"]

_DEFAULT_LIMIT = 24 << 20
"""Above what sound upstreams' large bodies need, and small beside a host's memory."""

_GROUP_SHARE = 0.5


class HeldBytes:
    """Counts bytes by group, such as a service; safe for several threads at once.

    Parameters
    ----------
    limit : int
        Bytes that all groups may hold together.
    group_share : float
        Share of the limit that one group may hold.
    """

    def __init__(self, limit=_DEFAULT_LIMIT, group_share=_GROUP_SHARE):
        self._group_share = group_share
        self.limit = limit
        self._lock = threading.Lock()
        self._size_by_group = {}

    @property
    def total(self):
        """Bytes held for all groups."""
        with self._lock:
            return sum(self._size_by_group.values())

    def add(self, group, size):
        """Count further bytes; returns False, and counts none, above a limit."""
        with self._lock:
            held = self._size_by_group.get(group, 0) + size
            total = sum(self._size_by_group.values()) + size
            if held > self._group_share * self.limit or total > self.limit:
                return False
            self._size_by_group[group] = held
            return True

    def remove(self, group, size):
        """Count bytes no longer."""
        if not size:
            return
        with self._lock:
            held = self._size_by_group[group] - size
            self._size_by_group[group] = held
            if not held:
                del self._size_by_group[group]


class Holding:
    """What one response holds.

    Parameters
    ----------
    held : HeldBytes
    service : str
    free_bytes : int
        Size up to which nothing is counted.
    """

    def __init__(self, held, service, free_bytes):
        self._held = held
        self._service = service
        self._free_bytes = free_bytes
        self._counted = 0

    def resize(self, size):
        """Hold `size` bytes from now on; returns whether that is within the limits."""
        counted = max(0, size - self._free_bytes)
        if counted <= self._counted:
            self._held.remove(self._service, self._counted - counted)
        elif not self._held.add(self._service, counted - self._counted):
            return False
        self._counted = counted
        return True

    def release(self):
        """Hold nothing any more."""
        self.resize(0)
