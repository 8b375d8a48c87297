"""Regions in which requests may be processed.

Routes and customers may each name their homes. What a request contains is sent only to
machines in a region that both allow.
"""

__all__ = ["admits", "common_homes"]


def common_homes(route, customer):
    """Return the regions that a route and a customer both allow.

    Parameters
    ----------
    route : peridothitch.ports.forwarding.Route
    customer : peridothitch.ports.forwarding.Customer or None

    Returns
    -------
    frozenset of str, or None
        None for all regions; empty if they allow none in common.
    """
    customer_homes = customer.homes if customer is not None else frozenset()
    if route.homes and customer_homes:
        return route.homes & customer_homes
    return route.homes or customer_homes or None


def admits(homes, region):
    """Return whether a machine in a region may get a request with these homes.

    Parameters
    ----------
    homes : frozenset of str or None
        None for all regions.
    region : str or None
        None or empty if it is not known.
    """
    return homes is None or region in homes
