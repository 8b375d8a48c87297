"""A virtual clock and an in-memory network for scenarios with many hosts."""

import concurrent.futures
import dataclasses
import datetime
import random

from peridothitch import errors
from peridothitch.coordination import gossip, membership
from peridothitch.ports import clock, peer_transport, peers

START = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
STEP = datetime.timedelta(milliseconds=250)
HEADER_BYTES = 120


class VirtualClock(clock.Clock):
    """Clock that advances only when a scenario advances it."""

    def __init__(self):
        self.elapsed = datetime.timedelta(seconds=1000)

    def now(self):
        return START + self.elapsed

    def monotonic(self):
        return self.elapsed

    def wait(self, event, timeout):
        self.elapsed += timeout
        return event.is_set()


class InlineExecutor(concurrent.futures.Executor):
    """Runs each call immediately in the caller's thread."""

    def submit(self, call, /, *arguments, **options):
        future = concurrent.futures.Future()
        try:
            future.set_result(call(*arguments, **options))
        except Exception as error:
            future.set_exception(error)
        return future


class CountingMetrics:
    """Metrics that only count."""

    def __init__(self):
        self.count_by_name = {}

    def count(self, name, amount=1, **labels):
        self.count_by_name[name] = self.count_by_name.get(name, 0) + amount

    def set(self, name, value, **labels):
        pass

    def observe(self, name, duration, **labels):
        pass


class Network:
    """Delivers calls between hosts unless a fault prevents it."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.transport_by_address = {}
        self.unreachable_addresses = set()
        self.group_by_address = {}
        self.loss_rate = 0.0
        self.bytes_by_address = {}

    def can_reach(self, source, target):
        if (
            target not in self.transport_by_address
            or target in self.unreachable_addresses
        ):
            return False
        group = self.group_by_address.get
        if group(source, 0) != group(target, 0):
            return False
        return self.random.random() >= self.loss_rate

    def count(self, address, size):
        total = self.bytes_by_address.get(address, 0)
        self.bytes_by_address[address] = total + size + HEADER_BYTES


def address_of(index):
    """Return the address of a host by its number."""
    return f"10.0.{index // 250}.{index % 250}:1"


class FakeTransport(peer_transport.PeerTransport):
    """Transport of one host in a `Network`."""

    def __init__(self, network, address):
        self.address = address
        self._network = network
        self._handler_by_method = {}
        network.transport_by_address[address] = self

    def register(self, method, handler):
        self._handler_by_method[method] = handler

    def call(self, address, method, payload, timeout, fresh=False):
        network = self._network
        if not network.can_reach(self.address, address):
            raise errors.PeerError(f"{address} did not answer", sent=True)
        target = network.transport_by_address[address]
        try:
            reply = target._handler_by_method[method](payload)
        except errors.CodedError as error:
            raise errors.PeerError(error.detail, sent=True) from None
        for endpoint in (self.address, address):
            network.count(endpoint, len(payload) + len(reply))
        if not network.can_reach(address, self.address):
            raise errors.PeerError("the reply was lost", sent=True)
        return reply


@dataclasses.dataclass
class Node:
    """One host of a fake fleet."""

    transport: FakeTransport
    gossip: gossip.Gossip
    membership: membership.Membership
    metrics: CountingMetrics
    phase: int


class FakeFleet:
    """Hosts that share a virtual clock and a network."""

    def __init__(self, count, seed, data_centres=4):
        self.clock = VirtualClock()
        self.network = Network(seed)
        self.random = random.Random(seed)
        self.data_centres = data_centres
        self.node_by_id = {}
        self.added_count = 0
        self.frozen = set()
        self.step_count = 0
        for _ in range(count):
            self.add()

    def add(self, seeds=None, host_id=None):
        index = self.added_count
        self.added_count += 1
        host_id = host_id or f"entry-{index}"
        transport = FakeTransport(self.network, address_of(index))
        peer = peers.Peer(
            host_id=host_id,
            address=transport.address,
            data_centre=f"dc-{index % self.data_centres}",
        )
        metrics = CountingMetrics()
        fact_registry = gossip.Gossip(self.clock, metrics, urgent_kinds=("revision",))
        first = next(iter(self.node_by_id.values()), None)
        if seeds is None:
            seeds = (first.transport.address,) if first else ()
        member = membership.Membership(
            peer,
            transport,
            fact_registry,
            self.clock,
            metrics,
            random_source=random.Random(self.random.random()),
            executor=InlineExecutor(),
            seeds=seeds,
        )
        node = Node(transport, fact_registry, member, metrics, index % 2)
        self.node_by_id[host_id] = node
        return host_id

    def live(self):
        """Return the ids of the running hosts."""
        return set(self.node_by_id) - self.frozen

    def kill(self, host_id):
        node = self.node_by_id.pop(host_id)
        del self.network.transport_by_address[node.transport.address]

    def freeze(self, host_id):
        self.frozen.add(host_id)
        self.network.unreachable_addresses.add(
            self.node_by_id[host_id].transport.address
        )

    def resume(self, host_id):
        self.frozen.discard(host_id)
        self.network.unreachable_addresses.discard(
            self.node_by_id[host_id].transport.address
        )

    def split(self, host_ids):
        """Cut off a set of hosts from all others."""
        self.network.group_by_address = {
            self.node_by_id[host_id].transport.address: 1 for host_id in host_ids
        }

    def heal(self):
        self.network.group_by_address = {}
        self.network.loss_rate = 0.0
        for host_id in list(self.frozen):
            self.resume(host_id)

    def step(self):
        self.clock.elapsed += STEP
        self.step_count += 1
        for host_id in sorted(self.live()):
            node = self.node_by_id[host_id]
            if node.gossip.urgent.is_set():
                node.gossip.urgent.clear()
                node.membership.push()
            if self.step_count % 2 == node.phase or node.membership.is_joining:
                node.membership.tick()

    def run(self, duration):
        end = self.clock.elapsed + duration
        while self.clock.elapsed < end:
            self.step()

    def run_until(self, condition, limit):
        """Step until `condition()` is true; returns the time it took.

        Raises
        ------
        AssertionError
            The condition was not met within `limit`.
        """
        start = self.clock.elapsed
        while not condition():
            assert self.clock.elapsed - start <= limit, "the condition was not met"
            self.step()
        return self.clock.elapsed - start

    def agrees(self):
        """Return whether the members of each running host are the running hosts."""
        live = self.live()
        return all(
            set(self.node_by_id[host_id].membership.members()) == live
            for host_id in live
        )
