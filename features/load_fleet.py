"""Entry hosts that exchange what they have in progress, without a network."""

import collections
import datetime
import random

import fake_network
import virtual_clock

from peridothitch import errors
from peridothitch.gateway.forwarding import load_exchange
from peridothitch.policy import shared_loads
from peridothitch.ports import clock, peers, upstream

STEP_SECONDS = 0.025
_HEADER_BYTES = 60


def make_upstream(number, data_centre="fife-a", region="fife", slots=32):
    """Return a live upstream."""
    return upstream.Host(
        host_id=f"i-{number}",
        address="",
        service="model",
        version="v1",
        data_centre=data_centre,
        region=region,
        price_per_hour=1.0,
        slots=slots,
        state=upstream.HostState.LIVE,
    )


class _OffsetClock(clock.Clock):
    """A host's own clock."""

    def __init__(self, shared, offset):
        self._shared = shared
        self._offset = offset

    def now(self):
        return self._shared.now() + self._offset

    def monotonic(self):
        return self._shared.monotonic() + self._offset

    def wait(self, event, timeout):
        raise NotImplementedError


class Host(peers.Peers):
    """An entry host; its uses are set by the test."""

    def __init__(self, fleet, number, offset_seconds=0.0):
        self.host_id = f"edge-{number}"
        self.peer = peers.Peer(
            host_id=self.host_id,
            address=self.host_id,
            data_centre=f"dc-{number % fleet.data_centre_count}",
        )
        self.fleet = fleet
        self.unknown_hosts = frozenset()
        self.is_old_build = False
        self.clock = _OffsetClock(
            fleet.clock, datetime.timedelta(seconds=offset_seconds)
        )
        self.metrics = fake_network.CountingMetrics()
        self.start()

    def start(self):
        """Start a process, which knows nothing of its predecessor."""
        self.handler_by_method = {}
        self.use_by_upstream = {}
        self.seen_by_upstream = {}
        self.is_modelled = True
        self.next_at_by_loop = {
            name: self.fleet.seconds + self.fleet.random.uniform(0.0, 0.25)
            for name in ("tell", "exchange_sums")
        }
        self.exchange = load_exchange.LoadExchange(
            self,
            self.clock,
            self.metrics,
            executor=fake_network.InlineExecutor(),
            random_source=random.Random(self.host_id),
        )
        self.exchange.set_source(self._read_uses)

    def _read_uses(self):
        if not self.is_modelled:
            return None
        return self.use_by_upstream, self.seen_by_upstream

    def members(self):
        return {
            host_id: host.peer
            for host_id, host in self.fleet.host_by_id.items()
            if host_id not in self.unknown_hosts
        }

    def register(self, method, handler):
        self.handler_by_method[method] = handler

    def call(self, host_id, method, payload, timeout):
        fleet = self.fleet
        fleet.calls_by_host[self.host_id] += 1
        target = fleet.host_by_id.get(host_id)
        if target is None or not fleet.can_reach(self.host_id, host_id):
            raise errors.PeerError(f"{host_id} did not answer", sent=True)
        fleet.answers_by_host[host_id] += 1
        if target.is_old_build:
            raise errors.PeerError(f"unknown method {method}", sent=True)
        reply = target.handler_by_method[method](payload)
        for end in (self.host_id, host_id):
            fleet.bytes_by_host[end] += len(payload) + len(reply) + 2 * _HEADER_BYTES
        return reply

    def in_flight(self, host):
        """Return what this host believes that the others have at an upstream."""
        return self.exchange.use_of(host).in_flight


class LoadFleet:
    """Entry hosts on a virtual clock.

    Attributes
    ----------
    calls_by_host, answers_by_host, bytes_by_host : collections.Counter
        Calls made and answered, and bytes in both directions with headers.
    """

    def __init__(self, host_count, seed=1, data_centre_count=None, offset_seconds=0.0):
        self.random = random.Random(seed)
        self.clock = virtual_clock.VirtualClock()
        self.clock.advance(datetime.timedelta(seconds=1000))
        self.data_centre_count = data_centre_count or min(6, host_count)
        self.cut_pairs = set()
        self.silent_hosts = set()
        self.calls_by_host = collections.Counter()
        self.answers_by_host = collections.Counter()
        self.bytes_by_host = collections.Counter()
        self.host_by_id = {}
        for number in range(host_count):
            offset = self.random.uniform(-offset_seconds, offset_seconds)
            host = Host(self, number, offset)
            self.host_by_id[host.host_id] = host

    @property
    def seconds(self):
        """Virtual time in seconds."""
        return self.clock.monotonic().total_seconds()

    def can_reach(self, source, target):
        """Return whether calls between two hosts arrive."""
        if {source, target} & self.silent_hosts:
            return False
        return frozenset((source, target)) not in self.cut_pairs

    def live_hosts(self):
        """Return the hosts that run and are connected."""
        return [
            host
            for host_id, host in self.host_by_id.items()
            if host_id not in self.silent_hosts
        ]

    def relay_of(self, host):
        """Return the relay that a host should use."""
        order = shared_loads.relay_order(host.members(), host.host_id)
        return self.host_by_id[order[0]]

    def step(self):
        """Advance by one step and run the loops that are due."""
        self.clock.advance(datetime.timedelta(seconds=STEP_SECONDS))
        for host in list(self.host_by_id.values()):
            for name, due in host.next_at_by_loop.items():
                if due > self.seconds or host.host_id in self.silent_hosts:
                    continue
                host.next_at_by_loop[name] = due + self._period(host, name)
                if not host.is_old_build:
                    getattr(host.exchange, name)()

    @staticmethod
    def _period(host, name):
        exchange = host.exchange
        if name == "tell":
            return exchange.period_seconds
        return exchange.sum_period_seconds

    def run(self, seconds, check=None):
        """Run for some seconds; calls ``check()`` after each step."""
        until = self.seconds + seconds
        while self.seconds < until:
            self.step()
            if check is not None:
                check()
