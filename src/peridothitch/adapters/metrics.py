"""Counters, gauges and histograms published for Prometheus."""

import threading

import aioprometheus
from aioprometheus import renderer

__all__ = ["Metrics"]

_LATENCY_BUCKETS_SECONDS = [
    0.001,
    0.005,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    0.83,
    2,
    5,
    20,
    60,
]


class Metrics:
    """The process's metrics, safe for use by many threads."""

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._lock = threading.Lock()
        self._counter_by_name = {}
        self._gauge_by_name = {}
        self._histogram_by_name = {}

    def count(self, name, amount=1, **labels):
        """Add `amount` to the counter `name`, ``peridothitch_<name>_total``."""
        with self._lock:
            if name not in self._counter_by_name:
                self._counter_by_name[name] = self._make(
                    aioprometheus.Counter, f"{name}_total"
                )
            self._counter_by_name[name].add(labels, amount)

    def set(self, name, value, **labels):
        """Set the gauge ``peridothitch_<name>`` to `value`."""
        with self._lock:
            if name not in self._gauge_by_name:
                self._gauge_by_name[name] = self._make(aioprometheus.Gauge, name)
            self._gauge_by_name[name].set(labels, value)

    def observe(self, name, duration, **labels):
        """Add a `datetime.timedelta` to ``peridothitch_<name>_seconds``."""
        with self._lock:
            if name not in self._histogram_by_name:
                self._histogram_by_name[name] = self._make(
                    aioprometheus.Histogram,
                    f"{name}_seconds",
                    buckets=_LATENCY_BUCKETS_SECONDS,
                )
            self._histogram_by_name[name].observe(labels, duration.total_seconds())

    def value(self, name, **labels):
        """Return the current value of a counter, 0 when it was never counted."""
        with self._lock:
            counter = self._counter_by_name.get(name)
            if counter is None:
                return 0
            try:
                return counter.get(labels)
            except KeyError:
                return 0

    def render(self, accept):
        """Render all metrics.

        Parameters
        ----------
        accept : str
            The scraper's Accept header.

        Returns
        -------
        tuple of (bytes, dict of str to str)
            Body and headers.
        """
        with self._lock:
            return renderer.render(self._registry, [accept])

    def _make(self, kind, name, **options):
        return kind(
            f"peridothitch_{name}",
            name.replace("_", " "),
            registry=self._registry,
            **options,
        )
