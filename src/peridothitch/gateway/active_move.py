"""State of one open move on one entry host."""

import collections
import dataclasses
import math
import threading

import msgspec

from peridothitch.policy import evidence, evidence_counter, exposure, moves

__all__ = ["ActiveMove", "Condemnation", "FleetSnapshot"]

_ROUTE_SHARE_WHILE_SAMPLING = 0.1
_MAX_CANARY_HOST_SHARE = 0.8
_SHARE_FACTOR_AFTER_SAMPLING = 0.5


class Condemnation(msgspec.Struct, frozen=True, array_like=True):
    """Why a move's new version gets no new requests.

    Attributes
    ----------
    route : str
        Empty for lost connections.
    measure : peridothitch.policy.evidence.Measure
    trials, events : int
        The new version's attempts that were compared and the adverse ones among them.
    old_rate : float
        Rate of adverse events of the old version at that time.
    """

    route: str
    measure: evidence.Measure
    trials: int
    events: int
    old_rate: float

    def describe(self):
        """Return one sentence for operators."""
        where = f"route {self.route}" if self.route else "all routes"
        return (
            f"{self.measure.value} on {where}: {self.events} of {self.trials} attempts,"
            f" old version {self.old_rate:.1%}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetSnapshot:
    """Entry hosts and upstream hosts that a move depends on.

    Attributes
    ----------
    host_ids : frozenset of str
        Entry hosts believed live.
    new_host_count, old_host_count : int
        Live upstream hosts by version.
    """

    host_ids: frozenset
    new_host_count: int
    old_host_count: int

    @property
    def new_host_share(self):
        """Share of the upstream hosts that run the new version."""
        return self.new_host_count / max(1, self.new_host_count + self.old_host_count)


class ActiveMove:
    """Picks versions for requests; collects and evaluates evidence about one move.

    Parameters
    ----------
    record : peridothitch.policy.moves.MoveRecord
    host_id : str
        This entry host.
    route_count : int
        Routes of the service.
    is_quarantined : callable
        Returns whether a request id is quarantined.
    generator : random.Random
    clock : peridothitch.ports.clock.Clock
    baseline : peridothitch.policy.evidence_counter.LatencyBaseline or None
    """

    def __init__(
        self,
        record,
        host_id,
        route_count,
        is_quarantined,
        generator,
        clock,
        baseline=None,
    ):
        self.record = record
        self.since = clock.monotonic()
        self.condemnation = None
        self._host_id = host_id
        self._random = generator
        self._lock = threading.Lock()
        self._budget = exposure.ExposureBudget(record.max_exposed_share)
        self._comparison = evidence.VersionComparison(route_count)
        self._counter = evidence_counter.EvidenceCounter(
            record.service,
            record.from_version,
            record.to_version,
            is_quarantined,
            clock.now(),
            baseline,
        )
        self._fleet = FleetSnapshot(
            host_ids=frozenset((host_id,)), new_host_count=0, old_host_count=0
        )
        self.canary_hosts = frozenset()
        self._in_flight_by_route = collections.Counter()
        self._has_new_adverse_events = False
        self._evaluated_sequence_by_key = {}
        self._collected_since = math.inf
        self._old_late_share = 0.0

    @property
    def is_canary_host(self):
        """Whether this host sends requests to the unproved version."""
        return self._host_id in self.canary_hosts

    @property
    def evidence_ratio(self):
        """Largest evidence against the version, as a share of the bound."""
        return self._comparison.evidence_ratio

    def update_fleet(self, fleet):
        """Replace the `FleetSnapshot`; if it changed, choose the canary hosts again."""
        if fleet == self._fleet and self.canary_hosts:
            return
        with self._lock:
            self._fleet = fleet
            self.canary_hosts = exposure.choose_canary_hosts(
                self.record.move_id, fleet.host_ids, self.record.max_exposed_share
            )

    def pick(self, route, now):
        """Return the version for one request.

        Parameters
        ----------
        route : str
            Name of the request's route.
        now : datetime.datetime
        """
        with self._lock:
            version = self.record.from_version
            if self._selects_new_version(route, now):
                version = self.record.to_version
                self._in_flight_by_route[route] += 1
            self._counter.start(version, route)
            return version

    def _selects_new_version(self, route, now):
        if self.condemnation is not None or not self._fleet.new_host_count:
            return False
        current = moves.stage(self.record, now)
        if current is moves.Stage.RAMP:
            return self._random.random() < moves.ramp_share(self.record, now)
        if current not in (moves.Stage.SPREAD, moves.Stage.LOADED):
            return False
        if not self.is_canary_host:
            return False
        self._budget.earn(len(self._fleet.host_ids), len(self.canary_hosts))
        if self._random.random() >= self._canary_host_share(route, current):
            return False
        return self._budget.spend(current is moves.Stage.LOADED)

    def _canary_host_share(self, route, current):
        scale = len(self._fleet.host_ids) / len(self.canary_hosts)
        if current is moves.Stage.LOADED:
            share = exposure.load_share(
                self._fleet.new_host_count, self._fleet.old_host_count
            )
            return min(_MAX_CANARY_HOST_SHARE, share * scale)
        samples = self._comparison.samples(route) + self._in_flight_by_route[route]
        if exposure.is_sample_wanted(samples):
            return _ROUTE_SHARE_WHILE_SAMPLING
        planned = exposure.NOMINAL_SHARE_OF_CAP * self.record.max_exposed_share
        return min(
            _MAX_CANARY_HOST_SHARE, _SHARE_FACTOR_AFTER_SAMPLING * planned * scale
        )

    def observe(self, outcome):
        """Record the outcome of one attempt."""
        with self._lock:
            if outcome.version == self.record.to_version:
                in_flight = self._in_flight_by_route[outcome.route]
                self._in_flight_by_route[outcome.route] = max(0, in_flight - 1)
            if self._counter.observe(outcome):
                self._has_new_adverse_events = True

    def report(self, now):
        """Return this host's `HostEvidence` and whether it has new adverse events."""
        with self._lock:
            self._counter.settle(now)
            has_new_adverse_events = self._has_new_adverse_events
            self._has_new_adverse_events = False
            return self._counter.report(), has_new_adverse_events

    def evaluate(self, fact_by_key, now):
        """Evaluate all hosts' evidence if any of it changed.

        Parameters
        ----------
        fact_by_key : dict of str to peridothitch.ports.facts.Fact
            Each with a `HostEvidence`.
        now : datetime.datetime

        Returns
        -------
        Condemnation or None
            Set when the new version is found to be worse than the old one.
        """
        sequence_by_key = {key: fact.sequence for key, fact in fact_by_key.items()}
        if sequence_by_key == self._evaluated_sequence_by_key:
            return None
        self._evaluated_sequence_by_key = sequence_by_key
        evidences = [
            msgspec.msgpack.decode(fact.value, type=evidence.HostEvidence)
            for fact in fact_by_key.values()
        ]
        self._collected_since = min((one.since for one in evidences), default=math.inf)
        self._old_late_share = evidence_counter.old_late_share(evidences)
        merged = evidence.merge(evidences)
        finding = self._comparison.update(
            merged, self.record.elapsed(now), self._fleet.new_host_share
        )
        if finding is None:
            return None
        return Condemnation(
            route=finding.stratum.route,
            measure=finding.stratum.measure,
            trials=finding.counts.trials,
            events=finding.counts.events,
            old_rate=finding.old_rate,
        )

    def summarize_evidence(self, routes):
        """Return the `EvidenceSummary` that a decision is based on.

        Parameters
        ----------
        routes : iterable of str
            Names of the service's routes.
        """
        undersampled = tuple(
            route
            for route in routes
            if self._comparison.old_samples(route)
            and exposure.is_sample_wanted(self._comparison.samples(route))
        )
        untimed = tuple(
            route
            for route in routes
            if not exposure.is_sample_wanted(self._comparison.samples(route))
            and exposure.is_sample_wanted(self._comparison.timed_samples(route))
        )
        condemned = self.condemnation.describe() if self.condemnation else ""
        return moves.EvidenceSummary(
            condemned=condemned,
            evidence_ratio=self._comparison.evidence_ratio,
            undersampled_routes=undersampled,
            untimed_routes=untimed,
            new_host_count=self._fleet.new_host_count,
            collected_since=self._collected_since,
            old_late_share=self._old_late_share,
        )
