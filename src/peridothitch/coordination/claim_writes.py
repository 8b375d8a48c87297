"""Conditional writes of claims, batched into few transactions by a few hosts."""

import datetime
import enum

import msgspec
import xxhash

from peridothitch import errors
from peridothitch.coordination import group_commit
from peridothitch.ports import store

__all__ = ["ClaimWrite", "ClaimWriter", "WriteResult", "WriteState"]

_METHOD = "claims.write"
_MAX_OWNERS = 4
_CALL_TIMEOUT = datetime.timedelta(seconds=2)


class WriteState(enum.Enum):
    """Outcome of a write."""

    APPLIED = "applied"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNCLEAR = "unclear"


class ClaimWrite(msgspec.Struct, frozen=True, kw_only=True):
    """A conditional write of one claim.

    Attributes
    ----------
    key : str
        Key of the claim.
    mod_revision : int
        The claim must have this revision; 0 for a claim that must not exist.
    value : bytes or None
        The new value; None removes the claim.
    open_key : str
        Key that lists the claim as open while it runs; empty for none.
    open_value : bytes
        Value of `open_key`; empty removes the key.
    lease_id : int
        Lease whose expiry removes the claim.
    """

    key: str
    mod_revision: int
    value: bytes | None
    open_key: str = ""
    open_value: bytes = b""
    lease_id: int = 0

    def compare(self):
        """Return the condition of the transaction."""
        target = store.Target.MOD if self.mod_revision else store.Target.CREATE
        return store.Compare(self.key, target, self.mod_revision)

    def writes(self):
        """Return the writes of the transaction."""
        if self.value is None:
            yield store.Delete(self.key)
        else:
            yield store.Put(self.key, self.value, self.lease_id)
        if self.open_key and self.open_value:
            yield store.Put(self.open_key, self.open_value, self.lease_id)
        elif self.open_key:
            yield store.Delete(self.open_key)


class WriteResult(msgspec.Struct, frozen=True):
    """Result of a `ClaimWrite`; `revision` is set for an applied one."""

    state: WriteState
    revision: int = 0


class ClaimWriter:
    """Sends each write to the host that owns its key, which batches them.

    Ownership serves batching only and excludes nobody: a write is conditional, so one
    that two hosts send takes effect once.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, service, peers, clock, metrics):
        self._store = service
        self._peers = peers
        self._metrics = metrics
        self._committer = group_commit.GroupCommitter(self._commit, clock)
        peers.register(_METHOD, self._handle)

    def write(self, claim_write):
        """Send one write; returns its `WriteResult`."""
        owner = self._owner(claim_write.key)
        if owner == self._peers.host_id:
            return self._committer.submit(claim_write)
        payload = msgspec.msgpack.encode(claim_write)
        try:
            reply = self._peers.call(owner, _METHOD, payload, _CALL_TIMEOUT)
            return msgspec.msgpack.decode(reply, type=WriteResult)
        except (errors.PeerError, msgspec.DecodeError):
            self._metrics.count("claim_owner_failures")
            return self._committer.submit(claim_write)

    def _owner(self, key):
        members = self._peers.members() or {self._peers.host_id: None}
        ranked = sorted(
            members, key=lambda host_id: xxhash.xxh64_intdigest(host_id.encode())
        )
        return max(
            ranked[:_MAX_OWNERS],
            key=lambda host_id: xxhash.xxh64_intdigest(f"{host_id} {key}".encode()),
        )

    def _handle(self, payload):
        claim_write = msgspec.msgpack.decode(payload, type=ClaimWrite)
        return msgspec.msgpack.encode(self._committer.submit(claim_write))

    def _commit(self, claim_writes):
        self._metrics.count("claim_transactions")
        self._metrics.count("claim_writes", amount=len(claim_writes))
        keys = {item.key for item in claim_writes}
        if len(keys) == len(claim_writes):
            result = self._transact(claim_writes)
            if result.state is not WriteState.REFUSED or len(claim_writes) == 1:
                return [result] * len(claim_writes)
        return [self._transact([item]) for item in claim_writes]

    def _transact(self, claim_writes):
        compares = [item.compare() for item in claim_writes]
        writes = [write for item in claim_writes for write in item.writes()]
        try:
            result = self._store.transact(compares, writes)
        except errors.StoreUnavailableError:
            return WriteResult(WriteState.UNAVAILABLE)
        except errors.StoreUnclearError:
            return WriteResult(WriteState.UNCLEAR)
        if not result.succeeded:
            return WriteResult(WriteState.REFUSED)
        return WriteResult(WriteState.APPLIED, result.revision)
