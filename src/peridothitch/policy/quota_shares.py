"""Shares of the customers' quotas that one host grants to all entry hosts.

The shares of a customer never add up to more than its whole quota: a host's share grows
only by what others have given up before. A host that falls silent keeps its share on
both sides of the broken link until the grant has expired.
"""

import dataclasses
import datetime

from peridothitch.policy import token_quota

__all__ = ["GRANT_LIFETIME", "QuotaReport", "QuotaShares"]

GRANT_LIFETIME = datetime.timedelta(seconds=30)
"""Time that a host may use its last shares without hearing from the granting host."""

_MARGIN = datetime.timedelta(seconds=2)
"""How much longer the granting host counts a grant than the one that uses it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaReport:
    """What a host tells of the quotas.

    Attributes
    ----------
    host_id, incarnation : str
        The host and its process.
    share_by_customer : dict of str to float
        Shares that the host may use, granted by whom ever.
    used_by_customer : dict of str to float
        Parts of the quotas that it used in the last span.
    demand_by_customer : dict of str to float
        Units a second that it was asked for.
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
        self._began = None

    def age(self, now):
        """Return for how long shares have been granted here."""
        return now - self._began if self._began is not None else datetime.timedelta(0)

    @property
    def host_count(self):
        """Hosts whose grants are counted."""
        return len(self._grant_by_host)

    def grant(self, report, host_count, now):
        """Grant shares to a host that reports.

        Parameters
        ----------
        report : QuotaReport
        host_count : int
            Hosts believed live.
        now : datetime.timedelta

        Returns
        -------
        dict of str to float
            Customers that aren't in it are shared evenly.
        """
        self._expire(now)
        if self._began is None:
            self._began = now
        host_id = report.host_id
        known = self._grant_by_host.get(host_id)
        if known is None or known.incarnation != report.incarnation:
            # A new process holds nothing of the former one.
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
        """Return the units a second asked for at all hosts, by customer."""
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
        # What a host has used counts until it is out of the span, also if its share has
        # become smaller meanwhile.
        taken = sum(
            max(
                grant.share_by_customer.get(customer, even),
                grant.used_by_customer.get(customer, 0.0),
            )
            for other_id, grant in self._grant_by_host.items()
            if other_id != host_id
        )
        # Hosts that have not reported yet use an even share.
        taken += even * (count - len(self._grant_by_host))
        size = self._mean_size(customer)
        wanted = token_quota.share_of(demand, total, count, size)
        return max(0.0, min(wanted, 1.0 - taken))

    def _mean_size(self, customer):
        sizes = [
            grant.size_by_customer[customer]
            for grant in self._grant_by_host.values()
            if customer in grant.size_by_customer
        ]
        return sum(sizes) / len(sizes) if sizes else 0.0

    def _expire(self, now):
        oldest = now - GRANT_LIFETIME - _MARGIN
        self._grant_by_host = {
            host_id: grant
            for host_id, grant in self._grant_by_host.items()
            if grant.at >= oldest
        }
