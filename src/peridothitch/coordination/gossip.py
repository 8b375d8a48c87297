"""Spreads facts between entry hosts with a bounded number of bytes.

Hosts exchange the facts that are new to them on each probe of the membership, and
compare digests of all their facts; where digests stay different they exchange the
buckets that differ. Facts of urgent kinds are pushed to a few hosts without delay.
"""

import threading

import msgspec

from peridothitch import errors
from peridothitch.coordination import fact_table
from peridothitch.ports import facts

__all__ = [
    "EMPTY_SYNC_REPLY",
    "Exchange",
    "Gossip",
    "MAX_EXCHANGE_BYTES",
    "MAX_SYNC_BYTES",
    "Sync",
    "SyncReply",
    "decode",
]

MAX_EXCHANGE_BYTES = 900
MAX_SYNC_BYTES = 1200
_BYTES_PER_SECOND = 800
_BURST_BYTES = 4000
_MIN_AVAILABLE_BYTES = 120


class Exchange(msgspec.Struct, frozen=True, array_like=True):
    """Request and reply of one exchange.

    Attributes
    ----------
    digest : int
        Digest of the sender's table.
    facts : tuple of WireFact
    sender : str
        Id of the sending host, empty in replies.
    """

    digest: int
    facts: tuple[fact_table.WireFact, ...] = ()
    sender: str = ""


class Sync(msgspec.Struct, frozen=True, array_like=True):
    """Request to compare tables.

    Attributes
    ----------
    digests : tuple of int
        One digest for each bucket.
    first_bucket : int
        Bucket at which the answering host starts; varies so that all are compared.
    """

    digests: tuple[int, ...]
    first_bucket: int = 0


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """Facts of the buckets that differ.

    Attributes
    ----------
    facts_by_bucket : dict of int to tuple of WireFact
        Whole buckets, as many as fit a reply.
    """

    facts_by_bucket: dict[int, tuple[fact_table.WireFact, ...]]


EMPTY_SYNC_REPLY = msgspec.msgpack.encode(SyncReply({}))
"""Answer of a host whose facts are the same."""


class Gossip(facts.FactRegistry):
    """Fact registry whose facts reach all hosts.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    lifetime_by_kind : dict of str to datetime.timedelta
    urgent_kinds : collection of str
        Kinds that are pushed without delay instead of with the next probe.
    """

    def __init__(self, clock, metrics, lifetime_by_kind=None, urgent_kinds=()):
        self._metrics = metrics
        self._lock = threading.Lock()
        self._clock = clock
        self._budget_bytes = float(_BURST_BYTES)
        self._budget_updated_at = clock.monotonic()
        self._table = fact_table.FactTable(clock, lifetime_by_kind, urgent_kinds)
        self._callbacks_by_kind = {}
        self._urgent_kinds = frozenset(urgent_kinds)
        self.urgent = threading.Event()

    def publish(self, fact):
        """Add a fact and spread it; returns whether it was new."""
        with self._lock:
            is_new = self._table.add(fact)
        if is_new:
            self._notify_subscribers([fact])
        return is_new

    def facts(self, kind):
        """Return the facts of a kind by key."""
        with self._lock:
            return self._table.facts(kind)

    def get(self, kind, key):
        """Return one fact or None."""
        with self._lock:
            return self._table.get(kind, key)

    def to_wire(self, kind, key):
        """Return one fact as a `fact_table.WireFact`, or None."""
        with self._lock:
            return self._table.to_wire(kind, key)

    def subscribe(self, kind, callback):
        """Call `callback` for each fact of a kind that is new to this host."""
        with self._lock:
            self._callbacks_by_kind.setdefault(kind, []).append(callback)

    def digest(self):
        """Return a digest of all facts."""
        with self._lock:
            return self._table.digest()

    def expire(self):
        """Drop the facts whose lifetime has passed."""
        with self._lock:
            self._table.expire()

    def make_exchange(self, fleet_size, first=(), sender=""):
        """Return the bytes of an `Exchange` to send.

        Parameters
        ----------
        fleet_size : int
        first : sequence of fact_table.WireFact
            Facts to include in any case.
        sender : str
            Id of this host in requests.
        """
        with self._lock:
            pending = self._table.select_facts_to_send(
                self._available_bytes(), fleet_size
            )
            self._budget_bytes -= sum(fact_table.wire_size(wire) for wire in pending)
            digest = self._table.digest()
        first_ids = {(wire.kind, wire.key) for wire in first}
        rest = [wire for wire in pending if (wire.kind, wire.key) not in first_ids]
        return msgspec.msgpack.encode(Exchange(digest, (*first, *rest), sender))

    def _available_bytes(self):
        now = self._clock.monotonic()
        passed = (now - self._budget_updated_at).total_seconds()
        self._budget_updated_at = now
        refilled = self._budget_bytes + passed * _BYTES_PER_SECOND
        self._budget_bytes = min(_BURST_BYTES, refilled)
        return int(
            min(MAX_EXCHANGE_BYTES, max(_MIN_AVAILABLE_BYTES, self._budget_bytes))
        )

    def merge_exchange(self, payload):
        """Merge a received exchange.

        Returns
        -------
        tuple of (bool, str)
            Whether the tables are now equal, and the sender's id.
        """
        exchange = decode(payload, Exchange)
        self.merge(exchange.facts)
        return exchange.digest == self.digest(), exchange.sender

    def merge(self, wire_facts):
        """Merge facts of another host."""
        with self._lock:
            new_facts = self._table.merge(wire_facts)
        self._notify_subscribers(new_facts)

    def make_sync(self, first_bucket):
        """Return the bytes of a `Sync` request."""
        with self._lock:
            return msgspec.msgpack.encode(Sync(self._table.digests(), first_bucket))

    def answer_sync(self, payload):
        """Answer a `Sync` with the bytes of a `SyncReply`."""
        sync = decode(payload, Sync)
        if len(sync.digests) != fact_table.BUCKET_COUNT:
            raise errors.PeerError("another number of buckets", sent=True)
        facts_by_bucket = {}
        remaining_bytes = MAX_SYNC_BYTES
        with self._lock:
            own_digests = self._table.digests()
            for offset in range(fact_table.BUCKET_COUNT):
                bucket = (sync.first_bucket + offset) % fact_table.BUCKET_COUNT
                if own_digests[bucket] == sync.digests[bucket]:
                    continue
                found = tuple(self._table.bucket_facts(bucket))
                remaining_bytes -= sum(
                    len(msgspec.msgpack.encode(wire)) for wire in found
                )
                if remaining_bytes < 0 and facts_by_bucket:
                    break
                facts_by_bucket[bucket] = found
        return msgspec.msgpack.encode(SyncReply(facts_by_bucket))

    def merge_sync(self, payload):
        """Merge a `SyncReply`.

        Returns
        -------
        bytes or None
            An exchange with the facts that the other host lacks, None if it lacks none.
        """
        reply = decode(payload, SyncReply)
        missing = []
        for bucket, wire_facts in reply.facts_by_bucket.items():
            self.merge(wire_facts)
            with self._lock:
                missing += self._table.missing_in(bucket, wire_facts)
        if not missing:
            return None
        return msgspec.msgpack.encode(Exchange(0, tuple(missing)))

    def _notify_subscribers(self, new_facts):
        for fact in new_facts:
            if fact.kind in self._urgent_kinds:
                self.urgent.set()
            for callback in tuple(self._callbacks_by_kind.get(fact.kind, ())):
                callback(fact)
        with self._lock:
            size = {kind: len(self._table.facts(kind)) for kind in _kinds(new_facts)}
        for kind, count in size.items():
            self._metrics.set("facts", count, kind=kind)


def decode(payload, message_type):
    """Decode a message of a peer.

    Raises
    ------
    peridothitch.errors.PeerError
        The message is malformed.
    """
    try:
        return msgspec.msgpack.decode(payload, type=message_type)
    except msgspec.MsgspecError as error:
        raise errors.PeerError(f"malformed message: {error}", sent=True) from None


def _kinds(new_facts):
    return {fact.kind for fact in new_facts}
