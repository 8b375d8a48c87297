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

    def is_held(self):
        """Return whether this host ranks first."""
        return self._peers.host_id == min(self._peers.members(), key=self._rank)

    def _rank(self, host_id):
        return xxhash.xxh64_intdigest(f"{self._task}/{host_id}"), host_id
