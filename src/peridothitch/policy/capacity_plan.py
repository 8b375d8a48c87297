"""Plans how many hosts a service has in each data centre, and of which kind.

Reclaimable hosts cost a fraction of the others, and a data centre loses all of its
reclaimable ones at once. So the load is spread over the data centres such that those
that remain carry it when one is lost.
"""

import dataclasses
import math

from peridothitch.ports import duties

__all__ = ["CapacityPlan", "Demand", "next_orders", "plan"]

_LOST_DATA_CENTRES = 1
"""Reclaims strike one data centre at a time, though several may follow each other."""


_LEAST_HOSTS = 2
"""Hosts in a data centre that serve while one of them is being replaced."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Load of a service.

    Attributes
    ----------
    busy_hosts : float
        Hosts that would be busy all the time with the current load.
    target_use : float
        Part of its time that a host may be busy while answers are on time.
    """

    busy_hosts: float
    target_use: float = 0.3


@dataclasses.dataclass(frozen=True)
class CapacityPlan:
    """Hosts wanted.

    Attributes
    ----------
    reclaimable_by_data_centre, on_demand_by_data_centre : dict of str to int
    """

    reclaimable_by_data_centre: dict
    on_demand_by_data_centre: dict


def plan(demand, scaling, data_centres):
    """Return the `CapacityPlan` for a service.

    Parameters
    ----------
    demand : Demand
    scaling : peridothitch.ports.forwarding.Scaling
    data_centres : sequence of str
        Where the service may run.
    """
    least = max(_LEAST_HOSTS, scaling.least)
    needed = demand.busy_hosts / demand.target_use
    remaining = max(1, len(data_centres) - _LOST_DATA_CENTRES)
    each = min(scaling.most, max(least, math.ceil(needed / remaining)))
    if scaling.reclaimable_price is None:
        return CapacityPlan({}, dict.fromkeys(data_centres, each))
    return CapacityPlan(
        dict.fromkeys(data_centres, each), dict.fromkeys(data_centres, 0)
    )


def next_orders(service, data_centre, wanted, present):
    """Return the orders for one data centre that lead towards a plan.

    On-demand hosts are given up only once the reclaimable ones that replace them serve,
    and both kinds together stay within the most that may run.

    Parameters
    ----------
    service : peridothitch.ports.forwarding.Service
    data_centre : str
    wanted : CapacityPlan
    present : dict of (str, bool) to int
        Live hosts by data centre and whether they are reclaimable.

    Returns
    -------
    list of peridothitch.ports.duties.CapacityOrder
    """
    reclaimable = wanted.reclaimable_by_data_centre.get(data_centre, 0)
    on_demand = wanted.on_demand_by_data_centre.get(data_centre, 0)
    on_demand_now = present.get((data_centre, False), 0)
    room = max(0, service.scaling.most - on_demand_now)
    reclaimable = min(reclaimable, room)
    if present.get((data_centre, True), 0) < reclaimable:
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
