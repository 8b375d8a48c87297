"""Records of claims in the key-value store."""

import datetime
import enum
import hashlib

import msgspec

__all__ = [
    "AcceptedRequest",
    "Claim",
    "ClaimState",
    "HOLDER_SEPARATOR",
    "digest_body",
    "make_request_id",
]

HOLDER_SEPARATOR = "#"
"""Separates the host id from the process in a holder's name."""

_REQUEST_ID_HEX_DIGITS = 32


class ClaimState(enum.Enum):
    """State of a claimed request."""

    RUNNING = "running"
    DONE = "done"


class AcceptedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A durable request as it was accepted."""

    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    key: str


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Record of one claimed request.

    Attributes
    ----------
    nonce : str
        Identifies the attempt that created the claim.
    digest : str
        Digest of method, path and body.
    holder : str
        Host and process that runs the request.
    expires : datetime.datetime
        Time after which the holder no longer runs the request.
    epoch : int
        Number of times that a host took the request over.
    state : ClaimState
    status : int
        HTTP status of the answer, 0 while running.
    content_type : str
    body : bytes
        Answer.
    request : AcceptedRequest or None
        The request, if it is durable.
    """

    nonce: str
    digest: str
    holder: str
    expires: datetime.datetime
    epoch: int = 0
    state: ClaimState = ClaimState.RUNNING
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    request: AcceptedRequest | None = None

    @property
    def host_id(self):
        """Host of the holder."""
        return self.holder.partition(HOLDER_SEPARATOR)[0]


def digest_body(method, path, body):
    """Return the hex digest of a request's method, path and body."""
    return hashlib.sha256(
        b"\n".join((method.encode(), path.encode(), body))
    ).hexdigest()


def make_request_id(customer, idempotency_key):
    """Return the request id for a customer's key, the same at every host."""
    text = f"{customer}\n{idempotency_key}".encode()
    return hashlib.sha256(text).hexdigest()[:_REQUEST_ID_HEX_DIGITS]
