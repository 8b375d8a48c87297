"""Shares one customer's quota among entry hosts without a call for each request.

Every entry host has a token bucket with its share of the customer's rate and of what
may be used at once. The shares follow demand, with a part that is equal for all, so
that a host whose demand has just begun is not left with nothing. A request is admitted
while the bucket isn't empty and may overdraw it once: at many hosts a share is smaller
than a request.
"""

import dataclasses
import math

__all__ = ["CustomerBucket", "bucket_depth", "share_of"]

_EVEN_PART = 0.15
"""Part of a quota that all entry hosts share evenly; covers demand not yet seen."""

_USED_EXCESS = 0.75
_USED_EXCESS_WHEN_FULL = 0.35
"""Parts of the permitted excess that are planned; the rest covers stale shares.

Less is planned for a customer that asks for all of its quota: its hosts then overdraw
their shares all the time.
"""

_FULL = 0.9
"""Part of a quota's rate from which a customer is taken to ask for all of it."""

_DEMAND_SECONDS = 3.0
"""Time constant of the demand's average; above the reports' period of a second."""

_FIRST_PART = 0.3
"""Part of its depth that a new bucket holds; its process may have just restarted."""

_LOWEST_RATE = 1e-9


def share_of(demand, total_demand, host_count):
    """Return the share of one entry host in a quota.

    Parameters
    ----------
    demand, total_demand : float
        Units a second asked for at this host and at all.
    host_count : int

    Returns
    -------
    float
        The shares of all hosts add up to 1.
    """
    even = 1.0 / max(1, host_count)
    if total_demand <= 0:
        return even
    return (1 - _EVEN_PART) * min(1.0, demand / total_demand) + _EVEN_PART * even


def bucket_depth(quota, promises, total_demand):
    """Return how many units all hosts may hand out at once.

    In the window that use is held against, the depth and the rate add up to less than
    the quota and its permitted excess.

    Parameters
    ----------
    quota : peridothitch.ports.forwarding.Quota
    promises : peridothitch.ports.site.Promises
    total_demand : float
        Units a second asked for at all hosts.
    """
    window = promises.quota_window.total_seconds()
    whole = quota.rate * window + quota.burst
    excess = promises.quota_excess_share * whole + promises.quota_excess
    is_full = total_demand > _FULL * quota.rate
    used = _USED_EXCESS_WHEN_FULL if is_full else _USED_EXCESS
    return quota.burst + used * excess


@dataclasses.dataclass
class CustomerBucket:
    """What one entry host may still hand out to one customer.

    All times are monotonic seconds.

    Attributes
    ----------
    rate, depth : float
        This host's units a second, and the most that it saves up.
    balance : float
        Units left; below 0 after a request that overdrew it.
    demand : float
        Units a second asked for, averaged.
    """

    rate: float = 0.0
    depth: float = 0.0
    balance: float = 0.0
    demand: float = 0.0
    _updated: float = math.nan

    def set_share(self, rate, depth, now):
        """Take a new share; a new bucket begins with a part of its depth."""
        is_new = math.isnan(self._updated)
        self._advance(now)
        self.rate = rate
        self.depth = depth
        self.balance = _FIRST_PART * depth if is_new else min(self.balance, depth)

    def ask(self, units, now):
        """Take `units` unless the bucket is empty; returns whether they were taken."""
        self._advance(now)
        self.demand += units / _DEMAND_SECONDS
        if self.balance <= 0:
            return False
        self.balance -= units
        return True

    def give_back(self, units):
        """Return the units of a request that did not run."""
        self.balance = min(self.depth, self.balance + units)

    def wait_seconds(self):
        """Return how long it takes until the bucket isn't empty."""
        if self.balance > 0:
            return 0.0
        return -self.balance / max(self.rate, _LOWEST_RATE)

    def _advance(self, now):
        if math.isnan(self._updated):
            self._updated = now
        passed = max(0.0, now - self._updated)
        self._updated = now
        self.balance = min(self.depth, self.balance + passed * self.rate)
        self.demand *= math.exp(-passed / _DEMAND_SECONDS)
