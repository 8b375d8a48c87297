"""Facts that hosts tell each other; hints, never a ground for a promise.

A fact is identified by its kind and key. Of two facts with the same identity the one
with the higher sequence replaces the other at every host, in whatever order they
arrive. Facts that only grow (a version is condemned) use sequence 1; state of one host
(its evidence, its load) uses the host's id as key and counts the sequence up.
"""

import abc
import dataclasses

__all__ = ["Fact", "FactRegistry"]


@dataclasses.dataclass(frozen=True)
class Fact:
    """One fact.

    Attributes
    ----------
    kind : str
        What it is about, such as ``"quarantine"``.
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
    """The facts that this host knows."""

    @abc.abstractmethod
    def publish(self, fact):
        """Add a fact and spread it to all hosts; returns whether it was news."""

    @abc.abstractmethod
    def facts(self, kind):
        """Return the facts of a kind as a dict of key to `Fact`."""

    @abc.abstractmethod
    def subscribe(self, kind, callback):
        """Call ``callback(fact)`` for each fact of a kind that is news here."""
