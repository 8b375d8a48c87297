"""Claims: a request with a key runs at most once in the whole system.

A claim is a key of the store that is created before the request's first byte leaves and
that later holds the outcome, so that a caller who asks again at any host gets it.
"""

import enum
import hashlib
import secrets

import msgspec

from peridothitch import errors
from peridothitch.ports import store

__all__ = ["Claim", "ClaimBook", "ClaimState", "digest_body"]

_PREFIX = "/peridothitch/claims/"
_NONCE_BYTES = 12


class ClaimState(enum.Enum):
    """What is known about a claimed request."""

    RUNNING = "running"
    DONE = "done"


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Record of one claimed request.

    Attributes
    ----------
    nonce : str
        Identifies the attempt that created the claim.
    digest : str
        Digest of method, path and body.
    holder : str
        Host that claimed the request.
    state : ClaimState
    status : int
        HTTP status of the answer, 0 while running.
    content_type : str
    body : bytes
        Answer.
    """

    nonce: str
    digest: str
    holder: str
    state: ClaimState = ClaimState.RUNNING
    status: int = 0
    content_type: str = ""
    body: bytes = b""


def digest_body(method, path, body):
    """Return a digest of what a request asks for, in hex."""
    return hashlib.sha256(
        b"\n".join((method.encode(), path.encode(), body))
    ).hexdigest()


def _key(customer, idempotency_key):
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{_PREFIX}{customer}/{digest}"


class ClaimBook:
    """Creates, finishes and releases claims.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    holder : str
        Name of this host.
    """

    def __init__(self, service, holder):
        self._store = service
        self._holder = holder

    def claim(self, customer, idempotency_key, digest):
        """Claim a request.

        Returns
        -------
        tuple of (Claim, bool)
            The claim, and whether this call created it.

        Raises
        ------
        peridothitch.errors.StoreError
            No claim was made, or it is unclear; the request must not run.
        """
        claim = Claim(
            nonce=secrets.token_hex(_NONCE_BYTES), digest=digest, holder=self._holder
        )
        key = _key(customer, idempotency_key)
        absent = store.Compare(key, store.Target.CREATE, 0)
        put = store.Put(key, msgspec.json.encode(claim))
        try:
            created = self._store.transact([absent], [put]).succeeded
        except errors.StoreUnclearError:
            created = False
        if created:
            return claim, True
        item = self._store.get(key)
        if item is None:
            raise errors.StoreUnavailableError("the claim was not written")
        found = msgspec.json.decode(item.value, type=Claim)
        return found, found.nonce == claim.nonce

    def finish(self, customer, idempotency_key, claim, status, content_type, body):
        """Record the answer of a claimed request."""
        done = Claim(
            nonce=claim.nonce,
            digest=claim.digest,
            holder=claim.holder,
            state=ClaimState.DONE,
            status=status,
            content_type=content_type,
            body=body,
        )
        key = _key(customer, idempotency_key)
        self._store.transact([], [store.Put(key, msgspec.json.encode(done))])

    def release(self, customer, idempotency_key):
        """Remove the claim of a request that did not run."""
        self._store.transact([], [store.Delete(_key(customer, idempotency_key))])
