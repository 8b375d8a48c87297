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
        self._lock = threading.Lock()
        self._has_leader = False
        self._queue = []
        self._last_start = -window

    def submit(self, item):
        """Carry out one item with others; returns its result or raises its error."""
        entry = _Entry(item)
        with self._lock:
            self._queue.append(entry)
            leads = not self._has_leader
            self._has_leader = True
        if not leads:
            entry.called.wait()
        if not entry.future.done():
            self._lead()
        return entry.future.result()

    def _lead(self):
        """Commit one batch, this thread's item included, and call the next leader."""
        pause = self._last_start + self._window - self._clock.monotonic()
        if pause > datetime.timedelta(0):
            self._clock.wait(self._never, pause)
        self._last_start = self._clock.monotonic()
        with self._lock:
            taken = self._queue[: self._max_items]
            self._queue = self._queue[self._max_items :]
        try:
            self._carry_out(taken)
        finally:
            self._call_next(taken)

    def _carry_out(self, taken):
        try:
            results = self._commit([entry.item for entry in taken])
        except BaseException as error:
            for entry in taken:
                entry.future.set_exception(error)
            return
        for entry, result in zip(taken, results, strict=True):
            entry.future.set_result(result)

    def _call_next(self, taken):
        with self._lock:
            self._has_leader = bool(self._queue)
            if self._has_leader:
                self._queue[0].called.set()
        for entry in taken:
            entry.called.set()


class _Entry:
    """An item with what its thread waits for."""

    def __init__(self, item):
        self.item = item
        self.future = concurrent.futures.Future()
        self.called = threading.Event()
