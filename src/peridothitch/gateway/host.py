"""An entry host: wires the parts of one process and runs its life cycle."""

import concurrent.futures
import dataclasses
import datetime
import random
import secrets
import threading

import logbook

from peridothitch.adapters import (
    http_transport,
    metrics,
    traces,
    wsgi_application,
    wsgi_server,
)
from peridothitch.coordination import (
    move_store,
    ranked_leadership,
    slice_ledger,
    spending,
    usage,
)
from peridothitch.gateway import (
    admission,
    assembly,
    document_links,
    loops,
    move_controller,
    peer_links,
    provisioning_links,
    upstream_links,
    versions,
)

__all__ = ["EntryHost", "HostSettings"]

_log = logbook.Logger("entry-host")
_INCARNATION_BYTES = 4
_HANDOVER_TIMEOUT = datetime.timedelta(seconds=5)
_REQUEST_THREAD_COUNT = 64
"""Durable requests without a caller that run at the same time."""

_BACKGROUND_THREAD_COUNT = 64
"""More than the loops of one host, each of which occupies a thread."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostSettings:
    """Settings of one entry host.

    Attributes
    ----------
    host_id : str
        Unique name of this host.
    data_centre : str
        Data centre of this host.
    listen : str
        IP number and port for callers.
    threads : int
        Requests served at the same time.
    unready_time : datetime.timedelta
        Time at shutdown that the balancer has to stop sending requests.
    limits : peridothitch.adapters.wsgi_server.ServerLimits
        Limits on the resources that one caller may use.
    drain_timeout : datetime.timedelta
        Longest wait for requests in progress at shutdown.
    fleet : peridothitch.gateway.peer_links.FleetSettings
        Settings for the calls between this host and its peers.
    cloud : str
        IP number and port of the cloud API; empty if another system starts hosts.
    """

    host_id: str
    data_centre: str
    listen: str = "127.0.0.1:8080"
    threads: int = 256
    unready_time: datetime.timedelta = datetime.timedelta(seconds=2)
    limits: wsgi_server.ServerLimits = wsgi_server.ServerLimits()
    drain_timeout: datetime.timedelta = datetime.timedelta(seconds=25)
    fleet: peer_links.FleetSettings = peer_links.FleetSettings()
    cloud: str = ""


class EntryHost:
    """The process between callers and upstreams.

    Parameters
    ----------
    settings : HostSettings
    store : peridothitch.ports.store.Store
    host_list : peridothitch.ports.upstream.HostList
    clock : peridothitch.ports.clock.Clock
    exporter : opentelemetry.sdk.trace.export.SpanExporter or None
    """

    def __init__(self, settings, store, host_list, clock, exporter=None):
        self._settings = settings
        self._clock = clock
        self._stop = threading.Event()
        self.metrics = metrics.Metrics()
        self._tracer = traces.Tracer(settings.host_id, exporter)
        self.fleet = peer_links.make_link(
            settings.host_id,
            settings.data_centre,
            settings.fleet,
            store,
            clock,
            self.metrics,
        )
        self._upstreams = upstream_links.UpstreamLink(
            settings, host_list, self.fleet, clock, self.metrics
        )
        self._view = self._upstreams.view
        self._documents = document_links.DocumentLink(
            store, self.fleet, self._view, clock, self.metrics
        )
        self.feed = self._documents.feed
        self._provisioning = provisioning_links.ProvisioningLink(
            settings, store, self.feed, self._view, clock, self.metrics
        )
        incarnation = _incarnation(settings.host_id)
        ledger = slice_ledger.SliceLedger(store, incarnation)
        self._usage_recorder = usage.UsageRecorder(
            store, incarnation, clock, self.metrics
        )
        self.spending_limiter = spending.SpendingLimiter(
            ledger, self.fleet.peers, clock, self.metrics
        )
        self.moves = self._make_moves(store, clock)
        spending_admission = admission.SpendingAdmission(
            self.spending_limiter, clock, self.metrics, self._usage_recorder
        )
        self._lookup_executor = concurrent.futures.ThreadPoolExecutor(
            settings.threads, thread_name_prefix=f"{settings.host_id}-lookups"
        )
        self._request_executor = concurrent.futures.ThreadPoolExecutor(
            _REQUEST_THREAD_COUNT, thread_name_prefix=f"{settings.host_id}-requests"
        )
        self._handler = assembly.make_handler(
            assembly.HandlerDependencies(
                feed=self.feed,
                view=self._view,
                transport=http_transport.HttpTransport(),
                store=store,
                peers=self.fleet.peers,
                fact_registry=self.fleet.facts,
                clock=clock,
                metrics=self.metrics,
                tracer=self._tracer,
                admission=spending_admission,
                version_picker=versions.VersionPicker(self.moves),
                immediate_observers=(spending_admission,),
                observers=(self.moves, self._view),
                executor=self._request_executor,
                lookup_executor=self._lookup_executor,
                data_centre=settings.data_centre,
            )
        )
        front = wsgi_application.WsgiApplication(
            self._handler, self.metrics, self._report_by_path()
        )
        self._server = wsgi_server.WsgiServer(
            front,
            settings.listen,
            settings.threads,
            settings.limits,
            front.count_problem,
        )
        self._background_executor = concurrent.futures.ThreadPoolExecutor(
            _BACKGROUND_THREAD_COUNT,
            thread_name_prefix=f"{settings.host_id}-background",
        )

    def _make_moves(self, store, clock):
        return move_controller.MoveController(
            feed=self.feed,
            view=self._view,
            record_store=move_store.MoveStore(store, self._settings.host_id),
            fact_registry=self.fleet.facts,
            peers=self.fleet.peers,
            leadership=ranked_leadership.RankedLeadership(self.fleet.peers, "moves"),
            clock=clock,
            metrics=self.metrics,
            generator=random.SystemRandom(),
        )

    @property
    def port(self):
        """Port that callers connect to."""
        return self._server.port

    @property
    def connection_count(self):
        """Callers' connections that are open."""
        return self._server.connection_count

    @property
    def pending_request_count(self):
        """Requests that are being answered or wait for a thread."""
        return self._server.pending_request_count

    @property
    def in_flight_by_host_id(self):
        """Requests in progress at upstream hosts."""
        return self._view.in_flight()

    def start(self):
        """Join the fleet, read configuration and host list once, then serve."""
        self._view.refresh()
        runner = loops.LoopRunner(
            self._background_executor, self._stop, self._clock, self.metrics
        )
        self._documents.start(runner)
        for run in self._loops():
            runner.start(run)
        self._server.start()
        _log.info("serving on port {}", self.port)

    def _report_by_path(self):
        return {
            "/v1/moves": self._report_moves,
            "/v1/status": self._documents.read_status,
        }

    def _report_moves(self):
        return {"moves": self.moves.status()}

    def _loops(self):
        """Return the background loops, which run until the host stops."""
        return (
            *self._documents.loops(),
            *self._upstreams.loops(self.feed),
            *self._provisioning.loops(),
            self.spending_limiter.run,
            self._usage_recorder.run,
            self.moves.run,
            self._handler.adopter.run,
        )

    def _drain(self):
        active_requests = self._handler.active_requests
        active_requests.ready = False
        self._clock.wait(self._stop, self._settings.unready_time)
        active_requests.drain()
        if active_requests.wait_idle(self._settings.drain_timeout):
            return True
        self._handler.durable.hand_over_all()
        return active_requests.wait_idle(_HANDOVER_TIMEOUT)

    def stop(self):
        """Stop without cutting off a request in progress.

        The balancer sees that the host isn't ready, requests in progress end, and
        durable streams that don't are handed over to other hosts.

        Returns
        -------
        bool
            Whether all requests ended within the drain timeout.
        """
        _log.info("draining")
        drained = self._drain()
        self.fleet.leave()
        self._stop.set()
        self._server.close()
        self._background_executor.shutdown()
        self._request_executor.shutdown(cancel_futures=True)
        self._lookup_executor.shutdown(wait=False, cancel_futures=True)
        self.spending_limiter.close()
        self.fleet.close()
        self._documents.close()
        self._tracer.close()
        _log.info("stopped; all requests ended: {}", drained)
        return drained


def _incarnation(host_id):
    """Return a name that is unique to this process, also after a restart."""
    return f"{host_id}-{secrets.token_hex(_INCARNATION_BYTES)}"
