"""Queueing model of replicas and of the requests that reach them."""

import collections
import dataclasses
import datetime
import heapq
import itertools

from peridothitch.policy import affinity, cache_estimates, cost, load_estimates
from peridothitch.policy import document as documents

TOKENS_PER_BLOCK = 128
CHUNK_TOKENS = 64
CACHE_BLOCK_COUNT = 4096
PREFILL_GAP_FACTOR = 1.25
BYTES_PER_TOKEN = 4
CROSS_REGION_ROUND_TRIP_SECONDS = 0.020
SAME_REGION_ROUND_TRIP_SECONDS = 0.001
PROFILE = load_estimates.Profile()


@dataclasses.dataclass(kw_only=True)
class Request:
    """One simulated request, with its state and result."""

    arrival: float
    entry: int
    prefix: affinity.Prefix
    prompt_tokens: int
    output_tokens: int
    priority: documents.Priority = documents.Priority.NORMAL
    deadline_seconds: float = 600.0
    started: float = 0.0
    first_token: float = 0.0
    ended: float = 0.0
    tokens_left: int = 0
    attempts: int = 0

    @property
    def blocks(self):
        """Prefix blocks of the prompt."""
        return self.prefix.blocks

    def demand(self, expected_output, reuse, now):
        """Return the expected demand of the request on a host."""
        remaining = self.deadline_seconds - (now - self.arrival)
        return cost.Demand(
            prompt_tokens=self.prompt_tokens,
            output_tokens=expected_output,
            request_bytes=self.byte_count(),
            priority=self.priority,
            reuse=reuse,
            remaining=datetime.timedelta(seconds=max(0.0, remaining)),
        )

    def byte_count(self):
        """Return the size of the request and its response in bytes."""
        return (self.prompt_tokens + self.output_tokens) * BYTES_PER_TOKEN

    def is_within(self, targets):
        """Return whether the first token and the token gaps meet the targets."""
        if not self.ended:
            return False
        if self.priority is documents.Priority.BATCH:
            return self.ended - self.arrival <= self.deadline_seconds
        gap = (self.ended - self.first_token) / max(1, self.output_tokens)
        first = self.first_token - self.arrival
        return first <= targets.first_token_seconds and gap <= targets.gap_seconds


class Replica:
    """A replica that computes prompts one after another and tokens in one batch."""

    def __init__(self, host):
        self.host = host
        self.free_at = 0.0
        self.in_flight = set()
        self.running = 0
        self.alive = True
        self.cache = collections.OrderedDict()
        self.events = []
        self._sequences = itertools.count(1)

    def compute(self, request, now):
        """Queue the prompt; returns its end time and the number of cached blocks."""
        cached = 0
        for block in request.blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            cached += 1
        uncached = request.prompt_tokens - cached * TOKENS_PER_BLOCK
        seconds = max(0, uncached) / PROFILE.prefill_tokens_per_second
        self.free_at = max(self.free_at, now) + seconds
        self.store(request.blocks)
        return self.free_at, cached

    def store(self, blocks):
        """Cache prefix blocks and evict the least recently used ones."""
        new = tuple(block for block in blocks if block not in self.cache)
        for block in blocks:
            self.cache[block] = True
            self.cache.move_to_end(block)
        self._publish(cache_estimates.CacheEventKind.STORED, new)
        removed = []
        while len(self.cache) > CACHE_BLOCK_COUNT:
            removed.append(self.cache.popitem(last=False)[0])
        self._publish(cache_estimates.CacheEventKind.REMOVED, tuple(removed))

    def gap(self, now):
        """Return the current time between tokens, in seconds."""
        gap = PROFILE.gap_seconds + PROFILE.gap_per_stream_seconds * self.running
        return gap * (PREFILL_GAP_FACTOR if self.free_at > now else 1.0)

    def report(self, now):
        """Return the current load report."""
        backlog = max(0.0, self.free_at - now) * PROFILE.prefill_tokens_per_second
        return load_estimates.LoadReport(len(self.in_flight), int(backlog))

    def _publish(self, kind, blocks):
        if blocks:
            sequence = next(self._sequences)
            self.events.append(
                cache_estimates.CacheEvent(sequence=sequence, kind=kind, blocks=blocks)
            )


class EventQueue:
    """Queue of actions, run in order of simulated time."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._order = itertools.count()

    def schedule(self, when, action, *arguments):
        """Schedule an action at a time in seconds."""
        heapq.heappush(self._heap, (when, next(self._order), action, arguments))

    def run(self, until):
        """Run the scheduled actions up to a time in seconds."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
