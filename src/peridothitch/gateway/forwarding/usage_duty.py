"""Reports the usage of each window once; a repeated report has the same counts.

The counts of a window are written to the store before they are sent, by a conditional
write that fails if they exist. A holder that finds them there sends those, so that a
report that is repeated after a lost answer, or by a successor, never differs. What the
store loses when it comes back from an older copy, the hosts know (see `final_counts`);
a window that may have been reported with counts that nobody knows is left out.
"""

import datetime

import logbook
import msgspec

from peridothitch import errors
from peridothitch.gateway.forwarding import usage_progress
from peridothitch.policy import usage_windows
from peridothitch.ports import duties, store

__all__ = ["UsageDuty"]

_PREFIX = "/peridothitch/usage-windows/"
_ERA_KEY = "/peridothitch/usage-era"
_UNKNOWN_COUNTS = b"null"
"""Stands for the counts of a window that may have been reported with unknown ones."""

_SETTLE_TIME = datetime.timedelta(seconds=2)
"""From a window's end until its counts are final: two periods of the hosts' reports."""

_MAX_CLOCK_ERROR = datetime.timedelta(seconds=1)
"""By which the shared clocks of two hosts differ at most."""

_GATHER_TIME = datetime.timedelta(seconds=1.8)
"""From acquiring the duties until all hosts have reported to the new holder."""

_DUE_MARGIN = datetime.timedelta(seconds=1)
"""A report due within this time is sent with the counts available."""

_RETRY_DELAY = datetime.timedelta(seconds=1)
_RETAINED_WINDOWS = 8
"""Number of windows whose records stay in the store for a successor."""

_log = logbook.Logger(__name__)


class UsageDuty:
    """Sends usage reports while this host holds the duties.

    Parameters
    ----------
    client : peridothitch.ports.duties.PlatformDuties
    record_store : peridothitch.ports.store.Store
    fenced_lease : peridothitch.coordination.lease.FencedLease
    reports : peridothitch.gateway.forwarding.fleet_reports.FleetReports
    final_counts : peridothitch.gateway.forwarding.final_counts.FinalCounts
    shared_clock : peridothitch.gateway.forwarding.peer_sync.SharedClock
    bounds : peridothitch.ports.entry_settings.OperatingBounds
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(
        self,
        client,
        record_store,
        fenced_lease,
        reports,
        final_counts,
        shared_clock,
        bounds,
        clock,
        metrics,
    ):
        self._client = client
        self._store = record_store
        self._lease = fenced_lease
        self._reports = reports
        self._final = final_counts
        self._shared_clock = shared_clock
        self._bounds = bounds
        self._clock = clock
        self._metrics = metrics
        self._fencing_number = 0
        self._last_lost_window = 0
        self._is_era_recorded = False
        self._sent_windows = set()
        self._counts_by_window = {}
        self._next_attempt = self._gathered_at = clock.monotonic()
        self._progress = usage_progress.UsageProgress(
            record_store, reports, clock, metrics
        )

    def step(self, permit):
        """Send the reports that are due."""
        if permit.fencing_number != self._fencing_number:
            self._begin_term(permit.fencing_number)
        if self._clock.monotonic() < self._next_attempt:
            return
        for window in self._due_windows():
            self._send(window)
        if not self._is_era_recorded and not self._has_lost_windows():
            self._write_era()
        self._final.set_unknown_window(self._unknown_window())
        self._progress.save(self._oldest_window())

    def _begin_term(self, fencing_number):
        self._counts_by_window = self._read_counts()
        for window, counts in sorted(self._counts_by_window.items()):
            self._record_final(window, counts)
        self._progress.restore()
        era = store.era_of(fencing_number)
        self._last_lost_window = 0
        recorded_era = self._read_era()
        self._is_era_recorded = recorded_era == era
        # A store that has no record is new, unless it came back from a copy.
        is_new = recorded_era is None and era <= 1
        if not self._is_era_recorded and not is_new:
            settled = self._shared_clock.now() - _SETTLE_TIME + _MAX_CLOCK_ERROR
            window = usage_windows.window_of(settled, self._bounds.usage_window)
            self._last_lost_window = window - 1
        self._final.begin_term(fencing_number, self._unknown_window())
        self._fencing_number = fencing_number
        self._sent_windows.clear()
        self._gathered_at = self._clock.monotonic() + _GATHER_TIME

    def _unknown_window(self):
        """Return the last window that may be reported with counts unknown here."""
        lost = 0 if self._is_era_recorded else self._last_lost_window
        left_out = [w for w, c in self._counts_by_window.items() if c is None]
        return max([lost, *left_out])

    def _read_era(self):
        """Return the era whose counts the store has, None if it has no record."""
        item = self._store.get(_ERA_KEY)
        if item is None:
            return None
        return msgspec.json.decode(item.value, type=int)

    def _write_era(self):
        """Record that the windows that the store has lost are dealt with."""
        era = msgspec.json.encode(store.era_of(self._fencing_number))
        self._store.transact([], [store.Put(_ERA_KEY, era)])
        self._last_lost_window = 0
        self._is_era_recorded = True

    def _oldest_window(self):
        """Return the oldest window that may still be reported."""
        latest_end = self._shared_clock.now() - self._bounds.usage_delay
        oldest = usage_windows.window_of(latest_end, self._bounds.usage_window) - 1
        while oldest in self._counts_by_window:
            oldest += 1
        return oldest

    def _has_lost_windows(self):
        """Return whether a window that the store may have lost is still to be sent."""
        now = self._shared_clock.now()
        first = usage_windows.window_of(
            now - self._bounds.usage_delay, self._bounds.usage_window
        )
        lost = range(first - 1, self._last_lost_window + 1)
        return any(window not in self._sent_windows for window in lost)

    def _due_windows(self):
        window = self._bounds.usage_window
        now = self._shared_clock.now()
        newest = usage_windows.window_of(now - _SETTLE_TIME, window) - 1
        oldest = usage_windows.window_of(now - self._bounds.usage_delay, window) - 1
        urgent = now - self._bounds.usage_delay + _DUE_MARGIN
        last_urgent = usage_windows.window_of(urgent, window) - 1
        has_gathered = self._clock.monotonic() >= self._gathered_at
        return [
            due
            for due in range(oldest, newest + 1)
            if due not in self._sent_windows
            and self._may_send(due, due <= last_urgent, has_gathered)
        ]

    def _may_send(self, window, is_urgent, has_gathered):
        """Return whether to wait no longer before a window is sent or left out."""
        if window in self._counts_by_window:
            return True
        if not has_gathered:
            # A report by a holder that nobody has seen could be repeated differently.
            return is_urgent and self._reports.has_seen_holder(self._fencing_number)
        return is_urgent or not self._may_be_reported(window)

    def _send(self, window):
        counts = self._final_counts(window)
        if counts is None:
            self._sent_windows.add(window)
            self._metrics.count("usage_windows_not_reported")
            _log.error("usage not reported, it may have been before", window=window)
            return
        permit = self._lease.permit()
        report = duties.UsageReport(window=window, count_by_customer=counts)
        try:
            answer = self._client.report_usage(report, permit.fencing_number)
        except errors.CloudError:
            self._next_attempt = self._clock.monotonic() + _RETRY_DELAY
            raise
        if answer.superseded:
            self._lease.abandon()
            raise errors.LeaseError(
                "a usage report was refused because of its fencing number"
            )
        self._sent_windows.add(window)
        self._metrics.count("usage_reports", accepted=int(answer.accepted))
        _log.info(
            "usage reported",
            window=window,
            requests=sum(counts.values()),
            fencing_number=permit.fencing_number,
            accepted=answer.accepted,
            detail=answer.detail,
        )

    def _final_counts(self, window):
        """Return the window's final counts after writing them to the store.

        None if the window may have been reported with others, which the store and all
        hosts have lost.
        """
        if window in self._counts_by_window:
            return self._counts_by_window[window]
        key = f"{_PREFIX}{window}"
        if self._may_be_reported(window):
            self._write(key, window, _UNKNOWN_COUNTS)
            return self._counts_by_window[window]
        counts = self._final.find(window)
        if counts is None:
            counts = usage_windows.sum_counts(self._reports.counts_by_process(), window)
        self._write(key, window, msgspec.json.encode(counts))
        return self._counts_by_window[window]

    def _may_be_reported(self, window):
        """Return whether a window may have been reported with counts nobody knows."""
        if window > self._last_lost_window or self._final.find(window) is not None:
            return False
        era = store.era_of(self._fencing_number)
        if not self._reports.have_all_seen_era(era):
            return True
        return not self._final.is_unreported(window, era)

    def _write(self, key, window, value):
        compares = [store.Compare(key, store.Target.MOD, 0)]
        writes = [store.Put(key, value)]
        old = f"{_PREFIX}{window - _RETAINED_WINDOWS}"
        if self._counts_by_window.pop(window - _RETAINED_WINDOWS, None) is not None:
            writes.append(store.Delete(old))
        with self._final.writing():
            value, revision = self._create(key, compares, writes, value)
            if store.era_of(revision) != store.era_of(self._fencing_number):
                raise errors.LeaseError("the store came back from a copy since")
            self._counts_by_window[window] = _decode(value)
            self._record_final(window, self._counts_by_window[window])

    def _create(self, key, compares, writes, value):
        """Write a key unless it exists; returns its value and a revision with it."""
        try:
            result = self._store.transact(compares, writes)
            if result.succeeded:
                return value, result.revision
        except errors.StoreUnclearError:
            _log.info("unclear whether {} was written", key)
        item = self._store.get(key)
        if item is None:
            raise errors.StoreUnavailableError(f"{key} was not written")
        return item.value, item.mod_revision

    def _record_final(self, window, counts):
        """Keep a window's counts for a store that loses them, unless it has none."""
        if counts is not None:
            self._final.record_own(window, counts)

    def _read_counts(self):
        stored = self._store.range(_PREFIX)
        return {
            int(key.removeprefix(_PREFIX)): _decode(item.value)
            for key, item in stored.item_by_key.items()
            if key.removeprefix(_PREFIX).isdigit()
        }


def _decode(value):
    return msgspec.json.decode(value, type=dict[str, int] | None)
