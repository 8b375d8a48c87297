"""Plans how many hosts of which kind run in which data centre.

The plan serves the needed load with any one data centre lost, and runs a share of it on
hosts that can't be reclaimed. It is the cheapest of such plans.
"""

import collections
import dataclasses
import math

from peridothitch.ports import cloud

__all__ = ["FleetLimits", "FleetPlan", "plan_fleet", "survives_loss"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetLimits:
    """Bounds that operators set for the hosts of one service.

    Attributes
    ----------
    most_hosts : int
        Largest number of hosts at the same time.
    least_hosts : int
        Hosts that run whatever the load.
    most_cost_per_hour : float
        Highest total cost of the hosts per hour.
    on_demand_share : float
        Share of the needed hosts that can't be reclaimed.
    """

    most_hosts: int = 100
    least_hosts: int = 2
    most_cost_per_hour: float = math.inf
    on_demand_share: float = 0.16


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """Planned hosts by offer.

    Attributes
    ----------
    count_by_offer : dict of peridothitch.ports.cloud.Offer to int
    cost_per_hour : float
    shortfall : int
        Needed hosts that the limits or offers don't allow if a data centre is lost.
    """

    count_by_offer: dict
    cost_per_hour: float
    shortfall: int = 0


def plan_fleet(needed, offers, limits, count_limit_by_offer_name=None):
    """Return the cheapest `FleetPlan` that tolerates the loss of any data centre.

    Parameters
    ----------
    needed : int
        Hosts that serve the load within the latency target.
    offers : iterable of peridothitch.ports.cloud.Offer
    limits : FleetLimits
    count_limit_by_offer_name : dict of str to int or None
        Largest number of hosts of offers whose starts were refused recently.
    """
    needed = max(needed, limits.least_hosts)
    most_by_name = count_limit_by_offer_name or {}
    usable = [offer for offer in offers if most_by_name.get(offer.name, 1) > 0]
    for target in range(needed, -1, -1):
        plan = _cheapest(target, usable, limits, most_by_name)
        if plan is not None:
            shortfall = needed - target
            return dataclasses.replace(plan, shortfall=shortfall)
    return FleetPlan({}, 0.0, needed)


def _cheapest(needed, offers, limits, most_by_name):
    centre_count = len({offer.data_centre for offer in offers})
    if centre_count < 2:
        # With a single data centre no plan tolerates its loss; plan for the load only.
        return _plan_within_cap(needed, needed, offers, limits, most_by_name)
    plans = []
    least_cap = math.ceil(needed / (centre_count - 1))
    for cap_per_centre in range(least_cap, needed + 1):
        plan = _plan_within_cap(
            needed + cap_per_centre,
            cap_per_centre,
            offers,
            limits,
            most_by_name,
            needed,
        )
        if plan is not None:
            plans.append(plan)
    if not needed:
        return FleetPlan({}, 0.0)
    return min(plans, key=lambda plan: plan.cost_per_hour, default=None)


def _plan_within_cap(total, cap_per_centre, offers, limits, most_by_name, needed=None):
    """Return a plan of `total` hosts with a cap per data centre, or None."""
    if total > limits.most_hosts:
        return None
    needed = total if needed is None else needed
    on_demand_count = math.ceil(needed * limits.on_demand_share)
    on_demand = [offer for offer in offers if not offer.reclaimable]
    count_by_offer = collections.Counter()
    # Without enough on-demand offers, reclaimable hosts are better than none.
    _add_cheapest(
        count_by_offer, on_demand_count, cap_per_centre, on_demand, most_by_name
    )
    missing = total - count_by_offer.total()
    _add_cheapest(count_by_offer, missing, cap_per_centre, offers, most_by_name)
    if count_by_offer.total() < total:
        return None
    cost = sum(offer.price_per_hour * n for offer, n in count_by_offer.items())
    if cost > limits.most_cost_per_hour:
        return None
    return FleetPlan(dict(count_by_offer), cost)


def _add_cheapest(count_by_offer, missing, cap_per_centre, offers, most_by_name):
    for offer in sorted(offers, key=_rank):
        in_centre = sum(
            count
            for found, count in count_by_offer.items()
            if found.data_centre == offer.data_centre
        )
        addable_count = min(
            missing,
            cap_per_centre - in_centre,
            most_by_name.get(offer.name, missing) - count_by_offer[offer],
        )
        if addable_count > 0:
            count_by_offer[offer] += addable_count
            missing -= addable_count


def _rank(offer):
    return offer.price_per_hour, offer.name


def survives_loss(machines, needed):
    """Return whether `needed` machines are live with any one data centre lost."""
    live = [machine for machine in machines if machine.state is cloud.MachineState.LIVE]
    count_by_centre = collections.Counter(
        machine.order.offer.data_centre for machine in live
    )
    return len(live) - max(count_by_centre.values(), default=0) >= needed
