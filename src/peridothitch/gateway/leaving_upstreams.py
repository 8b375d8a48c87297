"""Combines the sources on leaving upstreams: host list, headers and other hosts."""

import dataclasses

from peridothitch.ports import facts, upstream

__all__ = ["LeavingUpstreams"]

_LEAVING_KIND = "leaving"
_LEAVING_HEADER = "x-upstream-leaving"


class LeavingUpstreams:
    """The upstreams that are leaving, as known to this entry host.

    Parameters
    ----------
    fact_registry : peridothitch.ports.facts.FactRegistry
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, fact_registry, metrics):
        self._fact_registry = fact_registry
        self._metrics = metrics

    def read_headers(self, host, header_by_name):
        """Publish that an upstream is leaving if an answer's headers say so."""
        if header_by_name.get(_LEAVING_HEADER, "").lower() != "true":
            return
        if self._fact_registry.publish(facts.Fact(_LEAVING_KIND, host.host_id, 1)):
            self._metrics.count("leaving_upstreams")

    def mark(self, hosts):
        """Return hosts with the state that results from all sources.

        Parameters
        ----------
        hosts : list of peridothitch.ports.upstream.Host

        Returns
        -------
        list of peridothitch.ports.upstream.Host
        """
        leaving = self._fact_registry.facts(_LEAVING_KIND)
        if not leaving:
            return hosts
        return [
            dataclasses.replace(host, state=upstream.HostState.LEAVING)
            if host.host_id in leaving
            else host
            for host in hosts
        ]
