"""Measures how many upstream hosts the requests at this entry host keep busy."""

import math
import threading

from peridothitch.policy import placement

__all__ = ["BusyHostMeter"]

_AVERAGE_SECONDS = 3.0
"""Time constant; a burst shows within it, a single long prompt doesn't."""

_LEAST_AGE_SECONDS = 0.7
"""Less time says too little about the load."""

_SECONDS_PER_OUTPUT_TOKEN = 0.0006
"""Part of a host's step time that one more generated token takes up."""


class BusyHostMeter:
    """Averages by service.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._busy_by_service = {}
        self._began = None

    def record_request(self, job):
        """Note a request that was admitted or refused for load."""
        output = job.metadata.expected_tokens or job.metadata.output_tokens
        work = (
            job.need.prompt_tokens / placement.TOKENS_PER_SECOND
            + output * _SECONDS_PER_OUTPUT_TOKEN
        )
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            if self._began is None:
                self._began = now
            busy, at = self._busy_by_service.get(job.service, (0.0, now))
            faded = busy * math.exp(-(now - at) / _AVERAGE_SECONDS)
            self._busy_by_service[job.service] = (
                faded + work / _AVERAGE_SECONDS,
                now,
            )

    def busy_by_service(self):
        """Return the hosts kept busy, by service."""
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            if self._began is None:
                return {}
            # An average over less time than its constant would be too low.
            age = max(_LEAST_AGE_SECONDS, now - self._began)
            known = 1 - math.exp(-age / _AVERAGE_SECONDS)
            return {
                service: round(
                    busy * math.exp(-(now - at) / _AVERAGE_SECONDS) / known, 3
                )
                for service, (busy, at) in self._busy_by_service.items()
            }
