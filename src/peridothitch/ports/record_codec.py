"""Conversion between records in the platform's store and the types of this package."""

import abc
import dataclasses
import datetime
import enum

__all__ = ["RecordCodec", "MoveState", "OrderedMove"]


class MoveState(enum.Enum):
    """Progress of a move."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "taken back"


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderedMove:
    """Operators' order to move a service's requests to another version.

    Attributes
    ----------
    service : str
    version : str
        Version that requests are moved to.
    duration : datetime.timedelta
        Maximum duration of the move.
    revision : int
        Number that the store gave the order, whatever era it is in now; a rewritten
        order is a new move.
    """

    service: str
    version: str
    duration: datetime.timedelta
    revision: int = 0


class RecordCodec(abc.ABC):
    """Keys and formats of the records that operators and upstreams write.

    Attributes
    ----------
    operator_prefix : str
        Key prefix of the operators' records.
    table_key : str
        Key of the current routing table.
    move_prefix : str
        Key prefix of the operators' orders for moves, below `operator_prefix`.
    host_prefix : str
        Key prefix of the upstream hosts' registrations.
    """

    operator_prefix: str
    table_key: str
    move_prefix: str
    host_prefix: str

    @abc.abstractmethod
    def decode_table(self, value):
        """Decode bytes and return a `peridothitch.ports.forwarding.RoutingTable`.

        Raises
        ------
        peridothitch.errors.DocumentError
        """

    @abc.abstractmethod
    def decode_host(self, key, value):
        """Return the `peridothitch.ports.upstream.Host` that a record describes.

        Raises
        ------
        peridothitch.errors.DocumentError
            The record describes no usable host.
        """

    @abc.abstractmethod
    def decode_move(self, key, value):
        """Return the `OrderedMove` of a record; None if the record is of another kind.

        Raises
        ------
        peridothitch.errors.DocumentError
        """

    @abc.abstractmethod
    def decode_evacuation(self, key):
        """Return the data centre that a record evacuates while it exists.

        Returns
        -------
        str or None
            None if the record is of another kind.

        Raises
        ------
        peridothitch.errors.DocumentError
            There is no such data centre.
        """

    @abc.abstractmethod
    def write_order(self, key, value):
        """Return what orders the writes of a record, whatever revisions they have.

        Parameters
        ----------
        key : str
        value : bytes

        Returns
        -------
        tuple of int, or None
            Higher for later writes of the same key; None if the record doesn't tell.
        """

    @abc.abstractmethod
    def encode_move_status(self, move, state):
        """Return key and value of the record that reports the state of a move."""
