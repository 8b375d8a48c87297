"""Estimates the rate at which the platform reclaims hosts, by data centre."""

import collections

__all__ = ["ReclaimRates"]

_PRIOR_RECLAIM_COUNT = 1.0
_PRIOR_HOST_HOURS = 20.0
_WINDOW_SECONDS = 1800.0
_SECONDS_PER_HOUR = 3600.0


class ReclaimRates:
    """Reclaim rates from recent notices, so that a wave raises them at once.

    All times are monotonic seconds as float.
    """

    def __init__(self):
        self._noticed_at_by_data_centre = collections.defaultdict(collections.deque)
        self._seen_host_ids = set()

    def record_notice(self, host, now):
        """Record the reclaim notice of a host; each host counts once."""
        if host.host_id in self._seen_host_ids or not host.reclaimable:
            return
        self._seen_host_ids.add(host.host_id)
        self._noticed_at_by_data_centre[host.data_centre].append(now)

    def retain(self, host_ids):
        """Discard the recorded ids of hosts that are not in `host_ids`."""
        self._seen_host_ids &= set(host_ids)

    def rate_per_hour(self, data_centre, host_count, now):
        """Return the expected reclaims of one host per hour.

        Parameters
        ----------
        data_centre : str
        host_count : int
            Number of reclaimable hosts there.
        now : float
        """
        noticed_at = self._noticed_at_by_data_centre.get(data_centre)
        while noticed_at and noticed_at[0] < now - _WINDOW_SECONDS:
            noticed_at.popleft()
        hours = host_count * _WINDOW_SECONDS / _SECONDS_PER_HOUR
        notice_count = len(noticed_at) if noticed_at else 0
        return (_PRIOR_RECLAIM_COUNT + notice_count) / (_PRIOR_HOST_HOURS + hours)
