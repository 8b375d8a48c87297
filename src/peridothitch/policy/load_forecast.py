"""Forecasts the load that hosts have to be provisioned for."""

__all__ = ["LoadForecast"]

_LEVEL_WEIGHT = 0.3
_TREND_WEIGHT = 0.1
_PEAK_HALF_LIFE_SECONDS = 600.0


class LoadForecast:
    """Level and trend of a load by double exponential smoothing.

    A peak decays slowly, so that hosts are not released in a short lull.
    All times are monotonic seconds as float.
    """

    def __init__(self):
        self._level = None
        self._trend_per_second = 0.0
        self._peak = 0.0
        self._observed_at = 0.0

    def observe(self, load, now):
        """Update the forecast with the load at `now`."""
        if self._level is None:
            self._level = self._peak = load
            self._observed_at = now
            return
        elapsed_seconds = now - self._observed_at
        if elapsed_seconds <= 0.0:
            return
        expected = self._level + self._trend_per_second * elapsed_seconds
        level = expected + _LEVEL_WEIGHT * (load - expected)
        trend = (level - self._level) / elapsed_seconds
        self._trend_per_second += _TREND_WEIGHT * (trend - self._trend_per_second)
        self._level = level
        decayed_peak = self._peak * 0.5 ** (elapsed_seconds / _PEAK_HALF_LIFE_SECONDS)
        self._peak = max(load, decayed_peak)
        self._observed_at = now

    def at(self, lead_seconds):
        """Return the load expected `lead_seconds` after the last observation."""
        if self._level is None:
            return 0.0
        increase = max(0.0, self._trend_per_second) * lead_seconds
        return max(self._level + increase, self._peak)
