"""State machine of a move from one version to another.

Evidence is collected for most of the move's window, so that late faults appear while
few requests are exposed; then the traffic is shifted in steps that are still monitored.
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

_LOADED_STAGE_SHARES = ((0.40, 0.50), (0.70, 0.80))
_FIRST_RAMP_START_SHARE = 0.80
_SAMPLE_WAIT_END_SHARE = 0.88
_LAST_RAMP_START_SHARE = 0.98
_RAMP_SHARES = (0.1, 0.3, 0.7)
_RAMP_STEP_WINDOW_SHARE = 0.025
_RAMP_REMAINING_SHARE = 0.8
_HOLD_EVIDENCE_RATIO = 0.02
_MAX_OLD_LATE_SHARE = 0.1
"""Above it, the old version's slowest tenth, which bounds what counts as slow, is late
itself: a slow new version does not stand out from an overloaded old one."""

_LATEST_COLLECTION_START_SHARE = 0.5
_ID_CHARACTER_COUNT = 16


class Outcome(enum.Enum):
    """How a move ended."""

    DONE = "done"
    UNDONE = "undone"


class Stage(enum.Enum):
    """Current stage of a move."""

    WAITING = "waiting"
    SPREAD = "spread"
    LOADED = "loaded"
    RAMP = "ramp"
    HELD = "held"
    CLOSED = "closed"


class MoveRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A move as it is stored.

    Attributes
    ----------
    move_id : str
        Identifies the move and its content; an edited move is a different move.
    name : str
        Name in the document.
    service, from_version, to_version : str
    start, finish_by : datetime.datetime
    max_exposed_share : float
    proved_at : datetime.datetime or None
        When the new version was found good enough for more traffic.
    outcome : Outcome or None
        None while the move is in progress.
    reason : peridothitch.errors.Code or None
        Reason for the outcome.
    detail : str
        Observation behind the outcome.
    decided_at : datetime.datetime or None
    decided_by : str
        Entry host that decided.
    fencing_number : int
        Fencing number of the lease under which the last change was made.
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
        """Return the elapsed share of the window, at least 0."""
        return max(0.0, (now - self.start) / self.window)


class EvidenceSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence on which a move is decided, besides its record.

    Attributes
    ----------
    condemned : str
        Evidence against the new version, empty when there is none.
    evidence_ratio : float
        Largest evidence as a share of the bound.
    undersampled_routes : tuple of str
        Routes that have traffic and too few attempts of the new version.
    untimed_routes : tuple of str
        Routes with enough attempts of the new version, of which too few could be
        compared by their latency.
    new_host_count : int
        Live hosts of the new version.
    collected_since : float
        When the collection of evidence started, in seconds since the Unix epoch.
    old_late_share : float
        Share of the old version's attempts that were late.
    """

    condemned: str = ""
    evidence_ratio: float = 0.0
    undersampled_routes: tuple[str, ...] = ()
    untimed_routes: tuple[str, ...] = ()
    new_host_count: int = 1
    collected_since: float = 0.0
    old_late_share: float = 0.0


class Prove(msgspec.Struct, frozen=True):
    """Decision to send more traffic to the new version."""

    at: datetime.datetime


class Close(msgspec.Struct, frozen=True):
    """Decision to end the move."""

    outcome: Outcome
    reason: errors.Code
    detail: str = ""


def make_move_id(name, move):
    """Return the id of a move; equal for equal names and contents."""
    parts = (
        name,
        move.service,
        move.to_version,
        move.start.astimezone(datetime.UTC).isoformat(),
        move.finish_by.astimezone(datetime.UTC).isoformat(),
        repr(move.max_exposed_share),
    )
    return hashlib.sha256("\n".join(parts).encode()).hexdigest()[:_ID_CHARACTER_COUNT]


def is_next_for_service(name, document, closed_ids):
    """Return whether the same service has no earlier unfinished move.

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
    """Return the `Stage` of a move whose new version was not condemned."""
    if record.outcome is not None:
        return Stage.CLOSED
    if record.proved_at is not None:
        return Stage.RAMP
    elapsed = record.elapsed(now)
    if elapsed >= 1.0:
        return Stage.HELD
    if now < record.start:
        return Stage.WAITING
    if any(first <= elapsed < last for first, last in _LOADED_STAGE_SHARES):
        return Stage.LOADED
    return Stage.SPREAD


def _ramp_length(record):
    planned = len(_RAMP_SHARES) * _RAMP_STEP_WINDOW_SHARE * record.window
    return min(planned, _RAMP_REMAINING_SHARE * (record.finish_by - record.proved_at))


def is_ramp_over(record, now):
    """Return whether a proved version has passed all steps of the ramp."""
    return now - record.proved_at >= _ramp_length(record)


def ramp_share(record, now):
    """Return the share of requests that a proved version receives.

    The old version serves a part for comparison until `finish_by`.
    """
    if now >= record.finish_by:
        return 1.0
    length = _ramp_length(record)
    if now - record.proved_at >= length:
        return _RAMP_SHARES[-1]
    step = int(len(_RAMP_SHARES) * ((now - record.proved_at) / length))
    return _RAMP_SHARES[max(0, step)]


def decide(record, move, evidence_summary, now):
    """Return the next decision on a move, None to continue.

    Parameters
    ----------
    record : MoveRecord
        Open record of the move.
    move : peridothitch.policy.document.Move or None
        The move in the current document, None if it was removed or changed.
    evidence_summary : EvidenceSummary
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
        return _undone(
            errors.Code.MOVE_WITHDRAWN,
            "the document was edited",
        )
    if record.proved_at is not None:
        return _decide_ramp(record, evidence_summary, now)
    return _decide_unproved(record, evidence_summary, now)


def _decide_ramp(record, evidence_summary, now):
    if not is_ramp_over(record, now):
        return None
    if evidence_summary.evidence_ratio < _HOLD_EVIDENCE_RATIO:
        return Close(Outcome.DONE, errors.Code.MOVE_FINISHED)
    if now < record.finish_by:
        return None
    return _undone(
        errors.Code.MOVE_NOT_PROVED,
        "the evidence was not clear",
    )


def _decide_unproved(record, evidence_summary, now):
    elapsed = record.elapsed(now)
    if elapsed >= 1.0:
        return _undone(
            errors.Code.MOVE_NOT_PROVED,
            "the time was over",
        )
    if elapsed < _FIRST_RAMP_START_SHARE or elapsed > _LAST_RAMP_START_SHARE:
        return None
    if (
        not evidence_summary.new_host_count
        or evidence_summary.evidence_ratio >= _HOLD_EVIDENCE_RATIO
    ):
        return None
    if evidence_summary.old_late_share > _MAX_OLD_LATE_SHARE:
        return None
    if evidence_summary.untimed_routes:
        return None
    if evidence_summary.collected_since > _latest_collection_start(record).timestamp():
        return None
    if evidence_summary.undersampled_routes and elapsed < _SAMPLE_WAIT_END_SHARE:
        return None
    return Prove(now)


def _latest_collection_start(record):
    return record.start + _LATEST_COLLECTION_START_SHARE * record.window


def _undone(reason, detail):
    return Close(Outcome.UNDONE, reason, detail)


def open_record(name, move, from_version, now):
    """Return the first record of a move.

    Parameters
    ----------
    name : str
    move : peridothitch.policy.document.Move
    from_version : str
        Version in force.
    now : datetime.datetime
        Earliest start, for a move that had to wait.
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
    """Return the version that serves when no move is in progress.

    Parameters
    ----------
    service : peridothitch.policy.document.Service
    override : tuple of (str, str) or None
        The `current` that a finished move started from, and the version that it moved
        to. It applies until the operators edit `current`.
    """
    if override is None or override[0] != service.current:
        return service.current
    if override[1] not in service.versions:
        return service.current
    return override[1]


def find_move(record, document):
    """Return the document's move of a record, None if it was edited."""
    move = document.move_by_name.get(record.name)
    if not isinstance(move, documents.Move):
        return None
    return move if make_move_id(record.name, move) == record.move_id else None
