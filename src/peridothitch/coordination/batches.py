"""Group commit: items of many threads are carried out together."""

import concurrent.futures
import datetime
import threading

__all__ = ["GroupCommitter"]


class GroupCommitter:
    """Collects items while a commit is under way and commits them together.

    A quiet committer adds no wait; a busy one commits once per `window` at most.

    Parameters
    ----------
    commit : callable
        Takes a list of items and returns their results in order.
    clock : peridothitch.ports.clock.Clock
    window : datetime.timedelta
        Shortest time between the starts of two commits.
    max_items : int
        Most items of one commit.
    """

    def __init__(
        self,
        commit,
        clock,
        window=datetime.timedelta(milliseconds=50),
        max_items=50,
    ):
        self._commit = commit
        self._clock = clock
        self._window = window
        self._max_items = max_items
        self._never = threading.Event()
        self._queue_lock = threading.Lock()
        self._commit_lock = threading.Lock()
        self._queue = []
        self._last_start = -window

    def submit(self, item):
        """Carry out one item with others; returns its result or raises its error."""
        future = concurrent.futures.Future()
        with self._queue_lock:
            self._queue.append((item, future))
        while not future.done():
            with self._commit_lock:
                if not future.done():
                    self._commit_queued()
        return future.result()

    def _commit_queued(self):
        pause = self._last_start + self._window - self._clock.monotonic()
        if pause > datetime.timedelta(0):
            self._clock.wait(self._never, pause)
        self._last_start = self._clock.monotonic()
        with self._queue_lock:
            taken = self._queue[: self._max_items]
            self._queue = self._queue[self._max_items :]
        if taken:
            self._carry_out(taken)

    def _carry_out(self, taken):
        try:
            results = self._commit([item for item, _ in taken])
        except BaseException as error:
            for _, future in taken:
                future.set_exception(error)
            return
        for (_, future), result in zip(taken, results, strict=True):
            future.set_result(result)
