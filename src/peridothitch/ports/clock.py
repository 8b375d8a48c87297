"""Source of time for all parts that wait or measure."""

import abc

__all__ = ["Clock"]


class Clock(abc.ABC):
    """Tells wall-clock and monotonic time, and waits."""

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
        """Return the time since an arbitrary start that never goes back.

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
            The longest wait.

        Returns
        -------
        bool
            Whether the event is set.
        """
