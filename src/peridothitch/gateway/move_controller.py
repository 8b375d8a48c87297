"""Runs the moves of the document on one entry host.

Every host picks versions and obeys condemnations. The hosts that carry a move publish
their evidence and weigh it. One host decides and writes to the store; it holds nothing
that is not in the facts and the store.
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
_TICK = datetime.timedelta(milliseconds=500)
_QUIET_INTERVAL = datetime.timedelta(seconds=5)
_DECISION_INTERVAL = datetime.timedelta(seconds=1)
_RETRY_INTERVAL = datetime.timedelta(seconds=5)
_HEARING_TIME = datetime.timedelta(seconds=10)
_READ_INTERVAL = datetime.timedelta(seconds=60)


class MoveController(outcomes.AttemptObserver):
    """Moves of all services on this host.

    Parameters
    ----------
    feed : peridothitch.coordination.documents.DocumentFeed
    view : peridothitch.gateway.upstreams.UpstreamView
    book : peridothitch.coordination.move_store.MoveStore
    board : peridothitch.ports.facts.FactRegistry
    peers : peridothitch.ports.peers.Peers
    leadership : peridothitch.ports.leadership.Leadership
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    generator : random.Random
    is_quarantined : callable
        Tells whether a request id is quarantined.
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
        self._book = record_store
        self._fact_registry = fact_registry
        self._peers = peers
        self._leadership = leadership
        self._clock = clock
        self._metrics = metrics
        self._random = generator
        self._is_quarantined = is_quarantined
        self._record_by_id = {}
        self._override_by_service = {}
        self._read_sequences = {}
        self._active_by_service = {}
        self._next_read = clock.monotonic()
        self._next_decision = clock.monotonic()
        self._decider = move_decider.MoveDecider(record_store, clock)
        self._evidence = move_evidence.MoveEvidence(
            fact_registry, peers.host_id, _QUIET_INTERVAL, clock, metrics
        )
        self._evidence.subscribe(self._learn_condemned)

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
        """Take in one outcome of an attempt."""
        active = self._active_by_service.get(outcome.service)
        if active is not None:
            active.observe(outcome)

    def status(self):
        """Return what operators read: a list of moves, plain values only."""
        document = self._feed.current()
        reports = [self._report(record) for record in self._record_by_id.values()]
        known = self._record_by_id.keys()
        waiting = document.move_by_name.items() if document is not None else ()
        for name, move in waiting:
            if moves.make_move_id(name, move) not in known:
                stage = moves.Stage.WAITING.value
                reports.append({"name": name, "service": move.service, "stage": stage})
        return sorted(reports, key=lambda report: report["name"])

    def run(self, stop):
        """Work until the event `stop` is set."""
        while not self._clock.wait(stop, _TICK):
            try:
                self.tick()
            except Exception:
                self._metrics.count("move_keeper_errors")

    def tick(self):
        """Read, publish, weigh and decide once."""
        document = self._feed.current()
        if document is None:
            return
        self._read_when_due()
        self._read_facts()
        self._follow(document)
        for active in tuple(self._active_by_service.values()):
            self._exchange_evidence(active)
        if self._leadership.is_held():
            self._decide_all(document)
            self._follow(document)

    def _in_force(self, document, service):
        override = self._override_by_service.get(service)
        pair = (override.from_current, override.version) if override else None
        return moves.version_in_force(document.service_by_name[service], pair)

    def _report(self, record):
        active = self._active_by_service.get(record.service)
        mine = active is not None and active.record.move_id == record.move_id
        condemnation = active.condemnation if mine else None
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
            self._take(self._book.load())
        except errors.StoreError:
            self._next_read = now + _RETRY_INTERVAL * self._random.uniform(0.8, 1.2)
            self._metrics.count("move_store_failures")

    def _take(self, loaded):
        value_by_key = {
            (_RECORD_KIND, move_id): msgspec.msgpack.encode(stored.record)
            for move_id, stored in loaded.move_by_id.items()
        }
        ended = dict.fromkeys(self._fact_registry.facts(_OVERRIDE_KIND))
        for service in ended | loaded.override_by_service:
            override = loaded.override_by_service.get(service)
            value = msgspec.msgpack.encode(override) if override is not None else b""
            value_by_key[_OVERRIDE_KIND, service] = value
        for (kind, key), value in value_by_key.items():
            known = self._fact_registry.facts(kind).get(key)
            if known is None or known.value != value:
                self._fact_registry.publish(
                    facts.Fact(kind, key, loaded.revision, value)
                )
        self._read_facts()

    def _read_facts(self):
        """Take over records and overrides that are news."""
        record_by_id = dict(self._record_by_id)
        for move_id, fact in self._news(_RECORD_KIND):
            record = msgspec.msgpack.decode(fact.value, type=moves.MoveRecord)
            record_by_id[move_id] = record
        override_by_service = dict(self._override_by_service)
        for service, fact in self._news(_OVERRIDE_KIND):
            override_by_service.pop(service, None)
            if fact.value:
                override_by_service[service] = msgspec.msgpack.decode(
                    fact.value, type=move_store.Override
                )
        self._record_by_id = record_by_id
        self._override_by_service = override_by_service

    def _news(self, kind):
        for key, fact in self._fact_registry.facts(kind).items():
            if fact.sequence > self._read_sequences.get((kind, key), 0):
                self._read_sequences[kind, key] = fact.sequence
                yield key, fact

    def _learn_condemned(self):
        for active in tuple(self._active_by_service.values()):
            self._evidence.apply_condemnation(active)

    def _follow(self, document):
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
        self._learn_condemned()

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
        active.update_fleet(self._fleet(record))
        return active

    def _fleet(self, record):
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
            if self._has_heard(active)
        }
        try:
            loaded = self._decider.run_once(
                document, evidence_summary_by_id, self._leadership.fencing_number
            )
        except errors.StoreError:
            self._metrics.count("move_store_failures")
            return
        self._take(loaded)

    def _has_heard(self, active):
        """Return whether all carriers' evidence is here and had time to spread."""
        if active.condemnation is not None:
            return True
        if self._clock.monotonic() - active.since < _HEARING_TIME:
            return False
        return self._evidence.has_all_evidence(active)


def _routes(document, service):
    return [
        name
        for name, route in document.route_by_name.items()
        if route.service == service
    ]
