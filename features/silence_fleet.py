"""Entry hosts that watch a store which at times answers nothing, in virtual time."""

import datetime
import random
import threading

import sync_fleet

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.coordination import mirror
from peridothitch.gateway.forwarding import peer_sync
from peridothitch.platform import store as platform_store
from peridothitch.ports import store

_GIGABIT = 1_000_000_000
_LATENCY = datetime.timedelta(milliseconds=20)
_CALL_TIMEOUT = datetime.timedelta(seconds=1.5)
_TICK = datetime.timedelta(milliseconds=50)


class _Watch(store.Watch):
    def __init__(self, owner, after):
        self._owner = owner
        self.revision = after

    def poll(self, timeout):
        """Wait for a change; a call that the silence meets is never answered."""
        owner, scheduler = self._owner, self._owner.scheduler
        ends_at = scheduler.monotonic() + timeout
        owner.fleet.poll_count += 1
        is_lost = owner.is_silent()
        scheduler.wait(threading.Event(), _LATENCY)
        while not is_lost and scheduler.monotonic() < ends_at:
            item = owner.item()
            if item.mod_revision > self.revision:
                is_lost = owner.is_silent()
                if not is_lost:
                    self.revision = item.mod_revision
                    return (store.Event(item),)
            scheduler.wait(threading.Event(), _TICK)
        if is_lost or owner.is_silent():
            scheduler.sleep_until(ends_at + platform_store.WATCH_MARGIN)
            raise errors.StoreUnavailableError("watch: timed out")
        return ()

    def close(self):
        pass


class _HostStore(store.Store):
    """The store as one host reaches it."""

    def __init__(self, fleet, host_id):
        self.fleet = fleet
        self.scheduler = fleet.scheduler
        self._host_id = host_id

    def is_silent(self):
        return self.fleet.is_silent(self._host_id)

    def item(self):
        return self.fleet.stored_item

    def range(self, prefix):
        if self.is_silent():
            self.scheduler.wait(threading.Event(), _CALL_TIMEOUT)
            raise errors.StoreUnavailableError("range: timed out")
        self.scheduler.wait(threading.Event(), _LATENCY)
        item = self.item()
        return store.Range(item.mod_revision, {item.key: item})

    def watch(self, prefix, start_revision):
        return _Watch(self, start_revision - 1)

    def get(self, key):
        raise NotImplementedError

    transact = grant_lease = keep_alive = revoke_lease = get


class SilenceFleet(sync_fleet.SyncFleet):
    """Entry hosts of which the relays watch the store.

    Parameters
    ----------
    host_count, data_centre_count, seed : int
    """

    def __init__(self, host_count, data_centre_count, seed):
        self._silent_from = self._silent_until = datetime.timedelta(0)
        self._silent_to_ids = None
        self.poll_count = 0
        super().__init__(host_count, data_centre_count, _GIGABIT, seed)

    @property
    def stored_item(self):
        """The one key of the store."""
        return self._store.item

    def is_silent(self, host_id):
        """Return whether the store answers a host nothing now."""
        is_meant = self._silent_to_ids is None or host_id in self._silent_to_ids
        now = self.scheduler.monotonic()
        return is_meant and self._silent_from <= now < self._silent_until

    def fall_silent(self, after, seconds, host_ids=None):
        """Let the store answer nothing for some seconds, to some hosts or to all."""
        self._silent_from = self.scheduler.monotonic() + datetime.timedelta(
            seconds=after
        )
        self._silent_until = self._silent_from + datetime.timedelta(seconds=seconds)
        self._silent_to_ids = host_ids

    def _make_host(self, host_id):
        counters = metrics.Metrics()
        host_mirror = mirror.Mirror(
            sync_fleet.PREFIX,
            _HostStore(self, host_id),
            self.scheduler,
            counters,
            random.Random(self._random.getrandbits(32)),
        )
        host_mirror.merge(self._state())
        sync = peer_sync.PeerSync(
            (host_mirror,),
            sync_fleet.Peers(self, host_id),
            peer_sync.SharedClock(self.scheduler),
            self.scheduler,
            counters,
            random.Random(self._random.getrandbits(32)),
        )
        host_mirror.watch_if(sync.should_follow_store)
        return sync_fleet.Host(host_mirror, sync)

    def _state(self):
        item = self.stored_item
        sent = mirror.MirrorItem(
            item.key, item.value, item.create_revision, item.mod_revision
        )
        return mirror.MirrorState(sync_fleet.PREFIX, item.mod_revision, (sent,))

    def _follow(self, host_id, host):
        host.mirror.run(threading.Event())
