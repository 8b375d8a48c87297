"""Names the upstreams at which all entry hosts expect a shared part of prompts.

Entry hosts that each remember only their own requests would have a part read at as many
upstreams as there are. Rendezvous hashing names the same few without a message. A part
that makes up much of the work has as many owners as keep their load average.
"""

import collections
import math

import xxhash

__all__ = ["PartOwners"]

_HALF_LIFE_SECONDS = 10.0
_PRIOR_REQUEST_COUNT = 8.0
"""Requests after which the share of a part in the work is believed."""

_MAX_PART_COUNT = 4096


class PartOwners:
    """Owners of parts among one group of upstreams; times are monotonic seconds."""

    def __init__(self):
        self._host_ids = frozenset()
        self._ranking_by_part = collections.OrderedDict()
        self._work_by_part = collections.OrderedDict()
        self._total = 0.0, 0.0
        self._count = 0.0

    def record(self, part_id, tokens, now):
        """Add a request with a shared part, or '' for none, to the work."""
        total, at = self._total
        decay = _decay(now - at)
        self._total = total * decay + tokens, now
        self._count = self._count * decay + 1.0
        if not part_id:
            return
        work, at = self._work_by_part.pop(part_id, (0.0, now))
        self._work_by_part[part_id] = work * _decay(now - at) + tokens, now
        _trim(self._work_by_part)

    def owners(self, part_id, host_ids, now):
        """Return the owners of a part, the first one first.

        Parameters
        ----------
        part_id : str
        host_ids : collection of str
            Upstreams that all entry hosts know.
        now : float

        Returns
        -------
        tuple of str
        """
        host_ids = frozenset(host_ids)
        if host_ids != self._host_ids:
            self._host_ids = host_ids
            self._ranking_by_part.clear()
        ranking = self._ranking_by_part.get(part_id)
        if ranking is None:
            ranking = tuple(sorted(host_ids, key=lambda h: _rank(part_id, h)))
            self._ranking_by_part[part_id] = ranking
            _trim(self._ranking_by_part)
        return ranking[: self._owner_count(part_id, len(host_ids), now)]

    def _owner_count(self, part_id, host_count, now):
        work, at = self._work_by_part.get(part_id, (0.0, now))
        total, total_at = self._total
        total *= _decay(now - total_at)
        if not total:
            return 1
        confidence = self._count / (self._count + _PRIOR_REQUEST_COUNT)
        share = confidence * work * _decay(now - at) / total
        return max(1, math.ceil(share * host_count))


def _decay(seconds):
    return 0.5 ** (max(0.0, seconds) / _HALF_LIFE_SECONDS)


def _rank(part_id, host_id):
    return xxhash.xxh32_intdigest(f"{part_id}/{host_id}".encode())


def _trim(value_by_part):
    while len(value_by_part) > _MAX_PART_COUNT:
        value_by_part.popitem(last=False)
