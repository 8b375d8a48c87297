"""Limits one customer to this entry host's share of a quota.

A quota bounds the units that a customer may use in any window of a given length. Each
entry host counts the units it admitted in the last window and compares them with its
share. Requests are large relative to a host's share, so one that fits only in part is
admitted at random, with the probability of the part that fits: over all hosts as much
is admitted as if the quota were not split into shares.
"""

import collections
import dataclasses
import math

__all__ = [
    "OWNER_BURST_PART",
    "CustomerMeter",
    "recorded_limit",
    "share_of",
    "window_limit",
]

_MIN_EVEN_PART = 0.15
"""Least part of a quota that is shared evenly; covers demand not yet reported."""

_PLANNED_EXCESS_PART = 0.5
"""Planned part of the permitted excess; the rest covers restarts and randomness."""

_DEMAND_SECONDS = 3.0
"""Time constant of the average demand; longer than the report interval of 1 s."""

_MAX_RECORDED_DEMAND_PART = 0.85
"""Recorded demand, as a part of a quota's rate, up to which hosts admit at once.

Above it, the requests before a restart may have filled the window.
"""

_RECORDED_FACTOR = 0.8
"""Part of its share that a host which has just started admits at once.

What the process before it is assumed to have used counts, too.
"""

_MIN_UNITS_PER_SECOND = 1e-9
_MIN_AGE_SECONDS = 1.0
"""Shortest time over which the demand is averaged; less is too uncertain."""

_BURST_PART = 0.4
"""Part of a share that may be used at once; the rest is paced over the window.

A starting process can then bound what the process before it may have used.
"""

OWNER_BURST_PART = 0.7
"""The same for an owner, whose use the granting host keeps if its process ends."""

_ASSUMED_USE_PART = 1.0
"""Part of its share that a new process assumes the one before it used."""

_ASSUMED_STEP_COUNT = 8
"""Number of equal uses, spread over the window, that the assumed use consists of."""

_SIZE_WEIGHT = 0.1
"""Weight of one request in the mean size; ten requests are a sufficient sample."""


def share_of(demand, total_demand, host_count, mean_units=0.0):
    """Return the share of one entry host in a quota.

    The fewer requests a host receives while its demand is averaged, the more random
    that demand is, and the more evenly the quota is shared.

    Parameters
    ----------
    demand, total_demand : float
        Units per second requested at this host and at all hosts.
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
    even_part = max(_MIN_EVEN_PART, 1 / (1 + requests))
    return (1 - even_part) * min(1.0, demand / total_demand) + even_part * even


def recorded_limit(part, fleet_limit, share):
    """Return what a host may admit in a window before the demand is reported to it.

    Parameters
    ----------
    part : float
        Recently recorded demand, as a part of the quota's rate.
    fleet_limit : float
        Units that the customer may use at all hosts in one window.
    share : float
        Share of this host; an equal one until it has been granted one.

    Returns
    -------
    float
        Units; 0 if the customer's demand was most of its quota.
    """
    if part >= _MAX_RECORDED_DEMAND_PART:
        return 0.0
    return _RECORDED_FACTOR * share * fleet_limit


def window_limit(quota, bounds):
    """Return the units that a customer may use at all hosts in one window.

    Parameters
    ----------
    quota : peridothitch.ports.forwarding.Quota
    bounds : peridothitch.ports.entry_settings.OperatingBounds
    """
    fleet_limit = quota.rate * bounds.quota_window.total_seconds() + quota.burst
    excess = bounds.quota_excess_share * fleet_limit + bounds.quota_excess
    return fleet_limit + _PLANNED_EXCESS_PART * excess


@dataclasses.dataclass(frozen=True)
class _Usage:
    at: float
    units: float


class CustomerMeter:
    """Counts and limits the units that one customer uses at this host in a window.

    A token bucket paces the requests within the window. All times are monotonic, in
    seconds.

    Parameters
    ----------
    window : float
        Length of the window.
    limit : float
        Units that this host may admit in a window.
    now : float
    random_source : random.Random

    Attributes
    ----------
    limit : float
        Units that this host may admit in a window; may be replaced at any time.
    burst_part : float
        Part of the limit that may be used at once; may be replaced at any time.
    """

    def __init__(self, window, limit, now, random_source):
        self._window = window
        self._random = random_source
        self._uses = collections.deque()
        self._used = 0.0
        self._demand = 0.0
        self._demand_at = now
        self._mean_units = 0.0
        self._started_at = now
        self.limit = limit
        self.burst_part = _BURST_PART
        self._bucket_units = 0.0
        self._refilled_at = now
        self._assumed_part = _ASSUMED_USE_PART
        self._assumed_uses = set()
        for step in range(_ASSUMED_STEP_COUNT):
            at = now - window * (1 - (step + 1) / _ASSUMED_STEP_COUNT)
            use = _Usage(at, _ASSUMED_USE_PART * limit / _ASSUMED_STEP_COUNT)
            self._assumed_uses.add(use)
            self._add(use)

    def scale_assumed_use(self, part):
        """Lower the units that a former process is assumed to have used.

        Parameters
        ----------
        part : float
            Part of its share that it can have used, given the customer's demand.
        """
        scale = min(1.0, part / self._assumed_part) if self._assumed_part else 1.0
        self._assumed_part *= scale
        uses, assumed = list(self._uses), self._assumed_uses
        self._uses.clear()
        self._used = 0.0
        self._assumed_uses = set()
        for use in uses:
            if use in assumed:
                use = _Usage(use.at, use.units * scale)
                self._assumed_uses.add(use)
            self._add(use)
        if self._assumed_uses:
            free = 1 - self._assumed_part
            self._bucket_units = max(
                self._bucket_units, min(free, _BURST_PART) * self.limit
            )

    def demand(self, now):
        """Return the average requested units per second."""
        # An average over less time than its constant would be too low.
        age = max(_MIN_AGE_SECONDS, now - self._started_at)
        return self._decayed_demand(now) / (1 - math.exp(-age / _DEMAND_SECONDS))

    def _decayed_demand(self, now):
        passed = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-passed / _DEMAND_SECONDS)

    @property
    def mean_units(self):
        """Mean size of the last requests, 0 before the first one."""
        return self._mean_units

    def used(self, now):
        """Return the units used in the last window."""
        self._expire(now)
        return self._used

    def admit(self, units, now, recorded_limit=0.0):
        """Admit a request if it fits; returns whether it was admitted.

        Parameters
        ----------
        units : float
        now : float
        recorded_limit : float
            Units that this host may admit in a window whatever its share is; see the
            function `recorded_limit`.
        """
        self._expire(now)
        self._add_demand(units, now)
        return self._admit(units, now, recorded_limit)

    def lend(self, units, now, adds_demand, recorded_limit=0.0):
        """Admit a request of another host if it fits; returns whether it was admitted.

        Parameters
        ----------
        units : float
        now : float
        adds_demand : bool
            Whether the request counts as demand at this host.
        recorded_limit : float
            See `admit`.
        """
        self._expire(now)
        if adds_demand:
            self._add_demand(units, now)
        return self._admit(units, now, recorded_limit)

    def _add_demand(self, units, now):
        self._demand = self._decayed_demand(now) + units / _DEMAND_SECONDS
        self._demand_at = now
        weight = _SIZE_WEIGHT if self._mean_units else 1.0
        self._mean_units += weight * (units - self._mean_units)

    def _admit(self, units, now, recorded_limit):
        self._refill(now)
        # A request that fits in part is admitted with that part as probability.
        drawn_units = units * self._random.random()
        if self._used + drawn_units <= recorded_limit:
            self._bucket_units = max(0.0, self._bucket_units - units)
            self._add(_Usage(now, units))
            return True
        # A full bucket covers a request of any size; its level may become negative.
        if min(drawn_units, self.burst_part * self.limit) > self._bucket_units:
            return False
        if self._used + drawn_units > self.limit:
            return False
        self._bucket_units -= units
        self._add(_Usage(now, units))
        return True

    def _refill(self, now):
        passed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        refilled = self._bucket_units + passed * self.limit / self._window
        self._bucket_units = min(self.burst_part * self.limit, refilled)

    def refund(self, units):
        """Remove the units of a request that did not run from the recorded use."""
        for index in range(len(self._uses) - 1, -1, -1):
            if self._uses[index].units == units:
                del self._uses[index]
                self._used -= units
                self._bucket_units += units
                return

    def wait_seconds(self, units, now):
        """Return the seconds until a request of a size likely fits."""
        rate = max(self.limit / self._window, _MIN_UNITS_PER_SECOND)
        wait = max(0.0, -self._bucket_units / rate)
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

    def _expire(self, now):
        while self._uses and self._uses[0].at <= now - self._window:
            self._used -= self._uses.popleft().units
        if not self._uses:
            self._used = 0.0
