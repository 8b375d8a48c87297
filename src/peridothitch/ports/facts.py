"""Facts that hosts share by gossip; hints that no guarantee may depend on.

A fact is identified by its kind and key. Of two facts with the same identity the one
with the higher sequence replaces the other at every host, in whatever order they
arrive. Grow-only facts (a version is condemned) use sequence 1; state of one host (its
evidence, its load) uses the host's id as key and increments the sequence.
"""

import abc
import dataclasses

__all__ = ["Fact", "FactRegistry"]


@dataclasses.dataclass(frozen=True)
class Fact:
    """A sequenced value that is replicated to all hosts.

    Attributes
    ----------
    kind : str
        Subject of the fact, such as ``"quarantine"``.
    key : str
        Identity within the kind.
    sequence : int
        Higher ones replace lower ones.
    value : bytes
        At most a few hundred bytes; msgpack of a typed message.
    """

    kind: str
    key: str
    sequence: int
    value: bytes = b""


class FactRegistry(abc.ABC):
    """The facts that are known to this host."""

    @abc.abstractmethod
    def publish(self, fact):
        """Add a fact and replicate it to all hosts; returns whether it was new."""

    @abc.abstractmethod
    def facts(self, kind):
        """Return the facts of a kind as a dict of key to `Fact`."""

    @abc.abstractmethod
    def subscribe(self, kind, callback):
        """Call ``callback(fact)`` for each fact of a kind that is new to this host."""
