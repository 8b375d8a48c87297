"""Learns from the requests of one route how long they take and who has come before.

Answers wrong length hints, callers that return after a refusal, and refusals that fall
on the largest requests of a kind only.
"""

import dataclasses

from peridothitch.policy import service_pressure

__all__ = ["RequestKind", "RequestSize"]

_ERROR_STEP = 0.2
_MIN_ERROR, _MAX_ERROR = 0.3, 8.0
"""Bounds on the learnt ratio of actual to expected times."""

_START_QUANTILE = 0.85
_MIN_START_SHARE = 0.3
_STREAM_QUANTILE = 0.6
"""Share of the requests that take no longer than expected once the error is learnt."""

_LARGE_FACTOR = 1.5
"""Multiple of the mean size from which a request counts as large."""

_SIZE_WEIGHT = 0.02
_FAIRNESS_HALF_LIFE_SECONDS = 15.0
_MIN_LARGE_REQUESTS = 3.0
_MIN_SERVED_RATIO = 0.7
"""Served share of the large, relative to all, below which they count as starved."""

_OUTPUT_WEIGHT = 4.0
"""Work of one output token in prompt tokens, in a full batch."""

_DEADLINE_TOLERANCE = 0.02
_DEADLINE_WEIGHT = 0.05
_MIN_DEADLINE_SHARE = 0.6
"""Share of callers with the usual deadline from which a shorter one means a return."""

_FORGOTTEN_DEADLINE_SHARE = 0.2

_MIN_RETURN_SECONDS = 0.1
"""Callers that come again sooner have not waited as they were told to."""


@dataclasses.dataclass(frozen=True)
class RequestSize:
    """Size of a request.

    Attributes
    ----------
    prompt_tokens, cached_tokens, output_tokens : float
    """

    prompt_tokens: float
    cached_tokens: float
    output_tokens: float

    @property
    def work(self):
        """Work for an upstream, in prompt tokens."""
        uncached = max(0.0, self.prompt_tokens - self.cached_tokens)
        return 1.0 + uncached + _OUTPUT_WEIGHT * self.output_tokens

    @property
    def total(self):
        """Size whatever is cached."""
        return 1.0 + self.prompt_tokens + _OUTPUT_WEIGHT * self.output_tokens


class RequestKind:
    """What was learnt about the requests of one route; times in seconds."""

    def __init__(self):
        self._start_error = 1.0
        self._stream_error = 1.0
        self._mean_size = None
        self._counts_by_size = {
            is_large: _served_counts() for is_large in (False, True)
        }
        self._usual_deadline = None
        self._usual_share = 0.0

    def record_start(self, expected, actual, target):
        """Record the expected and the actual time to the first piece.

        Short times tell nothing of those that matter, near the target.
        """
        if max(expected, actual) < _MIN_START_SHARE * target:
            return
        self._start_error = _learn(self._start_error, expected, actual, _START_QUANTILE)

    def record_stream(self, expected, actual):
        """Record the expected and the actual time from the first to the last piece."""
        self._stream_error = _learn(
            self._stream_error, expected, actual, _STREAM_QUANTILE
        )

    def expected_start(self, seconds):
        """Return an estimate of the time to the first piece, corrected."""
        return seconds * self._start_error

    def expected_stream(self, token_seconds, output_tokens):
        """Return the expected time from the first to the last piece."""
        return (token_seconds or 0.0) * output_tokens * self._stream_error

    def record_asked(self, size, now):
        """Record a request's size; returns whether it is large for its kind."""
        if self._mean_size is None:
            self._mean_size = size.total
        self._mean_size += _SIZE_WEIGHT * (size.total - self._mean_size)
        is_large = size.total > _LARGE_FACTOR * self._mean_size
        self._counts_by_size[is_large][0].add(1.0, now)
        return is_large

    def record_admitted(self, is_large, now):
        """Record that a request was admitted."""
        self._counts_by_size[is_large][1].add(1.0, now)

    def is_starved(self, is_large, now):
        """Return whether requests of a size are served less often than others."""
        if not is_large:
            return False
        large, small = self._counts_by_size[True], self._counts_by_size[False]
        asked, served = (counter.value(now) for counter in large)
        if asked < _MIN_LARGE_REQUESTS:
            return False
        all_asked = asked + small[0].value(now)
        all_served = served + small[1].value(now)
        return served / asked < _MIN_SERVED_RATIO * all_served / all_asked

    def elapsed_before(self, deadline):
        """Return how long ago the caller first asked, from the time it has left.

        Parameters
        ----------
        deadline : float or None
            The time that the caller gives.

        Returns
        -------
        float
            0 for a first attempt, and where callers' deadlines differ.
        """
        if deadline is None:
            return 0.0
        usual = self._usual_deadline
        is_usual = usual is not None and _is_about(deadline, usual)
        self._usual_share += _DEADLINE_WEIGHT * (is_usual - self._usual_share)
        is_obsolete = self._usual_share < _FORGOTTEN_DEADLINE_SHARE
        if usual is None or is_obsolete or (deadline > usual and not is_usual):
            self._usual_deadline, self._usual_share = deadline, 0.5
            return 0.0
        if is_usual or self._usual_share < _MIN_DEADLINE_SHARE:
            return 0.0
        return usual - deadline

    @staticmethod
    def has_returned(elapsed_before):
        """Return whether a caller that asked before waited until it came again."""
        return elapsed_before >= _MIN_RETURN_SECONDS


def _served_counts():
    half_life = _FAIRNESS_HALF_LIFE_SECONDS
    return tuple(service_pressure.DecayingSum(half_life) for _ in range(2))


def _learn(error, expected, actual, quantile):
    """Return the ratio moved towards a quantile; rare extremes don't move it more."""
    if expected <= 0 or actual <= 0:
        return error
    is_longer = actual > expected * error
    step = quantile if is_longer else quantile - 1.0
    return min(_MAX_ERROR, max(_MIN_ERROR, error * (1.0 + _ERROR_STEP * step)))


def _is_about(first, second):
    return abs(first - second) <= _DEADLINE_TOLERANCE * second
