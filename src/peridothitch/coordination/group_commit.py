"""Group commit: items submitted by many threads are committed in one batch."""

import concurrent.futures
import datetime
import threading

__all__ = ["GroupCommitter"]


class GroupCommitter:
    """Collects items while a commit is in progress and commits them as one batch.

    An idle committer adds no delay; a busy one commits at most once per `window`.

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
        self._never_set = threading.Event()
        self._lock = threading.Lock()
        self._has_leader = False
        self._queue = []
        self._last_start = -window

    def submit(self, item):
        """Commit an item in a batch; returns its result or raises its error."""
        entry = _Entry(item)
        with self._lock:
            self._queue.append(entry)
            is_leader = not self._has_leader
            self._has_leader = True
        if not is_leader:
            entry.woken.wait()
        if not entry.future.done():
            self._commit_batch()
        return entry.future.result()

    def _commit_batch(self):
        """Commit one batch, this thread's item included, and wake the next leader."""
        delay = self._last_start + self._window - self._clock.monotonic()
        if delay > datetime.timedelta(0):
            self._clock.wait(self._never_set, delay)
        self._last_start = self._clock.monotonic()
        with self._lock:
            batch = self._queue[: self._max_items]
            self._queue = self._queue[self._max_items :]
        try:
            self._run_commit(batch)
        finally:
            self._wake_next_leader(batch)

    def _run_commit(self, batch):
        try:
            results = self._commit([entry.item for entry in batch])
        except BaseException as error:
            for entry in batch:
                entry.future.set_exception(error)
            return
        for entry, result in zip(batch, results, strict=True):
            entry.future.set_result(result)

    def _wake_next_leader(self, batch):
        with self._lock:
            self._has_leader = bool(self._queue)
            if self._has_leader:
                self._queue[0].woken.set()
        for entry in batch:
            entry.woken.set()


class _Entry:
    """A queued item with its result and the event that wakes its thread."""

    def __init__(self, item):
        self.item = item
        self.future = concurrent.futures.Future()
        self.woken = threading.Event()
