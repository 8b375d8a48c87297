"""Runs the moves of the document on one entry host.

Every host picks versions and applies condemnations. The canary hosts of a move publish
their evidence and evaluate it. One host decides and writes to the store; all of its
state is in the facts and the store.
"""

import datetime

import msgspec

from peridothitch import errors
from peridothitch.coordination import move_store
from peridothitch.gateway import active_move, move_decider, move_evidence
from peridothitch.policy import moves
from peridothitch.ports import facts, outcomes, upstream

__all__ = ["MoveController"]

_RECORD_KIND = "move-record"
_OVERRIDE_KIND = "move-in-force"
_TICK_INTERVAL = datetime.timedelta(milliseconds=500)
_QUIET_PERIOD = datetime.timedelta(seconds=5)
_DECISION_INTERVAL = datetime.timedelta(seconds=1)
_RETRY_INTERVAL = datetime.timedelta(seconds=5)
_EVIDENCE_SPREAD_TIME = datetime.timedelta(seconds=10)
_READ_INTERVAL = datetime.timedelta(seconds=60)


class MoveController(outcomes.AttemptObserver):
    """Runs the moves of all services on this host.

    Parameters
    ----------
    feed : peridothitch.coordination.feed.DocumentFeed
    view : peridothitch.gateway.upstreams.UpstreamView
    record_store : peridothitch.coordination.move_store.MoveStore
    fact_registry : peridothitch.ports.facts.FactRegistry
    peers : peridothitch.ports.peers.Peers
    leadership : peridothitch.ports.leadership.Leadership
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    generator : random.Random
    is_quarantined : callable
        Returns whether a request id is quarantined.
    """

    def __init__(
        self,
        *,
        feed,
        view,
        record_store,
        fact_registry,
        peers,
        leadership,
        clock,
        metrics,
        generator,
        is_quarantined=lambda request_id: False,
    ):
        self._feed = feed
        self._view = view
        self._record_store = record_store
        self._fact_registry = fact_registry
        self._peers = peers
        self._leadership = leadership
        self._clock = clock
        self._metrics = metrics
        self._random = generator
        self._is_quarantined = is_quarantined
        self._record_by_id = {}
        self._override_by_service = {}
        self._applied_sequence_by_key = {}
        self._active_by_service = {}
        self._next_read = clock.monotonic()
        self._next_decision = clock.monotonic()
        self._decider = move_decider.MoveDecider(record_store, clock)
        self._evidence = move_evidence.MoveEvidence(
            fact_registry, peers.host_id, _QUIET_PERIOD, clock, metrics
        )
        self._evidence.subscribe(self._apply_condemnations)

    def pick(self, job):
        """Return the name of the version for a request.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job
        """
        active = self._active_by_service.get(job.route.service)
        if active is None:
            return self._in_force(job.document, job.route.service)
        return active.pick(job.match.name, self._clock.now())

    def observe(self, outcome):
        """Record the outcome of one attempt."""
        active = self._active_by_service.get(outcome.service)
        if active is not None:
            active.observe(outcome)

    def status(self):
        """Return the moves for operators: a list, plain values only."""
        document = self._feed.current()
        reports = [self._report(record) for record in self._record_by_id.values()]
        recorded_ids = self._record_by_id.keys()
        waiting = document.move_by_name.items() if document is not None else ()
        for name, move in waiting:
            if moves.make_move_id(name, move) not in recorded_ids:
                stage = moves.Stage.WAITING.value
                reports.append({"name": name, "service": move.service, "stage": stage})
        return sorted(reports, key=lambda report: report["name"])

    def run(self, stop):
        """Call `tick` periodically until the event `stop` is set."""
        while not self._clock.wait(stop, _TICK_INTERVAL):
            try:
                self.tick()
            except Exception:
                self._metrics.count("move_keeper_errors")

    run.__qualname__ = "MoveKeeper.run"  # value of the metric label "loop"

    def tick(self):
        """Read, publish, evaluate and decide once."""
        document = self._feed.current()
        if document is None:
            return
        self._read_when_due()
        self._read_facts()
        self._update_active_moves(document)
        for active in tuple(self._active_by_service.values()):
            self._exchange_evidence(active)
        if self._leadership.is_held():
            self._decide_all(document)
            self._update_active_moves(document)

    def _in_force(self, document, service):
        override = self._override_by_service.get(service)
        pair = (override.from_current, override.version) if override else None
        return moves.version_in_force(document.service_by_name[service], pair)

    def _report(self, record):
        active = self._active_by_service.get(record.service)
        is_active = active is not None and active.record.move_id == record.move_id
        condemnation = active.condemnation if is_active else None
        now = self._clock.now()
        report = {
            "name": record.name,
            "service": record.service,
            "from_version": record.from_version,
            "to_version": record.to_version,
            "finish_by": record.finish_by.isoformat(),
            "stage": moves.stage(record, now).value,
            "verdict": record.outcome.value if record.outcome else None,
            "code": int(record.reason) if record.reason is not None else None,
            "detail": record.detail,
        }
        if record.outcome is None and condemnation is not None:
            report["stage"] = "condemned"
            report["detail"] = condemnation.describe()
        if record.outcome is None and now >= record.finish_by:
            report["detail"] = report["detail"] or "the store has not taken the verdict"
        return report

    def _read_when_due(self):
        now = self._clock.monotonic()
        if now < self._next_read:
            return
        self._next_read = now + _READ_INTERVAL * self._random.uniform(0.8, 1.2)
        try:
            self._publish_state(self._record_store.load())
        except errors.StoreError:
            self._next_read = now + _RETRY_INTERVAL * self._random.uniform(0.8, 1.2)
            self._metrics.count("move_store_failures")

    def _publish_state(self, loaded):
        value_by_key = {
            (_RECORD_KIND, move_id): msgspec.msgpack.encode(stored.record)
            for move_id, stored in loaded.move_by_id.items()
        }
        published_overrides = dict.fromkeys(self._fact_registry.facts(_OVERRIDE_KIND))
        for service in published_overrides | loaded.override_by_service:
            override = loaded.override_by_service.get(service)
            value = msgspec.msgpack.encode(override) if override is not None else b""
            value_by_key[_OVERRIDE_KIND, service] = value
        for (kind, key), value in value_by_key.items():
            published = self._fact_registry.facts(kind).get(key)
            if published is None or published.value != value:
                self._fact_registry.publish(
                    facts.Fact(kind, key, loaded.revision, value)
                )
        self._read_facts()

    def _read_facts(self):
        """Apply the records and overrides that are newer than those applied before."""
        record_by_id = dict(self._record_by_id)
        for move_id, fact in self._unapplied_facts(_RECORD_KIND):
            record = msgspec.msgpack.decode(fact.value, type=moves.MoveRecord)
            record_by_id[move_id] = record
        override_by_service = dict(self._override_by_service)
        for service, fact in self._unapplied_facts(_OVERRIDE_KIND):
            override_by_service.pop(service, None)
            if fact.value:
                override_by_service[service] = msgspec.msgpack.decode(
                    fact.value, type=move_store.Override
                )
        self._record_by_id = record_by_id
        self._override_by_service = override_by_service

    def _unapplied_facts(self, kind):
        for key, fact in self._fact_registry.facts(kind).items():
            if fact.sequence > self._applied_sequence_by_key.get((kind, key), 0):
                self._applied_sequence_by_key[kind, key] = fact.sequence
                yield key, fact

    def _apply_condemnations(self):
        for active in tuple(self._active_by_service.values()):
            self._evidence.apply_condemnation(active)

    def _update_active_moves(self, document):
        open_by_service = {
            record.service: record
            for record in self._record_by_id.values()
            if record.outcome is None and record.service in document.service_by_name
        }
        active_by_service = {
            service: self._activate(record, document)
            for service, record in open_by_service.items()
        }
        self._active_by_service = active_by_service
        self._apply_condemnations()

    def _activate(self, record, document):
        active = self._active_by_service.get(record.service)
        if active is None or active.record.move_id != record.move_id:
            active = active_move.ActiveMove(
                record,
                self._peers.host_id,
                len(_routes(document, record.service)),
                self._is_quarantined,
                self._random,
                self._clock,
            )
        active.record = record
        active.update_fleet(self._snapshot_fleet(record))
        return active

    def _snapshot_fleet(self, record):
        live = [
            host.version
            for host in self._view.hosts(record.service)
            if host.state is upstream.HostState.LIVE
        ]
        return active_move.FleetSnapshot(
            host_ids=frozenset(self._peers.members()),
            new_host_count=live.count(record.to_version),
            old_host_count=live.count(record.from_version),
        )

    def _exchange_evidence(self, active):
        if active.is_canary_host:
            self._evidence.publish(active)
        if active.is_canary_host or self._leadership.is_held():
            self._evidence.evaluate(active)

    def _decide_all(self, document):
        now = self._clock.monotonic()
        if now < self._next_decision:
            return
        self._next_decision = now + _DECISION_INTERVAL
        evidence_summary_by_id = {
            active.record.move_id: active.summarize_evidence(_routes(document, service))
            for service, active in self._active_by_service.items()
            if self._is_evidence_complete(active)
        }
        try:
            loaded = self._decider.run_once(
                document, evidence_summary_by_id, self._leadership.fencing_number
            )
        except errors.StoreError:
            self._metrics.count("move_store_failures")
            return
        self._publish_state(loaded)

    def _is_evidence_complete(self, active):
        """Return whether all canary hosts' evidence arrived and had time to spread."""
        if active.condemnation is not None:
            return True
        if self._clock.monotonic() - active.since < _EVIDENCE_SPREAD_TIME:
            return False
        return self._evidence.has_all_evidence(active)


def _routes(document, service):
    return [
        name
        for name, route in document.route_by_name.items()
        if route.service == service
    ]
