"""Sums of what the hosts reported on a customer's quota, updated with each report."""

import dataclasses
import datetime

__all__ = ["HostState", "Totals"]

_ASSUMED_SIZE_WEIGHT = 8
"""Number of hosts' reports that the assumed size of a request counts as."""


@dataclasses.dataclass(frozen=True)
class HostState:
    """What the granting host knows of one host.

    Attributes
    ----------
    incarnation : str
    share_by_customer, used_by_customer, demand_by_customer, size_by_customer : dict
        See `peridothitch.policy.quota_shares.QuotaReport`.
    at : datetime.timedelta
        Monotonic time of the last report.
    has_large_shares : bool
        Whether large shares have not been taken from it yet.
    """

    incarnation: str
    share_by_customer: dict
    used_by_customer: dict
    demand_by_customer: dict
    size_by_customer: dict
    at: datetime.timedelta
    has_large_shares: bool = True


@dataclasses.dataclass
class Totals:
    """Sums over the hosts that have reported, for one customer.

    Attributes
    ----------
    host_count : int
        Number of hosts whose share is known.
    reserved : float
        Sum of their shares, or of what they used if that is more.
    demand : float
        Units per second.
    size, size_count : float, int
        Sum and number of the mean sizes of requests.
    """

    host_count: int = 0
    reserved: float = 0.0
    demand: float = 0.0
    size: float = 0.0
    size_count: int = 0

    def mean_size(self, terms):
        """Return the mean size of a request; few reports change it only a little.

        Parameters
        ----------
        terms : peridothitch.policy.quota_shares.QuotaTerms
        """
        weight = _ASSUMED_SIZE_WEIGHT
        return (self.size + weight * terms.assumed_units) / (self.size_count + weight)

    def add(self, state, customer, sign):
        """Add what a host contributes, or subtract it.

        Parameters
        ----------
        state : HostState
        customer : str
        sign : int
            1 to add, -1 to subtract.
        """
        share = state.share_by_customer.get(customer)
        if share is not None:
            self.host_count += sign
            used = state.used_by_customer.get(customer, 0.0)
            # Units that a host has used count until they leave the window, even if
            # its share has been reduced meanwhile.
            self.reserved += sign * max(share, used)
        self.demand += sign * state.demand_by_customer.get(customer, 0.0)
        size = state.size_by_customer.get(customer)
        if size:
            self.size += sign * size
            self.size_count += sign
