"""Clock whose monotonic time goes on while the machine is suspended."""

import datetime
import time

from peridothitch.adapters import system_clock

__all__ = ["BootClock"]


class BootClock(system_clock.SystemClock):
    """Reads the time since the machine was started."""

    def monotonic(self):
        """Return the time since the start, suspensions included."""
        return datetime.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
