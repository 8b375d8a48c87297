"""Begins the moves that operators order, decides about them and tells operators."""

import datetime

import logbook
import msgspec

from peridothitch import errors
from peridothitch.gateway.forwarding import move_records
from peridothitch.policy import moves
from peridothitch.ports import record_codec

__all__ = ["MoveDuty"]

_PERIOD = datetime.timedelta(milliseconds=500)
"""Between two looks; a verdict has to be there a second before a move is due."""

_ANNOUNCE_MARGIN = datetime.timedelta(seconds=1.5)
"""Operators learn of a move's end that long before it is due: three looks."""

_NEWS_MARGIN = datetime.timedelta(seconds=1)
"""Orders are seen up to two exchanges between peers after they were written."""

_log = logbook.Logger(__name__)


class MoveDuty:
    """Carries the moves through while this host holds the duties.

    Hosts of the old version are stopped once operators have been told that a move is
    done. So that is told only when requests that were sent there have had time to end.

    Parameters
    ----------
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    records : peridothitch.gateway.forwarding.move_records.MoveRecords
    version_moves : peridothitch.gateway.forwarding.version_moves.VersionMoves
    exposed_share : float
        Largest share of requests that an unproved version may get.
    clock : peridothitch.ports.clock.Clock
        With the time that all hosts agree on.
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
        self._next_look = clock.monotonic()

    def step(self, permit):
        """Do what is due."""
        now = self._clock.monotonic()
        if now < self._next_look:
            return
        self._next_look = now + _PERIOD
        for order in tuple(self._catalogue.move_by_service.values()):
            changed = self._next_state(order, permit)
            if changed is not None and self._records.write(order, changed):
                self._log(changed)

    def _next_state(self, order, permit):
        """Return the `PersistedMove` that is to be written now, None for no change."""
        kept = self._records.find(order)
        if kept is None:
            return self._open(order, permit)
        if kept.record.outcome is None:
            return self._decide(order, kept, permit)
        if kept.told is record_codec.MoveState.RUNNING and self._may_announce(kept):
            return msgspec.structs.replace(kept, told=record_codec.MoveState.DONE)
        return None

    def _open(self, order, permit):
        start = self._moves.first_seen_at(order)
        versions = [
            host.version
            for host in self._catalogue.hosts().values()
            if host.service == order.service and host.version != order.version
        ]
        record = moves.MoveRecord(
            move_id=f"{order.service}/{order.revision}",
            name=order.service,
            service=order.service,
            # The one that most hosts run; there is one but for an earlier move's rest.
            from_version=max(versions, key=versions.count, default=""),
            to_version=order.version,
            start=start,
            finish_by=start + order.duration - _NEWS_MARGIN,
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

    def _decide(self, order, kept, permit):
        evidence_summary = self._moves.evidence_summary(order.service)
        now = self._clock.now()
        is_due = now >= kept.record.finish_by - _ANNOUNCE_MARGIN
        if evidence_summary is None and not is_due:
            return None
        decision = moves.decide(
            kept.record,
            order,
            evidence_summary or moves.EvidenceSummary(),
            max(now, kept.record.finish_by) if is_due else now,
        )
        if decision is None:
            return None
        change = {
            "decided_by": self._host_id,
            "fencing_number": permit.fencing_number,
        }
        if isinstance(decision, moves.Prove):
            change["proved_at"] = now
            record = msgspec.structs.replace(kept.record, **change)
            return msgspec.structs.replace(kept, record=record)
        change |= {
            "outcome": decision.outcome,
            "reason": decision.reason,
            "detail": decision.detail,
            "decided_at": now,
        }
        told = kept.told
        if decision.outcome is moves.Outcome.UNDONE:
            told = record_codec.MoveState.ROLLED_BACK
        record = msgspec.structs.replace(kept.record, **change)
        return msgspec.structs.replace(kept, told=told, record=record)

    def _may_announce(self, kept):
        record, now = kept.record, self._clock.now()
        if now >= record.finish_by - _ANNOUNCE_MARGIN:
            return True
        return now >= record.decided_at + self._longest_request(record.service)

    def _longest_request(self, service):
        timeouts = [route.timeout for route in self._moves.routes(service)]
        return max(timeouts, default=datetime.timedelta(0))

    def _log(self, kept):
        record = kept.record
        _log.info(
            "move record written",
            service=record.service,
            to_version=record.to_version,
            told=kept.told.value,
            proved=record.proved_at is not None,
            outcome=record.outcome.value if record.outcome else None,
            reason=record.detail,
            fencing_number=record.fencing_number,
        )
