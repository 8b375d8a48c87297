"""Compares a new version with the old one's own figures at the same time.

Every pair of route and measure is one sequential test. It looks only at adverse events
and asks which version each one struck. While the new version is no worse, an event
strikes it as often as requests go to it, whatever disturbs both versions at that time.
A test multiplies likelihood ratios against that, summed over the times at which a fault
may have begun. The expected value of a good version never exceeds 1, so the chance that
it ever reaches a bound ``b`` is at most ``1 / b``, however often it is looked at.
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

MAX_WRONG_TAKE_BACK = 0.004
"""Bound on the chance that a move of a version no worse than the old is taken back."""

_RATIOS = (4.0, 12.0, 50.0)
_INITIAL_MASS = 0.5
_PRIOR_BY_MEMORY = {30.0: 0.5, 200.0: 2.0}
_OLD_RATE_MEMORY = 1000.0
_NEW_RATE_MEMORY = 40.0
_SUSPECT_FACTOR = 2.0
_MIN_EVENTS = 3


class Measure(enum.Enum):
    """What is compared."""

    FAILED = "failed"
    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class Counts:
    """Trials that were begun and ended, and the adverse events among the ended."""

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
        Attempts that were answered, and those answered with a failure.
    firsts, slow_firsts : int
        Answers whose first byte was timed, and the slow ones.
    gaps, slow_gaps : int
        Answers whose mean token gap was timed, and the slow ones.
    starts : int
        Requests for which the version was picked.
    """

    attempts: int = 0
    failed: int = 0
    firsts: int = 0
    slow_firsts: int = 0
    gaps: int = 0
    slow_gaps: int = 0
    starts: int = 0

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
        When the host began to collect, in seconds since the Unix epoch.
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
        Rate of adverse events that the old version has now.
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
    new[lost] = _losses(new, (evidence.new_losses for evidence in evidences))
    old[lost] = _losses(old, (evidence.old_losses for evidence in evidences))
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


def _losses(total_by_stratum, losses):
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

    def __init__(self, memory, prior):
        self._memory = memory
        self._prior = prior
        self._new = 0.0
        self._all = 0.0

    def add(self, new, old):
        """Take in numbers of requests."""
        self._new += new
        self._all += new + old
        if self._all > self._memory:
            self._new *= self._memory / self._all
            self._all = self._memory

    @property
    def value(self):
        """Upper estimate of the share."""
        return (self._new + self._prior) / (self._all + self._prior)


class SequentialTest:
    """Test of one stratum with a bounded chance of a wrong finding."""

    def __init__(self):
        self._masses = [_INITIAL_MASS] * len(_RATIOS)
        self._pending_mass = 0.0
        self._ended_shares = _recent_shares()
        self._started_shares = _recent_shares()
        self._old = (0.0, 0.0)
        self._new = (0.0, 0.0)
        self.events = 0

    @property
    def value(self):
        """Evidence against the version; 1 at most in expectation while it is good."""
        return sum(self._masses) / len(self._masses)

    @property
    def old_rate(self):
        """Rate of adverse events of the old version."""
        trials, events = self._old
        return events / max(1.0, trials)

    @property
    def is_worse_lately(self):
        """Whether the new version's last attempts had a clearly higher rate."""
        trials, events = self._new
        return events > _SUSPECT_FACTOR * self.old_rate * trials

    def update(self, new, old, elapsed, least_share=0.0):
        """Take in what has come since the last update.

        Parameters
        ----------
        new, old : Counts
            Counts since the last update.
        elapsed : float
            Share of the move's time that has passed since the last update.
        least_share : float
            Lowest share of events that may strike a good new version.
        """
        self._pending_mass += (1.0 - _INITIAL_MASS) * elapsed
        # Failures end before answers that were begun at the same time, so what was
        # begun counts as well as what has ended.
        for share in self._ended_shares:
            share.add(new.trials, old.trials)
        for share in self._started_shares:
            share.add(new.starts, old.starts)
        self._old = _decay(self._old, old, _OLD_RATE_MEMORY)
        self._new = _decay(self._new, new, _NEW_RATE_MEMORY)
        if not new.events and not old.events:
            return
        self.events += new.events
        shares = (*self._ended_shares, *self._started_shares)
        expected = max(least_share, *(share.value for share in shares))
        for index, ratio in enumerate(_RATIOS):
            logarithm = new.events * math.log(ratio)
            logarithm -= (new.events + old.events) * math.log1p(
                expected * (ratio - 1.0)
            )
            mass = self._masses[index] + self._pending_mass
            self._masses[index] = mass * math.exp(min(logarithm, 500.0))
        self._pending_mass = 0.0


def _recent_shares():
    return [_RecentShare(*item) for item in _PRIOR_BY_MEMORY.items()]


def _decay(pair, counts, memory):
    trials, events = pair[0] + counts.trials, pair[1] + counts.events
    if trials <= memory:
        return trials, events
    return memory, events * memory / trials


class VersionComparison:
    """Weighs the merged evidence of one move.

    Parameters
    ----------
    route_count : int
        Routes of the service; sets the bound of each test.
    """

    def __init__(self, route_count):
        strata = 3 * max(1, route_count) + 1
        self._bound = strata / MAX_WRONG_TAKE_BACK
        self._test_by_stratum = {}
        self._total_by_stratum = {}
        self._elapsed = 0.0

    @property
    def evidence_ratio(self):
        """Largest evidence of a stratum that still looks worse, per bound."""
        values = [
            test.value
            for test in self._test_by_stratum.values()
            if test.is_worse_lately
        ]
        return max(values, default=0.0) / self._bound

    def samples(self, route):
        """Return how many attempts of the new version on `route` were weighed."""
        total = self._total_by_stratum.get(Stratum(route, Measure.FAILED))
        return total[0].trials if total else 0

    def old_samples(self, route):
        """Return how many attempts of the old version on `route` were weighed."""
        total = self._total_by_stratum.get(Stratum(route, Measure.FAILED))
        return total[1].trials if total else 0

    def update(self, total_by_stratum, elapsed, new_host_share=0.0):
        """Weigh cumulative evidence.

        Parameters
        ----------
        total_by_stratum : dict of Stratum to tuple of (Counts, Counts)
            As `merge` returns it. Totals that went down, because a host restarted or
            its facts were lost, are taken as the new base and add no evidence.
        elapsed : float
            Share of the move's time that has passed, 0 to 1.
        new_host_share : float
            Share of the service's hosts that run the new version; a crash strikes a
            good new version that often.

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
            found = self._weigh(stratum, total, step, least_share)
            finding = finding or found
        return finding

    def _weigh(self, stratum, total, step, least_share):
        test = self._test_by_stratum.get(stratum)
        if test is None:
            test = SequentialTest()
            test.update(Counts(), Counts(), self._elapsed - step)
            self._test_by_stratum[stratum] = test
        new, old = self._total_by_stratum.get(stratum, (Counts(), Counts()))
        self._total_by_stratum[stratum] = total
        growths = _growth(new, total[0]), _growth(old, total[1])
        test.update(*growths, step, least_share)
        if test.events < _MIN_EVENTS or test.value < self._bound:
            return None
        return Finding(stratum, total[0], test.old_rate)


def _growth(before, after):
    trials, events = after.trials - before.trials, after.events - before.events
    starts = after.starts - before.starts
    if trials < 0 or starts < 0 or not 0 <= events <= trials:
        return Counts()
    return Counts(trials, events, starts)
