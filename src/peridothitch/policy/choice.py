"""Chooses the upstream host for one attempt of a request."""

import dataclasses

from peridothitch.ports import upstream

__all__ = ["ChoiceContext", "choose_host"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChoiceContext:
    """What a choice may look at besides the hosts.

    Attributes
    ----------
    version : str
        Version that the request goes to.
    data_centre : str
        Where this entry host is.
    tried : frozenset of str
        Host ids that earlier attempts of the request used.
    in_flight_by_host_id : dict of str to int
        Requests in progress from this entry host.
    """

    version: str
    data_centre: str = ""
    tried: frozenset = frozenset()
    in_flight_by_host_id: dict = dataclasses.field(default_factory=dict)


def choose_host(hosts, context):
    """Return the live host with the fewest requests in progress.

    Parameters
    ----------
    hosts : iterable of peridothitch.ports.upstream.Host
    context : ChoiceContext

    Returns
    -------
    peridothitch.ports.upstream.Host or None
        None when no host is left.
    """
    candidates = [
        host
        for host in hosts
        if host.state is upstream.HostState.LIVE
        and host.version == context.version
        and host.host_id not in context.tried
    ]
    if not candidates:
        return None

    def rank(host):
        load = context.in_flight_by_host_id.get(host.host_id, 0)
        return load, host.data_centre != context.data_centre, host.host_id

    return min(candidates, key=rank)
