"""Exchange of evidence about the versions of a move between entry hosts."""

import logbook
import msgspec

from peridothitch.gateway import active_move
from peridothitch.ports import facts

__all__ = ["MoveEvidence"]

_EVIDENCE_KIND = "move-evidence"
_CONDEMNED_KIND = "condemned"
_log = logbook.Logger(__name__)


class MoveEvidence:
    """Publishes one host's evidence about moves and evaluates that of all hosts.

    Parameters
    ----------
    fact_registry : peridothitch.ports.facts.FactRegistry
    host_id : str
    quiet_period : datetime.timedelta
        Shortest time between two messages about a version without new adverse
        events.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, fact_registry, host_id, quiet_period, clock, metrics):
        self._fact_registry = fact_registry
        self._host_id = host_id
        self._quiet_period = quiet_period
        self._clock = clock
        self._metrics = metrics
        self._published_by_id = {}

    def subscribe(self, callback):
        """Call ``callback()`` when a version is condemned."""
        self._fact_registry.subscribe(_CONDEMNED_KIND, lambda fact: callback())

    def publish(self, active):
        """Publish this host's evidence about an `ActiveMove` if it changed."""
        now = self._clock.now()
        move_id = active.record.move_id
        evidence, has_new_adverse_events = active.report(now)
        published_at, published = self._published_by_id.get(move_id, (None, None))
        if evidence == published:
            return
        if (
            published_at
            and not has_new_adverse_events
            and now - published_at < self._quiet_period
        ):
            return
        self._published_by_id[move_id] = now, evidence
        fact = facts.Fact(
            _EVIDENCE_KIND,
            f"{move_id}/{self._host_id}",
            int(now.timestamp() * 1000),
            msgspec.msgpack.encode(evidence),
        )
        name = active.record.name
        if not self._fact_registry.publish(fact):
            self._metrics.count("move_evidence_refused", move=name)
        exposed = evidence.exposed / max(1, evidence.requests)
        self._metrics.set("move_exposed_share", exposed, move=name)
        _log.info(
            "move evidence published",
            move=name,
            requests=evidence.requests,
            exposed=evidence.exposed,
            answers=sum(counts.attempts for counts in evidence.new.values()),
            failed=sum(counts.failed for counts in evidence.new.values()),
            slow=sum(counts.slow_firsts for counts in evidence.new.values()),
            ratio=round(active.evidence_ratio, 3),
        )

    def evaluate(self, active):
        """Evaluate all hosts' evidence; publishes a condemnation if one is found."""
        condemnation = active.evaluate(self._facts(active), self._clock.now())
        if condemnation is None or active.condemnation is not None:
            return
        value = msgspec.msgpack.encode(condemnation)
        self._fact_registry.publish(
            facts.Fact(_CONDEMNED_KIND, active.record.move_id, 1, value)
        )

    def has_all_evidence(self, active):
        """Return whether the evidence of every canary host has arrived."""
        fact_by_key = self._facts(active)
        move_id = active.record.move_id
        return all(
            f"{move_id}/{host_id}" in fact_by_key for host_id in active.canary_hosts
        )

    def apply_condemnation(self, active):
        """Apply a published condemnation; returns whether it is new."""
        fact = self._fact_registry.facts(_CONDEMNED_KIND).get(active.record.move_id)
        if fact is None or active.condemnation is not None:
            return False
        active.condemnation = msgspec.msgpack.decode(
            fact.value, type=active_move.Condemnation
        )
        self._metrics.count("versions_condemned", move=active.record.name)
        return True

    def _facts(self, active):
        prefix = f"{active.record.move_id}/"
        return {
            key: fact
            for key, fact in self._fact_registry.facts(_EVIDENCE_KIND).items()
            if key.startswith(prefix)
        }
