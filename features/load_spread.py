"""Requests that entry hosts place by their pools, and how even the load becomes."""

import heapq
import itertools
import random
import types

import fake_network
import load_fleet

from peridothitch.gateway.forwarding import upstream_pool
from peridothitch.policy import placement
from peridothitch.ports import forwarding

_REGIONS = ("fife", "ayr", "moray")
_FIRST_EVENT_SECONDS = 0.1
_MEAN_SECONDS = 1.5
_WARM_SECONDS = 6.0
_SECONDS = 14.0


class _NoLimits:
    """No upstream names a limit."""

    def may_send(self, host):
        return True

    def spend(self, host):
        pass


class LoadSpread:
    """Streams of random length from many entry hosts to one service.

    Parameters
    ----------
    host_count, rate, upstream_count : int
    is_on : bool
        Whether the pools use the exchange.
    pace : float or None
        What upstreams tell in each answer.
    """

    def __init__(self, host_count, rate, upstream_count, is_on, pace=1.0):
        self._random = random.Random(7)
        self._rate = rate
        self._pace = pace
        self._fleet = load_fleet.LoadFleet(host_count, data_centre_count=6)
        self._busy_by_id = {}
        self._events = []
        self._now = self._fleet.seconds
        self._number = itertools.count()
        self._chosen_ids = []
        upstreams = {}
        for number in range(upstream_count):
            region = _REGIONS[number % 3]
            centre = f"dc-{number % 6}"
            host = load_fleet.make_upstream(number, centre, region)
            upstreams[host.host_id] = host
            self._busy_by_id[host.host_id] = 0
        self._pools = [
            self._make_pool(host, upstreams, is_on)
            for host in self._fleet.host_by_id.values()
        ]

    def _make_pool(self, host, upstreams, is_on):
        centre = host.peer.data_centre
        settings = types.SimpleNamespace(
            data_centre=centre, region=_REGIONS[int(centre.removeprefix("dc-")) % 3]
        )
        pool = upstream_pool.UpstreamPool(
            settings,
            host.clock,
            fake_network.CountingMetrics(),
            _NoLimits(),
            random.Random(host.host_id),
            exchange=host.exchange if is_on else None,
        )
        if not is_on:
            host.is_modelled = False
        pool.update(upstreams)
        return pool

    def _at(self, delay, action, *arguments):
        due = self._now + delay
        heapq.heappush(self._events, (due, next(self._number), action, arguments))

    def _arrive(self):
        self._at(self._random.expovariate(self._rate), self._arrive)
        duration = self._random.expovariate(1.0 / _MEAN_SECONDS)
        pool = self._random.choice(self._pools)
        need = placement.RequestNeed(prompt_tokens=2000.0)
        host, _ = pool.choose("model", need)
        self._chosen_ids.append(host.host_id)
        tokens = pool.begin_request(host, need)
        self._busy_by_id[host.host_id] += 1
        self._at(_FIRST_EVENT_SECONDS, self._begin, pool, host, tokens)
        self._at(_FIRST_EVENT_SECONDS + duration, self._end, pool, host, tokens)

    def _begin(self, pool, host, tokens):
        pool.record_first_byte(host, tokens, 0.1, 0.1)
        load = forwarding.Load(self._busy_by_id[host.host_id], 0, 32, self._pace)
        pool.record_load(host, load)

    def _end(self, pool, host, tokens):
        self._busy_by_id[host.host_id] -= 1
        pool.end_request(host, tokens, True)

    def _run(self, seconds):
        """Run for some seconds; returns the busiest over the mean at each step."""
        ratios = []

        def step():
            while self._events and self._events[0][0] <= self._fleet.seconds:
                self._now, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
            busy = self._busy_by_id.values()
            ratios.append(max(busy) * len(busy) / max(1, sum(busy)))

        self._fleet.run(seconds, step)
        return ratios

    def play(self):
        """Return the mean of the busiest upstream over the mean one."""
        self._at(0.0, self._arrive)
        self._run(_WARM_SECONDS)
        ratios = self._run(_SECONDS)
        return sum(ratios) / len(ratios)

    def chosen_ids(self):
        """Return the upstreams chosen one after the other."""
        self._at(0.0, self._arrive)
        self._run(_WARM_SECONDS)
        return self._chosen_ids
