"""Keeps the counts of windows that are not reported yet in the store.

The counts of a window lie in the memory of the entry hosts until they are reported.
When all hosts are killed at the same moment, the next holder of the duties finds here
what the last one had received from each process.
"""

import datetime

import logbook
import msgspec

from peridothitch import errors
from peridothitch.gateway.forwarding import fleet_messages
from peridothitch.ports import store

__all__ = ["UsageProgress"]

_KEY = "/peridothitch/usage-progress"
_SAVE_PERIOD = datetime.timedelta(seconds=1)
"""Period of the hosts' reports."""

_log = logbook.Logger(__name__)


class UsageProgress:
    """Saves and restores each process's counts; used by one thread.

    Parameters
    ----------
    record_store : peridothitch.ports.store.Store
    reports : peridothitch.gateway.forwarding.fleet_reports.FleetReports
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, record_store, reports, clock, metrics):
        self._store = record_store
        self._reports = reports
        self._clock = clock
        self._metrics = metrics
        self._revision = None
        self._saved = b""
        self._next_save = clock.monotonic()

    def restore(self):
        """Add the saved counts to those of the reports; later ones replace them.

        Raises
        ------
        peridothitch.errors.StoreError
        """
        item = self._store.get(_KEY)
        self._revision = item.mod_revision if item is not None else 0
        self._saved = b""
        if item is None:
            return
        try:
            counts = msgspec.msgpack.decode(
                item.value, type=tuple[fleet_messages.ProcessCounts, ...]
            )
        except msgspec.MsgspecError as error:
            self._metrics.count("malformed_usage_progress")
            _log.error("saved usage is malformed", reason=str(error))
            return
        self._reports.add_departed(counts)
        _log.info("saved usage restored", processes=len(counts))

    def save(self, oldest_window):
        """Save the counts from a window on, if due and if they have changed.

        A host that is no longer the holder fails to write: another one has written.

        Raises
        ------
        peridothitch.errors.StoreError
        """
        now = self._clock.monotonic()
        if now < self._next_save:
            return
        self._next_save = now + _SAVE_PERIOD
        if self._revision is None:
            self.restore()
        value = msgspec.msgpack.encode(self._reports.process_counts(oldest_window))
        if value == self._saved:
            return
        compares = [store.Compare(_KEY, store.Target.MOD, self._revision)]
        try:
            result = self._store.transact(compares, [store.Put(_KEY, value)])
        except errors.StoreUnclearError:
            self._revision = None
            raise
        if not result.succeeded:
            self._revision = None
            return
        self._revision = result.revision
        self._saved = value
