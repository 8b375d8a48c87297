"""Shares of the customers' quotas that one host grants to all entry hosts.

The shares of a customer never add up to more than its whole quota: a host's share grows
only by what other hosts released before. The share of a host that stops reporting stays
valid on both sides of the broken link until the grant has expired. The sums over all
hosts are updated with each report, so a grant costs the same however many hosts report.
"""

import collections
import dataclasses
import datetime

from peridothitch.policy import quota_owners, quota_totals, token_quota

__all__ = [
    "GRANT_LIFETIME",
    "SETTLED_AGE",
    "Grant",
    "QuotaReport",
    "QuotaShares",
    "QuotaTerms",
    "is_large",
    "usable_share",
]

GRANT_LIFETIME = datetime.timedelta(seconds=30)
"""Time that a host may use its last shares without contact to the granting host."""

_LARGE_SHARE_LIFETIME = datetime.timedelta(seconds=4)
"""Time that it may use the part of a share above a small multiple of an equal one.

Requests of all hosts depend on it, so another host has to take it over soon.
"""

_LARGE_SHARE_FACTOR = 2.0
_EXPIRED_SHARE_FACTOR = 0.25
"""Part of an equal share that a host may use once its grant has expired.

Other hosts may have been granted its share by then.
"""

_EXPIRY_MARGIN = datetime.timedelta(seconds=2)
"""Extra time for which the granting host counts a grant as valid."""

_UNREPORTED_TIME = datetime.timedelta(seconds=1.5)
"""Time before the end of a process in which its use may not have been reported."""

SETTLED_AGE = datetime.timedelta(seconds=3)
"""Age of the first grant from which the total demand covers all hosts."""

_MIN_ESTABLISHED = 0.5
"""Sum of the shares, granted by another host before, at which hosts have views."""

_ZERO = datetime.timedelta(0)


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


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaTerms:
    """A customer's quota as the granting host knows it.

    Attributes
    ----------
    limit : float
        Units that the customer may use at all hosts in one window.
    assumed_units : float
        Size of a request until one has been measured.
    """

    limit: float
    assumed_units: float = 1.0


@dataclasses.dataclass(frozen=True)
class Grant:
    """What a host may use.

    Attributes
    ----------
    share_by_customer : dict of str to float
        Quotas of customers that are not in it are shared equally.
    lenders_by_customer : dict of str to tuple of str
        Hosts to ask, in turn, for what does not fit into the host's own share.
    """

    share_by_customer: dict
    lenders_by_customer: dict


@dataclasses.dataclass(frozen=True)
class _FormerUse:
    """Part of a quota that a process which has ended may have used."""

    customer: str
    part: float
    at: datetime.timedelta


def is_large(share, even):
    """Return whether requests of other hosts depend on a share.

    Parameters
    ----------
    share : float
    even : float
        Equal share of a host.
    """
    return share > _LARGE_SHARE_FACTOR * even


def usable_share(share, even, age):
    """Return the share that a host may use at an age of its grant.

    Parameters
    ----------
    share : float
        Granted share.
    even : float
        Equal share of a host.
    age : datetime.timedelta
    """
    if age > GRANT_LIFETIME:
        return min(share, _EXPIRED_SHARE_FACTOR * even)
    if age > _LARGE_SHARE_LIFETIME:
        return min(share, _LARGE_SHARE_FACTOR * even)
    return share


class QuotaShares:
    """Grants by host; times are monotonic. Not safe for several threads at once.

    Parameters
    ----------
    window : datetime.timedelta
        Time span over which usage is compared with a quota.
    """

    def __init__(self, window=datetime.timedelta(seconds=8)):
        self._window = window
        # In the order of the reports, the oldest first.
        self._state_by_host = collections.OrderedDict()
        self._totals_by_customer = {}
        self._former_uses = []
        self._established_by_customer = {}
        self._owners = quota_owners.OwnerTable()
        self._first_granted_at = None

    def age(self, now):
        """Return the time since the first grant of this host."""
        if self._first_granted_at is None:
            return _ZERO
        return now - self._first_granted_at

    @property
    def host_count(self):
        """Number of hosts whose grants are counted."""
        return len(self._state_by_host)

    def grant(self, report, peer_by_id, now, terms_by_customer):
        """Grant shares to a host that reports.

        Parameters
        ----------
        report : QuotaReport
        peer_by_id : dict of str to peridothitch.ports.peers.Peer
            Hosts considered live.
        now : datetime.timedelta
        terms_by_customer : dict of str to QuotaTerms

        Returns
        -------
        Grant
        """
        if self._first_granted_at is None:
            self._first_granted_at = now
        count = max(len(peer_by_id), len(self._state_by_host), 1)
        self._expire(now, 1.0 / count)
        self._store(report, now, terms_by_customer, 1.0 / count)
        count = max(count, len(self._state_by_host))
        shares, lenders = {}, {}
        for customer, terms in terms_by_customer.items():
            totals = self._totals(customer)
            owners = self._owners.owners(
                customer, terms.limit, totals.mean_size(terms), peer_by_id
            )
            if not self._is_settled(customer, now):
                owners = None
            if owners is None and not totals.demand and not totals.host_count:
                continue
            shares[customer] = self._share(
                report.host_id, customer, terms, owners, count, now
            )
            lenders[customer] = self._owners.lenders(
                customer, report.host_id, peer_by_id
            )
        state = self._state_by_host[report.host_id]
        self._replace(
            report.host_id, dataclasses.replace(state, share_by_customer=shares)
        )
        return Grant(shares, lenders)

    def demand(self):
        """Return the units per second requested at all hosts, by customer."""
        return {
            customer: totals.demand
            for customer, totals in self._totals_by_customer.items()
            if totals.demand > 0
        }

    def _is_settled(self, customer, now):
        """Return whether owners may be granted what other hosts do without.

        Hosts that start at the same time admit requests in equal shares until they have
        received a view.
        """
        established = self._established_by_customer.get(customer, 0.0)
        return established >= _MIN_ESTABLISHED or self.age(now) >= SETTLED_AGE

    def _totals(self, customer):
        return self._totals_by_customer.setdefault(customer, quota_totals.Totals())

    def _store(self, report, now, terms_by_customer, even):
        """Store a report in place of the host's last one."""
        known = self._state_by_host.get(report.host_id)
        if known is None or known.incarnation != report.incarnation:
            self._retire(known, now, terms_by_customer, even)
            # A new process starts without the former one's recorded use and demand.
            shares = {
                customer: share
                for customer, share in report.share_by_customer.items()
                if customer in terms_by_customer
            }
            if known is None:
                self._record_established(shares)
        else:
            shares = known.share_by_customer
        self._replace(
            report.host_id,
            quota_totals.HostState(
                report.incarnation,
                shares,
                report.used_by_customer,
                report.demand_by_customer,
                report.size_by_customer,
                now,
            ),
        )
        self._state_by_host.move_to_end(report.host_id)

    def _record_established(self, shares):
        for customer, share in shares.items():
            known = self._established_by_customer.get(customer, 0.0)
            self._established_by_customer[customer] = known + share

    def _retire(self, state, now, terms_by_customer, even):
        """Keep what a process that has ended may have used.

        The process after it assumes by itself that an equal share was used.
        """
        if state is None:
            return
        passed = min(now - state.at, _UNREPORTED_TIME).total_seconds()
        for customer, share in state.share_by_customer.items():
            terms = terms_by_customer.get(customer)
            used = state.used_by_customer.get(customer, 0.0)
            demand = state.demand_by_customer.get(customer, 0.0)
            if terms is None or not terms.limit or not (used or demand):
                continue
            part = min(max(share, used), used + demand * passed / terms.limit) - even
            if part > 0:
                self._former_uses.append(_FormerUse(customer, part, state.at))

    def _replace(self, host_id, state):
        """Replace a host's state, None to remove it, and update the sums."""
        known = self._state_by_host.get(host_id)
        if known is not None:
            self._add_to_totals(known, -1)
        if state is None:
            del self._state_by_host[host_id]
            return
        self._state_by_host[host_id] = state
        self._add_to_totals(state, 1)

    def _add_to_totals(self, state, sign):
        customers = (
            state.share_by_customer.keys()
            | state.demand_by_customer.keys()
            | state.size_by_customer.keys()
        )
        for customer in customers:
            totals = self._totals(customer)
            totals.add(state, customer, sign)
            if not totals.host_count:
                totals.reserved = 0.0

    def _share(self, host_id, customer, terms, owners, count, now):
        totals = self._totals(customer)
        state = self._state_by_host[host_id]
        even = 1.0 / count
        others = dataclasses.replace(totals)
        others.add(state, customer, -1)
        # Hosts that have not reported a share use an equal one.
        unknown_count = max(0, count - 1 - others.host_count)
        reserved = others.reserved + even * unknown_count
        reserved += self._former_part(customer, now)
        size = totals.mean_size(terms)
        if owners is None:
            demand = state.demand_by_customer.get(customer, 0.0)
            wanted = token_quota.share_of(demand, totals.demand, count, size)
        else:
            wanted = even * quota_owners.reserved_part(terms.limit, size, count)
            if host_id in owners:
                wanted = (1.0 - wanted * (count - len(owners))) / len(owners)
        return max(0.0, min(wanted, 1.0 - reserved))

    def _former_part(self, customer, now):
        """Return the part of a quota that processes which have ended used recently."""
        return sum(
            use.part * (1 - (now - use.at) / self._window)
            for use in self._former_uses
            if use.customer == customer
        )

    def _expire(self, now, even):
        self._former_uses = [
            use for use in self._former_uses if now - use.at < self._window
        ]
        oldest = now - GRANT_LIFETIME - _EXPIRY_MARGIN
        oldest_large = now - _LARGE_SHARE_LIFETIME - _EXPIRY_MARGIN
        for host_id, state in list(self._state_by_host.items()):
            if state.at >= oldest_large:
                return
            if state.at < oldest:
                self._replace(host_id, None)
            elif state.has_large_shares:
                self._shrink(host_id, state, even)

    def _shrink(self, host_id, state, even):
        """Free the large shares of a host that has stopped reporting."""
        most = _LARGE_SHARE_FACTOR * even
        for customer, share in state.share_by_customer.items():
            used = state.used_by_customer.get(customer, 0.0)
            if used > most or share > most:
                part = max(0.0, max(share, used) - most)
                self._former_uses.append(
                    _FormerUse(customer, part, state.at + _LARGE_SHARE_LIFETIME)
                )
        self._replace(
            host_id,
            dataclasses.replace(
                state,
                share_by_customer={
                    customer: min(share, most)
                    for customer, share in state.share_by_customer.items()
                },
                used_by_customer={},
                demand_by_customer={},
                size_by_customer={},
                has_large_shares=False,
            ),
        )
