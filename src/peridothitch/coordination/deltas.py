"""Differences between two texts of a section, compressed."""

import functools
import os
import zlib

import msgspec

__all__ = ["Delta", "apply_delta", "make_delta"]

MAX_TEXT_BYTES = 2 << 20
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
    tail = min(len(before), len(after)) - prefix
    suffix = len(
        os.path.commonprefix(
            (before[len(before) - tail :][::-1], after[len(after) - tail :][::-1])
        )
    )
    middle = after[prefix : len(after) - suffix]
    return Delta(prefix, suffix, zlib.compress(middle))


def apply_delta(old, delta):
    """Return the text that results from applying `delta` to `old`.

    Raises
    ------
    ValueError
        The delta was made from another text or is malformed.
    """
    before = old.encode()
    if delta.prefix + delta.suffix > len(before):
        raise ValueError("the delta was made from another text")
    inflater = zlib.decompressobj()
    try:
        middle = inflater.decompress(delta.middle, MAX_TEXT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not inflater.eof:
        raise ValueError("the compressed text is truncated or too long")
    tail = before[len(before) - delta.suffix :]
    return (before[: delta.prefix] + middle + tail).decode()
