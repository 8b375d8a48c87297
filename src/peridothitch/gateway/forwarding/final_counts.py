"""Final counts of usage windows, which the store may lose after they were reported.

A holder of the duties writes a window's counts to the store before it reports them. If
the store comes back from an older copy of itself, the next holder has to report the
same counts again or none. So each host keeps the counts that it wrote as the holder
and tells them in its reports, to the holder and its deputy.
"""

import collections
import threading

__all__ = ["FinalCounts"]

_RETAINED_WINDOWS = 8


class FinalCounts:
    """Final counts of the last windows, as far as this host knows."""

    def __init__(self):
        self._lock = threading.Lock()
        self._own_by_window = collections.OrderedDict()
        self._received_by_window = collections.OrderedDict()

    def find(self, window):
        """Return a window's final counts by customer, None if they are unknown."""
        with self._lock:
            own = self._own_by_window.get(window)
            return own if own is not None else self._received_by_window.get(window)

    def record_own(self, window, count_by_customer):
        """Record the counts that this host found in the store or wrote there."""
        with self._lock:
            _add(self._own_by_window, window, count_by_customer)

    def receive(self, counts_by_window):
        """Add the counts that another host has told; the first ones remain."""
        with self._lock:
            for window, count_by_customer in counts_by_window.items():
                _add(self._received_by_window, window, count_by_customer)

    def own(self):
        """Return the counts that this host recorded itself, by window."""
        with self._lock:
            return dict(self._own_by_window)


def _add(counts_by_window, window, count_by_customer):
    counts_by_window.setdefault(window, count_by_customer)
    while len(counts_by_window) > _RETAINED_WINDOWS:
        counts_by_window.popitem(last=False)
