"""Joins the signs that an upstream is leaving: host list, headers and other hosts."""

import dataclasses

from peridothitch.ports import facts, upstream

__all__ = ["LeavingUpstreams"]

_KIND = "leaving"
_HEADER = "x-upstream-leaving"


class LeavingUpstreams:
    """The upstreams that this entry host knows to be leaving.

    Parameters
    ----------
    board : peridothitch.ports.facts.FactRegistry
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, fact_registry, metrics):
        self._fact_registry = fact_registry
        self._metrics = metrics

    def read_headers(self, host, header_by_name):
        """Take note of an upstream that says in an answer that it is leaving."""
        if header_by_name.get(_HEADER, "").lower() != "true":
            return
        if self._fact_registry.publish(facts.Fact(_KIND, host.host_id, 1)):
            self._metrics.count("leaving_upstreams")

    def mark(self, hosts):
        """Return hosts with the state that all signs together give.

        Parameters
        ----------
        hosts : list of peridothitch.ports.upstream.Host

        Returns
        -------
        list of peridothitch.ports.upstream.Host
        """
        leaving = self._fact_registry.facts(_KIND)
        if not leaving:
            return hosts
        return [
            dataclasses.replace(host, state=upstream.HostState.LEAVING)
            if host.host_id in leaving
            else host
            for host in hosts
        ]
