"""Upstreams that have just refused a request for want of room."""

import collections
import datetime
import threading

__all__ = ["FullUpstreams"]

_FULL_TIME = datetime.timedelta(milliseconds=150)
"""Until an upstream whose queue was full is asked again while others have room."""

_MAX_UPSTREAMS = 4096


class FullUpstreams:
    """Excludes upstreams for a short while; safe for several threads at once.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._full_until_by_key = collections.OrderedDict()

    def record(self, host):
        """Record that an upstream refused a request because it was full."""
        until = self._clock.monotonic() + _FULL_TIME
        with self._lock:
            self._full_until_by_key[host.host_id, host.incarnation] = until
            self._full_until_by_key.move_to_end((host.host_id, host.incarnation))
            while len(self._full_until_by_key) > _MAX_UPSTREAMS:
                self._full_until_by_key.popitem(last=False)

    def has_room(self, host):
        """Return whether an upstream has room as far as is known."""
        until = self._full_until_by_key.get((host.host_id, host.incarnation))
        return until is None or self._clock.monotonic() >= until
