"""Many entry hosts before cold upstreams, without a network."""

import collections
import datetime
import heapq
import itertools
import random
import types

import part_fleet

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import cold_upstreams
from peridothitch.ports import forwarding, peers, upstream

_SERVICE = "model"
_KILL_INTERVAL_SECONDS = 1.0
_JOIN_SECONDS = 2.0
_SECOND = datetime.timedelta(seconds=1)
_CATALOGUE = types.SimpleNamespace(subscribe=lambda on_table, on_hosts: None)


def make_host(number, cold_time=datetime.timedelta(0), incarnation=1):
    """Return an upstream's record."""
    return upstream.Host(
        host_id=f"i-{number}",
        address="",
        service=_SERVICE,
        version="v1",
        data_centre="fife-a",
        incarnation=incarnation,
        cold_time=cold_time,
    )


def make_table(cold_seconds, cold_rate):
    """Return rules with one service."""
    service = forwarding.Service(
        name=_SERVICE, cold_time=cold_seconds * _SECOND, cold_rate=cold_rate
    )
    return forwarding.RoutingTable(version=1, service_by_name={_SERVICE: service})


class _EntryHost:
    def __init__(self, fleet, number, table, host_by_id):
        self.host_id = f"edge-{number}"
        self.joined_at = fleet.clock.seconds
        self._fleet = fleet
        self.cold = cold_upstreams.ColdUpstreams(
            self,
            lambda: fleet.host_count,
            _CATALOGUE,
            fleet.clock,
            metrics.Metrics(),
        )
        self.cold.update_table(table)
        self.cold.update_hosts(host_by_id)

    def members(self):
        return self._fleet.members(self)

    def register(self, method, handler):
        self._fleet.handler_by_id[self.host_id] = handler

    def call(self, host_id, method, payload, timeout):
        return self._fleet.call(host_id, payload)


class ColdFleet:
    """Plays requests that any upstream may serve, while all of them are cold.

    Attributes
    ----------
    times_by_id : dict of str to list of float
        When requests reached each upstream.
    arrival_count, refused_count : int
    """

    def __init__(self, host_count, upstream_count, arrivals, rate, seed, kills):
        self.clock = part_fleet.VirtualClock()
        self.host_count = host_count
        self.handler_by_id = {}
        self.are_owners_lost = False
        self.times_by_id = collections.defaultdict(list)
        self.arrival_count = self.refused_count = 0
        self._arrivals = arrivals
        self._random = random.Random(seed)
        self._number = itertools.count()
        self._events = []
        self._table = make_table(0.0, rate)
        hosts = [make_host(n, 3600 * _SECOND) for n in range(upstream_count)]
        self._host_by_id = {host.host_id: host for host in hosts}
        self._hosts = [self._make_host() for _ in range(host_count)]
        self._at(0.0, self._arrive)
        if kills:
            self._at(_KILL_INTERVAL_SECONDS, self._kill)

    def _make_host(self):
        return _EntryHost(self, next(self._number), self._table, self._host_by_id)

    def members(self, host):
        """Return the hosts that a host knows; only itself when it has just started."""
        if 0 < host.joined_at > self.clock.seconds - _JOIN_SECONDS:
            return {host.host_id: None}
        return {
            other.host_id: peers.Peer(
                host_id=other.host_id, address="", data_centre="fife-a"
            )
            for other in self._hosts
        }

    def call(self, host_id, payload):
        """Let a host answer another one, unless all links between them are cut."""
        if self.are_owners_lost:
            raise errors.PeerError(f"{host_id} does not answer", sent=True)
        return self.handler_by_id[host_id](payload)

    def _at(self, delay, action):
        due = self.clock.seconds + delay
        heapq.heappush(self._events, (due, next(self._number), action))

    def play(self, seconds):
        """Play for some seconds."""
        until = self.clock.seconds + seconds
        while self._events and self._events[0][0] <= until:
            self.clock.seconds, _, action = heapq.heappop(self._events)
            action()

    def _arrive(self):
        self._at(self._random.expovariate(self._arrivals), self._arrive)
        host = self._random.choice(self._hosts)
        self.arrival_count += 1
        usable = [u for u in self._host_by_id.values() if host.cold.may_send(u)]
        if usable:
            chosen = self._random.choice(usable)
            host.cold.spend(chosen)
        else:
            chosen = host.cold.borrow(list(self._host_by_id.values()))
        if chosen is None:
            self.refused_count += 1
            return
        self.times_by_id[chosen.host_id].append(self.clock.seconds)

    def _kill(self):
        self._at(_KILL_INTERVAL_SECONDS, self._kill)
        self._hosts[self._random.randrange(len(self._hosts))] = self._make_host()

    def most_sends(self):
        """Return the most requests that one upstream got in any second."""
        return max(
            sum(begin <= at < begin + 1.0 for at in times[first : first + 200])
            for times in self.times_by_id.values()
            for first, begin in enumerate(times)
        )


class OneHost:
    """One entry host that alone owns all, and what it learns of one upstream."""

    def __init__(self, cold_seconds=3.0, cold_rate=20.0):
        self.clock = part_fleet.VirtualClock()
        own_peers = types.SimpleNamespace(
            host_id="edge-1",
            members=lambda: {"edge-1": None},
            register=lambda method, handler: None,
        )
        self.cold = cold_upstreams.ColdUpstreams(
            own_peers, lambda: 1, _CATALOGUE, self.clock, metrics.Metrics()
        )
        self.cold.update_table(make_table(cold_seconds, cold_rate))

    def hear(self, **changes):
        """Take a record of the upstream."""
        self.host = make_host(1, **changes)
        self.cold.update_hosts({"i-1": self.host})

    def cold_seconds(self):
        """Return for how long the upstream is cold from now on, to a tenth."""
        began = self.clock.seconds
        while self.cold.is_cold(self.host):
            self.clock.seconds += 0.1
        return self.clock.seconds - began
