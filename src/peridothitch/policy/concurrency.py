"""How many requests one upstream is given at a time."""

import dataclasses
import datetime

from peridothitch.policy import document as documents

__all__ = ["ConcurrencyLimit"]

_SHARE_BY_PRIORITY = {
    documents.Priority.URGENT: 1.0,
    documents.Priority.NORMAL: 0.9,
    documents.Priority.BATCH: 0.7,
}
_DECREASE = 0.8
_SLOW_FACTOR = 3.0
_SLOW_MARGIN = datetime.timedelta(milliseconds=250)
_FLOOR_WEIGHT = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConcurrencyLimit:
    """Limit that grows while answers stay quick and shrinks when they don't.

    Attributes
    ----------
    limit : float
        Requests that the upstream may have from this entry host.
    floor : datetime.timedelta or None
        Time to the first byte of an upstream that isn't loaded.
    minimum, maximum : float
        Bounds of `limit`.
    """

    limit: float = 32.0
    floor: datetime.timedelta | None = None
    minimum: float = 4.0
    maximum: float = 512.0

    def allows(self, in_flight, priority):
        """Return whether one more request of a priority fits."""
        return in_flight < self.limit_for(priority)

    def limit_for(self, priority):
        """Return how many requests may be in progress when one of a priority starts."""
        return max(1.0, self.limit * _SHARE_BY_PRIORITY[priority])

    def after_answer(self, first_byte, in_flight):
        """Return the limit after an answer began.

        Parameters
        ----------
        first_byte : datetime.timedelta
            Time to the answer's first byte.
        in_flight : int
            Requests in progress then.
        """
        floor = self._next_floor(first_byte)
        if first_byte > max(floor * _SLOW_FACTOR, floor + _SLOW_MARGIN):
            return self._shrink(floor)
        if in_flight < self.limit / 2:
            return dataclasses.replace(self, floor=floor)
        grown = min(self.maximum, self.limit + 1 / self.limit)
        return dataclasses.replace(self, limit=grown, floor=floor)

    def after_refusal(self):
        """Return the limit after the upstream refused a request for its load."""
        return self._shrink(self.floor)

    def _next_floor(self, first_byte):
        if self.floor is None or first_byte < self.floor:
            return first_byte
        return self.floor + (first_byte - self.floor) * _FLOOR_WEIGHT

    def _shrink(self, floor):
        shrunk = max(self.minimum, self.limit * _DECREASE)
        return dataclasses.replace(self, limit=shrunk, floor=floor)
