"""Keeps requests that crash upstreams from being run again by any entry host."""

import contextlib
import dataclasses
import datetime
import threading

import msgspec

from peridothitch import errors
from peridothitch.policy import quarantine
from peridothitch.ports import facts

__all__ = ["CrashGuard", "is_crash_code"]

_CRASH = "crash"
_QUARANTINE = "quarantine"
_CRASH_CODES = frozenset({errors.Code.OUTCOME_UNKNOWN, errors.Code.STREAM_INTERRUPTED})
_DURATION = datetime.timedelta(minutes=10)
_HELD = datetime.timedelta(seconds=3)


class _QuarantineFact(msgspec.Struct, frozen=True):
    until: datetime.datetime


class _CrashFact(msgspec.Struct, frozen=True):
    digest: str
    host_id: str


class CrashGuard:
    """Counts crashes, tells suspects from innocents and holds crash outcomes back.

    Parameters
    ----------
    board : peridothitch.ports.facts.FactRegistry
    settlers : sequence of peridothitch.ports.outcomes.AttemptObserver
        Get all outcomes at once.
    observers : sequence of peridothitch.ports.outcomes.AttemptObserver
        Get outcomes of crashes once it is known whether a request is to blame.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, fact_registry, immediate_observers, observers, clock, metrics):
        self._fact_registry = fact_registry
        self._settlers = tuple(immediate_observers)
        self._observers = tuple(observers)
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._ledger = quarantine.CrashHistory()
        self._suspect_hosts = {}
        self._held = []
        fact_registry.subscribe(_CRASH, self._learn)

    def check(self, digest):
        """Refuse a request that is in quarantine.

        Raises
        ------
        peridothitch.errors.RequestError
        """
        if not self.is_quarantined(digest):
            return
        self._metrics.count("quarantined_requests")
        raise errors.RequestError(
            errors.Code.REQUEST_QUARANTINED, "the request crashed upstreams"
        )

    def is_quarantined(self, digest):
        """Return whether a request is in quarantine."""
        fact = self._fact_registry.facts(_QUARANTINE).get(digest)
        if fact is None:
            return False
        found = msgspec.msgpack.decode(fact.value, type=_QuarantineFact)
        return self._clock.now() < found.until

    def is_suspect(self, digest):
        """Return whether an upstream crashed while it ran a request."""
        with self._lock:
            return self._ledger.crash_count(digest) > 0

    def crash_count(self, digest):
        """Return how many upstreams crashed while they ran a request."""
        with self._lock:
            return self._ledger.crash_count(digest)

    def suspect_host_ids(self):
        """Return the hosts that run a suspect for this entry host."""
        with self._lock:
            return frozenset(self._suspect_hosts)

    @contextlib.contextmanager
    def track(self, digest, host_id):
        """Keep other suspects away from a host while it runs a suspect."""
        if not self.is_suspect(digest):
            yield
            return
        with self._lock:
            count = self._suspect_hosts.get(host_id, 0)
            self._suspect_hosts[host_id] = count + 1
        try:
            yield
        finally:
            self._leave(host_id)

    def _leave(self, host_id):
        with self._lock:
            self._suspect_hosts[host_id] -= 1
            if not self._suspect_hosts[host_id]:
                del self._suspect_hosts[host_id]

    def publish_crash(self, digest, host_id):
        """Tell all entry hosts that an upstream crashed while it ran a request."""
        value = msgspec.msgpack.encode(_CrashFact(digest, host_id))
        key = f"{digest}/{host_id}"
        self._fact_registry.publish(facts.Fact(_CRASH, key, 1, value))

    def _learn(self, fact):
        crash = msgspec.msgpack.decode(fact.value, type=_CrashFact)
        with self._lock:
            self._ledger = self._ledger.add(crash.digest, crash.host_id)

    def decide_quarantine(self, digest):
        """Put a request in quarantine if it is to blame; returns whether it is."""
        with self._lock:
            guilty = self._ledger.is_crash_cause(digest)
        if guilty and not self.is_quarantined(digest):
            self._metrics.count("quarantines")
            until = self._clock.now() + _DURATION
            value = msgspec.msgpack.encode(_QuarantineFact(until))
            sequence = int(until.timestamp())
            self._fact_registry.publish(
                facts.Fact(_QUARANTINE, digest, sequence, value)
            )
        return guilty

    def report(self, digest, outcome, crashed):
        """Pass an outcome on to the observers, later if a crash is to be judged."""
        self._notify(self._settlers, outcome)
        if crashed:
            with self._lock:
                self._held.append((self._clock.monotonic(), digest, outcome))
            return
        self._notify(self._observers, outcome)

    def sweep(self):
        """Pass on the outcomes that were held long enough."""
        latest = self._clock.monotonic() - _HELD
        with self._lock:
            due = [item for item in self._held if item[0] <= latest]
            self._held = [item for item in self._held if item[0] > latest]
        for _, digest, outcome in due:
            caused_by_request = self._is_excused(digest, outcome.host_id)
            judged = dataclasses.replace(outcome, caused_by_request=caused_by_request)
            self._notify(self._observers, judged)

    def _is_excused(self, digest, host_id):
        guilty = set(self._fact_registry.facts(_QUARANTINE))
        if digest in guilty:
            return True
        with self._lock:
            hosts_by_digest = self._ledger.hosts_by_digest
        return any(host_id in hosts_by_digest.get(name, ()) for name in guilty)

    def _notify(self, observers, outcome):
        for observer in observers:
            try:
                observer.observe(outcome)
            except Exception as error:
                self._metrics.count("observer_failures", kind=type(error).__name__)


def is_crash_code(code):
    """Return whether a failure may be the crash of the upstream."""
    return code in _CRASH_CODES
