"""Merges facts from many hosts and selects those to send on.

The table is a join semilattice: of two facts with the same kind and key the one with
the higher sequence wins, and of equal sequences the larger value. So hosts that have
received the same facts have the same table, regardless of the order and number of
deliveries. Facts carry their remaining lifetime and are dropped when it has passed.
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
_MIN_SEND_COUNT = 4
_WIRE_OVERHEAD_BYTES = 12


class WireFact(msgspec.Struct, frozen=True, array_like=True):
    """A fact as hosts exchange it.

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
    send_count: int = 0


def _hash(fact):
    text = f"{fact.kind}\0{fact.key}\0{fact.sequence}\0".encode()
    return xxhash.xxh32_intdigest(text + fact.value)


def _bucket(kind, key):
    return xxhash.xxh32_intdigest(f"{kind}\0{key}".encode()) % BUCKET_COUNT


class FactTable:
    """Facts by kind and key; not thread-safe, the caller serializes calls.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    lifetime_by_kind : dict of str to datetime.timedelta
        Lifetime of the facts of a kind after publication; a day by default.
    urgent_kinds : collection of str
        Kinds that are sent before others.
    """

    def __init__(self, clock, lifetime_by_kind=None, urgent_kinds=()):
        self._clock = clock
        self._lifetime_by_kind = dict(lifetime_by_kind or {})
        self._urgent_kinds = frozenset(urgent_kinds)
        self._entry_by_key_by_kind = {}
        self._digest = 0
        self._digest_by_bucket = [0] * BUCKET_COUNT
        self._keys_by_bucket = [set() for _ in range(BUCKET_COUNT)]
        self._pending_by_id = {}
        self._expiry_queue = []
        self._tie_breaker = itertools.count()

    def digests(self):
        """Return one digest for each bucket, equal where two tables are equal."""
        return tuple(self._digest_by_bucket)

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
        """Merge a fact; returns whether it was new."""
        entry_by_key = self._entry_by_key_by_kind.setdefault(fact.kind, {})
        entry = entry_by_key.get(fact.key)
        if entry is not None and _rank(entry.fact) >= _rank(fact):
            return False
        if entry is None and len(entry_by_key) >= _MAX_FACTS_PER_KIND:
            return False
        if len(fact.value) > _MAX_VALUE_BYTES:
            return False
        if lifetime is None:
            lifetime = self._lifetime_by_kind.get(fact.kind, _DEFAULT_LIFETIME)
        if entry is not None:
            self._toggle_digest(entry)
        entry = _Entry(fact, self._clock.monotonic() + lifetime, _hash(fact))
        entry_by_key[fact.key] = entry
        self._toggle_digest(entry)
        self._pending_by_id[fact.kind, fact.key] = entry
        heapq.heappush(
            self._expiry_queue, (entry.expires, next(self._tie_breaker), entry)
        )
        return True

    def merge(self, wire_facts):
        """Merge facts of another host; returns the new ones as `Fact`."""
        new_facts = []
        for wire in wire_facts:
            if wire.remaining_seconds <= 0:
                continue
            fact = facts.Fact(wire.kind, wire.key, wire.sequence, wire.value)
            if self.add(fact, datetime.timedelta(seconds=wire.remaining_seconds)):
                new_facts.append(fact)
        return new_facts

    def expire(self):
        """Drop the facts whose lifetime has passed."""
        now = self._clock.monotonic()
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            _, _, entry = heapq.heappop(self._expiry_queue)
            fact = entry.fact
            entry_by_key = self._entry_by_key_by_kind[fact.kind]
            if entry_by_key.get(fact.key) is not entry:
                continue
            self._toggle_digest(entry)
            self._keys_by_bucket[_bucket(fact.kind, fact.key)].discard(
                (fact.kind, fact.key)
            )
            del entry_by_key[fact.key]
            self._pending_by_id.pop((fact.kind, fact.key), None)

    def select_facts_to_send(self, max_bytes, fleet_size):
        """Return the facts to send next, those sent least often first.

        Parameters
        ----------
        max_bytes : int
            Bound on the sum of the facts' sizes.
        fleet_size : int
            Number of hosts; a fact is sent about log2 of it times.

        Returns
        -------
        list of WireFact
        """
        limit = _MIN_SEND_COUNT + max(1, fleet_size).bit_length()
        candidates = heapq.nsmallest(
            1 + max_bytes // 32, self._pending_by_id.values(), key=self._send_priority
        )
        selected = []
        for entry in candidates:
            size = wire_size(entry.fact)
            if size > max_bytes:
                continue
            max_bytes -= size
            entry.send_count += 1
            if entry.send_count >= limit:
                self._pending_by_id.pop((entry.fact.kind, entry.fact.key), None)
            selected.append(self._to_wire(entry))
        return [wire for wire in selected if wire.remaining_seconds > 0]

    def bucket_facts(self, bucket):
        """Return the facts of one bucket as a list of `WireFact`."""
        entries = (
            self._entry_by_key_by_kind[kind][key]
            for kind, key in self._keys_by_bucket[bucket]
        )
        wires = [self._to_wire(entry) for entry in entries]
        return [wire for wire in wires if wire.remaining_seconds > 0]

    def missing_in(self, bucket, wire_facts):
        """Return the facts of a bucket that a list lacks or has in an older version."""
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

    def _send_priority(self, entry):
        return entry.fact.kind not in self._urgent_kinds, entry.send_count

    def _toggle_digest(self, entry):
        fact = entry.fact
        bucket = _bucket(fact.kind, fact.key)
        self._digest ^= entry.digest
        self._digest_by_bucket[bucket] ^= entry.digest
        self._keys_by_bucket[bucket].add((fact.kind, fact.key))


def _rank(fact):
    return fact.sequence, fact.value


def wire_size(fact):
    """Return the approximate size of a fact in a message, in bytes."""
    return len(fact.kind) + len(fact.key) + len(fact.value) + _WIRE_OVERHEAD_BYTES
