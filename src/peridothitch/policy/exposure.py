"""Limits the requests to an unproved version and selects the hosts that send them."""

import math

import xxhash

__all__ = [
    "ExposureBudget",
    "canary_host_count",
    "choose_canary_hosts",
    "is_sample_wanted",
    "load_share",
]

NOMINAL_SHARE_OF_CAP = 0.75
"""Planned share of the permitted exposure; the rest covers unequal hosts."""

SAMPLES_PER_ROUTE = 40
"""Attempts of the new version that every route needs."""

_MAX_LOAD_SHARE = 0.25
_MIN_CANARY_HOST_COUNT = 2
_LOADED_RESERVE_SHARE = 0.5


def canary_host_count(host_count, max_exposed_share):
    """Return the number of entry hosts that send requests to an unproved version."""
    wanted = math.ceil(2 * max_exposed_share * host_count)
    return min(host_count, max(_MIN_CANARY_HOST_COUNT, wanted))


def choose_canary_hosts(move_id, host_ids, max_exposed_share):
    """Return the canary entry hosts of a move; equal for equal sets of entry hosts."""

    def rank(host_id):
        return xxhash.xxh64_intdigest(f"{move_id}/{host_id}".encode()), host_id

    count = canary_host_count(len(host_ids), max_exposed_share)
    return frozenset(sorted(host_ids, key=rank)[:count])


def load_share(new_host_count, old_host_count):
    """Return the share of requests that loads both versions' hosts equally."""
    if not new_host_count:
        return 0.0
    share = new_host_count / (new_host_count + old_host_count)
    return min(_MAX_LOAD_SHARE, share)


def is_sample_wanted(samples):
    """Return whether a route needs more attempts of the new version."""
    return samples < SAMPLES_PER_ROUTE


class ExposureBudget:
    """Requests that one entry host may send to an unproved version.

    Every request of the service earns a fraction of a request; half of what was earned
    is reserved for the periods when the new version is loaded like the old one.

    Parameters
    ----------
    max_exposed_share : float
        Largest share over the whole fleet.
    """

    def __init__(self, max_exposed_share):
        self._earned_per_request = NOMINAL_SHARE_OF_CAP * max_exposed_share
        self._earned = 0.0
        self._spread_count = 0
        self._loaded_count = 0

    @property
    def spent(self):
        """Requests sent to the new version."""
        return self._spread_count + self._loaded_count

    def earn(self, host_count, canary_hosts):
        """Add the fraction that one request of the service earns.

        Parameters
        ----------
        host_count : int
            Live entry hosts.
        canary_hosts : int
            Number of canary entry hosts of the move.
        """
        self._earned += self._earned_per_request * host_count / canary_hosts

    def spend(self, loaded):
        """Spend one request of the budget.

        Parameters
        ----------
        loaded : bool
            Whether the new version is being loaded like the old one.

        Returns
        -------
        bool
            Whether the request may go to the new version.
        """
        if self._earned - self.spent < 1.0:
            return False
        if loaded:
            self._loaded_count += 1
            return True
        if self._earned * (1.0 - _LOADED_RESERVE_SHARE) - self._spread_count < 1.0:
            return False
        self._spread_count += 1
        return True
