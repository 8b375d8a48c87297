"""Plans how many hosts of which kind a service runs in each data centre.

Reclaimable hosts cost a fraction of the others, and a data centre loses all of its
reclaimable ones at once. So the load is spread such that the remaining data centres
serve it when one is lost. While no reclaimable hosts are available, on-demand hosts
replace them.
"""

import dataclasses
import math

from peridothitch.policy import placement
from peridothitch.ports import duties

__all__ = [
    "CapacityPlan",
    "Supply",
    "expected_load",
    "hosts_needed",
    "next_orders",
    "plan",
    "smoothed_load",
    "target_utilization",
]

_TARGET_UTILIZATION = 0.6
"""Utilization of a host up to which answers are on time."""

_LATE_SHARE = 0.1
"""Share of requests that would be late if they were placed at random."""

_UTILIZATION_RANGE = 0.3, 0.8
_BISECTION_COUNT = 12
_SUBSTITUTE_UTILIZATION = 0.9
"""Utilization of a host above which on-demand hosts are added."""

_DECAY_HALF_LIFE_SECONDS = 12.0
"""Several times a host's start time; load peaks recur within it."""

_EXPECTED_QUOTA_SHARE = 0.65
"""Share of the sum of all quotas that customers demand on an ordinary day.

Quotas are set with headroom: at the users' sites to 1.8 times the ordinary use.
"""

_LEAST_HOST_COUNT = 3
"""Hosts in a data centre that absorb a burst until more of them have started."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Supply:
    """Live hosts of a service and the availability of further ones.

    Attributes
    ----------
    live : dict of (str, bool) to int
        Live hosts that serve the load, by data centre and whether they are reclaimable.
    unused : dict of (str, bool) to int
        Live hosts of versions that may not serve the load, or that limit their
        requests. Orders count them, too.
    is_moving : bool
        Whether a move between versions is open.
    sold_out : frozenset of str
        Data centres where no reclaimable hosts were available recently.
    is_reclaim_wave : bool
        Whether reclaimable hosts were lost so recently that another data centre may
        lose its own next.
    """

    live: dict
    unused: dict = dataclasses.field(default_factory=dict)
    is_moving: bool = False
    sold_out: frozenset = frozenset()
    is_reclaim_wave: bool = False


@dataclasses.dataclass(frozen=True)
class CapacityPlan:
    """Planned hosts by data centre.

    Attributes
    ----------
    reclaimable_by_data_centre, on_demand_by_data_centre : dict of str to int
    required_per_data_centre : int
        Hosts of either kind that serve the load as long as no data centre is lost.
    """

    reclaimable_by_data_centre: dict
    on_demand_by_data_centre: dict
    required_per_data_centre: int = 0


def smoothed_load(previous, load, passed_seconds):
    """Return a load that rises at once and decays slowly.

    Hosts that are released too early have to be started again.

    Parameters
    ----------
    previous : float
        Smoothed load of the previous call.
    load : float
    passed_seconds : float
    """
    decay = 0.5 ** (passed_seconds / _DECAY_HALF_LIFE_SECONDS)
    return max(load, previous * decay)


def expected_load(quotas, data_centre_count):
    """Return the load to plan for before any request has arrived.

    Hosts take seconds to start, and a fleet that begins with too few of them answers
    late until more have started.

    Parameters
    ----------
    quotas : iterable of peridothitch.ports.forwarding.Quota
        Quotas of all customers.
    data_centre_count : int
        Number of data centres in which the service may run.

    Returns
    -------
    float
        Busy upstream hosts. It is lower than the expected load by the spare that a
        plan adds for the loss of a data centre, since that loss has not occurred yet.
    """
    tokens = sum(quota.rate for quota in quotas if quota.counts_tokens)
    busy = _EXPECTED_QUOTA_SHARE * tokens / placement.TOKENS_PER_SECOND
    return busy * max(1, data_centre_count - 1) / max(1, data_centre_count)


def hosts_needed(busy_hosts, target_utilization=_TARGET_UTILIZATION):
    """Return the number of hosts that serve a load in time.

    Parameters
    ----------
    busy_hosts : float
        Load, as the number of fully utilized hosts.
    target_utilization : float
        Highest utilization of a host.
    """
    return math.ceil(busy_hosts / target_utilization)


def target_utilization(objective_seconds, first_seconds, residual_seconds):
    """Return the utilization up to which first pieces are in time.

    An arrival finds work in progress with the probability of the utilization, and
    waits longer than t with that probability times exp(-t (1 - utilization) / rest),
    as in the M/G/1 queue with an exponential rest of work.

    Parameters
    ----------
    objective_seconds : float
        Target time to the first piece, the shortest of the service's routes.
    first_seconds : float
        Time to the first piece without waiting.
    residual_seconds : float
        Mean rest of the work in progress.
    """
    slack = max(0.0, objective_seconds - first_seconds) / max(residual_seconds, 1e-3)
    low, high = _UTILIZATION_RANGE
    for _ in range(_BISECTION_COUNT):
        middle = (low + high) / 2
        if middle * math.exp(-slack * (1 - middle)) > _LATE_SHARE:
            high = middle
        else:
            low = middle
    return low


def plan(
    busy_hosts, scaling, data_centres, supply, target_utilization=_TARGET_UTILIZATION
):
    """Return the `CapacityPlan` for a service.

    Parameters
    ----------
    busy_hosts : float
        Load, as the number of fully utilized hosts.
    scaling : peridothitch.ports.forwarding.Scaling
    data_centres : sequence of str
        Data centres in which the service may run.
    supply : Supply
    target_utilization : float
        Highest utilization of a host.
    """
    needed = hosts_needed(busy_hosts, target_utilization)
    remaining = max(1, len(data_centres) - 1)
    count_per_data_centre = max(
        _LEAST_HOST_COUNT, scaling.minimum, math.ceil(needed / remaining)
    )
    count_per_data_centre = min(scaling.maximum, count_per_data_centre)
    required = min(count_per_data_centre, math.ceil(needed / len(data_centres)))
    if scaling.reclaimable_price is None:
        on_demand = dict.fromkeys(data_centres, count_per_data_centre)
        return CapacityPlan({}, on_demand, required)
    on_demand = dict.fromkeys(data_centres, 0)
    if supply.sold_out:
        shortfall = hosts_needed(busy_hosts, _SUBSTITUTE_UTILIZATION)
        on_demand = _substitutes(shortfall, scaling, data_centres, supply)
    reclaimable = dict.fromkeys(data_centres, count_per_data_centre)
    return CapacityPlan(reclaimable, on_demand, required)


def _substitutes(needed, scaling, data_centres, supply):
    """Return on-demand hosts for the shortfall, also if the reclaim wave continues."""
    live = {name: supply.live.get((name, True), 0) for name in data_centres}
    next_loss = max(live.values(), default=0) if supply.is_reclaim_wave else 0
    shortfall = needed - (sum(live.values()) - next_loss)
    prices = scaling.price_by_data_centre
    counts = dict.fromkeys(data_centres, 0)
    while shortfall > 0:
        candidates = [
            name for name in data_centres if live[name] + counts[name] < scaling.maximum
        ]
        if not candidates:
            break
        # Spreads first and compares prices second, so that each data centre has some
        # hosts near its callers.
        chosen = min(
            candidates,
            key=lambda name: (live[name] + counts[name], prices.get(name, 1.0)),
        )
        counts[chosen] += 1
        shortfall -= 1
    return counts


def next_orders(service, data_centre, wanted, supply):
    """Return the orders for one data centre that approach a plan.

    On-demand hosts are released only once the reclaimable ones that replace them are
    live, and both kinds together stay within the service's largest host count. If that
    count leaves no place for all of them, the on-demand hosts are replaced in steps
    that leave enough hosts for the load. While a move is open or hosts of an unused
    version are live, no host is released.

    Parameters
    ----------
    service : peridothitch.ports.forwarding.Service
    data_centre : str
    wanted : CapacityPlan
    supply : Supply

    Returns
    -------
    list of peridothitch.ports.duties.CapacityOrder
    """
    planned = wanted.reclaimable_by_data_centre.get(data_centre, 0)
    on_demand = wanted.on_demand_by_data_centre.get(data_centre, 0)
    if supply.is_moving or _count(supply.unused, data_centre):
        counts = _counts_without_release(
            service, data_centre, {True: planned, False: on_demand}, supply
        )
        return _make_orders(service, data_centre, counts)
    reclaimable_now = supply.live.get((data_centre, True), 0)
    on_demand_now = supply.live.get((data_centre, False), 0)
    spare_count = max(0, service.scaling.maximum - max(on_demand, on_demand_now))
    reclaimable = min(planned, spare_count)
    if not supply.sold_out and reclaimable_now < reclaimable:
        on_demand = max(on_demand, on_demand_now)
    elif not supply.sold_out and reclaimable_now < planned:
        required_count = wanted.required_per_data_centre - reclaimable_now
        on_demand = max(on_demand, min(on_demand_now, required_count))
    counts = {True: reclaimable}
    if on_demand or on_demand_now:
        counts[False] = on_demand
    return _make_orders(service, data_centre, counts)


def _count(count_by_place, data_centre):
    return sum(count_by_place.get((data_centre, kind), 0) for kind in (True, False))


def _counts_without_release(service, data_centre, wanted_by_kind, supply):
    """Return the counts, by kind, that only add hosts.

    The platform reduces an order with which a data centre would exceed the service's
    largest host count, and stops the hosts beyond it. A move starts hosts of its new
    version beside each of the old one; some of them may not be known yet.
    """
    proved_count = _count(supply.live, data_centre)
    unused_count = _count(supply.unused, data_centre)
    if supply.is_moving:
        unused_count = max(unused_count, proved_count)
    spare_count = service.scaling.maximum - proved_count - unused_count
    counts = {}
    for kind, wanted in wanted_by_kind.items():
        live = supply.live.get((data_centre, kind), 0)
        added = min(wanted - live, spare_count)
        if added > 0:
            counts[kind] = live + added + supply.unused.get((data_centre, kind), 0)
            spare_count -= added
    return counts


def _make_orders(service, data_centre, count_by_kind):
    return [
        duties.CapacityOrder(
            service=service.name,
            data_centre=data_centre,
            count=count,
            reclaimable=is_reclaimable,
        )
        for is_reclaimable, count in count_by_kind.items()
    ]
