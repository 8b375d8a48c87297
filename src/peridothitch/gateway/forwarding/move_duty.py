"""Starts the moves that operators order, decides on them and publishes their state."""

import datetime

import logbook
import msgspec

from peridothitch import errors
from peridothitch.gateway.forwarding import move_records
from peridothitch.policy import moves
from peridothitch.ports import record_codec

__all__ = ["MoveDuty"]

_PERIOD = datetime.timedelta(milliseconds=500)
"""Between two checks; a verdict has to be written a second before a move is due."""

_PUBLISH_MARGIN = datetime.timedelta(seconds=1.5)
"""Time before a move is due at which its end is published: three checks."""

_ORDER_DELAY = datetime.timedelta(seconds=1)
"""Orders arrive up to two exchanges between peers after they were written."""

_log = logbook.Logger(__name__)


class MoveDuty:
    """Carries out the moves while this host holds the duties.

    Hosts of the old version are stopped once a move is published as done. It is
    therefore published only when requests sent to them have had time to end.

    Parameters
    ----------
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    records : peridothitch.gateway.forwarding.move_records.MoveRecords
    version_moves : peridothitch.gateway.forwarding.version_moves.VersionMoves
    exposed_share : float
        Largest share of requests that an unproved version may get.
    clock : peridothitch.ports.clock.Clock
        Provides the time that all hosts agree on.
    host_id : str
    """

    def __init__(
        self, catalogue, records, version_moves, exposed_share, clock, host_id
    ):
        self._catalogue = catalogue
        self._records = records
        self._moves = version_moves
        self._exposed_share = exposed_share
        self._clock = clock
        self._host_id = host_id
        self._next_check = clock.monotonic()

    def step(self, permit):
        """Check each ordered move if a check is due."""
        now = self._clock.monotonic()
        if now < self._next_check:
            return
        self._next_check = now + _PERIOD
        for order in tuple(self._catalogue.move_by_service.values()):
            changed = self._next_state(order, permit)
            if changed is not None and self._records.write(order, changed):
                self._log(changed)

    def _next_state(self, order, permit):
        """Return the `PersistedMove` to be written now, None if nothing changes."""
        persisted = self._records.find(order)
        if persisted is None:
            return self._start(order, permit)
        if persisted.record.outcome is None:
            return self._decide(order, persisted, permit)
        if persisted.told is record_codec.MoveState.RUNNING and self._may_publish(
            persisted
        ):
            return msgspec.structs.replace(persisted, told=record_codec.MoveState.DONE)
        return None

    def _start(self, order, permit):
        start = self._moves.first_seen_at(order)
        versions = [
            host.version
            for host in self._catalogue.hosts().values()
            if host.service == order.service and host.version != order.version
        ]
        record = moves.MoveRecord(
            move_id=f"{order.service}/{order.version}/{order.revision}",
            name=order.service,
            service=order.service,
            # The version that most hosts run; an earlier move may have left others.
            from_version=max(versions, key=versions.count, default=""),
            to_version=order.version,
            start=start,
            finish_by=start + order.duration - _ORDER_DELAY,
            max_exposed_share=self._exposed_share,
            fencing_number=permit.fencing_number,
        )
        if not versions:
            record = msgspec.structs.replace(
                record,
                outcome=moves.Outcome.DONE,
                reason=errors.Code.MOVE_ALREADY_IN_FORCE,
                detail="no host runs another version",
                decided_at=self._clock.now(),
            )
        return move_records.PersistedMove(
            order_revision=order.revision,
            told=record_codec.MoveState.RUNNING,
            record=record,
        )

    def _decide(self, order, persisted, permit):
        evidence_summary = self._moves.evidence_summary(order.service)
        now = self._clock.now()
        is_due = now >= persisted.record.finish_by - _PUBLISH_MARGIN
        if evidence_summary is None and not is_due:
            return None
        decision = moves.decide(
            persisted.record,
            order,
            evidence_summary or moves.EvidenceSummary(),
            max(now, persisted.record.finish_by) if is_due else now,
        )
        if decision is None:
            return None
        changes = {
            "decided_by": self._host_id,
            "fencing_number": permit.fencing_number,
        }
        if isinstance(decision, moves.Prove):
            changes["proved_at"] = now
            record = msgspec.structs.replace(persisted.record, **changes)
            return msgspec.structs.replace(persisted, record=record)
        changes |= {
            "outcome": decision.outcome,
            "reason": decision.reason,
            "detail": decision.detail,
            "decided_at": now,
        }
        told = persisted.told
        if decision.outcome is moves.Outcome.UNDONE:
            told = record_codec.MoveState.ROLLED_BACK
        record = msgspec.structs.replace(persisted.record, **changes)
        return msgspec.structs.replace(persisted, told=told, record=record)

    def _may_publish(self, persisted):
        record, now = persisted.record, self._clock.now()
        if now >= record.finish_by - _PUBLISH_MARGIN:
            return True
        return now >= record.decided_at + self._longest_timeout(record.service)

    def _longest_timeout(self, service):
        timeouts = [route.timeout for route in self._moves.routes(service)]
        return max(timeouts, default=datetime.timedelta(0))

    def _log(self, persisted):
        record = persisted.record
        _log.info(
            "move record written",
            service=record.service,
            to_version=record.to_version,
            told=persisted.told.value,
            proved=record.proved_at is not None,
            outcome=record.outcome.value if record.outcome else None,
            reason=record.detail,
            fencing_number=record.fencing_number,
        )
