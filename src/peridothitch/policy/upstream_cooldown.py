"""How long an upstream that failed is left alone."""

import dataclasses
import datetime

__all__ = ["Cooldown"]

_FIRST = datetime.timedelta(seconds=1)
_LONGEST = datetime.timedelta(seconds=16)
_MAX_DOUBLINGS = 4


@dataclasses.dataclass(frozen=True)
class Cooldown:
    """Pause in which requests prefer other upstreams.

    Attributes
    ----------
    failures : int
        Failed attempts without an answer between them.
    until : datetime.timedelta
        Monotonic time at which the next request tries the upstream again.
    """

    failures: int = 0
    until: datetime.timedelta = datetime.timedelta(0)

    def is_active(self, now):
        """Return whether the pause lasts at a monotonic time."""
        return now < self.until

    def after_failure(self, now):
        """Return the pause after one more failure."""
        length = min(_LONGEST, _FIRST * 2 ** min(self.failures, _MAX_DOUBLINGS))
        return Cooldown(self.failures + 1, max(self.until, now + length))
