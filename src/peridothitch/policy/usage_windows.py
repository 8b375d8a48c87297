"""Counts the requests that started to run in each time window."""

import datetime

__all__ = ["UsageWindows", "join_counts", "sum_counts", "window_of"]

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


def window_of(moment, length):
    """Return the number of the window that contains an aware `datetime`."""
    return (moment - _EPOCH) // length


class UsageWindows:
    """One entry host's request counts of its latest windows.

    Parameters
    ----------
    length : datetime.timedelta
    window_count : int
        Number of windows that are kept.
    """

    def __init__(self, length, window_count):
        self._length = length
        self._window_count = window_count
        self._counts_by_window = {}

    def add(self, customer, moment):
        """Count a request that started to run at a moment."""
        window = window_of(moment, self._length)
        counts = self._counts_by_window.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + 1
        for old in [
            w for w in self._counts_by_window if w <= window - self._window_count
        ]:
            del self._counts_by_window[old]

    def counts(self):
        """Return the counts by customer by window."""
        return {
            window: dict(counts) for window, counts in self._counts_by_window.items()
        }


def sum_counts(counts_by_host, window):
    """Add up the counts of one window over hosts.

    Parameters
    ----------
    counts_by_host : dict of str to dict of int to dict of str to int
    window : int

    Returns
    -------
    dict of str to int
    """
    total = {}
    for counts_by_window in counts_by_host.values():
        for customer, count in counts_by_window.get(window, {}).items():
            total[customer] = total.get(customer, 0) + count
    return total


def join_counts(first, second):
    """Merge two states of one process's counts by maximum, since counts only grow.

    Parameters
    ----------
    first, second : dict of int to dict of str to int
        Counts by customer by window.
    """
    joined = {window: dict(counts) for window, counts in first.items()}
    for window, counts in second.items():
        known = joined.setdefault(window, {})
        for customer, count in counts.items():
            known[customer] = max(count, known.get(customer, 0))
    return joined
