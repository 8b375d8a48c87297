"""Forecasts the load that hosts have to be ready for."""

__all__ = ["LoadForecast"]

_LEVEL_SHARE = 0.3
_TREND_SHARE = 0.1
_PEAK_HALF_LIFE_SECONDS = 600.0


class LoadForecast:
    """Level and trend of a load by double exponential smoothing.

    A peak fades slowly, so that hosts aren't given back in a short lull.
    All times are monotonic seconds as float.
    """

    def __init__(self):
        self._level = None
        self._trend_per_second = 0.0
        self._peak = 0.0
        self._observed_at = 0.0

    def observe(self, load, now):
        """Take in the load at `now`."""
        if self._level is None:
            self._level = self._peak = load
            self._observed_at = now
            return
        passed = now - self._observed_at
        if passed <= 0.0:
            return
        expected = self._level + self._trend_per_second * passed
        level = expected + _LEVEL_SHARE * (load - expected)
        trend = (level - self._level) / passed
        self._trend_per_second += _TREND_SHARE * (trend - self._trend_per_second)
        self._level = level
        faded = self._peak * 0.5 ** (passed / _PEAK_HALF_LIFE_SECONDS)
        self._peak = max(load, faded)
        self._observed_at = now

    def at(self, lead_seconds):
        """Return the load expected `lead_seconds` after the last observation."""
        if self._level is None:
            return 0.0
        rising = max(0.0, self._trend_per_second) * lead_seconds
        return max(self._level + rising, self._peak)
