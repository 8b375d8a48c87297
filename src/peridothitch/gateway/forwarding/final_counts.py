"""Final counts of usage windows, which the store may lose after they were reported.

A holder of the duties writes a window's counts to the store before it reports them. If
the store comes back from an older copy of itself, the next holder has to report the
same counts again or none. So each host keeps the counts that it wrote as the holder
and tells them in its reports, to the holder and its deputy, with the fencing number
under which it held the duties last.
"""

import collections
import threading

from peridothitch.ports import store

__all__ = ["FinalCounts"]

_RETAINED_WINDOWS = 8
_RETAINED_NUMBERS = 16


class FinalCounts:
    """Final counts of the last windows, as far as this host knows.

    Attributes
    ----------
    held_number : int
        Fencing number under which this process held the duties last, 0 if never.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._own_by_window = {}
        self._received_by_window = {}
        self._told_numbers = collections.deque(maxlen=_RETAINED_NUMBERS)
        self._seen_numbers = collections.deque(maxlen=_RETAINED_NUMBERS)
        self.held_number = 0

    def find(self, window):
        """Return a window's final counts by customer, None if they are unknown."""
        with self._lock:
            own = self._own_by_window.get(window)
            return own if own is not None else self._received_by_window.get(window)

    def begin_term(self, number):
        """Record that this process holds the duties under a fencing number."""
        with self._lock:
            self.held_number = number
            self._told_numbers.append(number)

    def record_own(self, window, count_by_customer):
        """Record the counts that this host found in the store or wrote there."""
        with self._lock:
            _add(self._own_by_window, window, count_by_customer)

    def receive(self, counts_by_window, held_number):
        """Add what another process has told; the first counts remain."""
        with self._lock:
            for window, count_by_customer in counts_by_window.items():
                _add(self._received_by_window, window, count_by_customer)
            if held_number and held_number not in self._told_numbers:
                self._told_numbers.append(held_number)

    def own(self):
        """Return the counts that this host recorded itself, by window."""
        with self._lock:
            return dict(self._own_by_window)

    def record_holder(self, number):
        """Record the fencing number of a holder that this host sees; 0 for none."""
        with self._lock:
            if number and number not in self._seen_numbers:
                self._seen_numbers.append(number)

    def knows_all_before(self, era):
        """Return whether the last holder before an era has told its counts.

        Windows of which it told nothing were not reported, then.
        """
        with self._lock:
            before = [n for n in self._seen_numbers if store.era_of(n) < era]
            return bool(before) and max(before) in self._told_numbers


def _add(counts_by_window, window, count_by_customer):
    """Add a window's first counts; the latest windows are kept."""
    counts_by_window.setdefault(window, count_by_customer)
    while len(counts_by_window) > _RETAINED_WINDOWS:
        del counts_by_window[min(counts_by_window)]
