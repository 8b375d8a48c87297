"""Finds the route of a request by host name and longest path prefix."""

import random

__all__ = ["RouteIndex", "choose_service"]


class RouteIndex:
    """Index of the routes of one table.

    Parameters
    ----------
    routes : iterable of peridothitch.ports.forwarding.Route
    """

    def __init__(self, routes):
        self._route_by_host_and_prefix = {
            (route.host, route.prefix): route for route in routes
        }

    def find(self, host, path):
        """Return the route with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Value of the Host header, with or without a port.
        path : str
            Path without the query.
        """
        name = host.rpartition(":")[0] if _has_port(host) else host
        name = name.lower()
        end = path.rfind("/") + 1
        while end > 0:
            route = self._route_by_host_and_prefix.get((name, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def _has_port(host):
    return host.rpartition(":")[2].isdigit() and ":" in host


def choose_service(route, random_source=random):
    """Return a service name, drawn at random by the weights of the route's shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    (share,) = random_source.choices(route.shares, weights)
    return share.service
