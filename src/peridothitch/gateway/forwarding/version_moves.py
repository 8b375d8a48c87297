"""Moves between versions on one entry host: picks versions, tells what it sees of them.

A few hosts send a small part of their requests to the new version and tell the others
how these fared beside the old version's. A version that is found worse gets no further
request at any host as soon as the news arrives; the verdict in the store follows.
"""

import datetime
import random
import threading

import logbook
import msgspec

from peridothitch.gateway import active_move
from peridothitch.policy import moves
from peridothitch.ports import facts, upstream

__all__ = ["VersionMoves"]

_TICK = datetime.timedelta(milliseconds=500)
_QUIET_PERIOD = datetime.timedelta(seconds=2)
"""Between two messages about versions that fare well."""

_EVIDENCE = "move-evidence"
_CONDEMNED = "condemned"
_log = logbook.Logger(__name__)


class VersionMoves:
    """Part of one host in the moves of all services.

    Parameters
    ----------
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    records : peridothitch.gateway.forwarding.move_records.MoveRecords
    peers : peridothitch.ports.peers.Peers
    board : peridothitch.ports.facts.FactBoard
    guard : peridothitch.gateway.quarantine.CrashGuard
        Tells requests that crash whatever runs them.
    clock : peridothitch.ports.clock.Clock
        With the time that all hosts agree on.
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None
    """

    def __init__(
        self,
        catalogue,
        records,
        peers,
        board,
        guard,
        clock,
        metrics,
        random_source=None,
    ):
        self._catalogue = catalogue
        self._records = records
        self._peers = peers
        self._board = board
        self._guard = guard
        self._clock = clock
        self._metrics = metrics
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._active_by_service = {}
        self._told_by_id = {}
        self._seen_by_order = {}
        board.subscribe(_CONDEMNED, self._learn_condemned)

    def pick(self, service, route):
        """Return the versions that a new request may run at, None for all.

        Parameters
        ----------
        service, route : str
            Names.
        """
        order = self._catalogue.move_by_service.get(service)
        if order is None:
            return None
        active = self._active_by_service.get(service)
        if active is not None:
            version = active.pick(route, self._clock.now())
            if version in self._live_versions(service):
                return frozenset({version})
        return self._settled(order)

    def proved(self, service):
        """Return the versions that a repeated request may run at, None for all."""
        order = self._catalogue.move_by_service.get(service)
        return None if order is None else self._settled(order)

    def _settled(self, order):
        """Return the versions that need no proof."""
        live = self._live_versions(order.service)
        kept = self._records.find(order)
        if kept is not None and kept.record.outcome is moves.Outcome.DONE:
            return frozenset({order.version}) if order.version in live else None
        return frozenset(live - {order.version}) or None

    def _live_versions(self, service):
        return {host.version for host in self._live(service)}

    def _live(self, service):
        return [
            host
            for host in self._catalogue.hosts().values()
            if host.service == service and host.state is upstream.HostState.LIVE
        ]

    def observe(self, outcome):
        """Take in one `peridothitch.ports.outcomes.AttemptOutcome`."""
        active = self._active_by_service.get(outcome.service)
        if active is not None:
            active.observe(outcome)

    def now(self):
        """Return the time by which outcomes are dated."""
        return self._clock.now()

    def is_watched(self, service):
        """Return whether outcomes at a service's hosts are of use."""
        return service in self._active_by_service

    def run(self, stop):
        """Work until the event `stop` is set."""
        while not self._clock.wait(stop, _TICK):
            self.tick()

    def tick(self):
        """Follow the records, exchange evidence and weigh it."""
        self._follow()
        for active in tuple(self._active_by_service.values()):
            self._tell(active)
            self._weigh(active)

    def _follow(self):
        active_by_service = {}
        for service, order in self._catalogue.move_by_service.items():
            self.seen_at(order)
            kept = self._records.find(order)
            if kept is None or kept.record.outcome is not None:
                continue
            active_by_service[service] = self._activate(kept.record)
        ended = self._active_by_service.keys() - active_by_service.keys()
        for service in ended:
            _log.info("move no longer followed", service=service)
        self._active_by_service = active_by_service
        for fact in self._board.facts(_CONDEMNED).values():
            self._learn_condemned(fact)

    def seen_at(self, order):
        """Return the time at which this host first saw an order."""
        key = order.service, order.revision
        return self._seen_by_order.setdefault(key, self._clock.now())

    def _activate(self, record):
        active = self._active_by_service.get(record.service)
        if active is None or active.record.move_id != record.move_id:
            active = active_move.ActiveMove(
                record,
                self._peers.host_id,
                len(self.routes(record.service)),
                self._guard.is_quarantined,
                self._random,
                self._clock,
            )
            _log.info(
                "move followed",
                service=record.service,
                from_version=record.from_version,
                to_version=record.to_version,
                finish_by=record.finish_by.isoformat(),
            )
        active.record = record
        versions = [host.version for host in self._live(record.service)]
        active.update_fleet(
            active_move.FleetView(
                host_ids=frozenset(self._peers.members()),
                new_host_count=versions.count(record.to_version),
                old_host_count=versions.count(record.from_version),
            )
        )
        return active

    def routes(self, service):
        """Return the names of a service's routes."""
        table = self._catalogue.table
        return [
            route.name
            for route in (table.routes if table is not None else ())
            if any(share.service == service for share in route.shares)
        ]

    def _tell(self, active):
        if not active.is_carrier:
            return
        now = self._clock.now()
        move_id = active.record.move_id
        evidence, has_adverse_news = active.report(now)
        told_at, told = self._told_by_id.get(move_id, (None, None))
        if evidence == told:
            return
        if told_at and not has_adverse_news and now - told_at < _QUIET_PERIOD:
            return
        self._told_by_id[move_id] = now, evidence
        fact = facts.Fact(
            _EVIDENCE,
            f"{move_id}/{self._peers.host_id}",
            int(now.timestamp() * 1000),
            msgspec.msgpack.encode(evidence),
        )
        if not self._board.publish(fact):
            self._metrics.count("move_evidence_refused")
        self._metrics.set(
            "move_exposed_share", evidence.exposed / max(1, evidence.requests)
        )

    def _weigh(self, active):
        condemnation = active.weigh(self._evidence(active), self._clock.now())
        if condemnation is None or active.condemnation is not None:
            return
        value = msgspec.msgpack.encode(condemnation)
        self._board.publish(facts.Fact(_CONDEMNED, active.record.move_id, 1, value))

    def _evidence(self, active):
        prefix = f"{active.record.move_id}/"
        return {
            key: fact
            for key, fact in self._board.facts(_EVIDENCE).items()
            if key.startswith(prefix)
        }

    def _learn_condemned(self, fact):
        found = msgspec.msgpack.decode(fact.value, type=active_move.Condemnation)
        with self._lock:
            for active in tuple(self._active_by_service.values()):
                if active.record.move_id != fact.key or active.condemnation is not None:
                    continue
                active.condemnation = found
                self._metrics.count("versions_condemned")
                _log.info(
                    "version condemned",
                    service=active.record.service,
                    version=active.record.to_version,
                    reason=found.describe(),
                )

    def weighing(self, service):
        """Return what is known of a move, None before all who carry it were heard.

        Returns
        -------
        peridothitch.policy.moves.Weighing or None
        """
        active = self._active_by_service.get(service)
        if active is None:
            return None
        if active.condemnation is None:
            evidence = self._evidence(active)
            move_id = active.record.move_id
            if any(f"{move_id}/{host}" not in evidence for host in active.carriers):
                return None
        return active.weighing(self.routes(service))
