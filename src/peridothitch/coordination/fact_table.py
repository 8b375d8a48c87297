"""Merges facts from many hosts and says which of them to pass on.

The table is a join semilattice: of two facts with the same kind and key the one with
the higher sequence wins, and of equal sequences the larger value. So hosts that have
received the same facts hold the same table, in whatever order and however often the
facts came. Facts carry their remaining lifetime and are dropped when it has passed.
"""

import dataclasses
import datetime
import heapq
import itertools

import msgspec
import xxhash

from peridothitch.ports import facts

__all__ = ["BUCKET_COUNT", "FactTable", "WireFact", "wire_size"]

BUCKET_COUNT = 64
_DEFAULT_LIFETIME = datetime.timedelta(days=1)
_MAX_FACTS_PER_KIND = 4096
_MAX_VALUE_BYTES = 1024
_MIN_SENDS = 4
_WIRE_OVERHEAD_BYTES = 12


class WireFact(msgspec.Struct, frozen=True, array_like=True):
    """A fact between hosts.

    Attributes
    ----------
    kind, key, sequence, value
        See `peridothitch.ports.facts.Fact`.
    remaining_seconds : int
        Time left until the fact is dropped.
    """

    kind: str
    key: str
    sequence: int
    value: bytes
    remaining_seconds: int


@dataclasses.dataclass
class _Entry:
    fact: facts.Fact
    expires: datetime.timedelta
    digest: int
    sends: int = 0


def _hash(fact):
    text = f"{fact.kind}\0{fact.key}\0{fact.sequence}\0".encode()
    return xxhash.xxh32_intdigest(text + fact.value)


def _bucket(kind, key):
    return xxhash.xxh32_intdigest(f"{kind}\0{key}".encode()) % BUCKET_COUNT


class FactTable:
    """Facts by kind and key; the owner serializes calls.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    lifetime_by_kind : dict of str to datetime.timedelta
        How long facts of a kind are kept after they were published; a day by default.
    urgent_kinds : collection of str
        Kinds that are passed on before others.
    """

    def __init__(self, clock, lifetime_by_kind=None, urgent_kinds=()):
        self._clock = clock
        self._lifetime_by_kind = dict(lifetime_by_kind or {})
        self._urgent_kinds = frozenset(urgent_kinds)
        self._entry_by_key_by_kind = {}
        self._digest = 0
        self._digests = [0] * BUCKET_COUNT
        self._keys_by_bucket = [set() for _ in range(BUCKET_COUNT)]
        self._rumours = {}
        self._expiries = []
        self._tie = itertools.count()

    def digests(self):
        """Return one digest for each bucket, equal where two tables are equal."""
        return tuple(self._digests)

    def digest(self):
        """Return a digest of the whole table."""
        return self._digest

    def get(self, kind, key):
        """Return a fact or None."""
        entry = self._entry_by_key_by_kind.get(kind, {}).get(key)
        return entry.fact if entry is not None else None

    def facts(self, kind):
        """Return the facts of a kind by key."""
        entries = self._entry_by_key_by_kind.get(kind, {})
        return {key: entry.fact for key, entry in entries.items()}

    def add(self, fact, lifetime=None):
        """Merge a fact; returns whether it was news."""
        known = self._entry_by_key_by_kind.setdefault(fact.kind, {})
        entry = known.get(fact.key)
        if entry is not None and _rank(entry.fact) >= _rank(fact):
            return False
        if entry is None and len(known) >= _MAX_FACTS_PER_KIND:
            return False
        if len(fact.value) > _MAX_VALUE_BYTES:
            return False
        if lifetime is None:
            lifetime = self._lifetime_by_kind.get(fact.kind, _DEFAULT_LIFETIME)
        if entry is not None:
            self._toggle(entry)
        entry = _Entry(fact, self._clock.monotonic() + lifetime, _hash(fact))
        known[fact.key] = entry
        self._toggle(entry)
        self._rumours[fact.kind, fact.key] = entry
        heapq.heappush(self._expiries, (entry.expires, next(self._tie), entry))
        return True

    def merge(self, wire_facts):
        """Merge facts of another host; returns those that were news as `Fact`."""
        news = []
        for wire in wire_facts:
            if wire.remaining_seconds <= 0:
                continue
            fact = facts.Fact(wire.kind, wire.key, wire.sequence, wire.value)
            if self.add(fact, datetime.timedelta(seconds=wire.remaining_seconds)):
                news.append(fact)
        return news

    def expire(self):
        """Drop the facts whose lifetime has passed."""
        now = self._clock.monotonic()
        while self._expiries and self._expiries[0][0] <= now:
            _, _, entry = heapq.heappop(self._expiries)
            fact = entry.fact
            known = self._entry_by_key_by_kind[fact.kind]
            if known.get(fact.key) is not entry:
                continue
            self._toggle(entry)
            self._keys_by_bucket[_bucket(fact.kind, fact.key)].discard(
                (fact.kind, fact.key)
            )
            del known[fact.key]
            self._rumours.pop((fact.kind, fact.key), None)

    def select_facts_to_send(self, max_bytes, fleet_size):
        """Return the facts to pass on next, those sent least often first.

        Parameters
        ----------
        max_bytes : int
            Bound on the sum of the facts' sizes.
        fleet_size : int
            Hosts; a fact is sent about log2 of it times.

        Returns
        -------
        list of WireFact
        """
        limit = _MIN_SENDS + max(1, fleet_size).bit_length()
        waiting = heapq.nsmallest(
            1 + max_bytes // 32, self._rumours.values(), key=self._order
        )
        taken = []
        for entry in waiting:
            size = wire_size(entry.fact)
            if size > max_bytes:
                continue
            max_bytes -= size
            entry.sends += 1
            if entry.sends >= limit:
                self._rumours.pop((entry.fact.kind, entry.fact.key), None)
            taken.append(self._to_wire(entry))
        return [wire for wire in taken if wire.remaining_seconds > 0]

    def bucket_facts(self, bucket):
        """Return the facts of one bucket as a list of `WireFact`."""
        entries = (
            self._entry_by_key_by_kind[kind][key]
            for kind, key in self._keys_by_bucket[bucket]
        )
        wires = [self._to_wire(entry) for entry in entries]
        return [wire for wire in wires if wire.remaining_seconds > 0]

    def missing_in(self, bucket, wire_facts):
        """Return own facts of a bucket that are newer than or absent in a list."""
        rank_by_id = {
            (wire.kind, wire.key): (wire.sequence, wire.value) for wire in wire_facts
        }
        return [
            wire
            for wire in self.bucket_facts(bucket)
            if rank_by_id.get((wire.kind, wire.key), (-1, b""))
            < (wire.sequence, wire.value)
        ]

    def to_wire(self, kind, key):
        """Return a fact as `WireFact`, or None."""
        entry = self._entry_by_key_by_kind.get(kind, {}).get(key)
        return self._to_wire(entry) if entry is not None else None

    def _to_wire(self, entry):
        fact = entry.fact
        remaining = entry.expires - self._clock.monotonic()
        seconds = int(remaining.total_seconds())
        return WireFact(fact.kind, fact.key, fact.sequence, fact.value, seconds)

    def _order(self, entry):
        return entry.fact.kind not in self._urgent_kinds, entry.sends

    def _toggle(self, entry):
        fact = entry.fact
        bucket = _bucket(fact.kind, fact.key)
        self._digest ^= entry.digest
        self._digests[bucket] ^= entry.digest
        self._keys_by_bucket[bucket].add((fact.kind, fact.key))


def _rank(fact):
    return fact.sequence, fact.value


def wire_size(fact):
    """Return about how many bytes a fact takes in a message."""
    return len(fact.kind) + len(fact.key) + len(fact.value) + _WIRE_OVERHEAD_BYTES
