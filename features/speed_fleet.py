"""Many entry hosts before upstreams of different speeds, without a network."""

import datetime
import heapq
import itertools
import random
import types

import virtual_clock

from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import (
    fleet_messages,
    upstream_models,
    upstream_pool,
)
from peridothitch.policy import placement
from peridothitch.ports import forwarding, upstream

SERVICE = "model"
TOKENS_PER_SECOND = 30_000.0
_FIRST_SECONDS = 0.02
_SLOTS = 32
_REPORT_SECONDS = 1.0


class _Upstream:
    """Reads one prompt after the other."""

    def __init__(self, number, speed, data_centre):
        self.speed = speed
        self.pace = 1.0
        self.rate = TOKENS_PER_SECOND
        self.free_at = 0.0
        self.arrivals = []
        self.parts = set()
        self._ends = []
        self.host = upstream.Host(
            host_id=f"i-{number}",
            address="",
            service=SERVICE,
            version="v1",
            data_centre=data_centre,
            region=data_centre[:3],
            slots=_SLOTS,
            state=upstream.HostState.LIVE,
        )

    def run(self, tokens, now):
        """Return the time of the first piece."""
        self.arrivals.append((now, tokens))
        seconds = (_FIRST_SECONDS + tokens / self.rate) * self.pace
        self.free_at = max(self.free_at, now) + seconds / self.speed
        self._ends.append(self.free_at)
        return self.free_at

    def load(self, now, has_pace):
        """Return the `forwarding.Load` that it tells."""
        self._ends = [end for end in self._ends if end > now]
        waiting = max(0, len(self._ends) - 1)
        pace = self.pace if has_pace else None
        return forwarding.Load(min(1, len(self._ends)), waiting, _SLOTS, pace)


class SpeedFleet:
    """Plays requests against the choices and models of all entry hosts.

    Attributes
    ----------
    late_count, count : int
        Requests whose first piece took longer than 0.5 s, and all.
    hits : list of bool
        Whether the upstream had a shared part already, for each of them.
    """

    def __init__(self, host_count, speeds, seed, has_pace=True, liar_share=0.0):
        self.clock = virtual_clock.VirtualClock()
        self.random = random.Random(seed)
        self.upstreams = [
            _Upstream(number, speed, f"dc{number % 2}-{number % 4}")
            for number, speed in enumerate(speeds)
        ]
        self.late_count = self.count = 0
        self.hits = []
        self._has_pace = has_pace
        self._liar_share = liar_share
        self._events = []
        self._order = itertools.count()
        host_by_id = {u.host.host_id: u.host for u in self.upstreams}
        self._upstream_by_id = {u.host.host_id: u for u in self.upstreams}
        self.hosts = [self._make_host(i, host_by_id) for i in range(host_count)]

    def _make_host(self, number, host_by_id):
        told = metrics.Metrics()
        models = upstream_models.UpstreamModels(self.clock, told)
        limits = types.SimpleNamespace(may_send=lambda *_: True, spend=lambda _: None)
        evacuations = types.SimpleNamespace(covers=lambda _: False)
        name = f"dc{number % 2}-{number % 4}"
        settings = types.SimpleNamespace(data_centre=name, region=name[:3])
        pool = upstream_pool.UpstreamPool(
            settings,
            self.clock,
            told,
            limits,
            evacuations,
            limits,
            models,
            self.random,
        )
        pool.update(host_by_id)
        return pool

    @property
    def now(self):
        """Virtual seconds."""
        return self.clock.monotonic().total_seconds()

    def play(self, seconds, rate, make_need):
        """Send requests at a rate for some time."""
        end = self.now + seconds
        self._at(self.now, lambda: self._arrive(rate, make_need))
        self._at(self.now + _REPORT_SECONDS, self._report)
        while self._events and self._events[0][0] <= end:
            at, _, run = heapq.heappop(self._events)
            self.clock.advance(datetime.timedelta(seconds=max(0.0, at - self.now)))
            run()
        self._events = [e for e in self._events if e[2].__name__ == "finish"]

    def _at(self, moment, run):
        heapq.heappush(self._events, (moment, next(self._order), run))

    def _arrive(self, rate, make_need):
        self._send(self.random.choice(self.hosts), make_need(self.random))
        next_at = self.now + self.random.expovariate(rate)
        self._at(next_at, lambda: self._arrive(rate, make_need))

    def _send(self, pool, need):
        host, estimate = pool.choose(SERVICE, need)
        uncached = pool.begin_request(host, need)
        chosen = self._upstream_by_id[host.host_id]
        sent_at = self.now
        read_tokens = need.prompt_tokens
        for part_id, tokens in need.prompt_parts[:-1]:
            is_hit = part_id in chosen.parts
            chosen.parts.add(part_id)
            read_tokens -= tokens * is_hit
            self.hits.append(is_hit)
        answer_at = chosen.run(read_tokens, sent_at)

        def finish():
            load = chosen.load(self.now, self._has_pace)
            if self.random.random() < self._liar_share:
                load = forwarding.Load(0, 0, _SLOTS, self.random.choice([0.01, 900.0]))
            pool.record_load(host, load)
            seconds = answer_at - sent_at
            pool.record_first_byte(host, uncached, estimate.seconds, seconds)
            pool.models.record_first_piece(host, need, uncached, estimate, seconds)
            pool.end_request(host, uncached, True)
            self.count += 1
            self.late_count += seconds > 0.5

        self._at(answer_at, finish)

    def _report(self):
        holder = self.hosts[0].models
        for pool in self.hosts:
            holder.receive(pool.models.take_answers())
        for pool in self.hosts:
            pool.models.apply(holder.shared_speeds())
        self._at(self.now + _REPORT_SECONDS, self._report)

    def tokens_by_speed(self, since):
        """Return the mean tokens that an upstream got, by speed."""
        got = {}
        for chosen in self.upstreams:
            tokens = sum(t for at, t in chosen.arrivals if at >= since)
            got.setdefault(chosen.speed, []).append(tokens)
        return {speed: sum(all_) / len(all_) for speed, all_ in got.items()}


def plain_need(random_source):
    """Return a `placement.RequestNeed` of a prompt that shares nothing."""
    tokens = random_source.choice((700, 2300, 6000))
    parts = ((f"own-{random_source.getrandbits(60)}", tokens),)
    return placement.RequestNeed(prompt_tokens=tokens, prompt_parts=parts)


def make_answers(service, *pieces):
    """Return a report of measurements as `upstream_models` receives it."""
    return {service: fleet_messages.Answers(pieces, ())}
