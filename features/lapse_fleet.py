"""Runs entry hosts that learn from a store or from each other which upstreams live."""

import dataclasses
import datetime
import random

import msgspec
import relay_fleet
import virtual_clock

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.coordination import mirror
from peridothitch.gateway.forwarding import catalogue, peer_sync
from peridothitch.ports import peers, store, upstream

_PREFIX = "hosts/"
_CHANGE_AGES = 5
"""Position of the ages of changes in a reply."""

_STEP = datetime.timedelta(milliseconds=50)
_SYNC_PERIOD = datetime.timedelta(milliseconds=500)
_MAX_READ_DELAY = datetime.timedelta(milliseconds=300)


class _RecordCodec:
    """Decodes records whose values are ids of upstreams."""

    table_key = "table"

    def decode_host(self, key, value):
        return upstream.Host(
            host_id=value.decode(),
            service="neep",
            address="127.0.0.1:1",
            data_centre="lothian-a",
            region="lothian",
            version="v1",
            incarnation=1,
        )


class _Store(store.Store):
    def __init__(self, upstream_count):
        self.revision = 1
        self.is_up = True
        self.item_by_key = {
            f"{_PREFIX}i-{number}": store.KeyValue(
                f"{_PREFIX}i-{number}", f"i-{number}".encode(), 1, 1, 0
            )
            for number in range(upstream_count)
        }

    def range(self, prefix):
        if not self.is_up:
            raise errors.StoreUnavailableError("the store is down")
        if prefix != _PREFIX:
            return store.Range(self.revision, {})
        return store.Range(self.revision, dict(self.item_by_key))

    def get(self, key):
        raise NotImplementedError

    transact = grant_lease = keep_alive = revoke_lease = watch = get


class _Mirror(mirror.Mirror):
    """A mirror that the test reads in place of a watch."""

    is_watching = False


@dataclasses.dataclass
class _Host:
    mirror: mirror.Mirror
    sync: peer_sync.PeerSync
    catalogue: catalogue.Catalogue
    metrics: metrics.Metrics
    next_sync: datetime.timedelta
    next_read: datetime.timedelta | None = None


class LapseFleet:
    """Entry hosts, a few of which read the store.

    Parameters
    ----------
    host_count, data_centre_count, upstream_count, seed : int

    Attributes
    ----------
    clock : virtual_clock.VirtualClock
    store : _Store
    """

    def __init__(self, host_count, data_centre_count, upstream_count, seed):
        self.clock = virtual_clock.VirtualClock()
        self.store = _Store(upstream_count)
        self.member_by_id = {}
        self._random = random.Random(seed)
        self.peer_by_id = {
            f"edge-{number}": peers.Peer(
                host_id=f"edge-{number}",
                address="",
                data_centre=f"dc-{number % data_centre_count}",
            )
            for number in range(host_count)
        }
        self._host_by_id = {
            host_id: self._make_host(host_id) for host_id in self.peer_by_id
        }

    def _make_host(self, host_id):
        counters = metrics.Metrics()
        hosts = _Mirror(_PREFIX, self.store, self.clock, counters)
        operators = mirror.Mirror("op/", self.store, self.clock, counters)
        handler_by_method = {}
        own_catalogue = catalogue.Catalogue(
            _RecordCodec(), operators, hosts, self.clock, counters
        )
        hosts.read()
        sync = peer_sync.PeerSync(
            (hosts,),
            relay_fleet.Peers(self, host_id, handler_by_method),
            peer_sync.SharedClock(self.clock),
            self.clock,
            counters,
            random.Random(self._random.getrandbits(32)),
        )
        self.member_by_id[host_id] = relay_fleet.Member(sync, hosts, handler_by_method)
        return _Host(hosts, sync, own_catalogue, counters, self._draw(_SYNC_PERIOD))

    def _draw(self, longest):
        return self.clock.monotonic() + longest * self._random.random()

    def run(self, seconds):
        """Let virtual time pass."""
        ends_at = self.clock.monotonic() + datetime.timedelta(seconds=seconds)
        while self.clock.monotonic() < ends_at:
            self.clock.advance(_STEP)
            for host in self._host_by_id.values():
                self._step(host)

    def _step(self, host):
        now = self.clock.monotonic()
        host.catalogue.remove_lapsed()
        host.mirror.is_watching = host.sync.should_follow_store()
        if host.mirror.is_watching:
            self._follow(host, now)
        if now >= host.next_sync:
            host.next_sync = now + _SYNC_PERIOD * self._random.uniform(0.8, 1.2)
            host.sync.sync_once()

    def _follow(self, host, now):
        if not self.store.is_up:
            host.mirror.try_read()
            return
        if host.mirror.contact.is_reachable and host.mirror.revision == (
            self.store.revision
        ):
            return
        if host.next_read is None:
            host.next_read = self._draw(_MAX_READ_DELAY)
        if now >= host.next_read:
            host.next_read = None
            host.mirror.try_read()

    def remove(self, count):
        """Remove the records of the first upstreams from the store."""
        for key in sorted(self.store.item_by_key)[:count]:
            self.store.revision += 1
            del self.store.item_by_key[key]

    def restore(self, item_by_key):
        """Write records again."""
        self.store.revision += 1
        for key, item in item_by_key.items():
            self.store.item_by_key[key] = dataclasses.replace(
                item,
                create_revision=self.store.revision,
                mod_revision=self.store.revision,
            )

    def least_known(self):
        """Return the smallest number of upstreams that a host knows."""
        return min(len(host.catalogue.hosts()) for host in self._host_by_id.values())

    def users_of(self, upstream_ids):
        """Return the hosts that still use one of some upstreams."""
        return [
            host_id
            for host_id, host in self._host_by_id.items()
            if host.catalogue.hosts().keys() & set(upstream_ids)
        ]

    def ask_for_change(self, age_seconds):
        """Let a host ask a relay that reports an age for its changes.

        Returns
        -------
        tuple of (str, tuple)
            Id of the host, and revision and digest that it had before.
        """
        relay_id = next(
            host_id
            for host_id, host in self._host_by_id.items()
            if host.mirror.is_watching
        )
        asking_id = next(host_id for host_id in self._host_by_id if host_id != relay_id)
        self._host_by_id[relay_id].mirror.read()
        for member in self.member_by_id.values():
            _replace_ages(member.handler_by_method, age_seconds)
        host = self._host_by_id[asking_id]
        version = host.mirror.version
        host.sync.sync_once()
        return asking_id, version

    def failure_count(self, host_id):
        """Return how many exchanges with peers have failed at a host."""
        return self._host_by_id[host_id].metrics.value("peer_sync_failures")


def _replace_ages(handler_by_method, age_seconds):
    method, handler = next(iter(handler_by_method.items()))

    def handle(payload):
        fields = msgspec.msgpack.decode(handler(payload))
        fields[_CHANGE_AGES] = dict.fromkeys([_PREFIX], age_seconds)
        return msgspec.msgpack.encode(fields)

    handler_by_method[method] = handle
