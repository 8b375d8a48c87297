"""Runs the moves of the document on one entry host.

Every host picks versions and obeys condemnations. The hosts that carry a move publish
their evidence and weigh it. One host decides and writes to the store; it holds nothing
that is not in the facts and the store.
"""

import datetime
import threading

import msgspec

from peridothitch import errors
from peridothitch.coordination import verdicts
from peridothitch.gateway import active_move, move_decider
from peridothitch.policy import moves
from peridothitch.ports import facts, outcomes, upstream

__all__ = ["MoveKeeper"]

_STATE_KIND = "moves"
_STATE_KEY = "state"
_EVIDENCE_KIND = "move-evidence"
_CONDEMNED_KIND = "move-condemned"
_TICK = datetime.timedelta(milliseconds=500)
_QUIET_INTERVAL = datetime.timedelta(seconds=5)
_DECISION_INTERVAL = datetime.timedelta(seconds=1)
_RETRY_INTERVAL = datetime.timedelta(seconds=5)
_HEARING_TIME = datetime.timedelta(seconds=10)
_READ_INTERVAL = datetime.timedelta(seconds=60)


class _State(msgspec.Struct, frozen=True, kw_only=True):
    """Moves and overrides as one fact."""

    revision: int = 0
    records: tuple[moves.MoveRecord, ...] = ()
    override_by_service: dict[str, verdicts.Override] = {}


class MoveKeeper(outcomes.AttemptObserver):
    """Moves of all services on this host.

    Parameters
    ----------
    feed : peridothitch.coordination.documents.DocumentFeed
    view : peridothitch.gateway.upstreams.UpstreamView
    book : peridothitch.coordination.verdicts.MoveBook
    board : peridothitch.ports.facts.FactBoard
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
        book,
        board,
        peers,
        leadership,
        clock,
        metrics,
        generator,
        is_quarantined=lambda request_id: False,
    ):
        self._feed = feed
        self._view = view
        self._book = book
        self._board = board
        self._peers = peers
        self._leadership = leadership
        self._clock = clock
        self._metrics = metrics
        self._random = generator
        self._is_quarantined = is_quarantined
        self._lock = threading.Lock()
        self._state = _State()
        self._active_by_service = {}
        self._next_read = clock.monotonic()
        self._next_decision = clock.monotonic()
        self._decider = move_decider.MoveDecider(book, clock)
        self._published_by_id = {}
        board.subscribe(_CONDEMNED_KIND, self._on_condemned)
        board.subscribe(_STATE_KIND, self._on_state)

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
        reports = [self._report(record) for record in self._state.records]
        known = {record.move_id for record in self._state.records}
        waiting = document.move_by_name.items() if document is not None else ()
        for name, move in waiting:
            if moves.identify(name, move) not in known:
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
        self._follow(document)
        for active in tuple(self._active_by_service.values()):
            self._exchange_evidence(active)
        if self._leadership.is_held():
            self._decide_all(document)
            self._follow(document)

    def _in_force(self, document, service):
        override = self._state.override_by_service.get(service)
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
        state = _State(
            revision=loaded.revision,
            records=tuple(stored.record for stored in loaded.move_by_id.values()),
            override_by_service=loaded.override_by_service,
        )
        self._adopt(state)
        if self._leadership.is_held():
            value = msgspec.msgpack.encode(state)
            fact = facts.Fact(_STATE_KIND, _STATE_KEY, state.revision, value)
            self._board.publish(fact)

    def _on_state(self, fact):
        self._adopt(msgspec.msgpack.decode(fact.value, type=_State))

    def _adopt(self, state):
        with self._lock:
            if state.revision > self._state.revision:
                self._state = state

    def _on_condemned(self, fact):
        condemnation = msgspec.msgpack.decode(fact.value, type=active_move.Condemnation)
        for active in tuple(self._active_by_service.values()):
            if active.record.move_id == fact.key and active.condemnation is None:
                active.condemnation = condemnation
                self._metrics.count("versions_condemned", move=active.record.name)

    def _follow(self, document):
        open_by_service = {
            record.service: record
            for record in self._state.records
            if record.outcome is None and record.service in document.service_by_name
        }
        active_by_service = {
            service: self._activate(record, document)
            for service, record in open_by_service.items()
        }
        self._active_by_service = active_by_service
        for fact in self._board.facts(_CONDEMNED_KIND).values():
            self._on_condemned(fact)

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
        return active_move.FleetView(
            host_ids=frozenset(self._peers.members()),
            new_host_count=live.count(record.to_version),
            old_host_count=live.count(record.from_version),
        )

    def _exchange_evidence(self, active):
        if active.is_carrier:
            self._publish(active)
        if not active.is_carrier and not self._leadership.is_held():
            return
        move_id = active.record.move_id
        fact_by_key = {
            key: fact
            for key, fact in self._board.facts(_EVIDENCE_KIND).items()
            if key.startswith(f"{move_id}/")
        }
        condemnation = active.weigh(fact_by_key, self._clock.now())
        if condemnation is None or active.condemnation is not None:
            return
        value = msgspec.msgpack.encode(condemnation)
        self._board.publish(facts.Fact(_CONDEMNED_KIND, move_id, 1, value))

    def _publish(self, active):
        now = self._clock.now()
        move_id = active.record.move_id
        report, has_adverse_news = active.report(now)
        last_at, last = self._published_by_id.get(move_id, (None, None))
        if report == last:
            return
        if last_at and not has_adverse_news and now - last_at < _QUIET_INTERVAL:
            return
        self._published_by_id[move_id] = (now, report)
        sequence = int(now.timestamp() * 1000)
        key = f"{move_id}/{self._peers.host_id}"
        value = msgspec.msgpack.encode(report)
        self._board.publish(facts.Fact(_EVIDENCE_KIND, key, sequence, value))
        exposed = report.exposed / max(1, report.requests)
        self._metrics.set("move_exposed_share", exposed, move=active.record.name)

    def _decide_all(self, document):
        now = self._clock.monotonic()
        if now < self._next_decision:
            return
        self._next_decision = now + _DECISION_INTERVAL
        weighing_by_id = {
            active.record.move_id: active.weighing(_routes(document, service))
            for service, active in self._active_by_service.items()
            if self._has_heard(active)
        }
        try:
            loaded = self._decider.run_once(
                document, weighing_by_id, self._leadership.fencing_number
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
        known = self._board.facts(_EVIDENCE_KIND)
        move_id = active.record.move_id
        return all(f"{move_id}/{host_id}" in known for host_id in active.carriers)


def _routes(document, service):
    return [
        name
        for name, route in document.route_by_name.items()
        if route.service == service
    ]
