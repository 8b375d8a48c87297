"""An entry host: wires the parts of one process and runs its life cycle."""

import concurrent.futures
import dataclasses
import datetime
import random
import threading

from peridothitch.adapters import (
    document_file,
    http_transport,
    metrics,
    traces,
    wsgi_front,
)
from peridothitch.coordination import claims, documents, ranking, solo, verdicts
from peridothitch.gateway import admission, handler, moves, upstreams, versions
from peridothitch.ports import peers

__all__ = ["EntryHost", "HostSettings"]

_DOCUMENT_INTERVAL = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostSettings:
    """Settings of one entry host.

    Attributes
    ----------
    host_id : str
        Unique name of this host.
    data_centre : str
        Where this host is.
    listen : str
        IP number and port for callers.
    threads : int
        Requests served at the same time.
    max_body_bytes : int
        Largest body accepted from a caller.
    drain_timeout : datetime.timedelta
        Longest wait for requests in progress at shutdown.
    """

    host_id: str
    data_centre: str
    listen: str = "127.0.0.1:8080"
    threads: int = 256
    max_body_bytes: int = 8 << 20
    drain_timeout: datetime.timedelta = datetime.timedelta(seconds=25)


class EntryHost:
    """The process between callers and upstreams.

    Parameters
    ----------
    settings : HostSettings
    service : peridothitch.ports.store.Store
    host_list : peridothitch.ports.upstream.HostList
    clock : peridothitch.ports.clock.Clock
    exporter : opentelemetry.sdk.trace.export.SpanExporter or None
    """

    def __init__(self, settings, service, host_list, clock, exporter=None):
        self._settings = settings
        self._stop = threading.Event()
        self.metrics = metrics.Metrics()
        self._tracer = traces.Tracer(settings.host_id, exporter)
        document_store = documents.DocumentStore(service, document_file.YamlCodec())
        self.feed = documents.DocumentFeed(document_store, clock, self.metrics)
        self._view = upstreams.UpstreamView(host_list, clock, self.metrics)
        self.moves = self._make_moves(service, clock)
        self._handler = handler.RequestHandler(
            feed=self.feed,
            view=self._view,
            transport=http_transport.HttpTransport(),
            claim_book=claims.ClaimBook(service, settings.host_id),
            clock=clock,
            metrics=self.metrics,
            tracer=self._tracer,
            admission=admission.Admission(),
            version_picker=versions.VersionPicker(self.moves),
            observers=(self.moves,),
            data_centre=settings.data_centre,
        )
        self._server = wsgi_front.WsgiServer(
            wsgi_front.WsgiFront(self._handler, self.metrics, self.moves.status),
            settings.listen,
            settings.threads,
            settings.max_body_bytes,
        )
        self._background = concurrent.futures.ThreadPoolExecutor(
            thread_name_prefix=f"{settings.host_id}-background"
        )

    def _make_moves(self, service, clock):
        host_id = self._settings.host_id
        peer = peers.Peer(
            host_id=host_id,
            address=self._settings.listen,
            data_centre=self._settings.data_centre,
        )
        members = solo.SoloPeers(peer)
        return moves.MoveKeeper(
            feed=self.feed,
            view=self._view,
            book=verdicts.MoveBook(service, host_id),
            board=solo.LocalFactBoard(),
            peers=members,
            leadership=ranking.RankedLeadership(members, "moves"),
            clock=clock,
            metrics=self.metrics,
            generator=random.Random(),
        )

    @property
    def port(self):
        """Port that callers connect to."""
        return self._server.port

    def start(self):
        """Read configuration and host list once, then serve."""
        self.feed.refresh()
        self._view.refresh()
        self._background.submit(self.feed.run, self._stop, _DOCUMENT_INTERVAL)
        self._background.submit(self._view.run, self._stop)
        self._background.submit(self.moves.run, self._stop)
        self._server.start()

    def stop(self):
        """Drain and stop.

        Returns
        -------
        bool
            Whether all requests ended within the drain timeout.
        """
        drained = self._handler.drain(self._settings.drain_timeout)
        self._stop.set()
        self._server.close()
        self._background.shutdown()
        self._tracer.close()
        return drained
