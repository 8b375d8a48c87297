"""Plans of faults, drawn from a seed."""

import dataclasses
import datetime
import enum
import random

__all__ = ["Fault", "Kind", "draw"]

_SECOND = datetime.timedelta(seconds=1)
_SHORTEST, _LONGEST = 0.3, 3.0
_FAULTS_PER_SECOND = 0.7
_SERIES_CHANCE = 0.25
"""Chance that a fault strikes again while, or right after, it lasts."""


class Kind(enum.Enum):
    """What goes wrong."""

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
    """One fault.

    Attributes
    ----------
    at : datetime.timedelta
        From the begin of the faults.
    kind : Kind
    target : int
        Which host or upstream; counted modulo their number.
    length : datetime.timedelta
    variant : str
    """

    at: datetime.timedelta
    kind: Kind
    target: int
    length: datetime.timedelta
    variant: str = ""

    @property
    def end(self):
        """When it is over."""
        return self.at + self.length


def draw(seed, duration):
    """Return the faults of a seed in the order of their times.

    Parameters
    ----------
    seed : int
    duration : datetime.timedelta

    Returns
    -------
    tuple of Fault
    """
    source = random.Random(seed)
    seconds = duration.total_seconds()
    kinds = list(Kind)
    weights = [_WEIGHT_BY_KIND.get(kind, 1.0) for kind in kinds]
    faults = []
    for _ in range(max(1, round(seconds * _FAULTS_PER_SECOND))):
        (kind,) = source.choices(kinds, weights)
        fault = Fault(
            at=source.uniform(0.0, seconds) * _SECOND,
            kind=kind,
            target=source.randrange(1000),
            length=source.uniform(_SHORTEST, _LONGEST) * _SECOND,
            variant=source.choice(_VARIANTS_BY_KIND.get(kind, ("",))),
        )
        faults.append(fault)
        if source.random() < _SERIES_CHANCE:
            again = fault.at + source.uniform(0.2, 1.5) * fault.length
            faults.append(dataclasses.replace(fault, at=min(again, duration)))
    return tuple(sorted(faults, key=lambda fault: fault.at))
