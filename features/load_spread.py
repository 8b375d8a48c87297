"""Requests that entry hosts place by their pools, and how even the load becomes."""

import collections
import heapq
import itertools
import random
import types
from unittest import mock

import load_fleet

from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import upstream_models, upstream_pool
from peridothitch.policy import placement
from peridothitch.ports import forwarding

_REGIONS = ("fife", "ayr", "moray")
_FIRST_EVENT_SECONDS = 0.1
_SLOTS = 16
_WARM_SECONDS = 6.0
_SECONDS = 14.0


def estimate_wait(need, state):
    """Return an estimate that counts on a wait where all slots are in use."""
    share = (state.in_flight + 1) / state.slots
    seconds = 0.06 + 0.3 * max(0.0, share - 0.6) + max(0.0, share - 1.0)
    cost = seconds + 0.03 * state.nearness
    return placement.Estimate(state.host_id, seconds, cost)


class _NoLimits:
    """No upstream names a limit."""

    def may_send(self, host, lent=None):
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
    usage : float
        Share of the slots that the requests need.

    Attributes
    ----------
    waits : list of float
        Time of each request in an upstream's queue, in seconds.
    """

    def __init__(self, host_count, rate, upstream_count, is_on, pace=1.0, usage=0.85):
        self._random = random.Random(7)
        self._rate = rate
        self._pace = pace
        self._fleet = load_fleet.LoadFleet(host_count, data_centre_count=6)
        self._mean_seconds = usage * upstream_count * _SLOTS / rate
        self._mean_seconds -= _FIRST_EVENT_SECONDS
        self._running_by_id = {}
        self._queue_by_id = {}
        self.waits = []
        self._events = []
        self._now = self._fleet.seconds
        self._number = itertools.count()
        self._chosen_ids = []
        upstreams = {}
        for number in range(upstream_count):
            region = _REGIONS[number % 3]
            centre = f"dc-{number % 6}"
            host = load_fleet.make_upstream(number, centre, region, _SLOTS)
            upstreams[host.host_id] = host
            self._running_by_id[host.host_id] = 0
            self._queue_by_id[host.host_id] = collections.deque()
        self._pools = [
            self._make_pool(host, upstreams, is_on)
            for host in self._fleet.host_by_id.values()
        ]

    def _make_pool(self, host, upstreams, is_on):
        centre = host.peer.data_centre
        settings = types.SimpleNamespace(
            data_centre=centre, region=_REGIONS[int(centre.removeprefix("dc-")) % 3]
        )
        told = metrics.Metrics()
        pool = upstream_pool.UpstreamPool(
            settings,
            host.clock,
            told,
            _NoLimits(),
            types.SimpleNamespace(covers=lambda _: False),
            _NoLimits(),
            upstream_models.UpstreamModels(host.clock, told),
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
        pool = self._random.choice(self._pools)
        need = placement.RequestNeed(prompt_tokens=2000.0)
        host, _ = pool.choose("model", need)
        self._chosen_ids.append(host.host_id)
        tokens = pool.begin_request(host, need)
        self._queue_by_id[host.host_id].append((pool, host, tokens, self._now))
        self._start_waiting(host)

    def _start_waiting(self, host):
        queue = self._queue_by_id[host.host_id]
        while queue and self._running_by_id[host.host_id] < host.slots:
            pool, host, tokens, arrived_at = queue.popleft()
            self.waits.append(self._now - arrived_at)
            self._running_by_id[host.host_id] += 1
            duration = self._random.expovariate(1.0 / self._mean_seconds)
            self._at(_FIRST_EVENT_SECONDS, self._begin, pool, host, tokens)
            self._at(_FIRST_EVENT_SECONDS + duration, self._end, pool, host, tokens)

    def _begin(self, pool, host, tokens):
        pool.record_first_byte(host, tokens, 0.1, 0.1)
        running = self._running_by_id[host.host_id]
        waiting = len(self._queue_by_id[host.host_id])
        load = forwarding.Load(running, waiting, host.slots, self._pace)
        pool.record_load(host, load)

    def _end(self, pool, host, tokens):
        self._running_by_id[host.host_id] -= 1
        pool.end_request(host, tokens, True)
        self._start_waiting(host)

    def _run(self, seconds):
        """Run for some seconds; returns the busiest over the mean at each step."""
        ratios = []

        def step():
            while self._events and self._events[0][0] <= self._fleet.seconds:
                self._now, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
            busy = [
                running + len(self._queue_by_id[host_id])
                for host_id, running in self._running_by_id.items()
            ]
            ratios.append(max(busy) * len(busy) / max(1, sum(busy)))

        self._fleet.run(seconds, step)
        return ratios

    def play(self):
        """Return the mean of the busiest upstream over the mean one."""
        with mock.patch.object(placement, "estimate", estimate_wait):
            self._at(0.0, self._arrive)
            self._run(_WARM_SECONDS)
            self.waits.clear()
            ratios = self._run(_SECONDS)
        return sum(ratios) / len(ratios)

    def chosen_ids(self):
        """Return the upstreams chosen one after the other."""
        self._at(0.0, self._arrive)
        self._run(_WARM_SECONDS)
        return self._chosen_ids
