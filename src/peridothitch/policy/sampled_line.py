"""A line fitted to the lower edge of noisy measurements.

Waiting and disturbances only make a measurement longer, so a low quantile of similar
measurements shows the undisturbed value, and a few absurd ones don't move it.
"""

import collections
import dataclasses
import math

__all__ = ["LineFit", "SampledLine"]

_SAMPLES_PER_BUCKET = 64
_MIN_SAMPLE_COUNT = 3
_FIT_PERIOD_SECONDS = 0.25
"""A fit is reused for this time, since many decisions ask for it."""


@dataclasses.dataclass(frozen=True)
class LineFit:
    """A fitted line with its reliability.

    Attributes
    ----------
    intercept, slope : float
        Neither is negative.
    weight : int
        Number of samples that it is based on.
    spread : float
        Mean ratio of the samples to the line, as the absolute natural logarithm.
    newest_at : float
        Monotonic seconds of the newest sample.
    span : float
        Ratio of the largest to the smallest x; a slope is uncertain if it is small.
    """

    intercept: float
    slope: float
    weight: int
    spread: float
    newest_at: float
    span: float = 1.0

    def at(self, x):
        """Return the value of the line."""
        return self.intercept + self.slope * x


class SampledLine:
    """The last samples, by magnitude of x, and the line through their quantiles.

    Parameters
    ----------
    quantile : float
    max_age_seconds : float
        Older samples are ignored.
    fixed_share : float
        Share of a value that doesn't depend on x, assumed while all x are alike.
    """

    def __init__(self, quantile, max_age_seconds, fixed_share=0.0):
        self._quantile = quantile
        self._fixed_share = fixed_share
        self._max_age_seconds = max_age_seconds
        self._samples_by_bucket = {}
        self._fit = None
        self._fitted_at = -math.inf

    def add(self, x, y, now):
        """Add a sample; both figures are finite, `y` is positive."""
        bucket = self._samples_by_bucket.setdefault(
            _bucket(x), collections.deque(maxlen=_SAMPLES_PER_BUCKET)
        )
        bucket.append((x, y, now))

    def fit(self, now):
        """Return the `LineFit`, None before there are enough samples."""
        if now - self._fitted_at >= _FIT_PERIOD_SECONDS:
            self._fitted_at = now
            self._fit = self._make_fit(now) or self._fit
        return self._fit

    def _make_fit(self, now):
        points, used = [], []
        for bucket in self._samples_by_bucket.values():
            samples = [s for s in bucket if now - s[2] <= self._max_age_seconds]
            if len(samples) >= _MIN_SAMPLE_COUNT:
                points.append(_point(samples, self._quantile))
                used.extend(samples)
        if not points:
            return None
        intercept, slope = _line(points, self._fixed_share)
        ratios = [
            abs(math.log(y / max(intercept + slope * x, 1e-9))) for x, y, _ in used
        ]
        return LineFit(
            intercept,
            slope,
            len(used),
            sum(ratios) / len(ratios),
            max(at for _, _, at in used),
            max(x for x, _, _ in points) / max(1.0, min(x for x, _, _ in points)),
        )


def _bucket(x):
    """Return the bucket of a figure, one for each doubling."""
    return round(math.log2(max(1.0, x)))


def _point(samples, quantile):
    """Return the mean x, the quantile of y and the weight."""
    values = sorted(y for _, y, _ in samples)
    value = values[int(quantile * (len(values) - 1))]
    return sum(x for x, _, _ in samples) / len(samples), value, len(samples)


def _line(points, fixed_share):
    """Return intercept and slope, neither negative, through weighted points."""
    weight = sum(w for _, _, w in points)
    mean_x = sum(x * w for x, _, w in points) / weight
    mean_y = sum(y * w for _, y, w in points) / weight
    variance = sum(w * (x - mean_x) ** 2 for x, _, w in points)
    if variance <= 1e-9 * max(1.0, mean_x) ** 2 * weight:
        share = fixed_share if mean_x > 0.0 else 1.0
        return share * mean_y, (1 - share) * mean_y / max(mean_x, 1e-9)
    slope = sum(w * (x - mean_x) * (y - mean_y) for x, y, w in points) / variance
    if slope <= 0.0:
        return mean_y, 0.0
    intercept = mean_y - slope * mean_x
    if intercept < 0.0:
        return 0.0, mean_y / mean_x
    return intercept, slope
