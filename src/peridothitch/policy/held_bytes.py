"""Limits the bytes of responses that a process holds for all requests together.

The limit of a single response doesn't bound what many of them hold at once. Each
service may use a share of the whole, so that its large responses leave room for those
of others.
"""

import threading

__all__ = ["HeldBytes", "Holding"]

_DEFAULT_LIMIT = 24 << 20
"""Above what sound upstreams' large bodies need, and small beside a host's memory."""

_SERVICE_SHARE = 0.5


class HeldBytes:
    """Counts bytes by service; safe for several threads at once.

    Parameters
    ----------
    limit : int
        Bytes that all services may hold together.
    """

    def __init__(self, limit=_DEFAULT_LIMIT):
        self._limit = limit
        self._service_limit = int(limit * _SERVICE_SHARE)
        self._lock = threading.Lock()
        self._size_by_service = {}

    @property
    def total(self):
        """Bytes held for all services."""
        with self._lock:
            return sum(self._size_by_service.values())

    def add(self, service, size):
        """Count further bytes; returns False, and counts none, above a limit."""
        with self._lock:
            held = self._size_by_service.get(service, 0) + size
            total = sum(self._size_by_service.values()) + size
            if held > self._service_limit or total > self._limit:
                return False
            self._size_by_service[service] = held
            return True

    def remove(self, service, size):
        """Count bytes no longer."""
        if not size:
            return
        with self._lock:
            held = self._size_by_service[service] - size
            self._size_by_service[service] = held
            if not held:
                del self._size_by_service[service]


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
