"""Opens, proves and closes moves in the store; any host may do it at any time."""

import datetime

from peridothitch import errors
from peridothitch.policy import moves

__all__ = ["MoveDecider"]

_MAX_DECISION_AGE = datetime.timedelta(seconds=1)


class MoveDecider:
    """Makes one pass over the document's moves.

    Parameters
    ----------
    record_store : peridothitch.coordination.move_store.MoveStore
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, record_store, clock):
        self._record_store = record_store
        self._clock = clock

    def run_once(self, document, evidence_summary_by_id, fencing_number):
        """Decide about every move and write what was decided.

        Parameters
        ----------
        document : peridothitch.policy.document.Document
        evidence_summary_by_id : dict of str to EvidenceSummary
            Evidence on the open moves, of class
            `peridothitch.policy.moves.EvidenceSummary`; no decision is made on those
            missing.
        fencing_number : int

        Returns
        -------
        peridothitch.coordination.move_store.MoveState
            Content of the store afterwards.

        Raises
        ------
        peridothitch.errors.StoreError
            The store could not be read or written; nothing more was decided.
        """
        started = self._clock.monotonic()
        state = self._record_store.load()
        if self._is_stale(started):
            return state
        decided = [
            self._decide(
                document, state, stored, evidence_summary_by_id, fencing_number
            )
            for stored in state.move_by_id.values()
        ]
        self._end_overrides(document, state)
        if any(decided):
            state = self._record_store.load()
        if self._is_stale(started):
            return state
        opened = self._open_next(document, state, fencing_number)
        return self._record_store.load() if opened else state

    def _is_stale(self, started):
        return self._clock.monotonic() - started > _MAX_DECISION_AGE

    def _decide(self, document, state, stored, evidence_summary_by_id, fencing_number):
        record = stored.record
        if record.outcome is not None:
            return False
        move = moves.find_move(record, document)
        if move is not None:
            in_force = _find_version_in_force(document, state, record.service)
            move = move if in_force == record.from_version else None
        evidence_summary = evidence_summary_by_id.get(record.move_id)
        if evidence_summary is None:
            if move is not None:
                return False
            evidence_summary = moves.EvidenceSummary()
        now = self._clock.now()
        decision = moves.decide(record, move, evidence_summary, now)
        if decision is None:
            return False
        if isinstance(decision, moves.Prove):
            self._record_store.record_proof(stored, decision.at, fencing_number)
            return True
        self._close(document, stored, decision, fencing_number)
        return True

    def _close(self, document, stored, decision, fencing_number):
        service = document.service_by_name.get(stored.record.service)
        current = service.current if service is not None else ""
        now = self._clock.now()
        self._record_store.record_verdict(
            stored, decision, now, fencing_number, current
        )

    def _open_next(self, document, state, fencing_number):
        now = self._clock.now()
        records = [stored.record for stored in state.move_by_id.values()]
        closed_ids = {r.move_id for r in records if r.outcome is not None}
        services_with_open_move = {r.service for r in records if r.outcome is None}
        opened = False
        for name, move in sorted(document.move_by_name.items()):
            move_id = moves.make_move_id(name, move)
            if move_id in state.move_by_id or now < min(move.start, move.finish_by):
                continue
            is_first = moves.is_next_for_service(name, document, closed_ids)
            is_first = is_first and move.service not in services_with_open_move
            if not is_first and now < move.finish_by:
                continue
            if is_first:
                services_with_open_move.add(move.service)
            opened = True
            self._open(document, state, name, is_first, fencing_number)
        return opened

    def _open(self, document, state, name, is_first, fencing_number):
        move = document.move_by_name[name]
        from_version = _find_version_in_force(document, state, move.service)
        record = moves.open_record(name, move, from_version, self._clock.now())
        stored = self._record_store.create(record)
        if not is_first:
            queued = moves.Close(
                moves.Outcome.UNDONE,
                errors.Code.MOVE_QUEUED_TOO_LONG,
                "another move of the service was under way",
            )
            self._close(document, stored, queued, fencing_number)
        elif move.to_version == from_version:
            in_force = moves.Close(
                moves.Outcome.DONE, errors.Code.MOVE_ALREADY_IN_FORCE
            )
            self._close(document, stored, in_force, fencing_number)

    def _end_overrides(self, document, state):
        for name, override in state.override_by_service.items():
            service = document.service_by_name.get(name)
            if service is None or service.current != override.from_current:
                self._record_store.end_override(name, override)


def _find_version_in_force(document, state, service):
    override = state.override_by_service.get(service)
    pair = (override.from_current, override.version) if override else None
    return moves.version_in_force(document.service_by_name[service], pair)
