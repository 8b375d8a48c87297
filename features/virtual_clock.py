"""Clock that advances only when a test advances it."""

import datetime

from peridothitch.ports import clock


class VirtualClock(clock.Clock):
    """Starts at a fixed wall-clock time; waiting advances it by the timeout."""

    def __init__(self, start=datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)):
        self._start = start
        self._elapsed = datetime.timedelta(0)

    def now(self):
        return self._start + self._elapsed

    def monotonic(self):
        return self._elapsed

    def wait(self, event, timeout):
        if not event.is_set():
            self.advance(timeout)
        return event.is_set()

    def advance(self, duration):
        self._elapsed += duration
