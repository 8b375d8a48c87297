"""Prefix affinity that entry hosts agree on without talking to each other.

A prompt is cut into blocks whose hashes are chained, so that equal block ids mean equal
prefixes. Rendezvous hashing maps a conversation to its owners: entry hosts with the
same view of the upstreams name the same owners, and a change of one upstream moves only
its share.
"""

import dataclasses
import heapq

import xxhash

__all__ = ["BLOCK_BYTES", "NO_PREFIX", "OwnerTable", "Prefix", "make_prefix"]

BLOCK_BYTES = 512
"""Bytes of prompt in one block."""

_MAX_BLOCKS = 128
_SLOT_COUNT = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prefix:
    """What caches and affinity need to know of a prompt.

    Attributes
    ----------
    blocks : tuple of int
        Chained ids of the prompt's whole blocks, the shortest prefix first.
    shared_count : int
        Blocks of the instructions that many conversations start with.
    shared_key : int
        Id of the instructions, 0 when there are none.
    conversation_key : int
        Id of the prompt up to its first question; the same for all turns.
    continued : bool
        Whether an earlier turn was answered.
    """

    blocks: tuple = ()
    shared_count: int = 0
    shared_key: int = 0
    conversation_key: int = 0
    continued: bool = False


NO_PREFIX = Prefix()
"""Prefix of a request that has no prompt."""


def make_prefix(instructions, question, later, continued, salt=""):
    """Return the `Prefix` of a prompt given in three parts.

    Parameters
    ----------
    instructions : bytes
        What stands before the first question.
    question : bytes
        The first question.
    later : bytes
        All that follows.
    continued : bool
        Whether an earlier turn was answered.
    salt : str
        Separates caches that share nothing, such as versions and adapters.
    """
    start = xxhash.xxh3_64_intdigest(salt.encode())
    shared_key = xxhash.xxh3_64_intdigest(instructions, start)
    conversation_key = xxhash.xxh3_64_intdigest(question, shared_key)
    return Prefix(
        blocks=_chain(instructions + question + later, start),
        shared_count=len(instructions) // BLOCK_BYTES,
        shared_key=shared_key if instructions else 0,
        conversation_key=conversation_key,
        continued=continued,
    )


def _chain(prompt, previous):
    block_count = min(len(prompt) // BLOCK_BYTES, _MAX_BLOCKS)
    blocks = []
    for index in range(block_count):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        previous = xxhash.xxh3_64_intdigest(block, previous)
        blocks.append(previous)
    return tuple(blocks)


class OwnerTable:
    """Owners of keys among a set of upstream hosts.

    Keys fall into slots; a slot's owners are found at its first use and kept until
    a change of the set touches them.

    Parameters
    ----------
    owner_count : int
        Owners of each key, the first one preferred.
    """

    def __init__(self, owner_count=2):
        self._owner_count = owner_count
        self._host_ids = frozenset()
        self._owners_by_slot = {}

    def update(self, host_ids):
        """Take in the current set of host ids."""
        host_ids = frozenset(host_ids)
        gone = self._host_ids - host_ids
        new = host_ids - self._host_ids
        self._host_ids = host_ids
        if not gone and not new:
            return
        kept = {}
        for slot, owners in self._owners_by_slot.items():
            if not gone.isdisjoint(owners):
                continue
            kept[slot] = self._best(slot, {*owners, *new}) if new else owners
        self._owners_by_slot = kept

    def owners(self, key):
        """Return the owners' host ids as a tuple, the preferred one first."""
        slot = key % _SLOT_COUNT
        owners = self._owners_by_slot.get(slot)
        if owners is None:
            owners = self._best(slot, self._host_ids)
            self._owners_by_slot[slot] = owners
        return owners

    def _best(self, slot, host_ids):
        def weight(host_id):
            return xxhash.xxh3_64_intdigest(host_id.encode(), slot), host_id

        return tuple(heapq.nlargest(self._owner_count, host_ids, key=weight))
