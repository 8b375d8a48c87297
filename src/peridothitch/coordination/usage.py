"""Usage in the platform's store: each host writes its own sums, readers add them up.

A host has one key for each day, which it alone writes, so that no write waits for
another one and a write whose reply was lost is corrected by the next one.
"""

import datetime
import threading

import msgspec

from peridothitch import errors
from peridothitch.policy import bill
from peridothitch.ports import store

__all__ = ["UsageRecorder", "read_usage"]

WRITE_INTERVAL = datetime.timedelta(seconds=60)
_PREFIX = "/peridothitch/usage/"


class _Row(msgspec.Struct, frozen=True, array_like=True):
    customer: str
    route: str
    cause: str
    request_count: int
    token_count: int
    micros: int


def _day_prefix(day):
    return f"{_PREFIX}{day.isoformat()}/"


class UsageRecorder:
    """Adds up this host's usage and writes it periodically.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    holder : str
        Name of this process, which no other process ever uses.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, service, holder, clock, metrics):
        self._store = service
        self._holder = holder
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._usage_by_key_by_day = {}
        self._unwritten_days = set()

    def add(self, key, usage):
        """Add a `peridothitch.policy.bill.Usage` under a `UsageKey`."""
        day = self._clock.now().date()
        with self._lock:
            usage_by_key = self._usage_by_key_by_day.setdefault(day, {})
            usage_by_key[key] = usage_by_key.get(key, bill.Usage()).plus(usage)
            self._unwritten_days.add(day)

    def write(self):
        """Write the days that have changed; the next call retries failed writes."""
        with self._lock:
            days = sorted(self._unwritten_days)
        for day in days:
            try:
                self._write_day(day)
            except errors.StoreError:
                self._metrics.count("usage_write_failures")
        self._remove_old_days()

    def run(self, stop):
        """Write every minute until the event `stop` is set, and once more then."""
        while not self._clock.wait(stop, WRITE_INTERVAL):
            self.write()
        self.write()

    def _write_day(self, day):
        with self._lock:
            usage_by_key = self._usage_by_key_by_day[day]
            rows = [_to_row(key, usage) for key, usage in usage_by_key.items()]
            self._unwritten_days.discard(day)
        key = _day_prefix(day) + self._holder
        try:
            self._store.transact([], [store.Put(key, msgspec.json.encode(rows))])
        except errors.StoreError:
            with self._lock:
                self._unwritten_days.add(day)
            raise

    def _remove_old_days(self):
        oldest = self._clock.now().date() - datetime.timedelta(days=1)
        with self._lock:
            for day in list(self._usage_by_key_by_day):
                if day < oldest and day not in self._unwritten_days:
                    del self._usage_by_key_by_day[day]


def read_usage(service, day):
    """Add up all hosts' usage of one day.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    day : datetime.date
        In UTC.

    Returns
    -------
    dict of peridothitch.policy.bill.UsageKey to peridothitch.policy.bill.Usage

    Raises
    ------
    peridothitch.errors.StoreError
    """
    found = service.range(_day_prefix(day)).item_by_key.values()
    return bill.sum_usage(_from_rows(item.value) for item in found)


def _to_row(key, usage):
    return _Row(
        key.customer,
        key.route,
        key.cause,
        usage.request_count,
        usage.token_count,
        usage.micros,
    )


def _from_rows(value):
    rows = msgspec.json.decode(value, type=list[_Row])
    return {
        bill.UsageKey(row.customer, row.route, row.cause): bill.Usage(
            row.request_count, row.token_count, row.micros
        )
        for row in rows
    }
