"""Clock whose monotonic time includes the time that the machine is suspended."""

import datetime
import time

from peridothitch.adapters import system_clock

__all__ = ["BootClock"]


class BootClock(system_clock.SystemClock):
    """Clock based on the time since boot."""

    def monotonic(self):
        """Return the time since boot, including suspended time."""
        return datetime.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
