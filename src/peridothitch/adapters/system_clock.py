"""Clock of the operating system."""

import datetime
import time

from peridothitch.ports import clock

__all__ = ["SystemClock"]


class SystemClock(clock.Clock):
    """Reads the operating system's clocks."""

    def now(self):
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self):
        """Return the monotonic time."""
        return datetime.timedelta(seconds=time.monotonic())

    def wait(self, event, timeout):
        """Wait for `event` at most `timeout`."""
        return event.wait(timeout.total_seconds())
