"""Finds the route of a request by its method and path."""

import dataclasses

from peridothitch import errors
from peridothitch.policy import document as documents

__all__ = ["RouteMatch", "RouteTable"]

_WILDCARD_SUFFIX = "/*"


@dataclasses.dataclass(frozen=True)
class RouteMatch:
    """A route with its name in the document."""

    name: str
    route: documents.Route


class RouteTable:
    """Index of a document's routes.

    Parameters
    ----------
    route_by_name : dict of str to Route
    """

    def __init__(self, route_by_name):
        self._match_by_method_and_path = {}
        self._match_by_method_and_prefix = {}
        for name, route in route_by_name.items():
            match = RouteMatch(name, route)
            if route.path.endswith(_WILDCARD_SUFFIX):
                prefix = route.path[: -len(_WILDCARD_SUFFIX)]
                self._match_by_method_and_prefix[route.method, prefix] = match
            else:
                self._match_by_method_and_path[route.method, route.path] = match

    def find(self, method, path):
        """Return the match for a request.

        An exact path takes precedence over a prefix; of the prefixes, the longest wins.

        Raises
        ------
        peridothitch.errors.RequestError
            No route matches the path, or none of those that do allows the method.
        """
        match = self._look_up(method, path)
        if match is not None:
            return match
        if any(self._look_up(other, path) for other in self._methods()):
            raise errors.RequestError(
                errors.Code.METHOD_NOT_ALLOWED, f"{method} is not allowed on {path}"
            )
        raise errors.RequestError(errors.Code.UNKNOWN_ROUTE, f"no route for {path}")

    def _look_up(self, method, path):
        match = self._match_by_method_and_path.get((method, path))
        while match is None and path:
            path = path.rpartition("/")[0]
            match = self._match_by_method_and_prefix.get((method, path))
        return match

    def _methods(self):
        return {
            method
            for method, _ in (
                *self._match_by_method_and_path,
                *self._match_by_method_and_prefix,
            )
        }
