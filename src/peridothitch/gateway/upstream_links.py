"""Wires an entry host to its upstreams: the view of them and their reports."""

from peridothitch.adapters import http_engine_reports
from peridothitch.gateway import engine_poll, upstreams

__all__ = ["UpstreamLink"]


class UpstreamLink:
    """Connects one entry host to its upstreams.

    Parameters
    ----------
    settings : peridothitch.gateway.host.HostSettings
    host_list : peridothitch.ports.upstream.HostList
    fleet : peridothitch.gateway.peer_links.FleetLink
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    view : peridothitch.gateway.upstreams.UpstreamView
    """

    def __init__(self, settings, host_list, fleet, clock, metrics):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self.view = upstreams.UpstreamView(
            host_list,
            clock,
            metrics,
            fact_registry=fleet.facts,
            data_centre=settings.data_centre,
            entry_host_count=lambda: len(fleet.peers.members()),
        )

    def loops(self, feed):
        """Return the background loops, which run until the host stops."""
        poll = engine_poll.EnginePoll(
            self.view,
            http_engine_reports.HttpEngineReports(),
            self._clock,
            self._metrics,
            self._settings.host_id,
            feed,
        )
        return self.view.run, poll.run
