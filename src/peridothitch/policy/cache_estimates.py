"""Beliefs about which prompt prefixes upstream hosts have cached.

Beliefs come from prompts that this entry host sent, from cache events that arrive late
and with gaps, and from the cached tokens that replies report.
"""

import collections
import dataclasses
import enum
import math

__all__ = ["CacheEstimates", "CacheEvent", "CacheEventKind"]

_MAX_BLOCKS = 50_000
_HALF_LIFE_SECONDS = 120.0
_DISTRUST_AFTER_GAP = 0.5
_MAX_HOLDERS = 2


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
        Counts the engine's events from 1; a jump tells that events were lost.
    kind : CacheEventKind
    blocks : tuple of int
        Block ids as `peridothitch.policy.affinity.prefix_blocks` makes them.
    """

    sequence: int
    kind: CacheEventKind
    blocks: tuple[int, ...] = ()


class CacheEstimates:
    """Cached blocks by upstream host, bounded in size.

    Parameters
    ----------
    max_blocks : int
        Most blocks kept; the ones seen longest ago are dropped.
    """

    def __init__(self, max_blocks=_MAX_BLOCKS):
        self._max_blocks = max_blocks
        self._seen_by_host_id_by_block = collections.OrderedDict()
        self._sequence_by_host_id = {}
        self._trust_by_host_id = {}
        self._cleared_at_by_host_id = {}

    def record_sent(self, host_id, blocks, now):
        """Note that a prompt went to a host.

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
        """Take in how many of a prompt's blocks a host had cached."""
        believed = self.cached_blocks((host_id,), blocks, now).get(host_id)
        if not believed:
            return
        trust = self._trust_by_host_id.get(host_id, 1.0)
        found = min(1.0, cached_blocks / believed)
        self._trust_by_host_id[host_id] = max(0.1, 0.7 * trust + 0.3 * found)

    def record_events(self, host_id, events, now):
        """Take in cache events; a gap lowers the trust in the host's blocks."""
        for event in events:
            last = self._sequence_by_host_id.get(host_id)
            if last is not None and event.sequence <= last:
                continue
            if last is not None and event.sequence > last + 1:
                trust = self._trust_by_host_id.get(host_id, 1.0)
                self._trust_by_host_id[host_id] = max(0.1, trust * _DISTRUST_AFTER_GAP)
            self._sequence_by_host_id[host_id] = event.sequence
            self._apply(host_id, event, now)

    def last_sequence(self, host_id):
        """Return the sequence of the last event taken in, 0 when there was none."""
        return self._sequence_by_host_id.get(host_id, 0)

    def drop_host(self, host_id, now):
        """Drop all that is believed of a host, because it restarted or is gone."""
        self._sequence_by_host_id.pop(host_id, None)
        self._trust_by_host_id.pop(host_id, None)
        self._cleared_at_by_host_id[host_id] = now

    def holders(self, blocks):
        """Return the hosts believed to have the longest known prefix cached."""
        for block in reversed(blocks):
            seen_by_host_id = self._seen_by_host_id_by_block.get(block)
            if not seen_by_host_id:
                continue
            found = sorted(seen_by_host_id, key=seen_by_host_id.get, reverse=True)
            return tuple(found[:_MAX_HOLDERS])
        return ()

    def cached_blocks(self, host_ids, blocks, now):
        """Return the expected leading blocks cached, by host id.

        Parameters
        ----------
        host_ids : iterable of str
        blocks : tuple of int
        now : float

        Returns
        -------
        dict of str to float
            Hosts with nothing cached are left out.
        """
        missing = set(host_ids)
        count_by_host_id = {}
        for depth in range(len(blocks), 0, -1):
            seen_by_host_id = self._seen_by_host_id_by_block.get(blocks[depth - 1])
            if not seen_by_host_id:
                continue
            for host_id in missing.intersection(seen_by_host_id):
                belief = self._belief(host_id, seen_by_host_id[host_id], now)
                if belief:
                    count_by_host_id[host_id] = depth * belief
                    missing.discard(host_id)
            if not missing:
                break
        return count_by_host_id

    def _belief(self, host_id, seen_at, now):
        if seen_at <= self._cleared_at_by_host_id.get(host_id, -math.inf):
            return 0.0
        trust = self._trust_by_host_id.get(host_id, 1.0)
        return trust * 0.5 ** (max(0.0, now - seen_at) / _HALF_LIFE_SECONDS)

    def _apply(self, host_id, event, now):
        if event.kind is CacheEventKind.STORED:
            self.record_sent(host_id, event.blocks, now)
            trust = self._trust_by_host_id.get(host_id, 1.0)
            self._trust_by_host_id[host_id] = min(1.0, trust + 0.05)
            return
        if event.kind is CacheEventKind.CLEARED:
            self._cleared_at_by_host_id[host_id] = now
            return
        for block in event.blocks:
            seen_by_host_id = self._seen_by_host_id_by_block.get(block)
            if seen_by_host_id is not None:
                seen_by_host_id.pop(host_id, None)
