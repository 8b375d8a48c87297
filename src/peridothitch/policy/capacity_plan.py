"""Plans how many hosts a service has in each data centre, and of which kind.

Reclaimable hosts cost a fraction of the others, and a data centre loses all of its
reclaimable ones at once. So the load is spread over the data centres such that those
that remain carry it when one is lost. Where no reclaimable hosts are to be had,
on-demand hosts take their place until there are.
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
]

_TARGET_USE = 0.6
"""Part of its time that a host may be busy while answers are on time."""

_SUBSTITUTE_USE = 0.9
"""Part of its time that a host may be busy before on-demand hosts are paid for."""

_FALL_HALF_LIFE_SECONDS = 12.0
"""Some start times of hosts; waves of load come back within it."""

_EXPECTED_PART = 0.65
"""Part of their quotas that customers ask for together on an ordinary day.

Quotas are set with room: on the users' sites to 1.8 times the ordinary use.
"""

_LEAST_HOSTS = 3
"""Hosts in a data centre that hold a burst until more of them have started."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Supply:
    """What a service has and what can be had.

    Attributes
    ----------
    live : dict of (str, bool) to int
        Live hosts by data centre and whether they are reclaimable.
    sold_out : frozenset of str
        Data centres that lately had no reclaimable hosts to offer.
    is_reclaim_wave : bool
        Whether reclaimable hosts were lost so lately that another data centre may be
        next.
    """

    live: dict
    sold_out: frozenset = frozenset()
    is_reclaim_wave: bool = False


@dataclasses.dataclass(frozen=True)
class CapacityPlan:
    """Hosts wanted.

    Attributes
    ----------
    reclaimable_by_data_centre, on_demand_by_data_centre : dict of str to int
    """

    reclaimable_by_data_centre: dict
    on_demand_by_data_centre: dict


def smoothed_load(before, load, passed_seconds):
    """Return a load that rises at once and falls slowly.

    Hosts that were given up a moment too early have to be started again.

    Parameters
    ----------
    before : float
        Steady load of the last time.
    load : float
    passed_seconds : float
    """
    fading = 0.5 ** (passed_seconds / _FALL_HALF_LIFE_SECONDS)
    return max(load, before * fading)


def expected_load(quotas, data_centre_count):
    """Return the load to plan for before any request has come.

    Hosts take seconds to start, and a fleet that begins with too few of them answers
    late for as long.

    Parameters
    ----------
    quotas : iterable of peridothitch.ports.forwarding.Quota
        Of all customers.
    data_centre_count : int
        Where the service may run.

    Returns
    -------
    float
        Upstream hosts kept busy. Lower than expected by the spare that a plan adds for
        the loss of a data centre, which harms nobody yet.
    """
    tokens = sum(quota.rate for quota in quotas if quota.counts_tokens)
    busy = _EXPECTED_PART * tokens / placement.TOKENS_PER_SECOND
    return busy * max(1, data_centre_count - 1) / max(1, data_centre_count)


def hosts_needed(busy_hosts, target_use=_TARGET_USE):
    """Return the hosts that serve a load in time.

    Parameters
    ----------
    busy_hosts : float
        Hosts that would be busy all the time with the load.
    target_use : float
        Part of its time that a host may be busy.
    """
    return math.ceil(busy_hosts / target_use)


def plan(busy_hosts, scaling, data_centres, supply):
    """Return the `CapacityPlan` for a service.

    Parameters
    ----------
    busy_hosts : float
        Hosts that would be busy all the time with the load.
    scaling : peridothitch.ports.forwarding.Scaling
    data_centres : sequence of str
        Where the service may run.
    supply : Supply
    """
    needed = hosts_needed(busy_hosts)
    remaining = max(1, len(data_centres) - 1)
    each = max(_LEAST_HOSTS, scaling.minimum, math.ceil(needed / remaining))
    each = min(scaling.maximum, each)
    if scaling.reclaimable_price is None:
        return CapacityPlan({}, dict.fromkeys(data_centres, each))
    on_demand = dict.fromkeys(data_centres, 0)
    if supply.sold_out:
        missing = hosts_needed(busy_hosts, _SUBSTITUTE_USE)
        on_demand = _substitutes(missing, scaling, data_centres, supply)
    return CapacityPlan(dict.fromkeys(data_centres, each), on_demand)


def _substitutes(needed, scaling, data_centres, supply):
    """Return on-demand hosts for what is missing, also should the wave go on."""
    live = {name: supply.live.get((name, True), 0) for name in data_centres}
    next_loss = max(live.values(), default=0) if supply.is_reclaim_wave else 0
    missing = needed - (sum(live.values()) - next_loss)
    prices = scaling.price_by_data_centre
    counts = dict.fromkeys(data_centres, 0)
    while missing > 0:
        rooms = [
            name for name in data_centres if live[name] + counts[name] < scaling.maximum
        ]
        if not rooms:
            break
        # Spread first, then by price, so that each data centre has some near its
        # callers.
        chosen = min(
            rooms, key=lambda name: (live[name] + counts[name], prices.get(name, 1.0))
        )
        counts[chosen] += 1
        missing -= 1
    return counts


def next_orders(service, data_centre, wanted, supply):
    """Return the orders for one data centre that lead towards a plan.

    On-demand hosts are given up only once the reclaimable ones that replace them serve,
    and both kinds together stay within the most that may run.

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
    reclaimable = wanted.reclaimable_by_data_centre.get(data_centre, 0)
    on_demand = wanted.on_demand_by_data_centre.get(data_centre, 0)
    on_demand_now = supply.live.get((data_centre, False), 0)
    room = max(0, service.scaling.maximum - max(on_demand, on_demand_now))
    reclaimable = min(reclaimable, room)
    is_replaced = supply.live.get((data_centre, True), 0) >= reclaimable
    if not supply.sold_out and not is_replaced:
        on_demand = max(on_demand, on_demand_now)
    counts = [(True, reclaimable)]
    if on_demand or on_demand_now:
        counts.append((False, on_demand))
    return [
        duties.CapacityOrder(
            service=service.name,
            data_centre=data_centre,
            count=count,
            reclaimable=is_reclaimable,
        )
        for is_reclaimable, count in counts
    ]
