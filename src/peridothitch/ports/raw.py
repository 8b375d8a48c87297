"""Requests and responses that are forwarded unchanged, byte for byte."""

import abc
import dataclasses
import datetime

__all__ = [
    "RawCall",
    "RawRequest",
    "RawResponse",
    "RawTransport",
    "ResponseLimits",
    "ResponseWrapper",
    "ResponseWriter",
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawRequest:
    """A caller's request as it was sent.

    Attributes
    ----------
    method : str
    target : str
        Path and query; each character stands for one byte.
    fields : tuple of (str, str)
        Headers in order, names and values as they were sent.
    body : bytes
    has_body : bool
        Whether the request declared a body, even an empty one.
    arrived : datetime.timedelta
        Monotonic time of the request's first byte.
    received : datetime.timedelta or None
        Monotonic time of its last byte, if that is known.
    """

    method: str
    target: str
    fields: tuple
    body: bytes = b""
    has_body: bool = False
    arrived: datetime.timedelta = datetime.timedelta(0)
    received: datetime.timedelta | None = None

    @property
    def path(self):
        """Target without its query."""
        return self.target.partition("?")[0]

    def value(self, name):
        """Return the value of the first field of a name; empty if there is none."""
        for found, value in self.fields:
            if found.lower() == name:
                return value
        return ""


class ResponseWriter(abc.ABC):
    """Writes the response to one caller."""

    @abc.abstractmethod
    def begin(self, status, reason, fields, length=None):
        """Send the head of the response.

        Parameters
        ----------
        status : int
        reason : str
        fields : sequence of (str, str)
            Without the fields that frame the body.
        length : int or None
            Length of the body in bytes; None if it is not known.
        """

    @abc.abstractmethod
    def write(self, data):
        """Send a part of the body.

        Raises
        ------
        peridothitch.errors.RequestError
            CALLER_GONE: the caller has closed its connection.
        """

    @abc.abstractmethod
    def end(self):
        """Complete the response."""

    @abc.abstractmethod
    def abort(self):
        """Close the connection so that the response is recognizably incomplete."""

    @property
    @abc.abstractmethod
    def has_begun(self):
        """Whether the head of the response was sent."""

    @abc.abstractmethod
    def on_disconnect(self, callback):
        """Call `callback` once the caller has closed its connection.

        It runs in another thread and must return quickly; None removes the callback.
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawCall:
    """A request as it is sent to an upstream.

    Attributes
    ----------
    request_id : str
        Responses with another id belong to another request.
    method, target : str
    fields : tuple of (str, str)
        Without the fields that frame the body.
    body : bytes
    has_body : bool
    deadline : datetime.timedelta
        Monotonic time until which to wait for the response.
    homes : frozenset of str or None
        Regions of the machines that the call may be sent to; None for all.
    """

    request_id: str
    method: str
    target: str
    fields: tuple
    body: bytes = b""
    has_body: bool = False
    deadline: datetime.timedelta
    homes: frozenset | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseLimits:
    """Largest sizes of an upstream's response; larger ones are errors.

    Attributes
    ----------
    head_bytes : int
        Heads that precede a body, interim responses included, or a trailer.
    body_bytes : int
        Body with its framing.
    discarded_bytes : int
        Response that belongs to another request.
    """

    head_bytes: int = 64 << 10
    body_bytes: int = 64 << 20
    discarded_bytes: int = 64 << 10


class RawResponse(abc.ABC):
    """Response of an upstream whose head has been received.

    Attributes
    ----------
    status : int
    reason : str
    fields : tuple of (str, str)
    metadata : peridothitch.ports.forwarding.ResponseMetadata
        Metadata in the fields that is meant for entry hosts.
    length : int or None
        Length of the body in bytes, None if it is not known before the end.
    sent_at : datetime.timedelta or None
        Monotonic time at which the call was sent on the path by which it was answered;
        None if no other path was tried before.
    """

    status: int
    reason: str
    fields: tuple
    metadata: object
    length: int | None
    sent_at: datetime.timedelta | None = None

    @abc.abstractmethod
    def set_deadline(self, deadline):
        """Wait for further bytes until the monotonic time `deadline`."""

    @abc.abstractmethod
    def read_some(self):
        """Return the next bytes of the body, empty at its end.

        Raises
        ------
        peridothitch.errors.UpstreamError
            The body was truncated or the deadline has passed.
        """

    @abc.abstractmethod
    def close(self):
        """Abandon the response unless it was read to the end."""


class ResponseWrapper(RawResponse):
    """Response that passes on another one.

    Parameters
    ----------
    response : RawResponse
    """

    def __init__(self, response):
        self._response = response
        self.status = response.status
        self.reason = response.reason
        self.fields = response.fields
        self.metadata = response.metadata
        self.length = response.length
        self.sent_at = response.sent_at

    def set_deadline(self, deadline):
        """Wait for further bytes until the monotonic time `deadline`."""
        self._response.set_deadline(deadline)

    def read_some(self):
        """Return the next bytes of the body, empty at its end."""
        return self._response.read_some()

    def close(self):
        """Abandon the response unless it was read to the end."""
        self._response.close()


class RawTransport(abc.ABC):
    """Sends requests to upstream hosts."""

    @abc.abstractmethod
    def open(self, host, call, on_cancel):
        """Send `call` and wait for the head of the response.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        call : RawCall
        on_cancel : callable
            Called with a function by which another thread can cancel the call.

        Returns
        -------
        RawResponse

        Raises
        ------
        peridothitch.errors.UpstreamError
            With ``ran`` NO when no byte of the call left this process.
        """

    @abc.abstractmethod
    def is_down(self, host):
        """Return whether a host that broke off a call refuses new connections."""

    def has_lost_path(self, host):
        """Return whether failures at a host are those of this process's path to it.

        False where the transport can't tell.
        """
        return False

    @abc.abstractmethod
    def retain_connections(self, hosts):
        """Close the idle connections to all but the given hosts."""
