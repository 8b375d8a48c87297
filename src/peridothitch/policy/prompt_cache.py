"""Estimates which prompt parts an upstream still keeps, from what was sent to it.

An upstream keeps a part only if it keeps all parts before it, and drops the parts used
longest ago when its memory is full. Other entry hosts fill the same memory, so parts
are also taken to be gone after some time.
"""

import collections

__all__ = ["PromptCacheEstimate"]

_KEPT_SECONDS = 10.0
"""After this time a part is likely displaced by other hosts' requests."""

_MAX_PARTS = 4096


class PromptCacheEstimate:
    """Prompt parts of one upstream; times are monotonic seconds."""

    def __init__(self):
        self._used_by_part = collections.OrderedDict()

    def cached_tokens(self, parts, now):
        """Return how many leading tokens of a prompt are likely kept.

        Parameters
        ----------
        parts : sequence of (str, int)
            Ids and tokens in order.
        now : float
        """
        tokens = 0
        for part_id, size in parts:
            used = self._used_by_part.get(part_id)
            if used is None or now - used > _KEPT_SECONDS:
                break
            tokens += size
        return tokens

    def record_sent(self, parts, now):
        """Note that a prompt is being read."""
        for part_id, _ in parts:
            self._used_by_part.pop(part_id, None)
            self._used_by_part[part_id] = now
        while len(self._used_by_part) > _MAX_PARTS:
            self._used_by_part.popitem(last=False)
