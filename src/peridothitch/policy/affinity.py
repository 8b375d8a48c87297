"""Prefix affinity that entry hosts agree on without exchanging messages.

A prompt is split into blocks whose hashes are chained, so that equal block ids mean
equal prefixes. Rendezvous hashing maps a conversation to its owners: entry hosts with
the same view of the upstreams compute the same owners, and adding or removing one
upstream remaps only its share.
"""

import dataclasses
import heapq

import xxhash

__all__ = ["BLOCK_BYTES", "NO_PREFIX", "OwnerTable", "Prefix", "make_prefix"]

BLOCK_BYTES = 512
"""Size of one prompt block in bytes."""

_MAX_BLOCK_COUNT = 128
_SLOT_COUNT = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prefix:
    """Prefix ids of a prompt, as caches and affinity use them.

    Attributes
    ----------
    blocks : tuple of int
        Chained ids of the prompt's complete blocks, the shortest prefix first.
    shared_count : int
        Number of blocks in the instructions that many conversations start with.
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
"""Prefix of a request without a prompt."""


def make_prefix(instructions, question, later, continued, salt=""):
    """Return the `Prefix` of a prompt given in three parts.

    Parameters
    ----------
    instructions : bytes
        The text before the first question.
    question : bytes
        The first question.
    later : bytes
        The text after the first question.
    continued : bool
        Whether an earlier turn was answered.
    salt : str
        Separates caches that share no blocks, such as those of versions and adapters.
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
    block_count = min(len(prompt) // BLOCK_BYTES, _MAX_BLOCK_COUNT)
    blocks = []
    for index in range(block_count):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        previous = xxhash.xxh3_64_intdigest(block, previous)
        blocks.append(previous)
    return tuple(blocks)


class OwnerTable:
    """Owners of keys among a set of upstream hosts.

    Keys map to slots; a slot's owners are computed at its first use and cached until
    a change of the set affects them.

    Parameters
    ----------
    owner_count : int
        Number of owners of each key; the first one is preferred.
    """

    def __init__(self, owner_count=2):
        self._owner_count = owner_count
        self._host_ids = frozenset()
        self._owners_by_slot = {}

    def update(self, host_ids):
        """Set the current host ids; recomputes the owners that change."""
        host_ids = frozenset(host_ids)
        removed_ids = self._host_ids - host_ids
        added_ids = host_ids - self._host_ids
        self._host_ids = host_ids
        if not removed_ids and not added_ids:
            return
        owners_by_slot = {}
        for slot, owners in self._owners_by_slot.items():
            if not removed_ids.isdisjoint(owners):
                continue
            owners_by_slot[slot] = (
                self._highest_ranked(slot, {*owners, *added_ids})
                if added_ids
                else owners
            )
        self._owners_by_slot = owners_by_slot

    def owners(self, key):
        """Return the owners' host ids as a tuple, the preferred one first."""
        slot = key % _SLOT_COUNT
        owners = self._owners_by_slot.get(slot)
        if owners is None:
            owners = self._highest_ranked(slot, self._host_ids)
            self._owners_by_slot[slot] = owners
        return owners

    def _highest_ranked(self, slot, host_ids):
        def weight(host_id):
            return xxhash.xxh3_64_intdigest(host_id.encode(), slot), host_id

        return tuple(heapq.nlargest(self._owner_count, host_ids, key=weight))
