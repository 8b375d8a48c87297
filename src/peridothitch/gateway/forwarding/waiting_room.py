"""Requests that wait at this entry host until an upstream has room."""

import contextlib
import dataclasses
import datetime
import itertools
import threading

__all__ = ["Place", "WaitingRoom"]

_MAX_WAITING = 16
_MAX_ACTIVE = 96
"""Requests in progress here beyond which none waits: each occupies a thread."""

_POLL_PERIOD = datetime.timedelta(milliseconds=20)
_SLACK_STEP_SECONDS = 0.05
"""Among requests with about the same slack, customers that used less go first."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
    """Place of a request in the order of waiting.

    Attributes
    ----------
    service : str
    priority : int
        0 is the most urgent.
    slack : float
        Seconds that it may still lose and be in time.
    use : float
        Recent use of its customer, relative to what the customer is entitled to.
    """

    service: str
    priority: int
    slack: float
    use: float

    @property
    def rank(self):
        """Smaller ones go first."""
        return self.priority, self.slack // _SLACK_STEP_SECONDS, self.use


class _Waiter:
    def __init__(self, place, number):
        self.service = place.service
        self.rank = (*place.rank, number)
        self.changed = threading.Event()
        self.has_left = False


class WaitingRoom:
    """Lets waiting requests try in order; safe for several threads at once.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    count_active : callable
        Returns the number of requests in progress here.
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, clock, count_active, metrics):
        self._clock = clock
        self._count_active = count_active
        self._metrics = metrics
        self._lock = threading.Lock()
        self._waiters = []
        self._numbers = itertools.count()

    @contextlib.contextmanager
    def enter(self, place):
        """Take a place; yields a `_Waiter`, None if there is no place left."""
        with self._lock:
            has_place = (
                len(self._waiters) < _MAX_WAITING
                and self._count_active() <= _MAX_ACTIVE
            )
            waiter = _Waiter(place, next(self._numbers)) if has_place else None
            if waiter is not None:
                self._waiters.append(waiter)
                self._waiters.sort(key=lambda each: each.rank)
                self._metrics.set("waiting_requests", len(self._waiters))
        try:
            yield waiter
        finally:
            if waiter is not None:
                self._leave(waiter)

    def _leave(self, waiter):
        with self._lock:
            self._waiters.remove(waiter)
            self._metrics.set("waiting_requests", len(self._waiters))
            first = self._first(waiter.service)
        if first is not None:
            first.changed.set()

    def cancel(self, waiter):
        """End a wait because the caller has left; callable from any thread."""
        waiter.has_left = True
        waiter.changed.set()

    def wait_turn(self, waiter, until):
        """Wait until a request may try again.

        Parameters
        ----------
        waiter : _Waiter
        until : datetime.timedelta
            Monotonic time at which the wait ends.

        Returns
        -------
        bool
            Whether it may try; otherwise the time is over or its caller has left.
        """
        while not waiter.has_left:
            left = until - self._clock.monotonic()
            if left <= datetime.timedelta(0):
                return False
            waiter.changed.clear()
            if waiter.has_left:
                return False
            self._clock.wait(waiter.changed, min(left, _POLL_PERIOD))
            with self._lock:
                is_first = self._first(waiter.service) is waiter
            if is_first and not waiter.has_left:
                return True
        return False

    def _first(self, service):
        return next((each for each in self._waiters if each.service == service), None)
