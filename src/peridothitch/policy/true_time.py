"""True time on a host whose wall clock may jump.

The offset between wall clock and steady clock is taken once. Later jumps of the wall
clock change nothing; only if most other hosts agree on another offset is that one
taken, since this host may have started while its wall clock was wrong.
"""

import datetime
import statistics

__all__ = ["TrueTime"]

_AGREEMENT = datetime.timedelta(milliseconds=400)
"""Above the wall clocks' usual differences and a round trip; well below a jump."""

_MIN_WITNESSES = 2
_MAX_WITNESSES = 64


class TrueTime:
    """Estimates true time; not safe for use by several threads at once.

    Parameters
    ----------
    wall : datetime.datetime
        Aware.
    steady : datetime.timedelta
        Time on the steady clock at the same moment.
    """

    def __init__(self, wall, steady):
        self._origin = wall - steady
        self._origin_by_witness = {}

    def at(self, steady):
        """Return the aware `datetime` of a time on the steady clock."""
        return self._origin + steady

    def record_peer_time(self, witness, true_time, steady):
        """Take in what another host holds true time to be.

        Parameters
        ----------
        witness : str
            The host's id.
        true_time : datetime.datetime
        steady : datetime.timedelta
            This host's steady clock in the middle of the call.
        """
        self._origin_by_witness.pop(witness, None)
        self._origin_by_witness[witness] = true_time - steady
        while len(self._origin_by_witness) > _MAX_WITNESSES:
            del self._origin_by_witness[next(iter(self._origin_by_witness))]
        if len(self._origin_by_witness) < _MIN_WITNESSES:
            return
        origins = [*self._origin_by_witness.values(), self._origin]
        middle = statistics.median_low(origins)
        if abs(middle - self._origin) > _AGREEMENT:
            self._origin = middle
