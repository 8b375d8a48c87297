"""Addresses of a few members in the platform's store, so that new hosts find the fleet.

Only the members that watch the store for their data centre have a key, so the number of
keys and of calls depends on the data centres and not on the hosts.
"""

import datetime

from peridothitch import errors
from peridothitch.ports import store

__all__ = ["MemberKeys"]

_PREFIX = "/peridothitch/members/"
_TTL = datetime.timedelta(seconds=60)
_REFRESH_PERIOD = datetime.timedelta(seconds=15)
_ALONE_REFRESH_PERIOD = datetime.timedelta(seconds=1)
_NO_TIME = datetime.timedelta(0)


class MemberKeys:
    """Renews this host's key while it is a relay, and reads the others'.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    peer : peridothitch.ports.peers.Peer
        This host.
    membership : peridothitch.coordination.membership.Membership
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random
    """

    def __init__(self, service, peer, membership, clock, metrics, random_source):
        self._store = service
        self._peer = peer
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._lease_id = 0

    def refresh(self):
        """Renew or remove this host's key and read the others' addresses once."""
        try:
            if self._membership.is_relay():
                self._renew_key()
                self._read()
            else:
                self._remove_key()
                if self._membership.is_alone():
                    self._read()
        except errors.StoreError:
            self._metrics.count("member_key_failures")

    def run(self, stop):
        """Refresh until the event `stop` is set, then remove the key."""
        while not self._clock.wait(stop, self._wait_time()):
            self.refresh()
        try:
            self._remove_key()
        except errors.StoreError:
            self._metrics.count("member_key_failures")

    def _wait_time(self):
        period = (
            _ALONE_REFRESH_PERIOD if self._membership.is_alone() else _REFRESH_PERIOD
        )
        return period * self._random.uniform(0.8, 1.2)

    def _renew_key(self):
        if self._lease_id and self._store.keep_alive(self._lease_id) > _NO_TIME:
            return
        self._lease_id = 0
        lease_id = self._store.grant_lease(_TTL)
        key = _PREFIX + self._peer.host_id
        self._store.transact(
            [], [store.Put(key, self._peer.address.encode(), lease_id)]
        )
        self._lease_id = lease_id

    def _remove_key(self):
        if not self._lease_id:
            return
        lease_id, self._lease_id = self._lease_id, 0
        self._store.revoke_lease(lease_id)

    def _read(self):
        found = self._store.range(_PREFIX)
        self._membership.set_addresses(
            "store",
            (
                item.value.decode(errors="replace")
                for item in found.item_by_key.values()
            ),
        )
