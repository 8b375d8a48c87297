"""Typed requests and replies between the HTTP server and the request handler."""

import collections.abc
import dataclasses

__all__ = ["Reply", "Request"]


def _never_gone():
    return False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """One caller's request.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path without query.
    query : str
        Query without the question mark.
    header_by_name : dict of str to str
        Headers with lower-case names.
    body : bytes
        Whole body.
    caller_gone : callable
        Returns True once the caller has closed its connection.
    """

    method: str
    path: str
    query: str = ""
    header_by_name: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    caller_gone: collections.abc.Callable = _never_gone


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Response to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    header_by_name : dict of str to str
        Headers.
    chunks : iterable of bytes
        Body; a generator when it is streamed. Closing the generator ends the request.
    """

    status: int
    header_by_name: dict
    chunks: collections.abc.Iterable
