"""Fault plans, drawn pseudo-randomly from a seed."""

import dataclasses
import datetime
import enum
import random

__all__ = ["Fault", "Kind", "draw"]

_SECOND = datetime.timedelta(seconds=1)
_MIN_LENGTH_SECONDS, _MAX_LENGTH_SECONDS = 0.3, 3.0
_FAULTS_PER_SECOND = 0.7
_REPEAT_PROBABILITY = 0.25
"""Probability that a fault starts again during its time or right after it."""


class Kind(enum.Enum):
    """Kinds of faults and planned changes."""

    HOST_STOPPED = "host stopped"
    HOST_PAUSED = "host paused"
    HOST_KILLED = "host killed"
    ALL_KILLED = "all hosts killed"
    SETTINGS_CHANGED = "settings changed"
    STORE_LINK = "link of a host to the store"
    CALLER_LINK = "link of callers to a host"
    UPSTREAM_LINK = "link to an upstream"
    STORE_FAULT = "store misbehaves"
    DUTIES_LOST = "answers of the duties are lost"
    UPSTREAM_CRASHED = "upstream crashed"
    UPSTREAM_LEAVING = "upstream leaving"
    UPSTREAM_FAULT = "upstream misbehaves"
    RULES_CHANGED = "rules changed"
    BURST = "burst of requests"


_LINK_FAULTS = ("delayed", "reset", "cut there", "cut back", "silent")
_VARIANTS_BY_KIND = {
    Kind.STORE_LINK: _LINK_FAULTS,
    Kind.CALLER_LINK: ("delayed", "reset", "cut back"),
    Kind.UPSTREAM_LINK: _LINK_FAULTS,
    Kind.STORE_FAULT: ("down", "slow", "answers lost", "done late", "history gone"),
    Kind.UPSTREAM_CRASHED: ("same id", "other id"),
    Kind.UPSTREAM_LEAVING: ("told", "gone"),
    Kind.UPSTREAM_FAULT: (
        "reset",
        "cut",
        "garbage",
        "fail",
        "busy",
        "refuse",
        "misdirect",
        "unsigned",
        "surplus",
        "extra_before",
        "break_stream",
    ),
    Kind.RULES_CHANGED: ("route added", "route dropped", "key dropped", "storm"),
}
_WEIGHT_BY_KIND = {Kind.ALL_KILLED: 0.3, Kind.UPSTREAM_FAULT: 2.0}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault of a plan.

    Attributes
    ----------
    at : datetime.timedelta
        Offset from the start of the fault phase.
    kind : Kind
    target : int
        Index of the host or upstream, modulo their count.
    length : datetime.timedelta
    variant : str
        One of the variants of the kind; empty if it has none.
    """

    at: datetime.timedelta
    kind: Kind
    target: int
    length: datetime.timedelta
    variant: str = ""

    @property
    def end(self):
        """Offset at which the fault ends."""
        return self.at + self.length


def draw(seed, duration):
    """Return the faults of a seed, ordered by start.

    Parameters
    ----------
    seed : int
    duration : datetime.timedelta

    Returns
    -------
    tuple of Fault
    """
    random_source = random.Random(seed)
    seconds = duration.total_seconds()
    kinds = list(Kind)
    weights = [_WEIGHT_BY_KIND.get(kind, 1.0) for kind in kinds]
    faults = []
    for _ in range(max(1, round(seconds * _FAULTS_PER_SECOND))):
        (kind,) = random_source.choices(kinds, weights)
        fault = Fault(
            at=random_source.uniform(0.0, seconds) * _SECOND,
            kind=kind,
            target=random_source.randrange(1000),
            length=random_source.uniform(_MIN_LENGTH_SECONDS, _MAX_LENGTH_SECONDS)
            * _SECOND,
            variant=random_source.choice(_VARIANTS_BY_KIND.get(kind, ("",))),
        )
        faults.append(fault)
        if random_source.random() < _REPEAT_PROBABILITY:
            repeated_at = fault.at + random_source.uniform(0.2, 1.5) * fault.length
            faults.append(dataclasses.replace(fault, at=min(repeated_at, duration)))
    return tuple(sorted(faults, key=lambda fault: fault.at))
