"""Decides which of many hosts writes a record that all of them see as outdated.

Protects the store from the writes of a whole fleet: after a loss of many upstreams each
host has news of the same record, and all conditional writes but one fail and are
repeated. Hosts take turns by rank; what the first one writes reaches the others before
theirs.
"""

import datetime

__all__ = ["WriteTurn"]

_STEP = datetime.timedelta(milliseconds=500)
_REPEAT_DELAY = datetime.timedelta(seconds=1.5)
"""A host sees what it has written after this time at the latest."""

_MAX_RANK = 12
"""Hosts of higher ranks write together; so many before them are hardly all cut off."""


class WriteTurn:
    """Turn of one host to write one record.

    Parameters
    ----------
    find_rank : callable
        Returns the number of live hosts whose turn comes before this host's.
    """

    def __init__(self, find_rank):
        self._find_rank = find_rank
        self._since = None
        self._tried_at = None

    def is_due(self, is_outdated, now):
        """Return whether this host writes the record now.

        Parameters
        ----------
        is_outdated : bool
            Whether the record lacks what this host knows.
        now : datetime.timedelta
            Monotonic time.
        """
        if not is_outdated:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        if now - self._since < min(self._find_rank(), _MAX_RANK) * _STEP:
            return False
        if self._tried_at is not None and now - self._tried_at < _REPEAT_DELAY:
            return False
        self._tried_at = now
        return True
