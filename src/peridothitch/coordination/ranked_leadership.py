"""A decider that all entry hosts agree on by hash, without a lease.

Two hosts may both believe to be first while their views differ. That costs calls of the
store; it can't harm what is kept by compare-and-swap.
"""

import xxhash

from peridothitch.ports import leadership

__all__ = ["RankedLeadership"]


class RankedLeadership(leadership.Leadership):
    """Held by the live host that ranks first for a task.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    task : str
        What is decided; each task ranks the hosts in another order.
    """

    fencing_number = 0

    def __init__(self, peers, task):
        self._peers = peers
        self._task = task
        self._ranked = frozenset()
        self._first = None

    def is_held(self):
        """Return whether this host ranks first."""
        members = frozenset(self._peers.members())
        if members != self._ranked:
            self._first = min(members, key=self._rank, default=None)
            self._ranked = members
        return self._peers.host_id == self._first

    def _rank(self, host_id):
        return xxhash.xxh64_intdigest(f"{self._task}/{host_id}".encode()), host_id
