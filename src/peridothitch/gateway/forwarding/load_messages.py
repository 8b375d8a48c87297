"""Messages in which entry hosts tell each other the loads of upstreams.

Lists are flat, since these messages are sent several times a second: a use takes three
numbers, a load six, a host that a sum contains two. Times travel as ages, so that the
clocks of hosts need not agree.
"""

import itertools
import math
import typing

import msgspec

from peridothitch.policy import shared_loads
from peridothitch.ports import forwarding

__all__ = [
    "Separate",
    "StateCall",
    "StateReply",
    "SumMessage",
    "from_loads",
    "from_sum",
    "from_uses",
    "to_loads",
    "to_sum",
    "to_uses",
]

TOKENS_PER_UNIT = 16
_MAX_ENTRIES = 4096
_MAX_IN_FLIGHT = 10_000
_MAX_UNITS = 10_000_000
_MAX_COUNT = 100_000
_PACE_UNITS = 100
_NO_PACE = 0
_MILLISECONDS = 1000

_Number = typing.Annotated[int, msgspec.Meta(ge=0)]
_Uses = typing.Annotated[list[_Number], msgspec.Meta(max_length=3 * _MAX_ENTRIES)]
_Loads = typing.Annotated[list[_Number], msgspec.Meta(max_length=6 * _MAX_ENTRIES)]
_Hosts = typing.Annotated[list[_Number], msgspec.Meta(max_length=2 * _MAX_ENTRIES)]


class StateCall(msgspec.Struct, frozen=True, array_like=True):
    """A host's own counts, and the loads that it saw since its last statement."""

    host_id: str
    number: _Number
    uses: _Uses
    loads: _Loads


class StateReply(msgspec.Struct, frozen=True, array_like=True):
    """Totals over all hosts, the caller included.

    Attributes
    ----------
    counted : int
        Number of the caller's statement that the totals contain; 0 for none.
    host_count : int
        Hosts that they contain.
    is_settled : bool
        Whether the relay has had the time to hear of all hosts.
    uses, loads : list of int
    """

    counted: _Number
    host_count: _Number
    is_settled: bool
    uses: _Uses
    loads: _Loads


class Separate(msgspec.Struct, frozen=True, array_like=True):
    """A host's statement outside of a sum."""

    host: _Number
    number: _Number
    uses: _Uses


class SumMessage(msgspec.Struct, frozen=True, array_like=True):
    """A relay's sum, and the loads that its hosts saw lately."""

    host_id: str
    number: _Number
    uses: _Uses
    hosts: _Hosts
    separate: typing.Annotated[list[Separate], msgspec.Meta(max_length=_MAX_ENTRIES)]
    loads: _Loads


def _groups(numbers, size):
    """Return the numbers in tuples of a size.

    Raises
    ------
    ValueError
        The last one is incomplete.
    """
    if len(numbers) % size:
        raise ValueError(f"{len(numbers)} numbers in groups of {size}")
    return zip(*[iter(numbers)] * size, strict=True)


def from_uses(use_by_upstream):
    """Return uses as a flat list; tokens are in units already."""
    flat = []
    for upstream, (in_flight, units) in use_by_upstream.items():
        if in_flight or units:
            flat += (upstream, in_flight, units)
    return flat


def to_uses(flat):
    """Return uses by upstream, each bounded.

    Raises
    ------
    ValueError
        The list is incomplete.
    """
    return {
        upstream: (min(in_flight, _MAX_IN_FLIGHT), min(units, _MAX_UNITS))
        for upstream, in_flight, units in _groups(flat, 3)
    }


def from_loads(seen_by_upstream, now):
    """Return `shared_loads.SeenLoad` by upstream as a flat list."""
    flat = []
    for upstream, seen in seen_by_upstream.items():
        load = seen.load
        age = max(0, round((now - seen.seen_at) * _MILLISECONDS))
        counts = (load.running, load.waiting, load.slots)
        flat += (upstream, *(min(count, _MAX_COUNT) for count in counts))
        flat += (_to_pace_units(load.pace), age)
    return flat


def _to_pace_units(pace):
    if pace is None or not math.isfinite(pace):
        return _NO_PACE
    return max(1, round(min(pace * _PACE_UNITS, _MAX_COUNT)))


def to_loads(flat, now, is_direct):
    """Return `shared_loads.SeenLoad` by upstream.

    Raises
    ------
    ValueError
        The list is incomplete.
    """
    seen_by_upstream = {}
    for upstream, running, waiting, slots, pace, age in _groups(flat, 6):
        load = forwarding.Load(
            min(running, _MAX_COUNT),
            min(waiting, _MAX_COUNT),
            min(slots, _MAX_COUNT),
            None if pace == _NO_PACE else min(pace, _MAX_COUNT) / _PACE_UNITS,
        )
        seen_at = now - min(age, _MAX_COUNT) / _MILLISECONDS
        seen_by_upstream[upstream] = shared_loads.SeenLoad(load, seen_at, is_direct)
    return seen_by_upstream


def from_sum(host_id, known, loads):
    """Return the `SumMessage` of a `shared_loads.RelaySum`."""
    return SumMessage(
        host_id,
        known.number,
        from_uses(known.use_by_upstream),
        list(itertools.chain.from_iterable(known.number_by_host.items())),
        [
            Separate(host, statement.number, from_uses(statement.use_by_upstream))
            for host, statement in known.separate_by_host.items()
        ],
        loads,
    )


def to_sum(message, now):
    """Return the `shared_loads.RelaySum` of a `SumMessage`.

    Raises
    ------
    ValueError
        A list is incomplete.
    """
    return shared_loads.RelaySum(
        message.number,
        to_uses(message.uses),
        dict(_groups(message.hosts, 2)),
        {
            single.host: shared_loads.HostStatement(
                single.number, to_uses(single.uses), now, now
            )
            for single in message.separate
        },
        now,
    )
