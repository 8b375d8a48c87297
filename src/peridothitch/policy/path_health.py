"""Whether this entry host has a path of its own to an upstream."""

import dataclasses
import datetime

__all__ = ["PathHealth"]

_FIRST_HOLD_DOWN = datetime.timedelta(milliseconds=500)
_LONGEST_HOLD_DOWN = datetime.timedelta(seconds=8)
_MAX_DOUBLING_COUNT = 4
_MEMORY = datetime.timedelta(minutes=1)
"""Time without a loss after which the next one counts as the first."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PathHealth:
    """Evidence about the direct path to one upstream.

    All times are monotonic.

    Attributes
    ----------
    is_failing : bool
        Whether the last attempt to open a connection failed.
    failed_at : datetime.timedelta or None
        When such an attempt failed last.
    connected_at : datetime.timedelta or None
        When a connection was opened last.
    unreached_at : datetime.timedelta or None
        When other entry hosts failed last to reach the upstream.
    is_lost : bool
        Whether another entry host has reached the upstream while this one failed to.
    lost_at : datetime.timedelta or None
        When the path was lost last.
    loss_count : int
        Losses in succession, each within a minute of the one before.
    recovering_since : datetime.timedelta or None
        Since when connections to the upstream of a lost path have been opened again.
    """

    is_failing: bool = False
    failed_at: datetime.timedelta | None = None
    connected_at: datetime.timedelta | None = None
    unreached_at: datetime.timedelta | None = None
    is_lost: bool = False
    lost_at: datetime.timedelta | None = None
    loss_count: int = 0
    recovering_since: datetime.timedelta | None = None

    def after_failure(self, now):
        """Return the evidence after a connection could not be opened."""
        return dataclasses.replace(
            self, is_failing=True, failed_at=now, recovering_since=None
        )

    def after_connection(self, now):
        """Return the evidence after a connection was opened.

        A lost path is used again only after a while, longer after each loss, so that a
        path that comes and goes does not take requests each time that it comes.
        """
        if not self.is_lost:
            return dataclasses.replace(self, is_failing=False, connected_at=now)
        since = now if self.recovering_since is None else self.recovering_since
        is_recovered = now - since >= self._hold_down()
        return dataclasses.replace(
            self,
            is_failing=not is_recovered,
            is_lost=not is_recovered,
            connected_at=now,
            recovering_since=None if is_recovered else since,
        )

    def _hold_down(self):
        doublings = min(max(0, self.loss_count - 1), _MAX_DOUBLING_COUNT)
        return min(_LONGEST_HOLD_DOWN, _FIRST_HOLD_DOWN * 2**doublings)

    def after_peer_reached(self, now):
        """Return the evidence after another entry host has reached the upstream."""
        if not self.is_failing or self.is_lost:
            return dataclasses.replace(self, unreached_at=None)
        is_repeated = self.lost_at is not None and now - self.lost_at < _MEMORY
        return dataclasses.replace(
            self,
            unreached_at=None,
            is_lost=True,
            lost_at=now,
            loss_count=self.loss_count + 1 if is_repeated else 1,
        )

    def after_peers_failed(self, now):
        """Return the evidence after other entry hosts have not reached the upstream."""
        return dataclasses.replace(self, unreached_at=now)

    def has_failed_within(self, duration, now):
        """Return whether connections have failed, the last one within `duration`."""
        return self.is_failing and now - self.failed_at <= duration

    def has_connected_within(self, duration, now):
        """Return whether the last connection was opened, and within `duration`."""
        if self.connected_at is None or now - self.connected_at > duration:
            return False
        return self.failed_at is None or self.connected_at > self.failed_at

    def was_unreached_within(self, duration, now):
        """Return whether other hosts failed to reach the upstream within `duration`."""
        return self.unreached_at is not None and now - self.unreached_at <= duration
