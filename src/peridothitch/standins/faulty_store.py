"""Key-value service with injected faults, for tests of its clients."""

import collections
import dataclasses
import datetime
import enum
import threading

from peridothitch import errors
from peridothitch.ports import store

__all__ = ["Fault", "FaultRule", "FaultyStore"]

_WRITES = frozenset({"txn", "lease_grant", "lease_keepalive", "lease_revoke"})
_WATCH_POLL = "watch_poll"


class Fault(enum.Enum):
    """Kind of fault in a call.

    DOWN calls are refused and not applied. SLOW calls wait before they are applied.
    REPLY_LOST calls are applied and their reply is lost; REQUEST_LOST calls are not
    applied, but the caller can't distinguish the two. WATCH_SILENT watches never
    deliver another event. LEASE_LAPSED ends the lease that a call renews, together
    with its keys.
    """

    DOWN = "down"
    SLOW = "slow"
    REPLY_LOST = "reply_lost"
    REQUEST_LOST = "request_lost"
    WATCH_SILENT = "watch_silent"
    LEASE_LAPSED = "lease_lapsed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultRule:
    """Selects the calls that a fault affects.

    Attributes
    ----------
    fault : Fault
    methods : frozenset of str
        Of range, txn, lease_grant, lease_keepalive, lease_revoke, watch and
        watch_poll; empty for all.
    prefix : str
        Prefix of the keys of affected calls; calls without keys are affected only
        when it is empty.
    skip : int
        Number of matching calls that pass before the first one is affected.
    count : int or None
        Number of calls affected before the rule ends; None for no end.
    delay : datetime.timedelta
        Wait of SLOW calls.
    """

    fault: Fault
    methods: frozenset[str] = frozenset()
    prefix: str = ""
    skip: int = 0
    count: int | None = None
    delay: datetime.timedelta = datetime.timedelta(0)


class _ActiveRule:
    """A rule and the number of calls that matched it."""

    def __init__(self, rule):
        self.rule = rule
        self._match_count = 0

    def applies_to(self, method, keys):
        rule = self.rule
        if rule.methods and method not in rule.methods:
            return False
        if rule.prefix and not any(key.startswith(rule.prefix) for key in keys):
            return False
        self._match_count += 1
        affected_count = self._match_count - rule.skip
        return affected_count > 0 and (
            rule.count is None or affected_count <= rule.count
        )


class FaultyStore(store.Store):
    """Passes calls on to another store unless a rule applies to them.

    Parameters
    ----------
    inner : peridothitch.ports.store.Store
    clock : peridothitch.ports.clock.Clock
        Waits for SLOW calls and silent watches.

    Attributes
    ----------
    call_count_by_method : dict of str to int
        Calls made so far, with or without a fault; an open watch counts as one.
    """

    def __init__(self, inner, clock):
        self._inner = inner
        self._clock = clock
        self._lock = threading.Lock()
        self._active_rules = []
        self._lease_ids = set()
        self._cleared = threading.Event()
        self.call_count_by_method = collections.Counter()

    @property
    def revision(self):
        """Revision of the inner store."""
        return self._inner.revision

    def inject(self, rule):
        """Apply a `FaultRule` from now on."""
        with self._lock:
            self._active_rules.append(_ActiveRule(rule))

    def clear(self):
        """Remove all rules and end the waits of SLOW calls."""
        with self._lock:
            self._active_rules.clear()
            self._cleared.set()
            self._cleared = threading.Event()

    def lapse_leases(self):
        """End all leases granted so far, together with their keys."""
        with self._lock:
            lease_ids, self._lease_ids = self._lease_ids, set()
        for lease_id in sorted(lease_ids):
            self._inner.revoke_lease(lease_id)

    def range(self, prefix):
        """Read all keys that start with `prefix`."""
        return self._call("range", [prefix], lambda: self._inner.range(prefix))

    def get(self, key):
        """Read one key."""
        return self._call("range", [key], lambda: self._inner.get(key))

    def transact(self, compares, writes):
        """Apply `writes` if all `compares` hold."""
        keys = [part.key for part in (*compares, *writes)]
        return self._call("txn", keys, lambda: self._inner.transact(compares, writes))

    def grant_lease(self, ttl):
        """Create a lease."""
        return self._call("lease_grant", [], lambda: self._grant(ttl))

    def keep_alive(self, lease_id):
        """Renew a lease."""

        def expire():
            self._inner.revoke_lease(lease_id)
            return datetime.timedelta(0)

        return self._call(
            "lease_keepalive", [], lambda: self._inner.keep_alive(lease_id), expire
        )

    def revoke_lease(self, lease_id):
        """End a lease."""
        self._call("lease_revoke", [], lambda: self._inner.revoke_lease(lease_id))

    def watch(self, prefix, start_revision):
        """Watch `prefix` from `start_revision` on."""

        def open_watch():
            watch = self._inner.watch(prefix, start_revision)
            return _FaultyWatch(self, watch, prefix)

        return self._call("watch", [prefix], open_watch)

    def _grant(self, ttl):
        lease_id = self._inner.grant_lease(ttl)
        with self._lock:
            self._lease_ids.add(lease_id)
        return lease_id

    def _matching_rules(self, method, keys):
        with self._lock:
            return [
                active.rule
                for active in self._active_rules
                if active.applies_to(method, keys)
            ], self._cleared

    def _call(self, method, keys, apply, expire=None):
        with self._lock:
            self.call_count_by_method[method] += 1
        rules, cleared = self._matching_rules(method, keys)
        faults = {rule.fault for rule in rules}
        for rule in rules:
            if rule.fault is Fault.SLOW:
                self._clock.wait(cleared, rule.delay)
        if Fault.DOWN in faults:
            raise errors.StoreUnavailableError(f"{method}: injected fault")
        if Fault.REQUEST_LOST in faults:
            raise _make_lost_error(method)
        if Fault.LEASE_LAPSED in faults and expire is not None:
            apply = expire
        reply = apply()
        if Fault.REPLY_LOST in faults:
            raise _make_lost_error(method)
        return reply

    def _poll(self, watch, prefix, timeout):
        rules, cleared = self._matching_rules(_WATCH_POLL, [prefix])
        faults = {rule.fault for rule in rules}
        if Fault.DOWN in faults:
            raise errors.StoreUnavailableError("watch: injected fault")
        if Fault.WATCH_SILENT in faults:
            return None
        for rule in rules:
            if rule.fault is Fault.SLOW:
                self._clock.wait(cleared, rule.delay)
        return watch.poll(timeout)


class _FaultyWatch(store.Watch):
    def __init__(self, faulty_store, inner, prefix):
        self._store = faulty_store
        self._inner = inner
        self._prefix = prefix
        self.silent = False
        self._closed = threading.Event()

    def poll(self, timeout):
        if not self.silent:
            events = self._store._poll(self._inner, self._prefix, timeout)
            if events is not None:
                return events
            self.silent = True
        self._store._clock.wait(self._closed, timeout)
        return ()

    def close(self):
        self._closed.set()
        self._inner.close()


def _make_lost_error(method):
    if method in _WRITES:
        return errors.StoreUnclearError(f"{method}: injected fault")
    return errors.StoreUnavailableError(f"{method}: injected fault")
