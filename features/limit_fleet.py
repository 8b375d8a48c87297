"""Many entry hosts before one limited upstream, without a network."""

import heapq
import itertools
import random

import part_fleet

from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import upstream_limits
from peridothitch.ports import facts, upstream

_TOLD_SECONDS = 0.5
_MAX_GOSSIP_SECONDS = 1.5
_RETRY_SHARE = 0.3
_KILL_INTERVAL_SECONDS = 2.0
_JOIN_SECONDS = 2.0
_UPSTREAM = upstream.Host(
    host_id="i-1",
    address="",
    service="model",
    version="v1",
    data_centre="fife-a",
    price_per_hour=1.0,
    state=upstream.HostState.LIVE,
)


class _Host(facts.FactRegistry):
    """One entry host; also the registry of its facts and its peers."""

    def __init__(self, fleet, number):
        self.host_id = f"edge-{number}"
        self.told_at = None
        self.joined_at = fleet.clock.seconds
        self._fleet = fleet
        self._sequence = 0
        self.limits = upstream_limits.UpstreamLimits(
            self, self, fleet.clock, metrics.Metrics()
        )

    def members(self):
        return self._fleet.members(self)

    def publish(self, fact):
        if self.add(fact):
            self._fleet.spread(self, fact)

    def add(self, fact):
        if fact.sequence <= self._sequence:
            return False
        self._sequence = fact.sequence
        self._callback(fact)
        return True

    def facts(self, kind):
        raise NotImplementedError

    def subscribe(self, kind, callback):
        self._callback = callback


class LimitFleet:
    """Plays requests that prefer the limited upstream against all entry hosts.

    Attributes
    ----------
    limit : float
        What the upstream's answers name now.
    sends : list of (float, bool)
        Time of each request at it, and whether its host had been told by then.
    """

    def __init__(self, host_count, limit, seed, kills):
        self.clock = part_fleet.VirtualClock()
        self.limit = limit
        self.sends = []
        self._random = random.Random(seed)
        self._number = itertools.count()
        self._events = []
        self._hosts = []
        self._hosts += [_Host(self, next(self._number)) for _ in range(host_count)]
        self._at(0.0, self._arrive)
        if kills:
            self._at(_KILL_INTERVAL_SECONDS, self._kill)

    def members(self, host):
        """Return the hosts that a host knows; only itself when it has just started."""
        if 0 < host.joined_at > self.clock.seconds - _JOIN_SECONDS:
            return {host.host_id: None}
        return dict.fromkeys(other.host_id for other in self._hosts)

    def _at(self, delay, action, *arguments):
        due = self.clock.seconds + delay
        heapq.heappush(self._events, (due, next(self._number), action, arguments))

    def spread(self, source, fact):
        """Deliver a fact of one host to the others."""
        for host in self._hosts:
            if host is not source:
                delay = self._random.uniform(0.1, _MAX_GOSSIP_SECONDS)
                self._at(delay, host.add, fact)

    def play(self, seconds):
        """Play on for some seconds."""
        until = self.clock.seconds + seconds
        while self._events and self._events[0][0] <= until:
            self.clock.seconds, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _arrive(self):
        self._at(self._random.expovariate(8.0 * len(self._hosts)), self._arrive)
        self._send(self._random.choice(self._hosts), retries=2)

    def _send(self, host, retries):
        if not host.limits.may_send(_UPSTREAM):
            return
        host.limits.spend(_UPSTREAM)
        now = self.clock.seconds
        is_told = host.told_at is not None and now - host.told_at >= _TOLD_SECONDS
        self.sends.append((now, is_told))
        self._at(self._random.uniform(0.05, 0.6), self._answer, host, self.limit)
        if retries and self._random.random() < _RETRY_SHARE:
            self._at(0.01, self._send, host, retries - 1)

    def _answer(self, host, limit):
        host.limits.record(_UPSTREAM, limit)
        if host.told_at is None:
            host.told_at = self.clock.seconds

    def _kill(self):
        self._at(_KILL_INTERVAL_SECONDS, self._kill)
        number = self._random.randrange(len(self._hosts))
        self._hosts[number] = _Host(self, next(self._number))

    def most_sends(self, since, span=4.0):
        """Return the most requests of told hosts in any span after a time."""
        times = [at for at, is_told in self.sends if is_told and at >= since]
        counts = [sum(begin <= at < begin + span for at in times) for begin in times]
        return max(counts, default=0)

    def sent(self, since):
        """Return the number of requests after a time."""
        return sum(at >= since for at, _ in self.sends)
