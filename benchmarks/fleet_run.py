"""Simulates one deployment under one strategy of host choice."""

import dataclasses
import functools
import random

import queueing
import strategies
import workloads

from peridothitch.policy import cost, host_pool
from peridothitch.ports import upstream

TARGETS = cost.Targets()
PRICES = cost.Prices()
POLL_SECONDS = 0.5
POLL_LAG_SECONDS = 0.5
SHARE_LAG_SECONDS = 1.0
EVENT_LOSS_SHARE = 0.1
NOTICE_SECONDS = 30.0
HOST_LIST_LAG_SECONDS = 2.0
WARM_UP_SECONDS = 30.0
BUSY_SLOT_SHARE = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Measurements of one run."""

    request_count: int
    share_within: float
    cost_per_1000: float
    recomputed_per_request: float
    cached_share: float


class FleetRun:
    """Replicas, entry hosts and callers, simulated on one event queue."""

    def __init__(self, deployment, strategy_name, rate, seconds, seed, reclaim):
        self.deployment = deployment
        self.seconds = seconds
        self.event_queue = queueing.EventQueue()
        self.random_source = random.Random(f"{seed}-network")
        workload_source = random.Random(f"{seed}-{deployment.name}")
        self.requests = workloads.draw(deployment, workload_source, rate, seconds)
        self.replica_by_id = {
            host.host_id: queueing.Replica(host) for host in deployment.hosts()
        }
        self.entries = [
            strategies.STRATEGY_BY_NAME[strategy_name](
                deployment, index, random.Random(f"{seed}-{index}")
            )
            for index in range(deployment.entry_hosts)
        ]
        self.listed = None
        self._publish_hosts()
        self.is_busy_by_host_id = {}
        self.position_by_poll = {}
        self.computed_blocks = set()
        self.recomputed_tokens = 0
        self.cached_tokens = 0
        self.cross_region_bytes = 0
        self.host_seconds = 0.0
        self.reclaim = reclaim

    def run(self):
        """Run all events in order of time; returns the `Result`."""
        for request in self.requests:
            self.event_queue.schedule(
                request.arrival, self._dispatch, request, frozenset()
            )
        for index in range(len(self.entries)):
            offset = POLL_SECONDS * index / len(self.entries)
            self.event_queue.schedule(offset, self._poll, index, 0)
        if self.reclaim:
            self.event_queue.schedule(self.seconds / 3, self._announce_reclaim)
        self.event_queue.run(self.seconds + 60.0)
        return self._result()

    def _publish_hosts(self):
        hosts = [replica.host for replica in self.replica_by_id.values()]
        self.listed = host_pool.HostPool(hosts, self.listed)
        self.live = [host for host in hosts if host.state is upstream.HostState.LIVE]

    def _dispatch(self, request, tried):
        now = self.event_queue.now
        entry = self.entries[request.entry % len(self.entries)]
        usable = [host for host in self.live if host.host_id not in tried]
        wants_pool = isinstance(entry, strategies.ExpectedCost)
        host = entry.choose(self.listed if wants_pool else usable, request, tried, now)
        replica = self.replica_by_id[host.host_id]
        request.attempts += 1
        request.started = now
        entry.record_start(host, request, now)
        if not replica.alive:
            entry.record_end(host, request, now)
            self._dispatch(request, tried | {host.host_id})
            return
        round_trip_seconds = queueing.SAME_REGION_ROUND_TRIP_SECONDS
        if host.region != entry.region:
            round_trip_seconds = queueing.CROSS_REGION_ROUND_TRIP_SECONDS
            self.cross_region_bytes += request.byte_count()
        replica.in_flight.add(id(request))
        ready, cached = replica.compute(request, now + round_trip_seconds / 2)
        self._count_blocks(request, cached)
        action = functools.partial(self._first_token, request, replica, entry, cached)
        self.event_queue.schedule(
            ready + round_trip_seconds / 2, action, request.attempts
        )

    def _count_blocks(self, request, cached):
        self.cached_tokens += cached * queueing.TOKENS_PER_BLOCK
        recomputed_block_count = sum(
            block in self.computed_blocks for block in request.blocks[cached:]
        )
        self.recomputed_tokens += recomputed_block_count * queueing.TOKENS_PER_BLOCK
        self.computed_blocks.update(request.blocks)

    def _first_token(self, request, replica, entry, cached, attempt):
        if attempt != request.attempts:
            return
        now = self.event_queue.now
        replica.running += 1
        gap = replica.gap(now)
        if not request.first_token:
            request.first_token = now + gap
            request.tokens_left = request.output_tokens
        report = replica.report(now)
        entry.record_first_token(replica.host, request, report, cached, now)
        self._share_load(replica, report)
        self._decode(request, replica, entry, attempt)

    def _decode(self, request, replica, entry, attempt):
        if attempt != request.attempts:
            return
        if request.tokens_left <= 0:
            self._finish(request, replica, entry)
            return
        tokens = min(queueing.CHUNK_TOKENS, request.tokens_left)
        request.tokens_left -= tokens
        later = self.event_queue.now + tokens * replica.gap(self.event_queue.now)
        self.event_queue.schedule(later, self._decode, request, replica, entry, attempt)

    def _finish(self, request, replica, entry):
        request.ended = self.event_queue.now
        replica.running -= 1
        replica.in_flight.discard(id(request))
        entry.record_end(replica.host, request, self.event_queue.now)

    def _share_load(self, replica, report):
        is_busy = report.running / queueing.PROFILE.slots >= BUSY_SLOT_SHARE
        host_id = replica.host.host_id
        if self.is_busy_by_host_id.get(host_id, False) == is_busy:
            return
        self.is_busy_by_host_id[host_id] = is_busy
        when = self.event_queue.now
        self.event_queue.schedule(
            when + SHARE_LAG_SECONDS, self._apply_shared_load, host_id, report, when
        )

    def _apply_shared_load(self, host_id, report, when):
        for entry in self.entries:
            entry.record_report(host_id, report, when)

    def _poll(self, index, turn):
        now = self.event_queue.now
        if now > self.seconds:
            return
        replicas = list(self.replica_by_id.values())
        replica = replicas[(index * 7919 + turn) % len(replicas)]
        if replica.alive:
            position = self.position_by_poll.get((index, turn % len(replicas)), 0)
            lost = self.random_source.random() < EVENT_LOSS_SHARE
            events = () if lost else tuple(replica.events[position:])
            self.position_by_poll[index, turn % len(replicas)] = len(replica.events)
            report = replica.report(now)
            self.event_queue.schedule(
                now + POLL_LAG_SECONDS,
                self._apply_poll,
                index,
                replica,
                report,
                events,
                now,
            )
        self.event_queue.schedule(now + POLL_SECONDS, self._poll, index, turn + 1)

    def _apply_poll(self, index, replica, report, events, when):
        self.entries[index].record_report(replica.host.host_id, report, when)
        self.entries[index].record_events(replica.host.host_id, events, when)
        self._share_load(replica, report)

    def _announce_reclaim(self):
        centre = list(self.deployment.regions)[0]
        self.reclaimed = [
            replica
            for replica in self.replica_by_id.values()
            if replica.host.data_centre == centre and replica.host.reclaimable
        ]
        self.event_queue.schedule(
            self.event_queue.now + HOST_LIST_LAG_SECONDS, self._list_leaving
        )
        self.event_queue.schedule(
            self.event_queue.now + NOTICE_SECONDS, self._kill_reclaimed
        )

    def _list_leaving(self):
        for replica in self.reclaimed:
            replica.host = dataclasses.replace(
                replica.host, state=upstream.HostState.LEAVING
            )
            for entry in self.entries:
                if isinstance(entry, strategies.ExpectedCost):
                    reclaims = entry.selector.estimates.reclaims
                    reclaims.record_notice(replica.host, self.event_queue.now)
        self._publish_hosts()

    def _kill_reclaimed(self):
        request_by_id = {id(request): request for request in self.requests}
        for replica in self.reclaimed:
            replica.alive = False
            replica.events.clear()
            for request_id in replica.in_flight:
                request = request_by_id[request_id]
                entry = self.entries[request.entry % len(self.entries)]
                entry.record_end(replica.host, request, self.event_queue.now)
                generated_tokens = request.output_tokens - request.tokens_left
                self.recomputed_tokens += generated_tokens if request.first_token else 0
                request.attempts += 1
                self._dispatch(request, frozenset({replica.host.host_id}))

    def _result(self):
        measured_requests = [
            request for request in self.requests if request.arrival >= WARM_UP_SECONDS
        ]
        within_target_count = sum(
            request.is_within(TARGETS) for request in measured_requests
        )
        paid_seconds = self.seconds
        host_cost = 0.0
        for replica in self.replica_by_id.values():
            seconds = paid_seconds
            if not replica.alive:
                seconds = self.seconds / 3 + NOTICE_SECONDS
            host_cost += replica.host.price_per_hour * seconds / 3600.0
        traffic = self.cross_region_bytes / 1e9 * PRICES.per_gigabyte_between_regions
        count = len(self.requests)
        prompt = sum(request.prompt_tokens for request in self.requests)
        return Result(
            request_count=count,
            share_within=within_target_count / max(1, len(measured_requests)),
            cost_per_1000=(host_cost + traffic) / count * 1000,
            recomputed_per_request=self.recomputed_tokens / count,
            cached_share=self.cached_tokens / prompt,
        )
