"""State machine of a move from one version to another.

Evidence is collected for most of the move's time, so that late faults show while few
requests are exposed; then the traffic moves over in steps that are still watched.
"""

import datetime
import enum
import hashlib

import msgspec

from peridothitch import errors
from peridothitch.policy import document as documents

__all__ = [
    "Close",
    "MoveRecord",
    "Outcome",
    "Prove",
    "Stage",
    "EvidenceSummary",
    "decide",
    "find_move",
    "is_next_for_service",
    "make_move_id",
    "is_ramp_over",
    "open_record",
    "ramp_share",
    "stage",
    "version_in_force",
]

_LOAD_WINDOWS = ((0.40, 0.50), (0.70, 0.80))
_RAMP_START = 0.80
_LAST_PATIENT_START = 0.88
_LAST_RAMP_START = 0.98
_RAMP_SHARES = (0.1, 0.3, 0.7)
_RAMP_STEP_OF_WINDOW = 0.025
_RAMP_PART_OF_REST = 0.8
_HOLD_SUSPICION = 0.02
_LATEST_COLLECTION = 0.5
_ID_LENGTH = 16


class Outcome(enum.Enum):
    """How a move ended."""

    DONE = "done"
    UNDONE = "undone"


class Stage(enum.Enum):
    """What a move does now."""

    WAITING = "waiting"
    SPREAD = "spread"
    LOADED = "loaded"
    RAMP = "ramp"
    HELD = "held"
    CLOSED = "closed"


class MoveRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A move as the store keeps it.

    Attributes
    ----------
    move_id : str
        Identifies the move and its content; an edited move is another move.
    name : str
        Name in the document.
    service, from_version, to_version : str
    start, finish_by : datetime.datetime
    max_exposed_share : float
    proved_at : datetime.datetime or None
        When the new version was found good enough to take more traffic.
    outcome : Outcome or None
        None while the move is under way.
    reason : peridothitch.errors.Code or None
        Why the move ended so.
    detail : str
        What was seen.
    decided_at : datetime.datetime or None
    decided_by : str
        Entry host that decided.
    fencing_number : int
        Of the lease under which the last change was made.
    """

    move_id: str
    name: str
    service: str
    from_version: str
    to_version: str
    start: datetime.datetime
    finish_by: datetime.datetime
    max_exposed_share: float
    proved_at: datetime.datetime | None = None
    outcome: Outcome | None = None
    reason: errors.Code | None = None
    detail: str = ""
    decided_at: datetime.datetime | None = None
    decided_by: str = ""
    fencing_number: int = 0

    @property
    def window(self):
        """Time from start to `finish_by`."""
        return max(self.finish_by - self.start, datetime.timedelta(seconds=1))

    def elapsed(self, now):
        """Return the share of the window that has passed, 0 at least."""
        return max(0.0, (now - self.start) / self.window)


class EvidenceSummary(msgspec.Struct, frozen=True, kw_only=True):
    """What a decider knows besides the record.

    Attributes
    ----------
    condemned : str
        What speaks against the version, empty when nothing does.
    suspicion : float
        Largest evidence as a share of the bound.
    undersampled_routes : tuple of str
        Routes that have traffic and too few attempts of the new version.
    new_host_count : int
        Live hosts of the new version.
    collected_since : float
        Since when evidence was collected, in seconds since the Unix epoch.
    """

    condemned: str = ""
    evidence_ratio: float = 0.0
    undersampled_routes: tuple[str, ...] = ()
    new_host_count: int = 1
    collected_since: float = 0.0


class Prove(msgspec.Struct, frozen=True):
    """Decision to let the new version take more traffic."""

    at: datetime.datetime


class Close(msgspec.Struct, frozen=True):
    """Decision to end the move."""

    outcome: Outcome
    reason: errors.Code
    detail: str = ""


def make_move_id(name, move):
    """Return the id of a move: equal for equal names and contents."""
    parts = (
        name,
        move.service,
        move.to_version,
        move.start.astimezone(datetime.UTC).isoformat(),
        move.finish_by.astimezone(datetime.UTC).isoformat(),
        repr(move.max_exposed_share),
    )
    return hashlib.sha256("\n".join(parts).encode()).hexdigest()[:_ID_LENGTH]


def is_next_for_service(name, document, closed_ids):
    """Return whether no earlier unfinished move of the same service goes first.

    Parameters
    ----------
    name : str
        The move's name in the document.
    document : peridothitch.policy.document.Document
    closed_ids : collection of str
        Ids of the moves that have ended.
    """
    move = document.move_by_name[name]
    return not any(
        other.service == move.service
        and (other.start, other_name) < (move.start, name)
        and make_move_id(other_name, other) not in closed_ids
        for other_name, other in document.move_by_name.items()
    )


def stage(record, now):
    """Return the `Stage` of a move that was not condemned."""
    if record.outcome is not None:
        return Stage.CLOSED
    if record.proved_at is not None:
        return Stage.RAMP
    elapsed = record.elapsed(now)
    if elapsed >= 1.0:
        return Stage.HELD
    if now < record.start:
        return Stage.WAITING
    if any(first <= elapsed < last for first, last in _LOAD_WINDOWS):
        return Stage.LOADED
    return Stage.SPREAD


def _ramp_length(record):
    planned = len(_RAMP_SHARES) * _RAMP_STEP_OF_WINDOW * record.window
    return min(planned, _RAMP_PART_OF_REST * (record.finish_by - record.proved_at))


def is_ramp_over(record, now):
    """Return whether a proved version has taken all steps of the ramp."""
    return now - record.proved_at >= _ramp_length(record)


def ramp_share(record, now):
    """Return the share of requests that a proved version takes.

    The old version keeps a part for comparison until the move is due.
    """
    if now >= record.finish_by:
        return 1.0
    length = _ramp_length(record)
    if now - record.proved_at >= length:
        return _RAMP_SHARES[-1]
    step = int(len(_RAMP_SHARES) * ((now - record.proved_at) / length))
    return _RAMP_SHARES[max(0, step)]


def decide(record, move, evidence_summary, now):
    """Return what the deciding host does next.

    Parameters
    ----------
    record : MoveRecord
        Open record of the move.
    move : peridothitch.policy.document.Move or None
        The move as the document has it now, None when it was removed or changed.
    weighing : Weighing
    now : datetime.datetime

    Returns
    -------
    Prove, Close or None
    """
    if record.outcome is not None:
        return None
    if evidence_summary.condemned:
        return _undone(errors.Code.MOVE_VERSION_FAULTY, evidence_summary.condemned)
    if move is None:
        return _undone(errors.Code.MOVE_WITHDRAWN, "the document was edited")
    if record.proved_at is not None:
        return _decide_ramp(record, evidence_summary, now)
    return _decide_unproved(record, evidence_summary, now)


def _decide_ramp(record, evidence_summary, now):
    if not is_ramp_over(record, now):
        return None
    if evidence_summary.evidence_ratio < _HOLD_SUSPICION:
        return Close(Outcome.DONE, errors.Code.MOVE_FINISHED)
    if now < record.finish_by:
        return None
    return _undone(errors.Code.MOVE_NOT_PROVED, "the evidence was not clear")


def _decide_unproved(record, evidence_summary, now):
    elapsed = record.elapsed(now)
    if elapsed >= 1.0:
        return _undone(errors.Code.MOVE_NOT_PROVED, "the time was over")
    if elapsed < _RAMP_START or elapsed > _LAST_RAMP_START:
        return None
    if (
        not evidence_summary.new_host_count
        or evidence_summary.evidence_ratio >= _HOLD_SUSPICION
    ):
        return None
    if evidence_summary.collected_since > _latest_collection(record).timestamp():
        return None
    if evidence_summary.undersampled_routes and elapsed < _LAST_PATIENT_START:
        return None
    return Prove(now)


def _latest_collection(record):
    return record.start + _LATEST_COLLECTION * record.window


def _undone(reason, detail):
    return Close(Outcome.UNDONE, reason, detail)


def open_record(name, move, from_version, now):
    """Return the record of a move that begins.

    Parameters
    ----------
    name : str
    move : peridothitch.policy.document.Move
    from_version : str
        Version in force.
    now : datetime.datetime
        The move starts then if it had to wait.
    """
    return MoveRecord(
        move_id=make_move_id(name, move),
        name=name,
        service=move.service,
        from_version=from_version,
        to_version=move.to_version,
        start=min(max(move.start, now), move.finish_by),
        finish_by=move.finish_by,
        max_exposed_share=move.max_exposed_share,
    )


def version_in_force(service, override):
    """Return the version that serves when no move is under way.

    Parameters
    ----------
    service : peridothitch.policy.document.Service
    override : tuple of (str, str) or None
        The `current` that a finished move started from, and the version that it moved
        to. It holds until the operators edit `current`.
    """
    if override is None or override[0] != service.current:
        return service.current
    if override[1] not in service.versions:
        return service.current
    return override[1]


def find_move(record, document):
    """Return the document's move that a record is about, None when it was edited."""
    move = document.move_by_name.get(record.name)
    if not isinstance(move, documents.Move):
        return None
    return move if make_move_id(record.name, move) == record.move_id else None
