"""Source of time for all modules that wait or measure durations."""

import abc

__all__ = ["Clock"]


class Clock(abc.ABC):
    """Wall-clock time, monotonic time and waiting."""

    @abc.abstractmethod
    def now(self):
        """Return the wall-clock time.

        Returns
        -------
        datetime.datetime
            Aware, in UTC.
        """

    @abc.abstractmethod
    def monotonic(self):
        """Return the time since an arbitrary epoch; it never decreases.

        Returns
        -------
        datetime.timedelta
        """

    @abc.abstractmethod
    def wait(self, event, timeout):
        """Wait until `event` is set or `timeout` has passed.

        Parameters
        ----------
        event : threading.Event
            The event that ends the wait early.
        timeout : datetime.timedelta
            Maximum time to wait.

        Returns
        -------
        bool
            Whether the event is set.
        """
