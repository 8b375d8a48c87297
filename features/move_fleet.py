"""Runs entry hosts in one thread on a virtual clock, for scenarios of moves."""

import collections
import datetime
import functools
import heapq
import itertools
import random
import types

from peridothitch import errors
from peridothitch.adapters import memory_store, metrics
from peridothitch.coordination import move_store, ranked_leadership, single_host
from peridothitch.gateway import move_controller
from peridothitch.policy import document as documents
from peridothitch.policy import route_table
from peridothitch.ports import clock, outcomes, peers, upstream
from peridothitch.standins import faulty_store

SECOND = datetime.timedelta(seconds=1)
START = datetime.datetime(2026, 3, 2, 9, tzinfo=datetime.UTC)
TICK = datetime.timedelta(milliseconds=500)
LATENCY_OBJECTIVE = 0.8 * SECOND
WINDOW = datetime.timedelta(minutes=6)
SERVICE = "assistant"
FACT_KINDS = ("move-record", "move-in-force", "move-evidence", "condemned")


class VirtualClock(clock.Clock):
    """Advances only in waits and when a fleet sets `elapsed`."""

    def __init__(self):
        self.elapsed = datetime.timedelta(0)

    def now(self):
        return START + self.elapsed

    def monotonic(self):
        return self.elapsed

    def wait(self, event, timeout):
        self.elapsed += timeout
        return event.is_set()


class Network:
    """Delivers facts between registries with delays, reordering and losses.

    A lost fact arrives with the next full exchange of two registries.
    """

    def __init__(self, the_clock, generator, loss=0.0):
        self.clock = the_clock
        self.random = generator
        self.loss = loss
        self.fact_registry_by_host = {}
        self.cut_hosts = set()
        self._queue = []
        self._serial = itertools.count()

    def propagate(self, source, fact):
        for host_id in self.fact_registry_by_host:
            lost = self.random.random() < self.loss
            delay = self.random.uniform(0.1, 1.0) + (3.0 if lost else 0.0)
            due = self.clock.elapsed + delay * SECOND
            entry = (due, next(self._serial), source, host_id, fact)
            heapq.heappush(self._queue, entry)

    def deliver(self):
        while self._queue and self._queue[0][0] <= self.clock.elapsed:
            _, _, source, host_id, fact = heapq.heappop(self._queue)
            if {source, host_id} & self.cut_hosts or source == host_id:
                continue
            fact_registry = self.fact_registry_by_host.get(host_id)
            if fact_registry is not None:
                single_host.LocalFactRegistry.publish(fact_registry, fact)

    def copy_all(self, target):
        for fact_registry in tuple(self.fact_registry_by_host.values()):
            for kind in FACT_KINDS:
                for fact in fact_registry.facts(kind).values():
                    single_host.LocalFactRegistry.publish(target, fact)


class PropagatingFactRegistry(single_host.LocalFactRegistry):
    """One host's facts; new ones are sent to the other hosts by a `Network`."""

    def __init__(self, network, host_id):
        super().__init__()
        self._network = network
        self._host_id = host_id

    def publish(self, fact):
        is_new = super().publish(fact)
        if is_new:
            self._network.propagate(self._host_id, fact)
        return is_new


class Members(peers.Peers):
    """The fleet's live hosts."""

    def __init__(self, fleet, host_id):
        self.host_id = host_id
        self._fleet = fleet

    def members(self):
        return dict.fromkeys([*self._fleet.host_by_id, self.host_id])

    def register(self, method, handler):
        raise NotImplementedError

    def call(self, host_id, method, payload, timeout):
        raise NotImplementedError


class Version:
    """A version's failure rate and slowdown, from a time on and on some routes.

    Attributes
    ----------
    failing : float
        Additional share of requests that fail.
    slowdown : float
        Factor of all latencies.
    begins : float
        Start of the fault, as a share of the window.
    route : str or None
        The only route with the fault; None for all routes.
    """

    def __init__(self, failing=0.0, slowdown=1.0, begins=0.0, route=None):
        self.failing = failing
        self.slowdown = slowdown
        self.begins = begins
        self.route = route

    def behaviour(self, elapsed, route):
        if elapsed < self.begins or self.route not in (None, route):
            return 0.0, 1.0
        return self.failing, self.slowdown


def make_document(moves_by_name, current="v1", revision=1):
    def route(path):
        return documents.Route(method="POST", path=path, service=SERVICE)

    service = documents.Service(
        protocol=documents.Protocol.CHAT,
        current=current,
        versions={name: documents.Version() for name in ("v1", "v2", "v3")},
    )
    return documents.Document(
        revision=revision,
        route_by_name={"chat": route("/chat"), "booking": route("/booking")},
        service_by_name={SERVICE: service, "ticketing": service},
        move_by_name=moves_by_name,
    )


def make_move(to_version="v2", service=SERVICE, starts=1.0, window=WINDOW):
    start = START + starts * SECOND
    return documents.Move(
        service=service, to_version=to_version, start=start, finish_by=start + window
    )


@functools.cache
def upstream_hosts(service):
    return [
        upstream.Host(
            host_id=f"{service}-{index}",
            address="127.0.0.1:1",
            service=service,
            version="v2" if index == 0 else "v1",
            data_centre="lothian",
        )
        for index in range(9)
    ]


VERSION_BY_FAULT = {
    "fails at once": Version(failing=0.5),
    "fails later": Version(failing=0.5, begins=0.5),
    "is slow at once": Version(slowdown=3.0),
    "is slow later": Version(slowdown=3.0, begins=0.5),
    "fails on one route": Version(failing=0.6, route="booking"),
    "is slow on one route": Version(slowdown=3.5, route="booking"),
}


class Fleet:
    """Entry hosts with real move controllers, a store with faults, and traffic."""

    def __init__(self, seed, version, host_count=7, rate=8.0, loss=0.0, window=WINDOW):
        self.window = window
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        inner = memory_store.MemoryStore(self.clock)
        self.store = faulty_store.FaultyStore(inner, self.clock)
        self.network = Network(self.clock, self.random, loss)
        self.version = version
        self.rate = rate
        self.host_by_id = {}
        self.paused = set()
        self.document = make_document({"step": make_move()})
        self.exposed = collections.Counter()
        self.requests = 0
        self.rejected = 0
        self.old_slowdown = 1.0
        self.exposed_unproved = 0
        self.condemned_at = None
        self.last_new_version_at = None
        self.verdict_by_id = {}
        self._is_proved = False
        self._completions = []
        self._serial = itertools.count()
        self._names = itertools.count()
        for _ in range(host_count):
            self.add_host()

    def add_host(self):
        host_id = f"entry-{next(self._names)}"
        fact_registry = PropagatingFactRegistry(self.network, host_id)
        self.network.copy_all(fact_registry)
        self.network.fact_registry_by_host[host_id] = fact_registry
        members = Members(self, host_id)
        self.host_by_id[host_id] = move_controller.MoveController(
            feed=types.SimpleNamespace(current=lambda: self.document),
            view=types.SimpleNamespace(hosts=upstream_hosts),
            record_store=move_store.MoveStore(self.store, host_id),
            fact_registry=fact_registry,
            peers=members,
            leadership=ranked_leadership.RankedLeadership(members, "moves"),
            clock=self.clock,
            metrics=metrics.Metrics(),
            generator=self.random,
        )
        return host_id

    def remove_host(self, host_id):
        del self.host_by_id[host_id]
        del self.network.fact_registry_by_host[host_id]

    def decider(self):
        for host_id in self.host_by_id:
            if ranked_leadership.RankedLeadership(
                Members(self, host_id), "moves"
            ).is_held():
                return host_id
        raise AssertionError("no host holds the leadership of the moves")

    def run(self, duration, until=lambda fleet: False):
        """Advance the clock in ticks; returns whether `until` came true."""
        end = self.clock.elapsed + duration
        while self.clock.elapsed < end:
            self.clock.elapsed += TICK
            self.network.deliver()
            self._complete_due()
            for host_id in list(self.host_by_id):
                if host_id not in self.paused:
                    self.host_by_id[host_id].tick()
            self._send_requests()
            self._check_verdicts()
            if until(self):
                return True
        return False

    def _send_requests(self):
        share = self.rate * TICK.total_seconds() / len(self.host_by_id)
        for host_id, controller in self.host_by_id.items():
            count = int(share) + (self.random.random() < share % 1)
            for _ in range(count):
                self._send(host_id, controller)

    def _send(self, host_id, controller):
        route = "chat" if self.random.random() < 0.8 else "booking"
        match = route_table.RouteMatch(route, self.document.route_by_name[route])
        job = types.SimpleNamespace(
            document=self.document, match=match, route=match.route
        )
        version = controller.pick(job)
        self.requests += 1
        if version is None:
            self.rejected += 1
            return
        self.exposed[version] += 1
        failing, slowdown = 0.002, self.old_slowdown
        if version == "v2":
            self.last_new_version_at = self.clock.elapsed
            self.exposed_unproved += not self._is_proved
            elapsed = (self.clock.now() - START) / self.window
            more, slowdown = self.version.behaviour(elapsed, route)
            failing += more
        first = slowdown * self.random.lognormvariate(-1.2, 0.4)
        gap = slowdown * self.random.lognormvariate(-3.4, 0.2)
        failed = self.random.random() < failing
        duration = (first if failed else first + 49 * gap) * SECOND
        outcome = outcomes.AttemptOutcome(
            request_id="",
            service=SERVICE,
            version=version,
            route=route,
            customer="",
            host_id=f"{SERVICE}-0" if version == "v2" else f"{SERVICE}-1",
            data_centre="lothian",
            ended=self.clock.now() + duration,
            first_byte=first * SECOND,
            duration=duration,
            status=500 if failed else 200,
            code=errors.Code.UPSTREAM_FAILED if failed else None,
            token_count=0 if failed else 50,
            latency_objective=LATENCY_OBJECTIVE,
        )
        due = self.clock.elapsed + duration
        entry = (due, next(self._serial), host_id, outcome)
        heapq.heappush(self._completions, entry)

    def _complete_due(self):
        while self._completions and self._completions[0][0] <= self.clock.elapsed:
            _, _, host_id, outcome = heapq.heappop(self._completions)
            controller = self.host_by_id.get(host_id)
            if controller is not None:
                controller.observe(outcome)

    def stored_records(self):
        """Return the records by id, read without the store's faults."""
        inner = move_store.MoveStore(self.store._inner, "reader")
        return {
            move_id: stored.record
            for move_id, stored in inner.load().move_by_id.items()
        }

    def _check_verdicts(self):
        if self.condemned_at is None and self.condemned_facts():
            self.condemned_at = self.clock.elapsed
        for move_id, record in self.stored_records().items():
            self._is_proved = self._is_proved or record.proved_at is not None
            if record.outcome is None:
                assert move_id not in self.verdict_by_id, (
                    f"{move_id}: verdict was removed"
                )
                continue
            first = self.verdict_by_id.setdefault(move_id, record)
            assert first == record, f"a verdict changed: {first} to {record}"

    def verdict(self):
        """Return the record of the only verdict, None before it is written."""
        assert len(self.verdict_by_id) <= 1, self.verdict_by_id
        return next(iter(self.verdict_by_id.values()), None)

    def condemned_facts(self):
        return [
            fact
            for fact_registry in self.network.fact_registry_by_host.values()
            for fact in fact_registry.facts("condemned").values()
        ]
