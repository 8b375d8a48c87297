"""Holds one customer to its part of a quota at one entry host.

A quota bounds what a customer may use in any span of a given length. Each entry host
counts what it let pass in the last span and compares it with its share. Requests are
large against a host's share, so one that would only partly fit is admitted by chance,
in proportion to the part that fits: over all hosts as much is let pass as if the shares
were not split.
"""

import collections
import dataclasses
import math

__all__ = [
    "CustomerMeter",
    "recorded_limit",
    "relaxed_limit",
    "share_of",
    "window_limit",
]

_EVEN_PART = 0.15
"""Least part of a quota that entry hosts share evenly; covers demand not yet seen."""

_USED_EXCESS = 0.5
"""Part of the permitted excess that is planned; the rest covers restarts and chance."""

_DEMAND_SECONDS = 3.0
"""Time constant of the demand's average; above the reports' period of a second."""

_RELAXED_PART = 0.85
"""Part of a quota's rate below which a customer is not held back.

A jump of demand shows in the hosts' reports before it can fill the span.
"""

_RELAXED_FACTOR = 1.5
"""Multiple of its share that a host lets pass while a customer is not held back."""

_RECORDED_FACTOR = 0.8
"""Multiple of an even share that a host which has just started lets pass at once.

Below 1, since the last request may exceed it by its whole size.
"""

_LOWEST_RATE = 1e-9
_LEAST_AGE_SECONDS = 1.0
"""Less time says too little about the demand."""

_BURST_PART = 0.4
"""Part of a share that may be used at once; the rest is paced over the span.

A process that starts can then tell what the one before it may have used.
"""

_ASSUMED_USE = 1.0
"""Part of its share that a new process takes to be used by the one before it."""

_ASSUMED_STEPS = 8
_SIZE_WEIGHT = 0.1
"""Of one request in the mean size; ten requests say enough."""


def share_of(demand, total_demand, host_count, mean_units=0.0):
    """Return the share of one entry host in a quota.

    The fewer requests a host gets while its demand is averaged, the more of that is
    chance, and the more evenly the quota is shared.

    Parameters
    ----------
    demand, total_demand : float
        Units a second asked for at this host and at all.
    host_count : int
    mean_units : float
        Mean size of a request.

    Returns
    -------
    float
        The shares of all hosts add up to 1.
    """
    even = 1.0 / max(1, host_count)
    if total_demand <= 0:
        return even
    requests = math.inf
    if mean_units > 0:
        requests = total_demand * _DEMAND_SECONDS / (host_count * mean_units)
    even_part = max(_EVEN_PART, 1 / (1 + requests))
    return (1 - even_part) * min(1.0, demand / total_demand) + even_part * even


def relaxed_limit(total_demand, quota, whole, share, host_count):
    """Return what a host may let pass in a span while the quota is far away.

    A share that is smaller than a request then refuses nothing.

    Parameters
    ----------
    total_demand : float
        Units a second asked for at all hosts.
    quota : peridothitch.ports.forwarding.Quota
    whole : float
        Units that the customer may use at all hosts in one span.
    share : float
        Of this host.
    host_count : int

    Returns
    -------
    float
        0 once the customer asks for most of its quota.
    """
    if total_demand >= _RELAXED_PART * quota.rate:
        return 0.0
    return _RELAXED_FACTOR * max(share, 1.0 / max(1, host_count)) * whole


def recorded_limit(part, whole, share, host_count):
    """Return what a host may let pass in a span before it has heard of the demand.

    Parameters
    ----------
    part : float
        Demand as a part of the quota's rate, as recorded a moment before.
    whole : float
        Units that the customer may use at all hosts in one span.
    share : float
        Of this host.
    host_count : int

    Returns
    -------
    float
        0 if the customer asked for most of its quota.
    """
    if part >= _RELAXED_PART:
        return 0.0
    return _RECORDED_FACTOR * max(share, 1.0 / max(1, host_count)) * whole


def window_limit(quota, bounds):
    """Return the units that a customer may use at all hosts in one span.

    Parameters
    ----------
    quota : peridothitch.ports.forwarding.Quota
    promises : peridothitch.ports.entry_settings.OperatingBounds
    """
    whole = quota.rate * bounds.quota_window.total_seconds() + quota.burst
    excess = bounds.quota_excess_share * whole + bounds.quota_excess
    return whole + _USED_EXCESS * excess


@dataclasses.dataclass(frozen=True)
class _Use:
    at: float
    units: float


class CustomerMeter:
    """What one customer used at this host in the last span.

    All times are monotonic seconds.

    Parameters
    ----------
    window : float
        Length of the span.
    limit : float
        Units that this host may let pass in a span.
    now : float
    random_source : random.Random
    """

    def __init__(self, window, limit, now, random_source):
        self._window = window
        self._random = random_source
        self._uses = collections.deque()
        self._used = 0.0
        self._demand = 0.0
        self._demand_at = now
        self._mean_units = 0.0
        self._began = now
        self.limit = limit
        self._pace = 0.0
        self._paced_at = now
        self._assumed_part = _ASSUMED_USE
        self._assumed = set()
        for step in range(_ASSUMED_STEPS):
            at = now - window * (1 - (step + 1) / _ASSUMED_STEPS)
            use = _Use(at, _ASSUMED_USE * limit / _ASSUMED_STEPS)
            self._assumed.add(use)
            self._add(use)

    def scale_assumed_use(self, part):
        """Lower what a former process is taken to have used.

        Parameters
        ----------
        part : float
            Part of its share that it can have used by the customer's demand.
        """
        scale = min(1.0, part / self._assumed_part) if self._assumed_part else 1.0
        self._assumed_part *= scale
        uses, assumed = list(self._uses), self._assumed
        self._uses.clear()
        self._used = 0.0
        self._assumed = set()
        for use in uses:
            if use in assumed:
                use = _Use(use.at, use.units * scale)
                self._assumed.add(use)
            self._add(use)
        if self._assumed:
            free = 1 - self._assumed_part
            self._pace = max(self._pace, min(free, _BURST_PART) * self.limit)

    def demand(self, now):
        """Return the units a second asked for, averaged."""
        # An average over less time than its constant would be too low.
        age = max(_LEAST_AGE_SECONDS, now - self._began)
        return self._faded_demand(now) / (1 - math.exp(-age / _DEMAND_SECONDS))

    def _faded_demand(self, now):
        passed = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-passed / _DEMAND_SECONDS)

    @property
    def mean_units(self):
        """Mean size of the last requests, 0 before the first one."""
        return self._mean_units

    def used(self, now):
        """Return the units used in the last span."""
        self._forget(now)
        return self._used

    def admit(self, units, now, relaxed_limit=0.0):
        """Let a request pass if it fits; returns whether it did.

        Parameters
        ----------
        units : float
        now : float
        relaxed_limit : float
            Units that this host may let pass in a span whatever its share is; see
            `relaxed_limit`.
        """
        self._forget(now)
        self._demand = self._faded_demand(now) + units / _DEMAND_SECONDS
        self._demand_at = now
        weight = _SIZE_WEIGHT if self._mean_units else 1.0
        self._mean_units += weight * (units - self._mean_units)
        self._refill(now)
        if self._used < relaxed_limit:
            self._pace = max(0.0, self._pace - units)
            self._add(_Use(now, units))
            return True
        # A request that fits in part passes with that part's probability.
        part = units * self._random.random()
        # A full pace lets a request of any size pass and is then owed the rest.
        if min(part, _BURST_PART * self.limit) > self._pace:
            return False
        if self._used + part > self.limit:
            return False
        self._pace -= units
        self._add(_Use(now, units))
        return True

    def _refill(self, now):
        passed = max(0.0, now - self._paced_at)
        self._paced_at = now
        refilled = self._pace + passed * self.limit / self._window
        self._pace = min(_BURST_PART * self.limit, refilled)

    def refund(self, units):
        """Return the units of a request that did not run."""
        for index in range(len(self._uses) - 1, -1, -1):
            if self._uses[index].units == units:
                del self._uses[index]
                self._used -= units
                self._pace += units
                return

    def wait_seconds(self, units, now):
        """Return how long it takes until a request of a size likely fits."""
        rate = max(self.limit / self._window, _LOWEST_RATE)
        wait = max(0.0, -self._pace / rate)
        excess = self._used + units / 2 - self.limit
        for use in self._uses:
            if excess <= 0:
                return min(self._window, wait)
            excess -= use.units
            if excess <= 0:
                wait = max(wait, use.at + self._window - now)
                return min(self._window, wait)
        return self._window

    def _add(self, use):
        self._uses.append(use)
        self._used += use.units

    def _forget(self, now):
        while self._uses and self._uses[0].at <= now - self._window:
            self._used -= self._uses.popleft().units
        if not self._uses:
            self._used = 0.0
