"""Publishes the load of upstream hosts that crossed a threshold, in few small facts."""

import datetime

import msgspec

from peridothitch.policy import load_estimates
from peridothitch.ports import facts

__all__ = ["LOAD_KIND", "LoadFacts"]

LOAD_KIND = "load"
"""Kind of the facts that carry an upstream host's load by its id."""

_FACTS_PER_SECOND = 4.0
_MAX_AGE_SECONDS = 10.0
_MILLISECOND = datetime.timedelta(milliseconds=1)
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class _Load(msgspec.Struct, frozen=True, array_like=True):
    running: int
    backlog_tokens: int


class LoadFacts:
    """Publishes changes of a host's load band and parses those that others publish.

    Parameters
    ----------
    fact_registry : peridothitch.ports.facts.FactRegistry
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, fact_registry, clock):
        self._fact_registry = fact_registry
        self._clock = clock
        self._band_by_host_id = {}
        self._available_facts = _FACTS_PER_SECOND
        self._refilled_at = clock.monotonic()

    def publish(self, host_id, report, slots):
        """Publish a report if its band is not the one last published for the host."""
        band = load_estimates.band_of(report.running, slots)
        if self._band_by_host_id.get(host_id, load_estimates.LoadBand.NORMAL) is band:
            return
        if not self._may_publish():
            return
        self._band_by_host_id[host_id] = band
        value = msgspec.msgpack.encode(_Load(report.running, report.backlog_tokens))
        sequence = (self._clock.now() - _EPOCH) // _MILLISECOND
        self._fact_registry.publish(facts.Fact(LOAD_KIND, host_id, sequence, value))

    def parse(self, fact):
        """Return the `LoadReport` of a fact and its age in seconds.

        Returns
        -------
        tuple of (LoadReport or None, float)
            None when the fact is too old or can't be decoded.
        """
        age = ((self._clock.now() - _EPOCH) // _MILLISECOND - fact.sequence) / 1000.0
        if not -_MAX_AGE_SECONDS <= age <= _MAX_AGE_SECONDS:
            return None, age
        try:
            load = msgspec.msgpack.decode(fact.value, type=_Load)
        except msgspec.DecodeError:
            return None, age
        return load_estimates.LoadReport(load.running, load.backlog_tokens), max(
            0.0, age
        )

    def _may_publish(self):
        now = self._clock.monotonic()
        passed = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        available_facts = self._available_facts + passed * _FACTS_PER_SECOND
        self._available_facts = min(_FACTS_PER_SECOND, available_facts)
        if self._available_facts < 1.0:
            return False
        self._available_facts -= 1.0
        return True
