"""Finds entries of forwarding rules that can't take effect as they are written."""

import collections
import datetime

from peridothitch.policy import homes
from peridothitch.ports import findings, forwarding

__all__ = ["find_findings"]

_SECOND = datetime.timedelta(seconds=1)
_ZERO = datetime.timedelta(0)


def find_findings(table, quota_window):
    """Yield a `findings.Finding` for each doubt.

    Parameters
    ----------
    table : peridothitch.ports.forwarding.RoutingTable
    quota_window : datetime.timedelta
        Time over which a quota is counted.
    """
    yield from _find_hidden_routes(table)
    for route in table.routes:
        yield from _check_route(table, route)
    routed = {share.service for route in table.routes for share in route.shares}
    for name, service in table.service_by_name.items():
        if name not in routed:
            yield _unreachable(f"services/{name}", "no route leads to it")
        yield from _check_service(service)
    for customer in _customers(table).values():
        yield from _check_customer(customer, quota_window)
    yield from _check_homes(table)
    yield from _check_limits(table.limits)


def _check_homes(table):
    """Yield a finding for each route that a customer can never use."""
    for route in table.routes:
        if route.anonymous:
            continue
        for customer in _customers(table).values():
            if homes.common_homes(route, customer) == frozenset():
                yield _contradiction(
                    f"routes/{route.name}/homes",
                    f"it has no region in common with the customer {customer.name!r}",
                )


def _customers(table):
    return {customer.name: customer for customer in table.customer_by_key.values()}


def _undefined(path, detail):
    return findings.Finding(findings.Kind.UNDEFINED, path, detail)


def _unreachable(path, detail):
    return findings.Finding(findings.Kind.UNREACHABLE, path, detail)


def _contradiction(path, detail):
    return findings.Finding(findings.Kind.CONTRADICTION, path, detail)


def _find_hidden_routes(table):
    """Yield a finding for each route whose requests another one of its place gets."""
    routes_by_place = collections.defaultdict(list)
    for route in table.routes:
        routes_by_place[route.host, route.prefix].append(route)
    for (host, prefix), routes in routes_by_place.items():
        for hidden in routes[:-1]:
            yield _unreachable(
                f"routes/{hidden.name}",
                f"{routes[-1].name!r} has the same host {host!r} and prefix {prefix!r}",
            )


def _check_route(table, route):
    path = f"routes/{route.name}"
    if not route.host:
        yield _unreachable(f"{path}/host", "it is empty")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield _unreachable(
            f"{path}/prefix", f"{route.prefix!r} doesn't begin and end with a slash"
        )
    yield from _check_shares(table, route)
    if route.timeout <= _ZERO:
        yield _contradiction(f"{path}/timeout", f"{route.timeout} leaves no time")
    elif route.latency_objective > route.timeout:
        yield _contradiction(
            f"{path}/latency_objective",
            f"{route.latency_objective / _SECOND:g} s is over the timeout of"
            f" {route.timeout / _SECOND:g} s",
        )
    if route.attempts < 1:
        yield _contradiction(f"{path}/attempts", f"{route.attempts} allows no attempt")


def _check_shares(table, route):
    path = f"routes/{route.name}/shares"
    total = sum(share.weight for share in route.shares)
    for share in route.shares:
        if share.service not in table.service_by_name:
            yield _undefined(path, f"service {share.service!r} is undefined")
        if share.weight < 0:
            yield _contradiction(path, f"weight {share.weight:g} is negative")
        elif not share.weight and total > 0:
            yield _unreachable(path, f"{share.service!r} has a weight of 0")
    if total <= 0 and len(route.shares) > 1:
        yield _contradiction(path, "no service has a weight above 0")


def _check_service(service):
    if service.cold_time > _ZERO and service.cold_rate <= 0:
        yield _contradiction(
            f"services/{service.name}/cold_rate",
            f"hosts are cold for {service.cold_time / _SECOND:g} s, but no rate is"
            " named up to which they take requests",
        )
    scaling = service.scaling
    if scaling is None:
        return
    path = f"services/{service.name}/scaling"
    if not 0 <= scaling.minimum <= scaling.maximum:
        yield _contradiction(
            path, f"minimum {scaling.minimum}, maximum {scaling.maximum}"
        )
    if scaling.maximum <= 0:
        yield _unreachable(path, f"maximum {scaling.maximum} allows no host")
    if scaling.reclaimable_price is not None and scaling.reclaimable_price >= 1:
        yield _contradiction(
            path,
            f"reclaimable hosts cost {scaling.reclaimable_price:g} times the others",
        )


def _check_customer(customer, quota_window):
    quota = customer.quota
    if quota is None:
        return
    path = f"customers/{customer.name}/quota"
    if quota.burst < 0:
        yield _contradiction(path, f"burst {quota.burst:g} is negative")
        return
    most = quota.rate * (quota_window / _SECOND) + quota.burst
    least = quota.default_tokens if quota.counts_tokens else 1.0
    if most < least:
        yield _contradiction(
            path,
            f"a request of {least:g} never fits into {most:g} in"
            f" {quota_window / _SECOND:g} s",
        )


def _check_limits(limits):
    for name in ("header_bytes", "body_bytes"):
        if getattr(limits, name) <= 0:
            yield _contradiction(f"limits/{name}", "it allows no request")
    for name in ("header_timeout", "idle_timeout"):
        if getattr(limits, name) <= _ZERO:
            yield _contradiction(f"limits/{name}", "it leaves no time")
    if limits.body_bytes < forwarding.CallerLimits().header_bytes:
        yield _contradiction(
            "limits/body_bytes", f"{limits.body_bytes} is less than a usual head"
        )
