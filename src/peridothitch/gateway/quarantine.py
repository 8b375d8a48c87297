"""Prevents entry hosts from running requests again that crash upstreams."""

import contextlib
import dataclasses
import datetime
import threading

import msgspec

from peridothitch import errors
from peridothitch.policy import quarantine
from peridothitch.ports import facts

__all__ = ["CrashGuard", "is_crash_code"]

_CRASH_KIND = "crash"
_QUARANTINE_KIND = "quarantine"
_CRASH_CODES = frozenset({errors.Code.OUTCOME_UNKNOWN, errors.Code.STREAM_INTERRUPTED})
_QUARANTINE_DURATION = datetime.timedelta(minutes=10)
_CRASH_OUTCOME_DELAY = datetime.timedelta(seconds=3)


class _QuarantineFact(msgspec.Struct, frozen=True):
    until: datetime.datetime


class _CrashFact(msgspec.Struct, frozen=True):
    digest: str
    host_id: str


class CrashGuard:
    """Counts crashes, quarantines requests that cause them, delays crash outcomes.

    Parameters
    ----------
    fact_registry : peridothitch.ports.facts.FactRegistry
    immediate_observers : sequence of peridothitch.ports.outcomes.AttemptObserver
        Receive all outcomes at once.
    observers : sequence of peridothitch.ports.outcomes.AttemptObserver
        Receive outcomes of crashes once it is known whether a request is to blame.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, fact_registry, immediate_observers, observers, clock, metrics):
        self._fact_registry = fact_registry
        self._immediate_observers = tuple(immediate_observers)
        self._observers = tuple(observers)
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._crash_history = quarantine.CrashHistory()
        self._suspect_count_by_host_id = {}
        self._delayed_outcomes = []
        fact_registry.subscribe(_CRASH_KIND, self._record_crash)

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
        fact = self._fact_registry.facts(_QUARANTINE_KIND).get(digest)
        if fact is None:
            return False
        found = msgspec.msgpack.decode(fact.value, type=_QuarantineFact)
        return self._clock.now() < found.until

    def is_suspect(self, digest):
        """Return whether an upstream crashed while it ran a request."""
        with self._lock:
            return self._crash_history.crash_count(digest) > 0

    def crash_count(self, digest):
        """Return how many upstreams crashed while they ran a request."""
        with self._lock:
            return self._crash_history.crash_count(digest)

    def suspect_host_ids(self):
        """Return the ids of the hosts that run a suspect for this entry host."""
        with self._lock:
            return frozenset(self._suspect_count_by_host_id)

    @contextlib.contextmanager
    def track(self, digest, host_id):
        """Keep other suspects away from a host while it runs a suspect."""
        if not self.is_suspect(digest):
            yield
            return
        with self._lock:
            count = self._suspect_count_by_host_id.get(host_id, 0)
            self._suspect_count_by_host_id[host_id] = count + 1
        try:
            yield
        finally:
            self._end_tracking(host_id)

    def _end_tracking(self, host_id):
        with self._lock:
            self._suspect_count_by_host_id[host_id] -= 1
            if not self._suspect_count_by_host_id[host_id]:
                del self._suspect_count_by_host_id[host_id]

    def publish_crash(self, digest, host_id):
        """Inform all entry hosts that an upstream crashed while it ran a request."""
        value = msgspec.msgpack.encode(_CrashFact(digest, host_id))
        key = f"{digest}/{host_id}"
        self._fact_registry.publish(facts.Fact(_CRASH_KIND, key, 1, value))

    def _record_crash(self, fact):
        crash = msgspec.msgpack.decode(fact.value, type=_CrashFact)
        with self._lock:
            self._crash_history = self._crash_history.add(crash.digest, crash.host_id)

    def decide_quarantine(self, digest):
        """Quarantine a request if it is to blame; returns whether it is."""
        with self._lock:
            is_to_blame = self._crash_history.is_crash_cause(digest)
        if is_to_blame and not self.is_quarantined(digest):
            self._metrics.count("quarantines")
            until = self._clock.now() + _QUARANTINE_DURATION
            value = msgspec.msgpack.encode(_QuarantineFact(until))
            sequence = int(until.timestamp())
            self._fact_registry.publish(
                facts.Fact(_QUARANTINE_KIND, digest, sequence, value)
            )
        return is_to_blame

    def report(self, digest, outcome, crashed):
        """Pass an outcome to the observers, after a delay if it is that of a crash."""
        self._notify(self._immediate_observers, outcome)
        if crashed:
            with self._lock:
                self._delayed_outcomes.append(
                    (self._clock.monotonic(), digest, outcome)
                )
            return
        self._notify(self._observers, outcome)

    def sweep(self):
        """Pass the outcomes whose delay is over to the observers."""
        latest_due = self._clock.monotonic() - _CRASH_OUTCOME_DELAY
        with self._lock:
            due = [item for item in self._delayed_outcomes if item[0] <= latest_due]
            self._delayed_outcomes = [
                item for item in self._delayed_outcomes if item[0] > latest_due
            ]
        for _, digest, outcome in due:
            caused_by_request = self._is_excused(digest, outcome.host_id)
            final_outcome = dataclasses.replace(
                outcome, caused_by_request=caused_by_request
            )
            self._notify(self._observers, final_outcome)

    def _is_excused(self, digest, host_id):
        quarantined = set(self._fact_registry.facts(_QUARANTINE_KIND))
        if digest in quarantined:
            return True
        with self._lock:
            hosts_by_digest = self._crash_history.hosts_by_digest
        return any(host_id in hosts_by_digest.get(name, ()) for name in quarantined)

    def _notify(self, observers, outcome):
        for observer in observers:
            try:
                observer.observe(outcome)
            except Exception as error:
                self._metrics.count("observer_failures", kind=type(error).__name__)


def is_crash_code(code):
    """Return whether a failure may be the crash of the upstream."""
    return code in _CRASH_CODES
