"""What the platform's store holds for entry hosts, decoded into the product's types."""

import abc
import dataclasses
import datetime
import enum

__all__ = ["RecordCodec", "MoveState", "OrderedMove"]


class MoveState(enum.Enum):
    """How far a move is."""

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
        Version that requests move to.
    duration : datetime.timedelta
        Time that the move may take.
    revision : int
        Store revision of the order; one that is written again is another move.
    """

    service: str
    version: str
    duration: datetime.timedelta
    revision: int = 0


class RecordCodec(abc.ABC):
    """Names and formats of the records that operators and upstreams write.

    Attributes
    ----------
    operator_prefix : str
        Where operators write.
    table_key : str
        The newest rules for forwarding.
    host_prefix : str
        Where upstream hosts register.
    """

    operator_prefix: str
    table_key: str
    host_prefix: str

    @abc.abstractmethod
    def decode_table(self, value):
        """Return the `peridothitch.ports.forwarding.RoutingTable` in the bytes `value`.

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
            The record names no host that can be used.
        """

    @abc.abstractmethod
    def decode_move(self, key, value):
        """Return the `OrderedMove` of a record, or None.

        None stands for a record of another kind.

        Raises
        ------
        peridothitch.errors.DocumentError
        """

    @abc.abstractmethod
    def encode_move_status(self, move, state):
        """Return key and value of the record that tells the state of a move."""
