"""Content of mirrors in parts of limited size, for the calls between hosts.

A call has a time limit, so a reply has a size limit. Hosts with the same keys produce
the same parts: a download that a failed call interrupts continues at another host.
"""

import collections
import threading
import zlib

import msgspec
import xxhash

from peridothitch.coordination import mirror

__all__ = ["PART_BYTES", "Download", "MirrorPart", "PartSource", "Progress"]

PART_BYTES = 32 << 10
"""Arrives within the time limit of a call, also on a slow link that hosts share."""

_MAX_CONTENT_BYTES = 64 << 20
_RETAINED_CONTENTS = 3
"""Contents that downloads may still continue while the keys keep changing."""


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """What a host has received of one content.

    Attributes
    ----------
    digest : str
        Identifies the content, empty if nothing was received.
    size : int
        Bytes received from the beginning.
    """

    digest: str = ""
    size: int = 0


class MirrorPart(msgspec.Struct, frozen=True, array_like=True):
    """Bytes of the compressed content of a mirror.

    Attributes
    ----------
    prefix : str
    revision : int
        Store revision up to which all changes are included.
    digest : str
        Identifies the content.
    total_size : int
        Bytes of the whole content.
    offset : int
        Position of `data` in the content.
    data : bytes
    """

    prefix: str
    revision: int
    digest: str
    total_size: int
    offset: int
    data: bytes


class _Content(msgspec.Struct, frozen=True):
    mirror_digest: int
    revision: int
    digest: str
    data: bytes


class PartSource:
    """Splits one mirror's content; retains the last ones.

    Parameters
    ----------
    own_mirror : peridothitch.coordination.mirror.Mirror
    """

    def __init__(self, own_mirror):
        self._mirror = own_mirror
        self._lock = threading.Lock()
        self._content_by_digest = collections.OrderedDict()

    def next_part(self, revision, progress):
        """Return the `MirrorPart` that continues a download, or begins a new one.

        Parameters
        ----------
        revision : int
            Store revision that the requesting host has.
        progress : Progress
        """
        with self._lock:
            newest = self._newest_content()
            content = self._content_by_digest.get(progress.digest, newest)
            offset = progress.size
            is_outdated = content is not newest and content.revision <= revision
            if is_outdated or content.digest != progress.digest:
                content, offset = newest, 0
        return MirrorPart(
            prefix=self._mirror.prefix,
            revision=content.revision,
            digest=content.digest,
            total_size=len(content.data),
            offset=offset,
            data=content.data[offset : offset + PART_BYTES],
        )

    def _newest_content(self):
        revision, mirror_digest = self._mirror.version
        newest = next(reversed(self._content_by_digest.values()), None)
        if newest is None or newest.mirror_digest != mirror_digest:
            state = self._mirror.state()
            items = sorted(state.items, key=lambda item: item.key)
            data = zlib.compress(msgspec.msgpack.encode(items))
            revision = state.revision
            newest = _Content(mirror_digest, revision, _digest(data), data)
        elif revision > newest.revision:
            newest = msgspec.structs.replace(newest, revision=revision)
        self._content_by_digest[newest.digest] = newest
        self._content_by_digest.move_to_end(newest.digest)
        while len(self._content_by_digest) > _RETAINED_CONTENTS:
            self._content_by_digest.popitem(last=False)
        return newest


class Download:
    """Collects the parts of one mirror's content."""

    def __init__(self):
        self._digest = ""
        self._data = bytearray()

    @property
    def progress(self):
        """The `Progress` of the content that is being received."""
        return Progress(self._digest, len(self._data))

    def add(self, part):
        """Add a part.

        Returns
        -------
        peridothitch.coordination.mirror.MirrorState or None
            The content if this was its last part.

        Raises
        ------
        ValueError
            The part does not continue the download or the content is damaged; the
            download starts again.
        """
        if part.offset == 0:
            self._digest = part.digest
            self._data.clear()
        if part.digest != self._digest or part.offset != len(self._data):
            raise self._reset(f"part {part.offset} of {part.digest!r} is unexpected")
        self._data += part.data
        if len(self._data) < part.total_size and part.data:
            return None
        data = bytes(self._data)
        if _digest(data) != part.digest:
            raise self._reset(f"content {part.digest!r} has another digest")
        self._digest = ""
        self._data.clear()
        return mirror.MirrorState(part.prefix, part.revision, _decode_items(data))

    def _reset(self, detail):
        self._digest = ""
        self._data.clear()
        return ValueError(detail)


def _digest(data):
    return xxhash.xxh64_hexdigest(data)


def _decode_items(data):
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(data, _MAX_CONTENT_BYTES)
        if not inflater.eof:
            raise ValueError(f"content is over {_MAX_CONTENT_BYTES} bytes or cut off")
        return msgspec.msgpack.decode(content, type=tuple[mirror.MirrorItem, ...])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"content is malformed: {error}") from None
