"""A fake fleet whose hosts replicate the operators' document, and its faults."""

import datetime
import functools
import random

import fake_network

from peridothitch import errors
from peridothitch.adapters import memory_store, yaml_codec
from peridothitch.coordination import documents, feed, head_watcher, member_keys
from peridothitch.gateway import embedded
from peridothitch.standins import faulty_store

ROUTE_TEMPLATE = "r{0}: {{method: GET, path: /r{0}, service: ticketing}}\n"
NO_WAIT = datetime.timedelta(0)
SLOW_DELAY = datetime.timedelta(milliseconds=300)
MEMBER_KEYS_PERIOD_STEPS = 60
READ_DURATION = datetime.timedelta(seconds=1)
Fault = faulty_store.Fault


class PollingFeed:
    """Reads the whole document from the store every second and calls no peer."""

    def __init__(self, document_store, *others):
        self._document_store = document_store
        self._document = None

    @property
    def revision(self):
        return self._document.revision if self._document is not None else 0

    def current(self):
        return self._document

    def refresh(self):
        try:
            document = self._document_store.load().document
        except errors.StoreError:
            return
        if document.revision > self.revision:
            self._document = document

    step = refresh

    def is_relay(self):
        return False


class CachingCodec(yaml_codec.YamlCodec):
    """Parses each text once for all hosts."""

    parse_section = functools.cache(yaml_codec.YamlCodec.parse_section)
    parse_document = functools.cache(yaml_codec.YamlCodec.parse_document)


class DocumentFleet(fake_network.FakeFleet):
    """Hosts with a document feed, and a store with injectable faults."""

    def __init__(self, count, seed, feed_type=feed.DocumentFeed, data_centres=3):
        self.feed_type = feed_type
        self.feed_by_id = {}
        self.watcher_by_id = {}
        self.member_keys_by_id = {}
        self.store_by_id = {}
        self.busy_until_by_id = {}
        self.highest_revision_by_id = {}
        self.store = None
        super().__init__(0, seed, data_centres)
        inner = memory_store.MemoryStore(self.clock)
        self.store = faulty_store.FaultyStore(inner, self.clock)
        self.codec = CachingCodec()
        self.operator = documents.DocumentStore(self.store, self.codec)
        self.operator.create(embedded.EXAMPLE_DOCUMENT)
        self.highest_attempted_revision = 1
        for _ in range(count):
            self.add()

    def add(self, seeds=None, is_without_store=False):
        host_id = super().add(seeds)
        node = self.node_by_id[host_id]
        service = faulty_store.FaultyStore(self.store, self.clock)
        self.store_by_id[host_id] = service
        if is_without_store:
            self.disconnect_from_store(host_id)
        document_store = documents.DocumentStore(service, self.codec)
        source = random.Random(self.random.random())
        self.feed_by_id[host_id] = host_feed = self.feed_type(
            document_store,
            self.codec,
            self.clock,
            node.metrics,
            node.membership,
            node.gossip,
            source,
        )
        self.watcher_by_id[host_id] = head_watcher.HeadWatcher(
            document_store, host_feed, self.clock, node.metrics, source
        )
        self.member_keys_by_id[host_id] = member_keys.MemberKeys(
            service,
            node.membership.members()[host_id],
            node.membership,
            self.clock,
            node.metrics,
            source,
        )
        self.member_keys_by_id[host_id].refresh()
        node.membership.tick()
        host_feed.refresh()
        return host_id

    def disconnect_from_store(self, host_id):
        self.store_by_id[host_id].inject(faulty_store.FaultRule(fault=Fault.DOWN))

    def heal(self):
        super().heal()
        self.store.clear()
        for service in self.store_by_id.values():
            service.clear()

    def step(self):
        super().step()
        now = self.clock.elapsed
        for host_id in sorted(self.live()):
            if self.busy_until_by_id.get(host_id, now) <= now:
                self._step_host(host_id)
                # A slow call delays the host that made it and no other.
                self.busy_until_by_id[host_id] = self.clock.elapsed
                self.clock.elapsed = now

    def _step_host(self, host_id):
        host_feed = self.feed_by_id[host_id]
        if host_feed.is_relay():
            self.watcher_by_id[host_id].step(NO_WAIT)
        host_feed.step()
        if self.step_count % MEMBER_KEYS_PERIOD_STEPS == 0:
            self.member_keys_by_id[host_id].refresh()
        self._check_revision(host_id)

    def _check_revision(self, host_id):
        revision = self.feed_by_id[host_id].revision
        assert revision >= self.highest_revision_by_id.get(host_id, 0), (
            "the revision decreased"
        )
        assert revision <= self.highest_attempted_revision, (
            "no edit wrote this revision"
        )
        self.highest_revision_by_id[host_id] = revision
        document = self.feed_by_id[host_id].current()
        if revision > 1:
            assert f"r{revision}" in document.route_by_name, "the route is missing"

    def edit(self):
        """Add a route named after the next revision; returns whether it was accepted.

        An edit whose outcome is unclear counts as written, but not as accepted.
        """
        head = self.store._inner.get(documents.HEAD_KEY)
        next_revision = documents.decode_head(head.value).revision + 1
        self.highest_attempted_revision = max(
            self.highest_attempted_revision, next_revision
        )
        try:
            revision = self.operator.edit(
                "routes", ROUTE_TEMPLATE.format(next_revision), ""
            )
        except errors.StoreError:
            return False
        assert revision == next_revision, (revision, next_revision)
        return True

    def outdated_hosts(self, host_ids):
        """Return those hosts whose revision is not the stored one."""
        head = self.store._inner.get(documents.HEAD_KEY)
        stored = documents.decode_head(head.value).revision
        return {
            host_id
            for host_id in host_ids
            if self.feed_by_id[host_id].revision != stored
        }


class Faults:
    """Injects faults into one fleet; records which hosts may miss changes.

    Hosts that are disconnected from the store alone still reach their peers, and vice
    versa.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.without_store = set()
        self.without_peers = set()

    def apply(self, name):
        getattr(self, f"apply_{name}")()

    def connected_hosts(self):
        """Return the running hosts that reach the store or their peers."""
        return self.fleet.live() - (self.without_store & self.without_peers)

    def _choose(self):
        return self.fleet.random.choice(sorted(self.fleet.live()))

    def _inject(self, fault, **options):
        self.fleet.store.inject(faulty_store.FaultRule(fault=fault, **options))

    def apply_store_down(self):
        self._inject(Fault.DOWN)
        self.without_store |= set(self.fleet.node_by_id)

    def apply_store_slow(self):
        self._inject(Fault.SLOW, delay=SLOW_DELAY, methods=frozenset({"range", "txn"}))

    def apply_reply_lost(self):
        self._inject(Fault.REPLY_LOST, methods=frozenset({"txn"}), count=1)

    def apply_request_lost(self):
        self._inject(Fault.REQUEST_LOST, methods=frozenset({"txn"}), count=1)

    def apply_watch_silent(self):
        self._inject(Fault.WATCH_SILENT, methods=frozenset({"watch_poll"}))

    def apply_lease_lapsed(self):
        self.fleet.store.lapse_leases()

    def apply_killed(self):
        self.fleet.kill(self._choose())

    def apply_frozen(self):
        self.fleet.freeze(self._choose())

    def apply_split_from_peers(self):
        host_id = self._choose()
        group = self.fleet.network.group_by_address
        group[self.fleet.node_by_id[host_id].transport.address] = len(group) + 1
        self.without_peers.add(host_id)

    def apply_split_from_store(self):
        host_id = self._choose()
        self.fleet.disconnect_from_store(host_id)
        self.without_store.add(host_id)

    def apply_joined_with_old_view(self):
        self.fleet.edit()
        # A change that no host read before the store went down can't spread.
        self.fleet.run(READ_DURATION)
        first = sorted(self.fleet.live())[0]
        address = self.fleet.node_by_id[first].transport.address
        host_id = self.fleet.add(seeds=(address, "10.9.9.9:1"), is_without_store=True)
        self.without_store.add(host_id)
        if first in self.without_peers:
            # Its only seed is disconnected from the other hosts.
            self.without_peers.add(host_id)


FAULTS = tuple(
    name.removeprefix("apply_") for name in sorted(vars(Faults)) if "apply_" in name
)
