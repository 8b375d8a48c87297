"""Estimates which prompt prefixes upstream hosts have cached.

The sources are prompts that this entry host sent, cache events, which arrive late and
with gaps, and the cached tokens that replies report.
"""

import collections
import dataclasses
import enum
import math

__all__ = ["CacheEstimates", "CacheEvent", "CacheEventKind"]

_MAX_BLOCK_COUNT = 50_000
_HALF_LIFE_SECONDS = 120.0
_GAP_CONFIDENCE_FACTOR = 0.5
_MAX_HOLDER_COUNT = 2


class CacheEventKind(enum.Enum):
    """What happened to blocks in an engine's cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """One event of an engine's cache.

    Attributes
    ----------
    sequence : int
        Sequence number of the engine's event, from 1; a gap means lost events.
    kind : CacheEventKind
    blocks : tuple of int
        Block ids as in `peridothitch.policy.affinity.Prefix`.
    """

    sequence: int
    kind: CacheEventKind
    blocks: tuple[int, ...] = ()


class CacheEstimates:
    """Estimated cached blocks by upstream host, bounded in size.

    Parameters
    ----------
    max_blocks : int
        Largest number of blocks stored; the least recently seen are evicted.
    """

    def __init__(self, max_blocks=_MAX_BLOCK_COUNT):
        self._max_blocks = max_blocks
        self._seen_by_host_id_by_block = collections.OrderedDict()
        self._sequence_by_host_id = {}
        self._confidence_by_host_id = {}
        self._cleared_at_by_host_id = {}

    def record_sent(self, host_id, blocks, now):
        """Record that a prompt was sent to a host.

        Parameters
        ----------
        host_id : str
        blocks : tuple of int
        now : float
            Monotonic time in seconds.
        """
        for block in blocks:
            seen_by_host_id = self._seen_by_host_id_by_block.setdefault(block, {})
            seen_by_host_id[host_id] = now
            self._seen_by_host_id_by_block.move_to_end(block)
        while len(self._seen_by_host_id_by_block) > self._max_blocks:
            self._seen_by_host_id_by_block.popitem(last=False)

    def record_reply(self, host_id, blocks, cached_blocks, now):
        """Update the confidence in a host's blocks by the cached ones of a reply."""
        expected = self.cached_blocks((host_id,), blocks, now).get(host_id)
        if not expected:
            return
        confidence = self._confidence_by_host_id.get(host_id, 1.0)
        found = min(1.0, cached_blocks / expected)
        self._confidence_by_host_id[host_id] = max(0.1, 0.7 * confidence + 0.3 * found)

    def record_events(self, host_id, events, now):
        """Apply cache events; a gap lowers the confidence in the host's blocks."""
        for event in events:
            last = self._sequence_by_host_id.get(host_id)
            if last is not None and event.sequence <= last:
                continue
            if last is not None and event.sequence > last + 1:
                confidence = self._confidence_by_host_id.get(host_id, 1.0)
                self._confidence_by_host_id[host_id] = max(
                    0.1, confidence * _GAP_CONFIDENCE_FACTOR
                )
            self._sequence_by_host_id[host_id] = event.sequence
            self._apply(host_id, event, now)

    def last_sequence(self, host_id):
        """Return the sequence number of the last applied event, 0 if there is none."""
        return self._sequence_by_host_id.get(host_id, 0)

    def drop_host(self, host_id, now):
        """Discard the estimates of a host that restarted or was removed."""
        self._sequence_by_host_id.pop(host_id, None)
        self._confidence_by_host_id.pop(host_id, None)
        self._cleared_at_by_host_id[host_id] = now

    def holders(self, blocks):
        """Return the hosts that likely have the longest known prefix cached."""
        for block in reversed(blocks):
            seen_by_host_id = self._seen_by_host_id_by_block.get(block)
            if not seen_by_host_id:
                continue
            found = sorted(seen_by_host_id, key=seen_by_host_id.get, reverse=True)
            return tuple(found[:_MAX_HOLDER_COUNT])
        return ()

    def cached_blocks(self, host_ids, blocks, now):
        """Return the expected number of leading cached blocks by host id.

        Parameters
        ----------
        host_ids : iterable of str
        blocks : tuple of int
        now : float

        Returns
        -------
        dict of str to float
            Hosts with no cached blocks are omitted.
        """
        remaining = set(host_ids)
        count_by_host_id = {}
        for depth in range(len(blocks), 0, -1):
            seen_by_host_id = self._seen_by_host_id_by_block.get(blocks[depth - 1])
            if not seen_by_host_id:
                continue
            for host_id in remaining.intersection(seen_by_host_id):
                probability = self._cached_probability(
                    host_id, seen_by_host_id[host_id], now
                )
                if probability:
                    count_by_host_id[host_id] = depth * probability
                    remaining.discard(host_id)
            if not remaining:
                break
        return count_by_host_id

    def _cached_probability(self, host_id, seen_at, now):
        if seen_at <= self._cleared_at_by_host_id.get(host_id, -math.inf):
            return 0.0
        confidence = self._confidence_by_host_id.get(host_id, 1.0)
        return confidence * 0.5 ** (max(0.0, now - seen_at) / _HALF_LIFE_SECONDS)

    def _apply(self, host_id, event, now):
        if event.kind is CacheEventKind.STORED:
            self.record_sent(host_id, event.blocks, now)
            confidence = self._confidence_by_host_id.get(host_id, 1.0)
            self._confidence_by_host_id[host_id] = min(1.0, confidence + 0.05)
            return
        if event.kind is CacheEventKind.CLEARED:
            self._cleared_at_by_host_id[host_id] = now
            return
        for block in event.blocks:
            seen_by_host_id = self._seen_by_host_id_by_block.get(block)
            if seen_by_host_id is not None:
                seen_by_host_id.pop(host_id, None)
