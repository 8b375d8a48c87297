"""Checks the body of a chat request before it goes to an upstream."""

import typing

import msgspec

from peridothitch import errors

__all__ = ["parse_chat"]

_Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1 << 31)]


class _Message(msgspec.Struct):
    role: str
    content: str | list[dict[str, typing.Any]] | None = None


class _Chat(msgspec.Struct):
    messages: typing.Annotated[list[_Message], msgspec.Meta(min_length=1)]
    model: str | None = None
    stream: bool | None = None
    n: _Count | None = None
    max_tokens: _Count | None = None
    max_completion_tokens: _Count | None = None


def parse_chat(body):
    """Return the parsed body of a chat request.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    dict

    Raises
    ------
    peridothitch.errors.RequestError
        The body is not JSON or a known member has the wrong type.
    """
    try:
        parsed = msgspec.json.decode(body)
        msgspec.convert(parsed, _Chat)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.RequestError(errors.Code.INVALID_BODY, str(error)) from None
    return parsed
