"""Member records that hosts exchange, and settings of the membership protocol."""

import dataclasses
import datetime
import enum

import msgspec

from peridothitch.ports import facts, peers

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
    """State of a member; the higher value wins within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Addresses and data centre of a member.

    Hosts of versions that do not pass on calls send no `helper_address`.
    """

    address: str
    data_centre: str
    helper_address: str = ""

    @classmethod
    def of(cls, peer):
        """Return the record of a `peridothitch.ports.peers.Peer`."""
        return cls(peer.address, peer.data_centre, peer.helper_address)

    def to_peer(self, host_id):
        """Return the `peridothitch.ports.peers.Peer` that the record describes."""
        return peers.Peer(
            host_id=host_id,
            address=self.address,
            data_centre=self.data_centre,
            helper_address=self.helper_address,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipSettings:
    """Timing of the membership protocol, and how many members each step involves.

    Attributes
    ----------
    period : datetime.timedelta
        Time between two probes, alternately of a random member and of the successor on
        the ring of hashed host ids.
    probe_timeout : datetime.timedelta
        Timeout of one probe.
    suspicion_timeout : datetime.timedelta
        Minimum time that a suspected member has to refute the suspicion; the actual
        time grows with the logarithm of the fleet's size.
    helper_count : int
        Number of members asked for an indirect probe of one that did not answer.
    fanout : int
        Number of members that urgent facts are pushed to without delay.
    rejoin_period : datetime.timedelta
        Time between two attempts to reach a departed member or an address without a
        known member, varied randomly by up to half; a host that is alone tries in every
        period.
    sync_period : datetime.timedelta
        Minimum time between two comparisons of all facts, varied randomly by up to
        half.
    refresh_period : datetime.timedelta
        Time between two renewals of this host's record.
    join_duration : datetime.timedelta
        Time after its start for which a host probes faster. When all hosts start at the
        same moment, their records take several rounds to spread, since each host can
        send only those that it has received so far.
    join_period : datetime.timedelta
        Time between two probes during `join_duration`.
    join_syncs : int
        Maximum number of comparisons of all facts after a probe during `join_duration`;
        they end when the facts are equal.
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
    """Return the fact that a member is in a state at an incarnation.

    Its sequence encodes both, so that the fact with the higher incarnation replaces the
    other, and at one incarnation the fact with the higher state.
    """
    sequence = incarnation * _STATE_COUNT + state
    return facts.Fact(MEMBER_KIND, host_id, sequence, value)


def is_alive(wire_fact):
    """Return whether a member record in wire form says that the member is alive."""
    return split_sequence(wire_fact.sequence)[1] is State.ALIVE


def split_sequence(sequence):
    """Return the incarnation and `State` that a record's sequence encodes."""
    incarnation, number = divmod(sequence, _STATE_COUNT)
    return incarnation, State(number)
