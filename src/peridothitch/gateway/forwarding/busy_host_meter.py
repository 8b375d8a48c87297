"""Estimates how many upstream hosts the requests at this entry host keep busy."""

import dataclasses
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
        self._rates_by_service = {}
        self._started_at = None

    def record_request(self, job):
        """Add a request that was admitted or refused because of load."""
        output = job.metadata.expected_tokens or job.metadata.output_tokens
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            if self._started_at is None:
                self._started_at = now
            before = self._rates_by_service.get(job.service, _Rates(0.0, 0.0, now))
            prompt_rate, output_rate = before.at_time(now)
            self._rates_by_service[job.service] = _Rates(
                prompt_rate + job.need.prompt_tokens / _TIME_CONSTANT_SECONDS,
                output_rate + output / _TIME_CONSTANT_SECONDS,
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
            rates_by_service = {
                service: rates.at_time(now)
                for service, rates in self._rates_by_service.items()
            }
        return {
            service: round(self._busy(service, *rates) / weight, 3)
            for service, rates in rates_by_service.items()
        }

    def _busy(self, service, prompt_rate, output_rate):
        """Return how many hosts serve a number of tokens a second."""
        busy = None
        if self._models is not None:
            busy = self._models.busy_seconds(service, prompt_rate, output_rate)
        if busy is None:
            busy = (
                prompt_rate / placement.TOKENS_PER_SECOND
                + output_rate * _SECONDS_PER_OUTPUT_TOKEN
            )
        return busy


@dataclasses.dataclass(frozen=True)
class _Rates:
    """Tokens a second of one service, as averages at some monotonic seconds."""

    prompt: float
    output: float
    at: float

    def at_time(self, now):
        decay = math.exp(-(now - self.at) / _TIME_CONSTANT_SECONDS)
        return self.prompt * decay, self.output * decay
