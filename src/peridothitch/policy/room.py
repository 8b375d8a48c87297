"""Decides whether a request gets room at a service's upstreams, waits or is refused.

Answers overload of a service whose upstreams tell the pace of their work: several
times the usual arrivals, or the loss of many of its upstreams. A place given to a
request that can't end in time, or that is worth little by then, is taken from others
that would be in time. Less urgent requests, and what a customer asks beyond its fair
share, yield while more urgent ones are late.
"""

import dataclasses
import enum

__all__ = [
    "Decision",
    "Pressure",
    "Prospect",
    "Reason",
    "UPSTREAM_REASONS",
    "Verdict",
    "decide",
    "longest_wait",
]

_WAIT_SHARE = 0.125
"""Share of its target that a request may wait here; a caller refused within it has
lost little of the time in which another host can serve it."""

_MIN_BUSY_SHARE = 0.5
_MIN_START_SHARE = 0.2
"""Nothing yields while the best upstream has more places free than taken and would
start the request within this share of its target."""

_LATE_FACTOR_BY_PRIORITY = (3.0, 2.6, 2.2)
"""Largest multiple of the target at which a late answer is admitted into spare room."""

_MAX_STRAIN = 0.05
"""Share of late work up to which lateness is that of single requests or upstreams."""

_MAX_STRAIN_RETURNED = 0.1
"""The same for callers that have come again; a second refusal costs them more."""

_MAX_LENGTH_ERROR = 1.5
"""Requests whose kind's large ones are starved may end this much later than expected,
since the expected length may be wrong by as much."""


class Verdict(enum.Enum):
    """What to do with a request now."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


class Reason(enum.Enum):
    """Why; a label of metrics."""

    IN_TIME = "in_time"
    SPARE_ROOM = "spare_room"
    CANNOT_END = "cannot_end"
    LATE = "late"
    YIELDS = "yields"
    BEYOND_SHARE = "beyond_share"


UPSTREAM_REASONS = frozenset({Reason.SPARE_ROOM, Reason.CANNOT_END, Reason.LATE})
"""Reasons that another upstream could remove."""


@dataclasses.dataclass(frozen=True)
class Decision:
    """A verdict with its reason."""

    verdict: Verdict
    reason: Reason


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prospect:
    """What a request can expect at its best upstream; times in seconds.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    target : float
        Time from the caller's first attempt to the answer's first piece.
    elapsed : float
        Since the caller's first attempt, as far as that is known.
    held : float
        Since the request arrived here.
    left : float
        Until the caller's deadline or the route's timeout.
    start : float
        Expected time from now to the first piece.
    end : float
        Expected time from now to the last piece.
    busy_share : float
        Share of the upstream's places that are taken.
    has_returned : bool
        Whether the caller waited after a refusal and came again.
    is_starved : bool
        Whether requests of its kind and size are served far less often than others.
    """

    priority: int
    target: float
    elapsed: float
    held: float
    left: float
    start: float
    end: float
    busy_share: float = 1.0
    has_returned: bool = False
    is_starved: bool = False

    @property
    def lateness(self):
        """Seconds by which the first piece is expected after its target."""
        return self.elapsed + self.start - self.target


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pressure:
    """Load of a service in the last seconds, as seen by one request.

    Attributes
    ----------
    strain : float
        Share of the admitted work that started late, or not at all.
    yield_share : float
        Share of the requests of this urgency that make room for more urgent ones.
    excess_share : float
        Share of this customer's requests that are beyond its fair share.
    """

    strain: float = 0.0
    yield_share: float = 0.0
    excess_share: float = 0.0


def longest_wait(target):
    """Return how long a request may wait at an entry host, in seconds."""
    return target * _WAIT_SHARE


def decide(prospect, pressure, draw):
    """Return the `Decision` on one request.

    Parameters
    ----------
    prospect : Prospect
    pressure : Pressure
    draw : float
        Uniform in [0, 1), the same for one request however often it is judged, so that
        no kind of request, customer or session yields each time.
    """
    if not _can_end(prospect):
        return Decision(Verdict.REFUSE, Reason.CANNOT_END)
    if prospect.lateness <= 0:
        return _decide_in_time(prospect, pressure, draw)
    return _decide_late(prospect, pressure)


def _can_end(prospect):
    error = _MAX_LENGTH_ERROR if prospect.is_starved else 1.0
    return prospect.start < prospect.left and prospect.end <= prospect.left * error


def _decide_in_time(prospect, pressure, draw):
    admitted = Decision(Verdict.ADMIT, Reason.IN_TIME)
    has_free_places = (
        prospect.busy_share < _MIN_BUSY_SHARE
        and prospect.start <= prospect.target * _MIN_START_SHARE
    )
    if has_free_places or prospect.is_starved:
        return admitted
    if pressure.strain > _MAX_STRAIN and draw < pressure.excess_share:
        return Decision(Verdict.REFUSE, Reason.BEYOND_SHARE)
    if prospect.has_returned:
        return admitted
    if draw < pressure.yield_share:
        return Decision(Verdict.REFUSE, Reason.YIELDS)
    return admitted


def _decide_late(prospect, pressure):
    factors = _LATE_FACTOR_BY_PRIORITY
    factor = factors[min(max(prospect.priority, 0), len(factors) - 1)]
    expected = prospect.elapsed + prospect.start
    is_near = expected <= prospect.target * factor
    most = _MAX_STRAIN_RETURNED if prospect.has_returned else _MAX_STRAIN
    if is_near and (pressure.strain <= most or prospect.is_starved):
        return Decision(Verdict.ADMIT, Reason.SPARE_ROOM)
    remaining_wait = longest_wait(prospect.target) - prospect.held
    if 0 < prospect.lateness <= remaining_wait and prospect.start > prospect.lateness:
        return Decision(Verdict.WAIT, Reason.LATE)
    return Decision(Verdict.REFUSE, Reason.LATE)
