"""True time on a host whose wall clock may jump.

The offset between wall clock and steady clock is read once. Later jumps of the wall
clock have no effect; only if most other hosts agree on another offset is that one used,
since this host may have started while its wall clock was wrong.
"""

import datetime
import statistics

__all__ = ["TrueTime"]

_MAX_CLOCK_DIFFERENCE = datetime.timedelta(milliseconds=400)
"""Above the wall clocks' usual differences and a round trip; well below a jump."""

_MIN_PEER_COUNT = 2
_MAX_PEER_COUNT = 64


class TrueTime:
    """Estimates true time; not safe for use by several threads at once.

    Parameters
    ----------
    wall : datetime.datetime
        Aware wall-clock time.
    steady : datetime.timedelta
        Time of the steady clock at the same moment.
    """

    def __init__(self, wall, steady):
        self._origin = wall - steady
        self._origin_by_peer_id = {}

    def at(self, steady):
        """Return the aware `datetime` of a time on the steady clock."""
        return self._origin + steady

    def record_peer_time(self, peer_id, true_time, steady):
        """Record another host's estimate of true time.

        Parameters
        ----------
        peer_id : str
            The host's id.
        true_time : datetime.datetime
        steady : datetime.timedelta
            This host's steady clock in the middle of the call.
        """
        self._origin_by_peer_id.pop(peer_id, None)
        self._origin_by_peer_id[peer_id] = true_time - steady
        while len(self._origin_by_peer_id) > _MAX_PEER_COUNT:
            del self._origin_by_peer_id[next(iter(self._origin_by_peer_id))]
        if len(self._origin_by_peer_id) < _MIN_PEER_COUNT:
            return
        origins = [*self._origin_by_peer_id.values(), self._origin]
        median = statistics.median_low(origins)
        if abs(median - self._origin) > _MAX_CLOCK_DIFFERENCE:
            self._origin = median
