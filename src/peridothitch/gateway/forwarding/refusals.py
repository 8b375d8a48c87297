"""Refusals of requests that no upstream may or can take."""

import datetime

from peridothitch import errors
from peridothitch.policy import homes

__all__ = ["check_choice", "find_homes"]

_LIMITED_RETRY_AFTER = datetime.timedelta(milliseconds=300)
_AWAY_RETRY_AFTER = datetime.timedelta(milliseconds=500)
_PERMANENT_RETRY_AFTER = datetime.timedelta(seconds=5)


def find_homes(route, customer):
    """Return the regions that a request may be sent to, None for all.

    Parameters
    ----------
    route : peridothitch.ports.forwarding.Route
    customer : peridothitch.ports.forwarding.Customer or None

    Raises
    ------
    peridothitch.errors.RequestError
        HOMES_DISJOINT: there is no such region.
    """
    found = homes.common_homes(route, customer)
    if found is None or found:
        return found
    raise errors.RequestError(
        errors.Code.HOMES_DISJOINT,
        f"the route {route.name} allows {_names(route.homes)},"
        f" the customer {customer.name} {_names(customer.homes)}",
        retry_after=_PERMANENT_RETRY_AFTER,
    )


def check_choice(chosen, upstreams, service, need):
    """Raise the refusal of a request that has not run and for which none was chosen.

    Parameters
    ----------
    chosen : tuple or None
        What `upstream_pool.UpstreamPool.choose` returned.
    upstreams : peridothitch.gateway.forwarding.upstream_pool.UpstreamPool
    service : str
    need : peridothitch.policy.placement.RequestNeed

    Raises
    ------
    peridothitch.errors.RequestError
        The reason concerns all upstreams, whichever have been tried.
    """
    if chosen is not None:
        return
    code = upstreams.find_obstacle(service, need)
    if code is errors.Code.NO_UPSTREAM_AT_HOME:
        raise errors.RequestError(
            code,
            f"{service} has no upstream in {_names(need.homes)}",
            retry_after=_AWAY_RETRY_AFTER,
        )
    if code is errors.Code.UPSTREAMS_EVACUATED:
        raise errors.RequestError(
            code,
            f"all upstreams of {service} that may get the request are evacuated",
            retry_after=_AWAY_RETRY_AFTER,
        )
    if code is errors.Code.UPSTREAMS_LIMITED:
        raise errors.RequestError(
            code,
            f"the upstreams of {service} that are left limit their requests",
            retry_after=_LIMITED_RETRY_AFTER,
        )


def _names(regions):
    return ", ".join(sorted(regions))
