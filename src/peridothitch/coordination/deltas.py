"""Compressed differences between two versions of a document section's text."""

import functools
import os
import zlib

import msgspec

__all__ = ["Delta", "apply_delta", "make_delta"]

_MAX_MIDDLE_BYTES = 2 << 20
_MAX_CACHED_DELTAS = 4


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Difference that turns one text into another.

    Attributes
    ----------
    prefix, suffix : int
        Number of unchanged bytes at the start and the end.
    middle : bytes
        New text between them, compressed with zlib.
    """

    prefix: int
    suffix: int
    middle: bytes


@functools.lru_cache(maxsize=_MAX_CACHED_DELTAS)
def make_delta(old, new):
    """Return the `Delta` from `old` to `new`, both str."""
    before, after = old.encode(), new.encode()
    prefix = len(os.path.commonprefix((before, after)))
    max_suffix = min(len(before), len(after)) - prefix
    suffix = len(
        os.path.commonprefix(
            (
                before[len(before) - max_suffix :][::-1],
                after[len(after) - max_suffix :][::-1],
            )
        )
    )
    middle = after[prefix : len(after) - suffix]
    return Delta(prefix, suffix, zlib.compress(middle))


def apply_delta(old, delta):
    """Return the text that results from applying `delta` to `old`.

    A delta that was made from another text is not always detected; the caller compares
    digests.

    Raises
    ------
    ValueError
        The delta is malformed, or `old` is shorter than the text it was made from.
    """
    before = old.encode()
    if delta.prefix + delta.suffix > len(before):
        raise ValueError("the delta was made from another text")
    inflater = zlib.decompressobj()
    try:
        middle = inflater.decompress(delta.middle, _MAX_MIDDLE_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not inflater.eof:
        raise ValueError("the delta's compressed text is truncated or too long")
    tail = before[len(before) - delta.suffix :]
    return (before[: delta.prefix] + middle + tail).decode()
