"""Runs a process's background loops and restarts those that end with an error."""

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
        """Call ``run(stop)`` in a thread; calls it again if it ends with an error."""
        self._pool.submit(self._run_until_stopped, run)

    def _run_until_stopped(self, run):
        while not self._stop.is_set():
            try:
                run(self._stop)
                return
            except Exception:
                # If the loop ended here, its state would become stale unnoticed.
                self._metrics.count("loop_failures", loop=run.__qualname__)
                _log.exception("loop {} failed; restarting it", run.__qualname__)
            self._clock.wait(self._stop, RESTART_DELAY)
