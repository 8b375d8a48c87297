"""Polls a few engines per second for their reports, however many there are."""

import datetime

import xxhash

from peridothitch import errors
from peridothitch.policy import document as documents
from peridothitch.policy import load_estimates
from peridothitch.ports import upstream

__all__ = ["EnginePoll"]

_POLL_INTERVAL = datetime.timedelta(milliseconds=500)


class EnginePoll:
    """Reads the reports of one engine at each interval, in turn.

    Each entry host starts at another position of the rotation, so that together they
    poll every engine often while the work of each entry host stays the same.

    Parameters
    ----------
    view : peridothitch.gateway.upstreams.UpstreamView
    engine_reports : peridothitch.ports.engine_reports.EngineReports
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    host_id : str
        This entry host.
    feed : peridothitch.coordination.feed.DocumentFeed
        Provides the document, which names the services with engines as upstreams.
    """

    def __init__(self, view, engine_reports, clock, metrics, host_id, feed):
        self._view = view
        self._reports = engine_reports
        self._clock = clock
        self._metrics = metrics
        self._feed = feed
        self._position = xxhash.xxh3_64_intdigest(host_id.encode())

    def run(self, stop):
        """Poll until the event `stop` is set."""
        while not self._clock.wait(stop, _POLL_INTERVAL):
            self.poll()

    def poll(self):
        """Read the reports of the next engine."""
        hosts = sorted(self._engines(), key=lambda host: host.host_id)
        if not hosts:
            return
        self._position += 1
        host = hosts[self._position % len(hosts)]
        try:
            after = self._view.last_event_sequence(host.host_id)
            found = self._reports.read(host, after)
        except errors.UpstreamError:
            self._metrics.count("engine_report_failures")
            return
        report = load_estimates.LoadReport(found.running, found.backlog_tokens)
        self._view.record_report(host, report, found.events)

    def _engines(self):
        document = self._feed.current()
        if document is None:
            return
        for name, service in document.service_by_name.items():
            if service.protocol is not documents.Protocol.CHAT:
                continue
            for host in self._view.hosts(name):
                if host.state is upstream.HostState.LIVE:
                    yield host
