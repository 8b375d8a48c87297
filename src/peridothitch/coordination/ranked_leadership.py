"""Leadership of the entry host that ranks first by hash, without a lease.

Two hosts may both rank themselves first while their lists of members differ. That costs
store calls; it can't corrupt what is written by compare-and-swap.
"""

import xxhash

from peridothitch.ports import leadership

__all__ = ["RankedLeadership"]


class RankedLeadership(leadership.Leadership):
    """Leadership for a task, held by the live host whose hash with it is the lowest.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    task : str
        Name of the task; each task ranks the hosts in a different order.
    """

    fencing_number = 0  # constant, since there is no lease whose holders are numbered

    def __init__(self, peers, task):
        self._peers = peers
        self._task = task
        self._ranked_members = frozenset()
        self._first_id = None

    def is_held(self):
        """Return whether this host ranks first."""
        members = frozenset(self._peers.members())
        if members != self._ranked_members:
            self._first_id = min(members, key=self._rank, default=None)
            self._ranked_members = members
        return self._peers.host_id == self._first_id

    def _rank(self, host_id):
        return xxhash.xxh64_intdigest(f"{self._task}/{host_id}".encode()), host_id
