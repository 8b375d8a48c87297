"""Estimates how many upstream hosts the requests at this entry host keep busy."""

import math
import threading

from peridothitch.policy import placement

__all__ = ["BusyHostMeter"]

_TIME_CONSTANT_SECONDS = 3.0
"""Time constant; a burst shows within it, a single long prompt does not."""

_MIN_AGE_SECONDS = 0.7
"""Shortest time that the average is scaled by; less is no reliable sample."""

_SECONDS_PER_OUTPUT_TOKEN = 0.0006
"""Share of a host's step time that one more generated token takes."""


class BusyHostMeter:
    """Exponential averages of busy upstream hosts by service.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels or None
    """

    def __init__(self, clock, models=None):
        self._clock = clock
        self._models = models
        self._lock = threading.Lock()
        self._busy_by_service = {}
        self._started_at = None

    def record_request(self, job):
        """Add a request that was admitted or refused because of load."""
        output = job.metadata.expected_tokens or job.metadata.output_tokens
        work_seconds = None
        if self._models is not None:
            work_seconds = self._models.busy_seconds(
                job.service, job.need.prompt_tokens, output
            )
        if work_seconds is None:
            work_seconds = (
                job.need.prompt_tokens / placement.TOKENS_PER_SECOND
                + output * _SECONDS_PER_OUTPUT_TOKEN
            )
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            if self._started_at is None:
                self._started_at = now
            busy, at = self._busy_by_service.get(job.service, (0.0, now))
            decayed = busy * math.exp(-(now - at) / _TIME_CONSTANT_SECONDS)
            self._busy_by_service[job.service] = (
                decayed + work_seconds / _TIME_CONSTANT_SECONDS,
                now,
            )

    def busy_by_service(self):
        """Return the number of upstream hosts kept busy, by service."""
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            if self._started_at is None:
                return {}
            # An average over less time than its constant would be too low.
            age_seconds = max(_MIN_AGE_SECONDS, now - self._started_at)
            weight = 1 - math.exp(-age_seconds / _TIME_CONSTANT_SECONDS)
            return {
                service: round(
                    busy * math.exp(-(now - at) / _TIME_CONSTANT_SECONDS) / weight, 3
                )
                for service, (busy, at) in self._busy_by_service.items()
            }
