"""In-memory key-value service for the embedded default and for tests."""

import collections
import dataclasses
import datetime
import itertools
import threading

from peridothitch import errors
from peridothitch.ports import store

__all__ = ["MemoryStore"]

_MAX_EVENTS = 100_000


@dataclasses.dataclass
class _Lease:
    ttl: datetime.timedelta
    expires: datetime.timedelta
    keys: set = dataclasses.field(default_factory=set)


class MemoryStore(store.Store):
    """Store with the etcd v3 data model, shared by threads of one process.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
        Determines when leases expire.
    max_events : int
        Number of changes retained for watches; older revisions are compacted.

    Attributes
    ----------
    call_count_by_method : dict of str to int
        Calls received so far; each opened watch counts as one.
    """

    def __init__(self, clock, max_events=_MAX_EVENTS):
        self._clock = clock
        self._max_events = max_events
        self._changed = threading.Condition()
        self._item_by_key = {}
        self._lease_by_id = {}
        self._events = collections.deque()
        self._compacted_revision = 0
        self._revision = 1
        self._lease_ids = itertools.count(1)
        self.call_count_by_method = {}

    @property
    def revision(self):
        """Revision of the last write."""
        return self._revision

    def range(self, prefix):
        """Read all keys that start with `prefix`."""
        with self._changed:
            self._count("range")
            found = {
                key: self._item_by_key[key]
                for key in sorted(self._item_by_key)
                if key.startswith(prefix)
            }
            return store.Range(self._revision, found)

    def get(self, key):
        """Read one key."""
        with self._changed:
            self._count("range")
            return self._item_by_key.get(key)

    def transact(self, compares, writes):
        """Apply `writes` if all `compares` hold."""
        with self._changed:
            self._count("txn")
            if not all(self._matches(compare) for compare in compares):
                return store.TransactionResult(False, self._revision)
            self._check_leases(writes)
            if writes:
                self._revision += 1
            for write in writes:
                self._apply(write)
            self._changed.notify_all()
            return store.TransactionResult(True, self._revision)

    def grant_lease(self, ttl):
        """Create a lease."""
        with self._changed:
            self._count("lease_grant")
            lease_id = next(self._lease_ids)
            self._lease_by_id[lease_id] = _Lease(ttl, self._clock.monotonic() + ttl)
            return lease_id

    def keep_alive(self, lease_id):
        """Renew a lease."""
        with self._changed:
            self._count("lease_keepalive")
            lease = self._lease_by_id.get(lease_id)
            if lease is None:
                return datetime.timedelta(0)
            lease.expires = self._clock.monotonic() + lease.ttl
            return lease.ttl

    def revoke_lease(self, lease_id):
        """End a lease and remove its keys."""
        with self._changed:
            self._count("lease_revoke")
            self._end_lease(lease_id)

    def watch(self, prefix, start_revision):
        """Watch `prefix` from `start_revision` on."""
        with self._changed:
            self._count("watch")
        return _MemoryWatch(self, prefix, start_revision)

    def _count(self, method):
        self._expire_leases()
        count = self.call_count_by_method.get(method, 0)
        self.call_count_by_method[method] = count + 1

    def _matches(self, compare):
        item = self._item_by_key.get(compare.key)
        if item is None:
            return compare.number == 0
        number_by_target = {
            store.Target.VERSION: item.version,
            store.Target.CREATE: item.create_revision,
            store.Target.MOD: item.mod_revision,
        }
        return number_by_target[compare.target] == compare.number

    def _check_leases(self, writes):
        for write in writes:
            lease_id = getattr(write, "lease_id", 0)
            if lease_id and lease_id not in self._lease_by_id:
                raise errors.StoreUnavailableError(f"lease {lease_id} not found")

    def _apply(self, write):
        if isinstance(write, store.Delete):
            self._remove(write.key)
            return
        previous = self._item_by_key.get(write.key)
        if previous is not None and previous.lease_id:
            self._lease_by_id[previous.lease_id].keys.discard(write.key)
        item = store.KeyValue(
            key=write.key,
            value=write.value,
            create_revision=previous.create_revision if previous else self._revision,
            mod_revision=self._revision,
            version=previous.version + 1 if previous else 1,
            lease_id=write.lease_id,
        )
        if write.lease_id:
            self._lease_by_id[write.lease_id].keys.add(write.key)
        self._item_by_key[write.key] = item
        self._record(store.Event(item))

    def _remove(self, key):
        item = self._item_by_key.pop(key, None)
        if item is None:
            return
        if item.lease_id in self._lease_by_id:
            self._lease_by_id[item.lease_id].keys.discard(key)
        deleted_item = dataclasses.replace(item, value=b"", mod_revision=self._revision)
        self._record(store.Event(deleted_item, deleted=True))

    def _record(self, event):
        self._events.append(event)
        while len(self._events) > self._max_events:
            oldest = self._events.popleft()
            self._compacted_revision = oldest.item.mod_revision

    def _expire_leases(self):
        now = self._clock.monotonic()
        expired = [
            lease_id
            for lease_id, lease in self._lease_by_id.items()
            if lease.expires <= now
        ]
        for lease_id in expired:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        lease = self._lease_by_id.pop(lease_id, None)
        if lease is None:
            return
        self._revision += 1
        for key in sorted(lease.keys):
            self._remove(key)
        self._changed.notify_all()

    def _wait_for_events(self, prefix, revision, timeout):
        with self._changed:
            self._expire_leases()
            if self._revision < revision:
                self._changed.wait(timeout.total_seconds())
                self._expire_leases()
            if revision <= self._compacted_revision:
                raise errors.StoreUnavailableError(
                    f"watch: revision {revision} has been compacted"
                )
            return self._revision, self._events_since(prefix, revision)

    def _events_since(self, prefix, revision):
        found = []
        for event in reversed(self._events):
            if event.item.mod_revision < revision:
                break
            if event.item.key.startswith(prefix):
                found.append(event)
        return tuple(reversed(found))


class _MemoryWatch(store.Watch):
    def __init__(self, memory_store, prefix, revision):
        self._store = memory_store
        self._prefix = prefix
        self._revision = revision

    def poll(self, timeout):
        revision, events = self._store._wait_for_events(
            self._prefix, self._revision, timeout
        )
        self._revision = max(self._revision, revision + 1)
        return events

    def close(self):
        self._revision = 1 << 63
