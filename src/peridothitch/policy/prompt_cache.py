"""Estimates which prompt parts an upstream has cached, from the prompts sent to it.

An upstream caches a part only together with all parts before it, and evicts the least
recently used parts when its memory is full. Other entry hosts use the same memory, so
parts are also assumed to be evicted after some time.
"""

import collections

__all__ = ["PromptCacheEstimate"]

_RETENTION_SECONDS = 10.0
"""Time after which a part is likely evicted by other hosts' requests."""

_MAX_PART_COUNT = 4096


class PromptCacheEstimate:
    """Cached prompt parts of one upstream; times are monotonic seconds."""

    def __init__(self):
        self._used_at_by_part = collections.OrderedDict()

    def cached_tokens(self, parts, now):
        """Return how many leading tokens of a prompt are likely cached.

        Parameters
        ----------
        parts : sequence of (str, int)
            Ids and tokens in order.
        now : float
        """
        tokens = 0
        for part_id, size in parts:
            used_at = self._used_at_by_part.get(part_id)
            if used_at is None or now - used_at > _RETENTION_SECONDS:
                break
            tokens += size
        return tokens

    def record_sent(self, parts, now):
        """Record that a prompt was sent to the upstream."""
        for part_id, _ in parts:
            self._used_at_by_part.pop(part_id, None)
            self._used_at_by_part[part_id] = now
        while len(self._used_at_by_part) > _MAX_PART_COUNT:
            self._used_at_by_part.popitem(last=False)
