"""Counts the requests of each customer that upstreams began to run for this host."""

import threading

from peridothitch.policy import usage_windows

__all__ = ["UsageCounter"]

_RETAINED_WINDOWS = 8


class UsageCounter:
    """Counts by usage window; safe for several threads at once.

    Parameters
    ----------
    window : datetime.timedelta
        Length of a usage window.
    shared_clock : peridothitch.ports.clock.Clock
        Clock of the time that all entry hosts agree on.
    """

    def __init__(self, window, shared_clock):
        self._clock = shared_clock
        self._lock = threading.Lock()
        self._windows = usage_windows.UsageWindows(window, _RETAINED_WINDOWS)

    def record(self, job, moment):
        """Count a request that an upstream began to run at a monotonic time.

        Parameters
        ----------
        job : peridothitch.gateway.forwarding.job.Job
        moment : datetime.timedelta
        """
        if job.customer is None:
            return
        began = self._clock.now() - (self._clock.monotonic() - moment)
        with self._lock:
            self._windows.add(job.customer.name, began)

    def counts(self):
        """Return the counts by window and customer."""
        with self._lock:
            return self._windows.counts()
