"""Requests and answers that pass through unchanged, byte for byte."""

import abc
import dataclasses
import datetime

__all__ = ["ResponseWriter", "RawResponse", "RawCall", "RawRequest", "RawTransport"]


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
        Whether the request declared a body, be it an empty one.
    arrived : datetime.timedelta
        Monotonic time of the request's first byte.
    """

    method: str
    target: str
    fields: tuple
    body: bytes = b""
    has_body: bool = False
    arrived: datetime.timedelta = datetime.timedelta(0)

    @property
    def path(self):
        """Target without its query."""
        return self.target.partition("?")[0]

    def value(self, name):
        """Return the value of a header's first field, empty without one."""
        for found, value in self.fields:
            if found.lower() == name:
                return value
        return ""


class ResponseWriter(abc.ABC):
    """The answer to one caller."""

    @abc.abstractmethod
    def begin(self, status, reason, fields, length=None):
        """Send the head of the answer.

        Parameters
        ----------
        status : int
        reason : str
        fields : sequence of (str, str)
            Without those that frame the body.
        length : int or None
            Bytes of the body; None if they are not known.
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
        """End the answer as complete."""

    @abc.abstractmethod
    def abort(self):
        """Close the connection so that the answer doesn't look complete."""

    @property
    @abc.abstractmethod
    def has_begun(self):
        """Whether the head was sent."""

    @abc.abstractmethod
    def on_disconnect(self, callback):
        """Call `callback` once the caller has closed its connection.

        It is called in another thread and has to be quick; None calls nothing any more.
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawCall:
    """A request as it is sent to an upstream.

    Attributes
    ----------
    request_id : str
        Answers that bear another id belong to another request.
    method, target : str
    fields : tuple of (str, str)
        Without those that frame the body.
    body : bytes
    has_body : bool
    deadline : datetime.timedelta
        Monotonic time until which the answer is waited for.
    """

    request_id: str
    method: str
    target: str
    fields: tuple
    body: bytes = b""
    has_body: bool = False
    deadline: datetime.timedelta


class RawResponse(abc.ABC):
    """Answer of an upstream whose head has arrived.

    Attributes
    ----------
    status : int
    reason : str
    fields : tuple of (str, str)
    marks : peridothitch.ports.forwarding.ResponseMetadata
        What the fields say to entry hosts.
    length : int or None
        Bytes of the body, None if they are not known before its end.
    """

    status: int
    reason: str
    fields: tuple
    metadata: object
    length: int | None

    @abc.abstractmethod
    def set_deadline(self, deadline):
        """Wait for further bytes until the monotonic time `deadline`."""

    @abc.abstractmethod
    def read_some(self):
        """Return the bytes that arrived next, none at the body's end.

        Raises
        ------
        peridothitch.errors.UpstreamError
            The body was cut off or the deadline has passed.
        """

    @abc.abstractmethod
    def close(self):
        """Drop the answer unless it was read to the end."""


class RawTransport(abc.ABC):
    """Sends requests to upstream hosts."""

    @abc.abstractmethod
    def open(self, host, call, on_cancel):
        """Send `call` and wait for the head of the answer.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        call : RawCall
        on_cancel : callable
            Called with a function that drops the call from another thread.

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
        """Return whether a host that broke off a call accepts no connection."""

    @abc.abstractmethod
    def retain_connections(self, hosts):
        """Close the idle connections to all but the given hosts."""
