"""One entry host's part in one move that is under way."""

import collections
import dataclasses
import math
import threading

import msgspec

from peridothitch.policy import evidence, evidence_counter, exposure, moves

__all__ = ["ActiveMove", "Condemnation", "FleetSnapshot"]

_NEEDED_ROUTE_SHARE = 0.1
_MAX_CARRIER_SHARE = 0.8
_TRICKLE_PART = 0.5


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
    """What a move needs to know of the fleet.

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
    """Picks versions, collects evidence and weighs it.

    Parameters
    ----------
    record : peridothitch.policy.moves.MoveRecord
    host_id : str
        This entry host.
    route_count : int
        Routes of the service.
    is_quarantined : callable
        Tells whether a request id is quarantined.
    generator : random.Random
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, record, host_id, route_count, is_quarantined, generator, clock):
        self.record = record
        self.since = clock.monotonic()
        self.condemnation = None
        self._host_id = host_id
        self._random = generator
        self._lock = threading.Lock()
        self._budget = exposure.ExposureBudget(record.max_exposed_share)
        self._judge = evidence.VersionComparison(route_count)
        self._tally = evidence_counter.EvidenceCounter(
            record.service,
            record.from_version,
            record.to_version,
            is_quarantined,
            clock.now(),
        )
        self._fleet = FleetSnapshot(
            host_ids=frozenset((host_id,)), new_host_count=0, old_host_count=0
        )
        self.canary_hosts = frozenset()
        self._in_flight_by_route = collections.Counter()
        self._has_adverse_news = False
        self._weighed = {}
        self._collected_since = math.inf

    @property
    def is_canary_host(self):
        """Whether this host sends requests to the unproved version."""
        return self._host_id in self.canary_hosts

    @property
    def evidence_ratio(self):
        """Largest evidence against the version, as a share of the bound."""
        return self._judge.evidence_ratio

    def update_fleet(self, fleet):
        """Take a new `FleetSnapshot`."""
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
            if self._takes_new(route, now):
                version = self.record.to_version
                self._in_flight_by_route[route] += 1
            self._tally.start(version, route)
            return version

    def _takes_new(self, route, now):
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
        if self._random.random() >= self._carrier_share(route, current):
            return False
        return self._budget.spend(current is moves.Stage.LOADED)

    def _carrier_share(self, route, current):
        scale = len(self._fleet.host_ids) / len(self.canary_hosts)
        if current is moves.Stage.LOADED:
            share = exposure.load_share(
                self._fleet.new_host_count, self._fleet.old_host_count
            )
            return min(_MAX_CARRIER_SHARE, share * scale)
        samples = self._judge.samples(route) + self._in_flight_by_route[route]
        if exposure.is_sample_wanted(samples):
            return _NEEDED_ROUTE_SHARE
        planned = exposure.NOMINAL_SHARE_OF_CAP * self.record.max_exposed_share
        return min(_MAX_CARRIER_SHARE, _TRICKLE_PART * planned * scale)

    def observe(self, outcome):
        """Take in one outcome of an attempt."""
        with self._lock:
            if outcome.version == self.record.to_version:
                in_flight = self._in_flight_by_route[outcome.route]
                self._in_flight_by_route[outcome.route] = max(0, in_flight - 1)
            if self._tally.observe(outcome):
                self._has_adverse_news = True

    def report(self, now):
        """Return this host's `HostEvidence` and whether it has adverse news."""
        with self._lock:
            self._tally.settle(now)
            has_adverse_news = self._has_adverse_news
            self._has_adverse_news = False
            return self._tally.report(), has_adverse_news

    def evaluate(self, fact_by_key, now):
        """Weigh all hosts' evidence if there is news.

        Parameters
        ----------
        fact_by_key : dict of str to peridothitch.ports.facts.Fact
            Each with a `HostEvidence`.
        now : datetime.datetime

        Returns
        -------
        Condemnation or None
            Set when the version is found to be worse.
        """
        sequences = {key: fact.sequence for key, fact in fact_by_key.items()}
        if sequences == self._weighed:
            return None
        self._weighed = sequences
        evidences = [
            msgspec.msgpack.decode(fact.value, type=evidence.HostEvidence)
            for fact in fact_by_key.values()
        ]
        self._collected_since = min((one.since for one in evidences), default=math.inf)
        merged = evidence.merge(evidences)
        finding = self._judge.update(
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
        """Return the `EvidenceSummary` for a decision.

        Parameters
        ----------
        routes : iterable of str
            Names of the service's routes.
        """
        wanting = tuple(
            route
            for route in routes
            if self._judge.old_samples(route)
            and exposure.is_sample_wanted(self._judge.samples(route))
        )
        condemned = self.condemnation.describe() if self.condemnation else ""
        return moves.EvidenceSummary(
            condemned=condemned,
            evidence_ratio=self._judge.evidence_ratio,
            undersampled_routes=wanting,
            new_host_count=self._fleet.new_host_count,
            collected_since=self._collected_since,
        )
