"""Adaptive limit on the concurrent requests to one upstream."""

import dataclasses
import datetime

from peridothitch.policy import document as documents

__all__ = ["ConcurrencyLimit"]

_LIMIT_SHARE_BY_PRIORITY = {
    documents.Priority.URGENT: 1.0,
    documents.Priority.NORMAL: 0.9,
    documents.Priority.BATCH: 0.7,
}
_DECREASE_FACTOR = 0.8
_SLOW_FACTOR = 3.0
_SLOW_MARGIN = datetime.timedelta(milliseconds=250)
_FLOOR_WEIGHT = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConcurrencyLimit:
    """Limit that grows while answers are fast and shrinks when they are slow.

    Attributes
    ----------
    limit : float
        Concurrent requests that this entry host may send to the upstream.
    floor : datetime.timedelta or None
        Time to the first byte of an unloaded upstream.
    minimum, maximum : float
        Bounds of `limit`.
    """

    limit: float = 32.0
    floor: datetime.timedelta | None = None
    minimum: float = 4.0
    maximum: float = 512.0

    def allows(self, in_flight, priority):
        """Return whether one more request of a priority may start."""
        return in_flight < self.limit_for(priority)

    def limit_for(self, priority):
        """Return the number of requests in progress below which one may start."""
        return max(1.0, self.limit * _LIMIT_SHARE_BY_PRIORITY[priority])

    def after_answer(self, first_byte, in_flight):
        """Return the limit after an answer began.

        Parameters
        ----------
        first_byte : datetime.timedelta
            Time to the answer's first byte.
        in_flight : int
            Requests in progress at that time.
        """
        floor = self._next_floor(first_byte)
        if first_byte > max(floor * _SLOW_FACTOR, floor + _SLOW_MARGIN):
            return self._shrink(floor)
        if in_flight < self.limit / 2:
            return dataclasses.replace(self, floor=floor)
        grown = min(self.maximum, self.limit + 1 / self.limit)
        return dataclasses.replace(self, limit=grown, floor=floor)

    def after_refusal(self):
        """Return the limit after the upstream refused a request because of its load."""
        return self._shrink(self.floor)

    def _next_floor(self, first_byte):
        if self.floor is None or first_byte < self.floor:
            return first_byte
        return self.floor + (first_byte - self.floor) * _FLOOR_WEIGHT

    def _shrink(self, floor):
        shrunk = max(self.minimum, self.limit * _DECREASE_FACTOR)
        return dataclasses.replace(self, limit=shrunk, floor=floor)
