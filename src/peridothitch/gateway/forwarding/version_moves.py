"""Moves between versions on one entry host: chooses versions and reports outcomes.

A few entry hosts, the canary hosts, send a small share of their requests to the new
version and publish to all entry hosts how its outcomes compare with the old version's.
If the new version is found worse, it is condemned: each host stops sending requests to
it as soon as it receives the condemnation, before the move's outcome is in the store.
"""

import datetime
import random
import threading

import logbook

from peridothitch import errors
from peridothitch.gateway import active_move, move_evidence
from peridothitch.gateway.forwarding import move_records
from peridothitch.policy import evidence_counter, moves
from peridothitch.ports import record_codec, upstream

__all__ = ["VersionMoves", "make_moves"]

_TICK_PERIOD = datetime.timedelta(milliseconds=500)
_MIN_PUBLISH_INTERVAL = datetime.timedelta(seconds=2)
"""Shortest time between two messages about a version without new adverse events."""

_log = logbook.Logger(__name__)


class VersionMoves:
    """The moves of all services as one entry host carries them out.

    Parameters
    ----------
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    records : peridothitch.gateway.forwarding.move_records.MoveRecords
    peers : peridothitch.ports.peers.Peers
    fact_registry : peridothitch.ports.facts.FactRegistry
    crash_guard : peridothitch.gateway.quarantine.CrashGuard
        Recognizes requests that crash any host that runs them.
    clock : peridothitch.ports.clock.Clock
        Its wall-clock time must be one that all hosts agree on; see `SharedClock` of
        `peridothitch.gateway.forwarding.peer_sync`.
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None
    """

    def __init__(
        self,
        catalogue,
        records,
        peers,
        fact_registry,
        crash_guard,
        clock,
        metrics,
        random_source=None,
    ):
        self._catalogue = catalogue
        self._records = records
        self._peers = peers
        self._crash_guard = crash_guard
        self._clock = clock
        self._metrics = metrics
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._active_by_service = {}
        self._baseline_by_service = {}
        self._first_seen_by_order = {}
        self._evidence = move_evidence.MoveEvidence(
            fact_registry, peers.host_id, _MIN_PUBLISH_INTERVAL, clock, metrics
        )
        self._evidence.subscribe(self._apply_condemnations)

    def versions_for_request(self, service, route):
        """Return the versions that may run a new request, None for all.

        Parameters
        ----------
        service, route : str
            Names of the service and the route.
        """
        order = self._catalogue.move_by_service.get(service)
        if order is None:
            return None
        active = self._active_by_service.get(service)
        if active is not None:
            version = active.pick(route, self._clock.now())
            if version in self._live_versions(service):
                return frozenset({version})
        return self._stable_versions(order)

    def versions_for_retry(self, service):
        """Return the versions that may run a retried request, None for all."""
        order = self._catalogue.move_by_service.get(service)
        return None if order is None else self._stable_versions(order)

    def versions_for_capacity(self, service):
        """Return the versions whose hosts serve a service's load, None for all.

        An unproved version runs a small share of the requests only, however many hosts
        it has.
        """
        order = self._catalogue.move_by_service.get(service)
        if order is None or self._is_proved(order):
            return None
        return self._stable_versions(order)

    def is_open(self, service):
        """Return whether a service has a move whose end operators do not see yet."""
        order = self._catalogue.move_by_service.get(service)
        if order is None:
            return False
        persisted = self._records.find(order)
        return persisted is None or persisted.told is record_codec.MoveState.RUNNING

    def has_unknown_orders(self):
        """Return whether operators ordered a move that this host does not know yet.

        Reads the store. If it does not answer, hosts are ordered by what is known.
        """
        try:
            return self._records.has_newer_orders(self._catalogue.operators_revision)
        except errors.StoreError as error:
            _log.info("orders for moves not read", reason=error.detail)
            return False

    def _is_proved(self, order):
        persisted = self._records.find(order)
        return (
            persisted is not None
            and persisted.record.outcome is None
            and persisted.record.proved_at is not None
        )

    def _stable_versions(self, order):
        """Return the versions outside the canary test, None if no restriction applies.

        These are all but the new version, and only the new one after the move. They may
        have no live host; an unproved version does not replace them.
        """
        live = self._live_versions(order.service)
        persisted = self._records.find(order)
        if persisted is not None and persisted.record.outcome is moves.Outcome.DONE:
            return frozenset({order.version}) if order.version in live else None
        stable = frozenset(live - {order.version})
        if persisted is None or self._is_proved(order):
            return stable or None
        return stable

    def _live_versions(self, service):
        return {host.version for host in self._live_hosts(service)}

    def _live_hosts(self, service):
        return [
            host
            for host in self._catalogue.hosts().values()
            if host.service == service and host.state is upstream.HostState.LIVE
        ]

    def observe(self, outcome):
        """Add one `peridothitch.ports.outcomes.AttemptOutcome`."""
        active = self._active_by_service.get(outcome.service)
        if active is not None:
            active.observe(outcome)
        else:
            self._baseline(outcome.service).add_sample(outcome)

    def _baseline(self, service):
        return self._baseline_by_service.setdefault(
            service, evidence_counter.LatencyBaseline()
        )

    def now(self):
        """Return the time with which outcomes are timestamped."""
        return self._clock.now()

    def run(self, stop):
        """Call `tick` periodically until the event `stop` is set."""
        while not self._clock.wait(stop, _TICK_PERIOD):
            self.tick()

    def tick(self):
        """Apply the stored move records, then publish and evaluate evidence."""
        self._update_moves()
        for active in tuple(self._active_by_service.values()):
            if active.is_canary_host:
                self._evidence.publish(active)
            self._evidence.evaluate(active)

    def _update_moves(self):
        active_by_service = {}
        for service, order in self._catalogue.move_by_service.items():
            self.first_seen_at(order)
            persisted = self._records.find(order)
            if persisted is None or persisted.record.outcome is not None:
                continue
            active_by_service[service] = self._activate(persisted.record)
        ended = self._active_by_service.keys() - active_by_service.keys()
        for service in ended:
            _log.info("move no longer followed", service=service)
        self._active_by_service = active_by_service
        self._apply_condemnations()

    def first_seen_at(self, order):
        """Return the time at which this host first saw an order."""
        key = order.service, order.revision
        return self._first_seen_by_order.setdefault(key, self._clock.now())

    def _activate(self, record):
        active = self._active_by_service.get(record.service)
        if active is None or active.record.move_id != record.move_id:
            active = active_move.ActiveMove(
                record,
                self._peers.host_id,
                len(self.routes(record.service)),
                self._crash_guard.is_quarantined,
                self._random,
                self._clock,
                self._baseline(record.service),
            )
            _log.info(
                "move followed",
                service=record.service,
                from_version=record.from_version,
                to_version=record.to_version,
                finish_by=record.finish_by.isoformat(),
            )
        active.record = record
        versions = [host.version for host in self._live_hosts(record.service)]
        active.update_fleet(
            active_move.FleetSnapshot(
                host_ids=frozenset(self._peers.members()),
                new_host_count=versions.count(record.to_version),
                old_host_count=versions.count(record.from_version),
            )
        )
        return active

    def routes(self, service):
        """Return a service's routes."""
        table = self._catalogue.table
        return [
            route
            for route in (table.routes if table is not None else ())
            if any(share.service == service for share in route.shares)
        ]

    def _apply_condemnations(self):
        with self._lock:
            for active in tuple(self._active_by_service.values()):
                if self._evidence.apply_condemnation(active):
                    _log.info(
                        "version condemned",
                        service=active.record.service,
                        version=active.record.to_version,
                        reason=active.condemnation.describe(),
                    )

    def evidence_summary(self, service):
        """Return the evidence on a service's active move.

        None without an active move, and until all canary hosts have reported, unless
        the version is condemned before.

        Returns
        -------
        peridothitch.policy.moves.EvidenceSummary or None
        """
        active = self._active_by_service.get(service)
        if active is None:
            return None
        if active.condemnation is None and not self._evidence.has_all_evidence(active):
            return None
        return active.summarize_evidence([route.name for route in self.routes(service)])


def make_moves(catalogue, platform, leases, fleet, crash_guard, clock, metrics):
    """Return the records of the moves and the `VersionMoves` of an entry host.

    Parameters
    ----------
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    platform : peridothitch.gateway.forwarding.platform_adapters.Platform
    leases : peridothitch.coordination.mirror.Mirror
    fleet : peridothitch.gateway.peer_links.FleetLink
    crash_guard, clock, metrics
        See `VersionMoves`.
    """
    records = move_records.MoveRecords(platform.store, leases, platform.record_codec)
    moves_of_host = VersionMoves(
        catalogue, records, fleet.peers, fleet.facts, crash_guard, clock, metrics
    )
    return records, moves_of_host
