"""Shares of the customers' quotas that one host grants to all entry hosts.

The shares of a customer never add up to more than its whole quota: a host's share grows
only by what other hosts released before. The share of a host that stops reporting stays
valid on both sides of the broken link until the grant has expired.
"""

import dataclasses
import datetime

from peridothitch.policy import token_quota

__all__ = ["GRANT_LIFETIME", "QuotaReport", "QuotaShares"]

GRANT_LIFETIME = datetime.timedelta(seconds=30)
"""Time that a host may use its last shares without contact to the granting host."""

_EXPIRY_MARGIN = datetime.timedelta(seconds=2)
"""Extra time for which the granting host counts a grant as valid."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaReport:
    """Quota use and demand that a host reports.

    Attributes
    ----------
    host_id, incarnation : str
        The host and its process.
    share_by_customer : dict of str to float
        Shares that the host may use, whichever host granted them.
    used_by_customer : dict of str to float
        Parts of the quotas that it used in the last window.
    demand_by_customer : dict of str to float
        Units per second that were requested at it.
    size_by_customer : dict of str to float
        Mean units of a request.
    """

    host_id: str
    incarnation: str
    share_by_customer: dict
    used_by_customer: dict
    demand_by_customer: dict
    size_by_customer: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class _Grant:
    incarnation: str
    share_by_customer: dict
    used_by_customer: dict
    demand_by_customer: dict
    size_by_customer: dict
    at: datetime.timedelta


class QuotaShares:
    """Grants by host; times are monotonic. Not safe for several threads at once."""

    def __init__(self):
        self._grant_by_host = {}
        self._first_granted_at = None

    def age(self, now):
        """Return the time since the first grant of this host."""
        return (
            now - self._first_granted_at
            if self._first_granted_at is not None
            else datetime.timedelta(0)
        )

    @property
    def host_count(self):
        """Number of hosts whose grants are counted."""
        return len(self._grant_by_host)

    def grant(self, report, host_count, now):
        """Grant shares to a host that reports.

        Parameters
        ----------
        report : QuotaReport
        host_count : int
            Number of hosts considered live.
        now : datetime.timedelta

        Returns
        -------
        dict of str to float
            The quotas of customers that are not in it are shared evenly.
        """
        self._expire(now)
        if self._first_granted_at is None:
            self._first_granted_at = now
        host_id = report.host_id
        known = self._grant_by_host.get(host_id)
        if known is None or known.incarnation != report.incarnation:
            # A new process starts without the former one's recorded use and demand.
            known = _Grant(
                report.incarnation, report.share_by_customer, {}, {}, {}, now
            )
        known = dataclasses.replace(
            known,
            used_by_customer=report.used_by_customer,
            demand_by_customer=report.demand_by_customer,
            size_by_customer=report.size_by_customer,
            at=now,
        )
        self._grant_by_host[host_id] = known
        count = max(host_count, len(self._grant_by_host))
        shares = {
            customer: self._share(host_id, customer, count)
            for customer in self._customers()
        }
        self._grant_by_host[host_id] = dataclasses.replace(
            known, share_by_customer=shares
        )
        return shares

    def demand(self):
        """Return the units per second requested at all hosts, by customer."""
        total_by_customer = {}
        for grant in self._grant_by_host.values():
            for customer, demand in grant.demand_by_customer.items():
                known = total_by_customer.get(customer, 0.0)
                total_by_customer[customer] = known + demand
        return total_by_customer

    def _customers(self):
        return {
            customer
            for grant in self._grant_by_host.values()
            for customer in grant.demand_by_customer
        }

    def _share(self, host_id, customer, count):
        even = 1.0 / count
        demand = self._grant_by_host[host_id].demand_by_customer.get(customer, 0.0)
        total = sum(
            grant.demand_by_customer.get(customer, 0.0)
            for grant in self._grant_by_host.values()
        )
        # Units that a host has used count until they leave the window, even if its
        # share has been reduced meanwhile.
        reserved_share = sum(
            max(
                grant.share_by_customer.get(customer, even),
                grant.used_by_customer.get(customer, 0.0),
            )
            for other_id, grant in self._grant_by_host.items()
            if other_id != host_id
        )
        # Hosts that have not reported yet are counted with an even share.
        reserved_share += even * (count - len(self._grant_by_host))
        size = self._mean_size(customer)
        wanted = token_quota.share_of(demand, total, count, size)
        return max(0.0, min(wanted, 1.0 - reserved_share))

    def _mean_size(self, customer):
        sizes = [
            grant.size_by_customer[customer]
            for grant in self._grant_by_host.values()
            if customer in grant.size_by_customer
        ]
        return sum(sizes) / len(sizes) if sizes else 0.0

    def _expire(self, now):
        oldest = now - GRANT_LIFETIME - _EXPIRY_MARGIN
        self._grant_by_host = {
            host_id: grant
            for host_id, grant in self._grant_by_host.items()
            if grant.at >= oldest
        }
