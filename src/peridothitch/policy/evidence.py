"""Compares a new version with the old one's figures of the same time.

Every pair of route and measure is one sequential test. It considers only adverse events
and which version each one occurred on. While the new version is no worse, an event
occurs on it as often as requests go to it, whatever disturbs both versions at that
time. A test multiplies likelihood ratios against that, summed over the times at which a
fault may have begun. The expected value for a good version never exceeds 1, so the
probability that it ever reaches a bound ``b`` is at most ``1 / b``, however often it is
evaluated.
"""

import dataclasses
import enum
import math

import msgspec

__all__ = [
    "Counts",
    "Finding",
    "HostEvidence",
    "VersionComparison",
    "Measure",
    "RouteCounts",
    "SequentialTest",
    "Stratum",
    "merge",
]

MAX_FALSE_ROLLBACK_PROBABILITY = 0.004
"""Bound on the probability that a version no worse than the old is rolled back."""

_RATE_RATIOS = (4.0, 12.0, 50.0)
_INITIAL_PRIOR_MASS = 0.5
_PRIOR_BY_MEMORY_COUNT = {30.0: 0.5, 200.0: 2.0}
_OLD_RATE_MEMORY_COUNT = 1000.0
_NEW_RATE_MEMORY_COUNT = 40.0
_WORSE_RATE_FACTOR = 2.0
_MIN_EVENT_COUNT = 3


class Measure(enum.Enum):
    """Measure by which two versions are compared."""

    FAILED = "failed"
    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class Counts:
    """Trials that ended, adverse events among them, and trials that were started."""

    trials: int = 0
    events: int = 0
    starts: int = 0

    def __add__(self, other):
        return Counts(
            self.trials + other.trials,
            self.events + other.events,
            self.starts + other.starts,
        )


@dataclasses.dataclass(frozen=True)
class Stratum:
    """One comparison; the route is empty for lost connections."""

    route: str
    measure: Measure


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative counts of one version on one route.

    Attributes
    ----------
    attempts, failed : int
        Answered attempts, and those answered with a failure.
    firsts, slow_firsts : int
        Answers whose first byte was timed, and the slow ones.
    gaps, slow_gaps : int
        Answers whose mean token gap was timed, and the slow ones.
    starts : int
        Requests for which the version was picked.
    late : int
        Attempts that were not answered within the latency objective.
    """

    attempts: int = 0
    failed: int = 0
    firsts: int = 0
    slow_firsts: int = 0
    gaps: int = 0
    slow_gaps: int = 0
    starts: int = 0
    late: int = 0

    def by_measure(self):
        """Return `Counts` by measure."""
        return {
            Measure.FAILED: Counts(self.attempts, self.failed, self.starts),
            Measure.FIRST_TOKEN: Counts(self.firsts, self.slow_firsts, self.starts),
            Measure.TOKEN_GAP: Counts(self.gaps, self.slow_gaps, self.starts),
        }


class HostEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative evidence of one entry host about one move.

    Attributes
    ----------
    exposed : int
        Requests sent to the new version, those in flight included.
    requests : int
        All requests of the service.
    new, old : dict of str to RouteCounts
        Counts by route.
    new_losses, old_losses : tuple of int
        One number for each upstream host and time window with lost connections; equal
        numbers from several entry hosts are the same incident.
    since : float
        When the host started to collect, in seconds since the Unix epoch.
    """

    exposed: int = 0
    requests: int = 0
    new: dict[str, RouteCounts] = {}
    old: dict[str, RouteCounts] = {}
    new_losses: tuple[int, ...] = ()
    old_losses: tuple[int, ...] = ()
    since: float = 0.0


@dataclasses.dataclass(frozen=True)
class Finding:
    """A stratum in which the new version is worse.

    Attributes
    ----------
    stratum : Stratum
    counts : Counts
        The new version's cumulative counts.
    old_rate : float
        Current rate of adverse events of the old version.
    """

    stratum: Stratum
    counts: Counts
    old_rate: float


def merge(evidences):
    """Sum the evidence of several hosts.

    Parameters
    ----------
    evidences : iterable of HostEvidence

    Returns
    -------
    dict of Stratum to tuple of (Counts, Counts)
        Cumulative counts of the new and the old version.
    """
    evidences = tuple(evidences)
    new = _sum_routes(evidence.new for evidence in evidences)
    old = _sum_routes(evidence.old for evidence in evidences)
    lost = Stratum("", Measure.LOST)
    new[lost] = _count_losses(new, (evidence.new_losses for evidence in evidences))
    old[lost] = _count_losses(old, (evidence.old_losses for evidence in evidences))
    empty = Counts()
    return {
        stratum: (new.get(stratum, empty), old.get(stratum, empty))
        for stratum in new.keys() | old.keys()
    }


def _sum_routes(counts_by_routes):
    rows_by_route = {}
    for counts_by_route in counts_by_routes:
        for route, route_counts in counts_by_route.items():
            row = msgspec.structs.astuple(route_counts)
            rows_by_route.setdefault(route, []).append(row)
    total_by_stratum = {}
    for route, rows in rows_by_route.items():
        total = RouteCounts(*map(sum, zip(*rows, strict=True)))
        for measure, counts in total.by_measure().items():
            total_by_stratum[Stratum(route, measure)] = counts
    return total_by_stratum


def _count_losses(total_by_stratum, losses):
    events = len(set().union(*losses))
    answered = sum(
        (
            counts
            for stratum, counts in total_by_stratum.items()
            if stratum.measure is Measure.FAILED
        ),
        Counts(),
    )
    return Counts(answered.trials + events, events, answered.starts)


class _RecentShare:
    """Share of recent requests that went to the new version."""

    def __init__(self, memory_count, prior):
        self._memory_count = memory_count
        self._prior = prior
        self._new = 0.0
        self._all = 0.0

    def add(self, new, old):
        """Add the numbers of requests to each version."""
        self._new += new
        self._all += new + old
        if self._all > self._memory_count:
            self._new *= self._memory_count / self._all
            self._all = self._memory_count

    @property
    def value(self):
        """Upper estimate of the share."""
        return (self._new + self._prior) / (self._all + self._prior)


class SequentialTest:
    """Test of one stratum with a bounded probability of a false finding."""

    def __init__(self):
        self._masses = [_INITIAL_PRIOR_MASS] * len(_RATE_RATIOS)
        self._pending_mass = 0.0
        self._ended_shares = _recent_shares()
        self._started_shares = _recent_shares()
        self._old = (0.0, 0.0)
        self._new = (0.0, 0.0)
        self.events = 0

    @property
    def value(self):
        """Evidence against the version; at most 1 in expectation for a good one."""
        return sum(self._masses) / len(self._masses)

    @property
    def old_rate(self):
        """Rate of adverse events of the old version."""
        trials, events = self._old
        return events / max(1.0, trials)

    @property
    def is_recently_worse(self):
        """Whether the new version's latest attempts had a clearly higher rate."""
        trials, events = self._new
        return events > _WORSE_RATE_FACTOR * self.old_rate * trials

    def update(self, new, old, elapsed, least_share=0.0):
        """Update the test with the counts since the last update.

        Parameters
        ----------
        new, old : Counts
            Counts since the last update.
        elapsed : float
            Share of the move's time that has passed since the last update.
        least_share : float
            Lower bound on the share of events that occur on a good new version.
        """
        self._pending_mass += (1.0 - _INITIAL_PRIOR_MASS) * elapsed
        # Failures end before answers that were started at the same time, so started
        # trials count as well as ended ones.
        for share in self._ended_shares:
            share.add(new.trials, old.trials)
        for share in self._started_shares:
            share.add(new.starts, old.starts)
        self._old = _decay(self._old, old, _OLD_RATE_MEMORY_COUNT)
        self._new = _decay(self._new, new, _NEW_RATE_MEMORY_COUNT)
        if not new.events and not old.events:
            return
        self.events += new.events
        shares = (*self._ended_shares, *self._started_shares)
        expected = max(least_share, *(share.value for share in shares))
        for index, ratio in enumerate(_RATE_RATIOS):
            log_ratio = new.events * math.log(ratio)
            log_ratio -= (new.events + old.events) * math.log1p(
                expected * (ratio - 1.0)
            )
            mass = self._masses[index] + self._pending_mass
            self._masses[index] = mass * math.exp(min(log_ratio, 500.0))
        self._pending_mass = 0.0


def _recent_shares():
    return [_RecentShare(*item) for item in _PRIOR_BY_MEMORY_COUNT.items()]


def _decay(pair, counts, memory_count):
    trials, events = pair[0] + counts.trials, pair[1] + counts.events
    if trials <= memory_count:
        return trials, events
    return memory_count, events * memory_count / trials


class VersionComparison:
    """Tests the merged evidence of one move.

    Parameters
    ----------
    route_count : int
        Number of routes of the service; determines the bound of each test.
    """

    def __init__(self, route_count):
        strata = 3 * max(1, route_count) + 1
        self._bound = strata / MAX_FALSE_ROLLBACK_PROBABILITY
        self._test_by_stratum = {}
        self._total_by_stratum = {}
        self._elapsed = 0.0

    @property
    def evidence_ratio(self):
        """Largest evidence of a stratum that is still worse, divided by the bound."""
        values = [
            test.value
            for test in self._test_by_stratum.values()
            if test.is_recently_worse
        ]
        return max(values, default=0.0) / self._bound

    def samples(self, route):
        """Return the number of counted attempts of the new version on `route`."""
        total = self._total_by_stratum.get(Stratum(route, Measure.FAILED))
        return total[0].trials if total else 0

    def timed_samples(self, route):
        """Return how many first bytes of the new version on `route` were compared."""
        total = self._total_by_stratum.get(Stratum(route, Measure.FIRST_TOKEN))
        return total[0].trials if total else 0

    def old_samples(self, route):
        """Return the number of counted attempts of the old version on `route`."""
        total = self._total_by_stratum.get(Stratum(route, Measure.FAILED))
        return total[1].trials if total else 0

    def update(self, total_by_stratum, elapsed, new_host_share=0.0):
        """Update the tests with cumulative evidence.

        Parameters
        ----------
        total_by_stratum : dict of Stratum to tuple of (Counts, Counts)
            As `merge` returns it. Totals that decreased, because a host restarted or
            its facts were lost, become the new baseline and add no evidence.
        elapsed : float
            Share of the move's time that has passed, 0 to 1.
        new_host_share : float
            Share of the service's hosts that run the new version, and so the share of
            crashes that occur on a good new version.

        Returns
        -------
        Finding or None
        """
        step = max(0.0, min(1.0, elapsed) - self._elapsed)
        self._elapsed += step
        finding = None
        for stratum, total in total_by_stratum.items():
            is_lost = stratum.measure is Measure.LOST
            least_share = new_host_share if is_lost else 0.0
            found = self._test_stratum(stratum, total, step, least_share)
            finding = finding or found
        return finding

    def _test_stratum(self, stratum, total, step, least_share):
        test = self._test_by_stratum.get(stratum)
        if test is None:
            test = SequentialTest()
            test.update(Counts(), Counts(), self._elapsed - step)
            self._test_by_stratum[stratum] = test
        new, old = self._total_by_stratum.get(stratum, (Counts(), Counts()))
        self._total_by_stratum[stratum] = total
        increases = _increase(new, total[0]), _increase(old, total[1])
        test.update(*increases, step, least_share)
        if test.events < _MIN_EVENT_COUNT or test.value < self._bound:
            return None
        return Finding(stratum, total[0], test.old_rate)


def _increase(before, after):
    trials, events = after.trials - before.trials, after.events - before.events
    starts = after.starts - before.starts
    if trials < 0 or starts < 0 or not 0 <= events <= trials:
        return Counts()
    return Counts(trials, events, starts)
