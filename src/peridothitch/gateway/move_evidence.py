"""What entry hosts tell each other about the versions of a move."""

import msgspec

from peridothitch.gateway import active_move
from peridothitch.ports import facts

__all__ = ["MoveEvidence"]

_EVIDENCE = "move-evidence"
_CONDEMNED = "condemned"


class MoveEvidence:
    """One host's part in the evidence about all moves.

    Parameters
    ----------
    board : peridothitch.ports.facts.FactRegistry
    host_id : str
    quiet_period : datetime.timedelta
        Between two messages about versions that fare well.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, fact_registry, host_id, quiet_period, clock, metrics):
        self._fact_registry = fact_registry
        self._host_id = host_id
        self._quiet_period = quiet_period
        self._clock = clock
        self._metrics = metrics
        self._told_by_id = {}

    def subscribe(self, callback):
        """Call ``callback()`` when a version is condemned."""
        self._fact_registry.subscribe(_CONDEMNED, lambda fact: callback())

    def publish(self, active):
        """Tell what this host saw of an `ActiveMove`, if there is news."""
        now = self._clock.now()
        move_id = active.record.move_id
        evidence, has_adverse_news = active.report(now)
        told_at, told = self._told_by_id.get(move_id, (None, None))
        if evidence == told:
            return
        if told_at and not has_adverse_news and now - told_at < self._quiet_period:
            return
        self._told_by_id[move_id] = now, evidence
        fact = facts.Fact(
            _EVIDENCE,
            f"{move_id}/{self._host_id}",
            int(now.timestamp() * 1000),
            msgspec.msgpack.encode(evidence),
        )
        name = active.record.name
        if not self._fact_registry.publish(fact):
            self._metrics.count("move_evidence_refused", move=name)
        exposed = evidence.exposed / max(1, evidence.requests)
        self._metrics.set("move_exposed_share", exposed, move=name)

    def evaluate(self, active):
        """Weigh all hosts' evidence; tells them if the version is found worse."""
        condemnation = active.evaluate(self._facts(active), self._clock.now())
        if condemnation is None or active.condemnation is not None:
            return
        value = msgspec.msgpack.encode(condemnation)
        self._fact_registry.publish(
            facts.Fact(_CONDEMNED, active.record.move_id, 1, value)
        )

    def has_all_evidence(self, active):
        """Return whether every host that carries a move was heard."""
        known = self._facts(active)
        move_id = active.record.move_id
        return all(f"{move_id}/{host_id}" in known for host_id in active.canary_hosts)

    def apply_condemnation(self, active):
        """Take over a condemnation; returns whether it is news."""
        fact = self._fact_registry.facts(_CONDEMNED).get(active.record.move_id)
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
            for key, fact in self._fact_registry.facts(_EVIDENCE).items()
            if key.startswith(prefix)
        }
