"""Upstream hosts of one service, grouped by version and adapter."""

from peridothitch.policy import affinity
from peridothitch.ports import upstream

__all__ = ["HostGroup", "HostPool"]

_MEAN_MAX_AGE_SECONDS = 1.0
_MEAN_SAMPLE_SIZE = 48


class HostGroup:
    """Live hosts that run the same version and have loaded the same adapter.

    Parameters
    ----------
    hosts : sequence of peridothitch.ports.upstream.Host
    owners : peridothitch.policy.affinity.OwnerTable or None
        Table of the same group in an earlier pool; reusing it keeps the owners that
        don't change.

    Attributes
    ----------
    hosts : tuple of peridothitch.ports.upstream.Host
        The hosts in id order.
    host_by_id : dict of str to peridothitch.ports.upstream.Host
    owners : peridothitch.policy.affinity.OwnerTable
    reclaimable_count_by_data_centre : dict of str to int
        Number of hosts that the platform may reclaim.
    mean_price_per_hour : float
        Mean of the known prices; 1.0 when none is known, so that all hosts cost the
        same.
    """

    def __init__(self, hosts, owners=None):
        self.hosts = tuple(sorted(hosts, key=lambda host: host.host_id))
        self.host_by_id = {host.host_id: host for host in self.hosts}
        self.owners = owners or affinity.OwnerTable()
        self.owners.update(self.host_by_id)
        self.reclaimable_count_by_data_centre = {}
        for host in self.hosts:
            count = self.reclaimable_count_by_data_centre.get(host.data_centre, 0)
            self.reclaimable_count_by_data_centre[host.data_centre] = (
                count + host.reclaimable
            )
        prices = [host.price_per_hour for host in self.hosts if host.price_per_hour]
        self.mean_price_per_hour = sum(prices) / len(prices) if prices else 1.0
        self._mean_load_per_slot = 0.0
        self._mean_at = None
        self._sample_start = 0

    def mean_load_per_slot(self, load_per_slot_of, now):
        """Return the mean load per slot, at most a second old.

        The mean of a large group is computed over a sample: each time the next
        `_MEAN_SAMPLE_SIZE` hosts in id order.

        Parameters
        ----------
        load_per_slot_of : callable
            Takes a host, returns its load per slot.
        now : float
            Monotonic time in seconds.
        """
        stale = self._mean_at is None or now - self._mean_at >= _MEAN_MAX_AGE_SECONDS
        if stale and self.hosts:
            loads = list(map(load_per_slot_of, self._next_sample()))
            self._mean_load_per_slot = sum(loads) / len(loads)
            self._mean_at = now
        return self._mean_load_per_slot

    def _next_sample(self):
        if len(self.hosts) <= _MEAN_SAMPLE_SIZE:
            return self.hosts
        start = self._sample_start
        self._sample_start = (start + _MEAN_SAMPLE_SIZE) % len(self.hosts)
        sample = self.hosts[start : start + _MEAN_SAMPLE_SIZE]
        return sample + self.hosts[: _MEAN_SAMPLE_SIZE - len(sample)]


class HostPool:
    """Hosts of one service.

    Parameters
    ----------
    hosts : iterable of peridothitch.ports.upstream.Host
    previous : HostPool or None
        Earlier pool of the service, whose owner tables are reused.
    """

    def __init__(self, hosts, previous=None):
        self.hosts = tuple(hosts)
        self._owners_by_key = previous._owners_by_key if previous else {}
        self._group_by_key = {}

    def __iter__(self):
        return iter(self.hosts)

    def __len__(self):
        return len(self.hosts)

    def group(self, version, adapter=""):
        """Return the `HostGroup` of live hosts with a version and an adapter.

        An empty `adapter` selects hosts with any adapters.
        """
        group_key = version, adapter
        group = self._group_by_key.get(group_key)
        if group is None:
            found = [host for host in self.hosts if _serves(host, version, adapter)]
            group = HostGroup(found, self._owners_by_key.get(group_key))
            self._owners_by_key[group_key] = group.owners
            self._group_by_key[group_key] = group
        return group


def _serves(host, version, adapter):
    if host.state is not upstream.HostState.LIVE or host.version != version:
        return False
    return not adapter or adapter in host.adapters
