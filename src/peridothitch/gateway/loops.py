"""Runs a process's background loops and starts those again that end with an error."""

import datetime

import logbook

__all__ = ["LoopRunner"]

RESTART_DELAY = datetime.timedelta(seconds=1)

_log = logbook.Logger(__name__)


class LoopRunner:
    """Runs loops in threads of a pool.

    Parameters
    ----------
    pool : concurrent.futures.Executor
        Has a thread for each loop.
    stop : threading.Event
        Ends all loops once it is set.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, pool, stop, clock, metrics):
        self._pool = pool
        self._stop = stop
        self._clock = clock
        self._metrics = metrics

    def start(self, run):
        """Call ``run(stop)`` in a thread, again if it ends with an error."""
        self._pool.submit(self._keep_running, run)

    def _keep_running(self, run):
        while not self._stop.is_set():
            try:
                run(self._stop)
                return
            except Exception:
                # A loop that ended for good would leave its state to grow old unseen.
                self._metrics.count("loop_failures", loop=run.__qualname__)
                _log.exception("loop {} failed and starts again", run.__qualname__)
            self._clock.wait(self._stop, RESTART_DELAY)
