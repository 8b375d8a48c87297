"""Records of members that hosts exchange, and the timing of the protocol."""

import dataclasses
import datetime
import enum

import msgspec

from peridothitch.ports import facts

__all__ = [
    "MEMBER_KIND",
    "MemberRecord",
    "MembershipSettings",
    "State",
    "is_alive",
    "make_fact",
    "split_sequence",
]

MEMBER_KIND = "member"
"""Kind of the facts that are records of members."""

_STATE_COUNT = 4


class State(enum.IntEnum):
    """State of a member; of one incarnation the highest value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Address and data centre of a member."""

    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipSettings:
    """Timing of the membership.

    Attributes
    ----------
    period : datetime.timedelta
        Between two probes, alternately of the successor by hash and of a random member.
    probe_timeout : datetime.timedelta
        Bound on one probe.
    suspicion : datetime.timedelta
        Minimum time that a suspected member has to refute; grows with the logarithm of
        the fleet's size.
    helpers : int
        Number of members asked to probe one that did not answer.
    fanout : int
        Number of members that urgent facts are pushed to without delay.
    rejoin_period : datetime.timedelta
        Between two attempts to reach a departed member or an unknown address.
    sync_period : datetime.timedelta
        Minimum time between two comparisons of all facts.
    refresh_period : datetime.timedelta
        Between two renewals of this host's record.
    join_duration : datetime.timedelta
        Time after its start for which a host probes faster; when all hosts start at the
        same moment, each can send only the records that it has received so far.
    join_period : datetime.timedelta
        Between two probes in that time.
    join_syncs : int
        Number of comparisons of all facts for each of these probes, while they differ.
    """

    period: datetime.timedelta = datetime.timedelta(milliseconds=500)
    probe_timeout: datetime.timedelta = datetime.timedelta(milliseconds=400)
    suspicion_timeout: datetime.timedelta = datetime.timedelta(milliseconds=700)
    helper_count: int = 2
    fanout: int = 3
    rejoin_period: datetime.timedelta = datetime.timedelta(seconds=5)
    sync_period: datetime.timedelta = datetime.timedelta(seconds=4)
    refresh_period: datetime.timedelta = datetime.timedelta(minutes=30)
    join_duration: datetime.timedelta = datetime.timedelta(seconds=6)
    join_period: datetime.timedelta = datetime.timedelta(milliseconds=200)
    join_syncs: int = 4

    def probe_period(self, is_joining):
        """Return the time between two probes."""
        return self.join_period if is_joining else self.period


def make_fact(host_id, incarnation, state, value):
    """Return the fact that a member is in a state at an incarnation."""
    sequence = incarnation * _STATE_COUNT + state
    return facts.Fact(MEMBER_KIND, host_id, sequence, value)


def is_alive(wire_fact):
    """Return whether a fact from another host says that a member is alive."""
    return split_sequence(wire_fact.sequence)[1] is State.ALIVE


def split_sequence(sequence):
    """Return incarnation and `State` of a record's sequence."""
    incarnation, number = divmod(sequence, _STATE_COUNT)
    return incarnation, State(number)
