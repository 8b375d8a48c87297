"""Counts the outcomes of attempts as one entry host's evidence about a move."""

import collections
import datetime
import threading

import msgspec
import xxhash

from peridothitch import errors
from peridothitch.policy import evidence

__all__ = ["EvidenceCounter", "LatencyBaseline", "old_late_share"]

_TIMEOUT_CODES = frozenset({errors.Code.DEADLINE_EXCEEDED, errors.Code.UPSTREAM_SILENT})
_LOST_CODES = frozenset(
    {
        errors.Code.STREAM_INTERRUPTED,
        errors.Code.OUTCOME_UNKNOWN,
    }
)
_LOST_CODES_WITHOUT_ANSWER = frozenset(
    {errors.Code.UPSTREAM_REFUSED, errors.Code.ANSWER_INVALID}
)
_LOSS_WINDOW = datetime.timedelta(seconds=10)
_LOSS_DELAY = datetime.timedelta(seconds=1)
_MAX_LOSS_COUNT = 24
_THRESHOLD_QUANTILE = 0.9
_THRESHOLD_MARGIN_FACTOR = 1.25
_THRESHOLD_SAMPLE_COUNT = 200
_MIN_THRESHOLD_SAMPLE_COUNT = 20
_FAILED_STATUS = 400


class _SlowThreshold:
    """Bound above which an answer is slow, from the old version's tail latency."""

    def __init__(self):
        self._recent = collections.deque(maxlen=_THRESHOLD_SAMPLE_COUNT)
        self._bound = None
        self._new_sample_count = 0

    def is_slow(self, seconds):
        """Return whether `seconds` is slow; None before there are enough samples."""
        return None if self._bound is None else seconds > self._bound

    def add_sample(self, seconds):
        """Add one sample of the old version."""
        self._recent.append(seconds)
        self._new_sample_count += 1
        if self._new_sample_count < _MIN_THRESHOLD_SAMPLE_COUNT:
            return
        self._new_sample_count = 0
        ordered = sorted(self._recent)
        index = int(_THRESHOLD_QUANTILE * (len(ordered) - 1))
        self._bound = ordered[index] * _THRESHOLD_MARGIN_FACTOR


class LatencyBaseline:
    """Usual latencies of a service's answers at one entry host, by route.

    They are collected before a move, too: in a large fleet one host gets few requests
    within the time of a move.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._first_by_route = collections.defaultdict(_SlowThreshold)
        self._gap_by_route = collections.defaultdict(_SlowThreshold)

    def compare(self, outcome, is_sample):
        """Return whether the first byte and the gaps between tokens were slow.

        Parameters
        ----------
        outcome : peridothitch.ports.outcomes.AttemptOutcome
        is_sample : bool
            Whether to add the answer to the usual ones.

        Returns
        -------
        tuple of (bool or None, bool or None)
            None for what was not measured or can't be compared yet.
        """
        if outcome.first_byte is None:
            return None, None
        first = outcome.first_byte.total_seconds()
        gap = None
        if outcome.token_count > 1:
            rest = (outcome.duration - outcome.first_byte).total_seconds()
            gap = rest / (outcome.token_count - 1)
        with self._lock:
            return (
                _compare(self._first_by_route[outcome.route], first, is_sample),
                _compare(self._gap_by_route[outcome.route], gap, is_sample),
            )

    def add_sample(self, outcome):
        """Add an answer that belongs to no move, unless it failed."""
        if outcome.code is None and not outcome.host_leaving and not _failed(outcome):
            self.compare(outcome, is_sample=True)


def _compare(threshold, seconds, is_sample):
    if seconds is None:
        return None
    slow = threshold.is_slow(seconds)
    if is_sample:
        threshold.add_sample(seconds)
    return slow


class _Loss(msgspec.Struct, frozen=True):
    """Lost connection that is not counted yet."""

    ended: datetime.datetime
    data_centre: str
    request_id: str
    mark: int


class EvidenceCounter:
    """Counts the outcomes of a move's two versions at one entry host.

    Attempts at hosts that are leaving are ignored. A lost connection is counted after
    a short delay, and only if the request was not quarantined and no old host in the
    same data centre lost a connection in the same time: a broken link affects both.

    Parameters
    ----------
    service, old_version, new_version : str
    is_quarantined : callable
        Takes a request id, returns whether it is quarantined.
    since : datetime.datetime
        When the collection starts.
    baseline : LatencyBaseline or None
        Latencies of the old version that were collected before.
    """

    def __init__(
        self, service, old_version, new_version, is_quarantined, since, baseline=None
    ):
        self._since = since.timestamp()
        self._service = service
        self._versions = (old_version, new_version)
        self._is_quarantined = is_quarantined
        self._counts_by_route_by_version = {old_version: {}, new_version: {}}
        self._baseline = baseline or LatencyBaseline()
        self._losses_by_version = {old_version: {}, new_version: {}}
        self._pending = []
        self._old_loss_by_data_centre = {}
        self.exposed = 0
        self.requests = 0

    def start(self, version, route):
        """Count a request for which `version` was picked."""
        self.requests += 1
        self.exposed += version == self._versions[1]
        self._add(version, route, starts=1)

    def observe(self, outcome):
        """Count one `peridothitch.ports.outcomes.AttemptOutcome`.

        Returns
        -------
        bool
            Whether it is adverse to the new version.
        """
        if outcome.service != self._service or outcome.version not in self._versions:
            return False
        if _is_excused(outcome) or self._is_quarantined(outcome.request_id):
            return False
        if _is_lost(outcome):
            return self._add_loss(outcome)
        if _is_timeout(outcome):
            return self._add_timeout(outcome)
        if outcome.code is not None and not _is_answer(outcome):
            return False
        return self._add_answer(outcome)

    def settle(self, now):
        """Count the lost connections whose delay has passed."""
        due = [loss for loss in self._pending if loss.ended + _LOSS_DELAY <= now]
        self._pending = [
            loss for loss in self._pending if loss.ended + _LOSS_DELAY > now
        ]
        for loss in due:
            if self._is_quarantined(loss.request_id) or self._is_link_cut(loss):
                continue
            _add_mark(self._losses_by_version[self._versions[1]], loss.mark)

    def report(self):
        """Return the cumulative `peridothitch.policy.evidence.HostEvidence`."""
        old, new = self._versions
        return evidence.HostEvidence(
            exposed=self.exposed,
            requests=self.requests,
            new=dict(self._counts_by_route_by_version[new]),
            old=dict(self._counts_by_route_by_version[old]),
            new_losses=tuple(self._losses_by_version[new]),
            old_losses=tuple(self._losses_by_version[old]),
            since=self._since,
        )

    def _is_new(self, outcome):
        return outcome.version == self._versions[1]

    def _is_link_cut(self, loss):
        seen = self._old_loss_by_data_centre.get(loss.data_centre)
        return seen is not None and abs(seen - loss.ended) < _LOSS_WINDOW

    def _add_loss(self, outcome):
        window = int(outcome.ended.timestamp() / _LOSS_WINDOW.total_seconds())
        mark = xxhash.xxh32_intdigest(f"{outcome.host_id}/{window}".encode())
        if self._is_new(outcome):
            self._pending.append(
                _Loss(outcome.ended, outcome.data_centre, outcome.request_id, mark)
            )
            return True
        self._old_loss_by_data_centre[outcome.data_centre] = outcome.ended
        _add_mark(self._losses_by_version[outcome.version], mark)
        return False

    def _add_timeout(self, outcome):
        self._add(outcome.version, outcome.route, firsts=1, slow_firsts=1, late=1)
        return self._is_new(outcome)

    def _add_answer(self, outcome):
        failed = _failed(outcome) or outcome.code is not None
        change = {"attempts": 1, "failed": int(failed), "late": int(_is_late(outcome))}
        if not failed:
            is_old = not self._is_new(outcome)
            slow_first, slow_gap = self._baseline.compare(outcome, is_sample=is_old)
            if slow_first is not None:
                change |= {"firsts": 1, "slow_firsts": int(slow_first)}
            if slow_gap is not None:
                change |= {"gaps": 1, "slow_gaps": int(slow_gap)}
        self._add(outcome.version, outcome.route, **change)
        adverse = ("failed", "slow_firsts", "slow_gaps")
        return self._is_new(outcome) and any(change.get(name) for name in adverse)

    def _add(self, version, route, **change):
        counts_by_route = self._counts_by_route_by_version[version]
        counts = counts_by_route.get(route, evidence.RouteCounts())
        sums = {name: getattr(counts, name) + more for name, more in change.items()}
        counts_by_route[route] = msgspec.structs.replace(counts, **sums)


def old_late_share(evidences):
    """Return the share of the old version's attempts that were late, 0 to 1.

    Parameters
    ----------
    evidences : iterable of peridothitch.policy.evidence.HostEvidence
    """
    counts = [counts for evidence in evidences for counts in evidence.old.values()]
    late = sum(each.late for each in counts)
    return min(1.0, late / max(1, sum(each.attempts for each in counts)))


def _is_excused(outcome):
    if outcome.code is errors.Code.CONNECTION_SILENT:
        return True
    return outcome.host_leaving or outcome.caused_by_request


def _is_lost(outcome):
    if outcome.code in _LOST_CODES:
        return True
    return outcome.code in _LOST_CODES_WITHOUT_ANSWER and not outcome.status


def _is_timeout(outcome):
    if outcome.code not in _TIMEOUT_CODES:
        return False
    return outcome.first_byte is None and outcome.ran is not errors.Ran.NO


def _failed(outcome):
    return outcome.status >= _FAILED_STATUS


def _is_late(outcome):
    if outcome.first_byte is None or outcome.latency_objective is None:
        return False
    return outcome.first_byte > outcome.latency_objective


def _is_answer(outcome):
    return outcome.status or outcome.code is errors.Code.UPSTREAM_FAILED


def _add_mark(losses, mark):
    losses[mark] = None
    if len(losses) > _MAX_LOSS_COUNT:
        losses.pop(next(iter(losses)))
