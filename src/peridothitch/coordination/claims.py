"""Claims: a request with a key runs at most once in the whole system.

A claim is a key of the store. It is created before the request's first byte is sent and
later stores the outcome, so that a caller who retries at any host gets it. A claim of a
durable request also contains the request, so that any host can resume it.
"""

import dataclasses
import datetime
import secrets
import threading

import msgspec

from peridothitch import errors
from peridothitch.coordination import claim_records, claim_writes

__all__ = ["ClaimStore", "StoredClaim"]

_PREFIX = "/peridothitch/claims/"
_OPEN_PREFIX = "/peridothitch/open/"
_NONCE_BYTES = 12
_MAX_ATTEMPTS = 3
_CLAIM_RETENTION = datetime.timedelta(hours=25)
_LEASE_REUSE_TIME = datetime.timedelta(hours=1)
_EXPIRY_MARGIN = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredClaim:
    """A claim as it was last read from the store.

    Attributes
    ----------
    customer, request_id : str
    claim : peridothitch.coordination.claim_records.Claim
    revision : int
        Revision of the claim in the store.
    owned : bool
        Whether this host runs the request.
    """

    customer: str
    request_id: str
    claim: claim_records.Claim
    revision: int
    owned: bool

    @property
    def key(self):
        """Key in the store."""
        return _key(self.customer, self.request_id)


def _key(customer, request_id):
    return f"{_PREFIX}{customer}/{request_id}"


def _is_same_run(first, second):
    return first.holder == second.holder and first.epoch == second.epoch


class ClaimStore:
    """Creates, takes over, finishes and releases claims.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    writer : peridothitch.coordination.claim_writes.ClaimWriter
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, service, writer, peers, clock):
        self._store = service
        self._writer = writer
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self.holder = (
            f"{peers.host_id}{claim_records.HOLDER_SEPARATOR}{secrets.token_hex(4)}"
        )
        self._lease_id = 0
        self._lease_until = clock.monotonic()
        self._abandoned_nonce_by_key = {}
        self._unwritten_by_key = {}

    def claim(self, customer, request_id, digest, lifetime, request=None):
        """Claim a request.

        Parameters
        ----------
        customer, request_id, digest : str
        lifetime : datetime.timedelta
            Longest time that the request may run.
        request : AcceptedRequest or None
            Given for a durable request.

        Returns
        -------
        Hold
            The existing or the new claim; `owned` if it is new.

        Raises
        ------
        peridothitch.errors.StoreError
            No claim was created, or the outcome is unknown; the request must not run.
        """
        claim = claim_records.Claim(
            nonce=secrets.token_hex(_NONCE_BYTES),
            digest=digest,
            holder=self.holder,
            expires=self._expiry(lifetime),
            request=request,
        )
        try:
            return self._create(customer, request_id, claim)
        except errors.StoreError:
            with self._lock:
                key = _key(customer, request_id)
                self._abandoned_nonce_by_key[key] = claim.nonce
            raise

    def _expiry(self, lifetime):
        return self._clock.now() + lifetime + _EXPIRY_MARGIN

    def _create(self, customer, request_id, claim):
        for _ in range(_MAX_ATTEMPTS):
            result = self._writer.write(
                self._make_write(customer, request_id, claim, 0)
            )
            if result.state is claim_writes.WriteState.UNAVAILABLE:
                raise errors.StoreUnavailableError("the claim was not written")
            if result.state is claim_writes.WriteState.APPLIED:
                return self._to_stored(
                    customer, request_id, claim, result.revision, True
                )
            found = self.read(customer, request_id)
            if found is None or self._release_abandoned(found):
                continue
            owned = found.claim.nonce == claim.nonce
            return dataclasses.replace(found, owned=owned)
        raise errors.StoreUnavailableError("the claim was not written")

    def _to_stored(self, customer, request_id, claim, revision, owned):
        return StoredClaim(
            customer=customer,
            request_id=request_id,
            claim=claim,
            revision=revision,
            owned=owned,
        )

    def _make_write(self, customer, request_id, claim, revision):
        value = None if claim is None else msgspec.msgpack.encode(claim)
        running = claim is not None and claim.state is claim_records.ClaimState.RUNNING
        durable = claim is None or claim.request is not None
        return claim_writes.ClaimWrite(
            key=_key(customer, request_id),
            mod_revision=revision,
            value=value,
            open_key=f"{_OPEN_PREFIX}{customer}/{request_id}" if durable else "",
            open_value=claim.holder.encode() if running else b"",
            lease_id=self._current_lease(),
        )

    def _current_lease(self):
        # All claims that a host writes within an hour share a lease; its expiry removes
        # them without a call for each.
        with self._lock:
            if self._lease_id and self._clock.monotonic() < self._lease_until:
                return self._lease_id
            try:
                self._lease_id = self._store.grant_lease(_CLAIM_RETENTION)
            except errors.StoreError:
                return self._lease_id
            self._lease_until = self._clock.monotonic() + _LEASE_REUSE_TIME
            return self._lease_id

    def read(self, customer, request_id):
        """Return the `StoredClaim` of a claim, not owned, or None."""
        item = self._store.get(_key(customer, request_id))
        if item is None:
            return None
        claim = msgspec.msgpack.decode(item.value, type=claim_records.Claim)
        return self._to_stored(customer, request_id, claim, item.mod_revision, False)

    def may_be_running(self, claim):
        """Return whether the holder of a claim may still be running the request."""
        return self._clock.now() < claim.expires and self.is_live(claim.holder)

    def is_live(self, holder):
        """Return whether a holder's process is believed to be live."""
        host_id = holder.partition(claim_records.HOLDER_SEPARATOR)[0]
        if host_id == self._peers.host_id:
            return holder == self.holder
        return host_id in self._peers.members()

    def take_over(self, stored, lifetime):
        """Take over a durable request as its new holder.

        Returns
        -------
        Hold or None
            None when another host took it over first.
        """
        claim = msgspec.structs.replace(
            stored.claim,
            holder=self.holder,
            epoch=stored.claim.epoch + 1,
            expires=self._expiry(lifetime),
        )
        write = self._make_write(
            stored.customer, stored.request_id, claim, stored.revision
        )
        result = self._writer.write(write)
        if result.state is claim_writes.WriteState.APPLIED:
            return dataclasses.replace(
                stored, claim=claim, revision=result.revision, owned=True
            )
        if result.state is claim_writes.WriteState.UNAVAILABLE:
            raise errors.StoreUnavailableError("the claim was not taken over")
        found = self.read(stored.customer, stored.request_id)
        if found is None or found.claim != claim:
            return None
        return dataclasses.replace(found, owned=True)

    def checkpoint(self, stored, body):
        """Record a part of the answer.

        Returns
        -------
        Hold or None
            The claim with its new revision; None when another host has taken the
            request over.

        Raises
        ------
        peridothitch.errors.StoreError
            It is not confirmed that the part was recorded.
        """
        claim = msgspec.structs.replace(stored.claim, body=body)
        write = self._make_write(
            stored.customer, stored.request_id, claim, stored.revision
        )
        result = self._writer.write(write)
        if result.state is claim_writes.WriteState.APPLIED:
            return dataclasses.replace(stored, claim=claim, revision=result.revision)
        if result.state is claim_writes.WriteState.UNAVAILABLE:
            raise errors.StoreUnavailableError("the checkpoint was not written")
        found = self.read(stored.customer, stored.request_id)
        if found is None or not _is_same_run(found.claim, claim):
            return None
        if found.claim != claim:
            raise errors.StoreUnclearError("the checkpoint may not be written")
        return dataclasses.replace(found, owned=True)

    def finish(self, stored, status, content_type, body):
        """Record the answer of a request.

        Returns
        -------
        bool
            False when another host has taken the request over.

        Raises
        ------
        peridothitch.errors.StoreError
            The answer is not recorded yet; `retry_writes` retries.
        """
        done = msgspec.structs.replace(
            stored.claim,
            state=claim_records.ClaimState.DONE,
            status=status,
            content_type=content_type,
            body=body,
        )
        try:
            return self._record(stored, done)
        except errors.StoreError:
            with self._lock:
                self._unwritten_by_key[stored.key] = (stored, done)
            raise

    def _record(self, stored, done):
        for _ in range(_MAX_ATTEMPTS):
            result = self._writer.write(
                self._make_write(
                    stored.customer, stored.request_id, done, stored.revision
                )
            )
            if result.state is claim_writes.WriteState.APPLIED:
                return True
            if result.state is claim_writes.WriteState.UNAVAILABLE:
                raise errors.StoreUnavailableError("the answer was not recorded")
            found = self.read(stored.customer, stored.request_id)
            if found is None or found.claim == done:
                return found is not None
            if not _is_same_run(found.claim, done):
                return False
            stored = found
        raise errors.StoreUnclearError("the answer may not be recorded")

    def release(self, stored):
        """Remove the claim of a request that did not run.

        Returns
        -------
        bool
            Whether the removal is confirmed; `retry_writes` retries it if not.
        """
        try:
            removed = self._remove(stored)
        except errors.StoreError:
            removed = False
        if not removed:
            with self._lock:
                self._abandoned_nonce_by_key[stored.key] = stored.claim.nonce
        return removed

    def _remove(self, stored):
        write = self._make_write(
            stored.customer, stored.request_id, None, stored.revision
        )
        result = self._writer.write(write)
        if result.state is claim_writes.WriteState.APPLIED:
            return True
        found = self.read(stored.customer, stored.request_id)
        return found is None or found.claim.nonce != stored.claim.nonce

    def _release_abandoned(self, stored):
        with self._lock:
            nonce = self._abandoned_nonce_by_key.get(stored.key)
        if (
            nonce != stored.claim.nonce
            or stored.claim.state is claim_records.ClaimState.DONE
        ):
            return False
        if not self._remove(stored):
            return False
        with self._lock:
            self._abandoned_nonce_by_key.pop(stored.key, None)
        return True

    def retry_writes(self):
        """Retry answers that were not recorded and claims that were not removed."""
        with self._lock:
            unrecorded = dict(self._unwritten_by_key)
            abandoned = dict(self._abandoned_nonce_by_key)
        try:
            for key, (stored, done) in unrecorded.items():
                self._record(stored, done)
                self._discard(self._unwritten_by_key, key)
            for key in abandoned:
                customer, _, request_id = key.removeprefix(_PREFIX).partition("/")
                found = self.read(customer, request_id)
                if found is not None:
                    self._release_abandoned(found)
                self._discard(self._abandoned_nonce_by_key, key)
        except errors.StoreError:
            return

    def _discard(self, item_by_key, key):
        with self._lock:
            item_by_key.pop(key, None)

    def open_requests(self):
        """Return customer, request id and holder of each unfinished durable request."""
        listed = self._store.range(_OPEN_PREFIX).item_by_key
        found = []
        for key, item in listed.items():
            customer, _, request_id = key.removeprefix(_OPEN_PREFIX).partition("/")
            found.append((customer, request_id, item.value.decode()))
        return found
