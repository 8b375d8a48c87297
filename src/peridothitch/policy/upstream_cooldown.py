"""Cooldown during which a failed upstream is avoided."""

import dataclasses
import datetime

__all__ = ["Cooldown"]

_FIRST_COOLDOWN = datetime.timedelta(seconds=1)
_LONGEST_COOLDOWN = datetime.timedelta(seconds=16)
_MAX_DOUBLING_COUNT = 4


@dataclasses.dataclass(frozen=True)
class Cooldown:
    """Cooldown during which requests prefer other upstreams.

    Attributes
    ----------
    failures : int
        Consecutive failed attempts.
    until : datetime.timedelta
        Monotonic time from which requests may use the upstream again.
    """

    failures: int = 0
    until: datetime.timedelta = datetime.timedelta(0)

    def is_active(self, now):
        """Return whether the cooldown is active at a monotonic time."""
        return now < self.until

    def after_failure(self, now):
        """Return the cooldown after one more failure.

        Failures during a cooldown do not extend it: one crash breaks the connections of
        all requests that were sent before.
        """
        if self.is_active(now):
            return self
        length = min(
            _LONGEST_COOLDOWN,
            _FIRST_COOLDOWN * 2 ** min(self.failures, _MAX_DOUBLING_COUNT),
        )
        return Cooldown(self.failures + 1, now + length)
