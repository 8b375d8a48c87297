"""Limits the work that responses cause, however many and however small their pieces.

An upstream that sends without a pause, or in tiny pieces, would take the processor from
the requests to other services. Reading its responses less often lets pieces accumulate,
and the connections' windows then slow the upstream down.
"""

import datetime
import threading

__all__ = ["WorkPace", "for_response", "for_service", "work_of_read"]

_SMALL_READ_BYTES = 4096
_UNITS_PER_SMALL_READ = 64
"""One read, and the write to the caller that follows it."""

_UNITS_PER_EVENT = 8
_BYTES_PER_UNIT = 160
_ZERO = datetime.timedelta(0)


class WorkPace:
    """Tells how long to wait until further work; safe for several threads at once.

    One unit is about one microsecond of processor time.

    Parameters
    ----------
    units_per_second : float
    max_saved_units : float
        Work that is never delayed after a pause.
    now : datetime.timedelta
        Monotonic time.
    """

    def __init__(self, units_per_second, max_saved_units, now):
        self._rate = units_per_second
        self._max_saved = self._units = max_saved_units
        self._at = now
        self._lock = threading.Lock()

    def spend(self, units):
        """Record work that was done."""
        with self._lock:
            self._units -= units

    def delay(self, now):
        """Return the time to wait until further work."""
        with self._lock:
            earned = (now - self._at).total_seconds() * self._rate
            self._units = min(self._max_saved, self._units + earned)
            self._at = now
            if self._units >= 0:
                return _ZERO
            return datetime.timedelta(seconds=-self._units / self._rate)


def for_response(now):
    """Return the `WorkPace` of the pieces of one response."""
    return WorkPace(4_000.0, 2_048.0, now)


def for_service(now):
    """Return the `WorkPace` of all responses of one service."""
    return WorkPace(250_000.0, 250_000.0, now)


def work_of_read(size, chunk_count, event_count):
    """Return the units that the pieces of a read cost, and those of its bytes."""
    units = chunk_count + _UNITS_PER_EVENT * event_count
    if size < _SMALL_READ_BYTES:
        units += _UNITS_PER_SMALL_READ
    return units, size / _BYTES_PER_UNIT
