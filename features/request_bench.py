"""Sends one request through entry hosts in one process while faults are injected."""

import concurrent.futures
import contextlib
import dataclasses
import json
import random

import request_fakes as fakes

from peridothitch.adapters import memory_store, metrics, traces
from peridothitch.coordination import single_host
from peridothitch.gateway import admission, assembly, customers, upstreams, versions
from peridothitch.policy import document as documents
from peridothitch.ports import messages, outcomes, peers, upstream
from peridothitch.standins import engine, faulty_store, hosts, service

SECOND = fakes.SECOND
KEY = "caller-key"
TOKENS = 8
MAX_SEND_COUNT = 7
STEPS = (
    "read",
    "admitted",
    "claimed",
    "connected",
    "sent",
    "first byte",
    "mid-stream",
    "answered",
    "recorded",
    "reply",
)
KINDS = ("payment", "booking", "bulletin", "lookup", "chat")
STREAMED = frozenset({"bulletin", "chat"})
DURABLE = frozenset({"bulletin", "booking"})
ABSENCE_ROUND_COUNT = 8
RECOVERY_TIME = 12 * SECOND
REPLY_CHUNK = 5

ROUTES = {
    "payment": ("POST", "/payments", "desk", documents.Effect.ONCE),
    "booking": ("POST", "/bookings", "desk", documents.Effect.DURABLE),
    "bulletin": ("POST", "/v1/bulletins", "writer", documents.Effect.DURABLE),
    "lookup": ("GET", "/archive", "desk", documents.Effect.IDEMPOTENT),
    "chat": ("POST", "/v1/chat/completions", "writer", documents.Effect.IDEMPOTENT),
}


def make_document():
    plain = documents.Service(
        protocol=documents.Protocol.PLAIN,
        current="v1",
        versions={"v1": documents.Version()},
        refuses_before_running=True,
    )
    chat = dataclasses.replace(plain, protocol=documents.Protocol.CHAT)
    routes = {
        name: documents.Route(method=method, path=path, service=target, effect=effect)
        for name, (method, path, target, effect) in ROUTES.items()
    }
    customer = documents.Customer(key_sha256=[customers.hash_key(KEY)])
    return documents.Document(
        route_by_name=routes,
        customer_by_name={"parish": customer},
        service_by_name={"desk": plain, "writer": chat},
    )


class _Feed:
    def __init__(self):
        self._document = make_document()

    def current(self):
        return self._document


class _Admission(admission.Admission):
    def __init__(self, bench):
        self._bench = bench

    @contextlib.contextmanager
    def admit(self, job):
        self._bench.reach_step("admitted")
        with super().admit(job) as usage:
            yield usage


class Observer(outcomes.AttemptObserver):
    """Records the outcomes of all attempts."""

    def __init__(self):
        self.outcomes = []

    def observe(self, outcome):
        self.outcomes.append(outcome)


@dataclasses.dataclass
class CallerResult:
    """What the caller received for one send of the request."""

    host_id: str
    status: int = 0
    code: int = 0
    ran: str = ""
    body: bytes = b""
    cut: bool = False
    run_count_after: int = 0


class Bench:
    """Three entry hosts, six upstreams, one store and one caller."""

    def __init__(self, injector_by_fault, plan=(), sampled=True):
        self.injector_by_fault = injector_by_fault
        self.clock = fakes.VirtualClock()
        self.network = fakes.PeerNetwork()
        self.memory = memory_store.MemoryStore(self.clock)
        self.fact_registry = single_host.LocalFactRegistry()
        self.observer = Observer()
        self.store = faulty_store.FaultyStore(self.memory, self.clock)
        self.host_list = hosts.StaticHostList()
        self.machine_by_id = {}
        self.connection = None
        self.mid_stream_events = 3
        self.background = []
        self.reached = []
        self.plan = list(plan)
        self.caller_left = False
        self.refused_path = ""
        self.lookup_executor = _SynchronousExecutor()
        self.absence_round_count = 0
        self.kill_count = 0
        self.runs_before_return = 0
        self.nested = []
        self.request = None
        self._acting = []
        self._add_upstreams(sampled)
        self.view_by_id = {}
        self.handler_by_id = {
            f"entry-{index}": self._make_host(f"entry-{index}", "abc"[index])
            for index in range(3)
        }

    def _add_upstreams(self, sampled):
        for index, data_centre in enumerate("abc"):
            name = f"writer-{index}"
            model = engine.Engine(name, "v1", self.clock, sampled=sampled)
            self._add_upstream(name, "writer", data_centre, model)
            name = f"desk-{index}"
            self._add_upstream(name, "desk", data_centre, service.Service(name))

    def _add_upstream(self, name, target, data_centre, application):
        host = upstream.Host(
            host_id=name,
            address=name,
            service=target,
            version="v1",
            data_centre=data_centre,
        )
        self.host_list.put(host)
        self.machine_by_id[name] = fakes.Machine(host, application)

    def _make_host(self, host_id, data_centre):
        peer = peers.Peer(host_id=host_id, address=host_id, data_centre=data_centre)
        self.peers = fakes.FakePeers(self.network, peer)
        counters = metrics.Metrics()
        view = upstreams.UpstreamView(
            self.host_list,
            self.clock,
            counters,
            fact_registry=self.fact_registry,
            data_centre=data_centre,
            random_source=random.Random(host_id),
        )
        view.refresh()
        self.view_by_id[host_id] = view
        return make_handler(self, host_id, data_centre, view, counters)

    # Faults

    def reach_step(self, step):
        """Inject the faults that are planned for a step."""
        due = [item for item in self.plan if item[0] == step]
        for item in due:
            if item in self.plan:
                self.plan.remove(item)
                self.injector_by_fault[item[1]](self)

    def inject_reached(self):
        """Inject the faults of the steps that the store has recorded as reached."""
        reached, self.reached = self.reached, []
        for step in reached:
            self.reach_step(step)

    def kill_host(self, host_id):
        if host_id in self.network.dead:
            return
        self.network.dead.add(host_id)
        self.clock.schedule(RECOVERY_TIME, self._replace_host)

    def _replace_host(self):
        index = len(self.handler_by_id)
        host_id = f"entry-{index}"
        self.handler_by_id[host_id] = self._make_host(host_id, "abc"[index % 3])

    # Running

    @property
    def acting(self):
        return self._acting[-1]

    def settle(self):
        """Run the background work and periodic sweeps of the live hosts."""
        for view in self.view_by_id.values():
            view.refresh()
        run_background(self)

    def send(self, host_id, last_event_id=None):
        """Send the request through one host; returns what the caller received."""
        result = CallerResult(host_id)
        self._acting.append(host_id)
        self.caller_left = False
        try:
            self._exchange(result, last_event_id)
        except fakes.HostDied:
            result.cut = True
        finally:
            self._acting.pop()
        result.run_count_after = self.runs()
        return result

    def _exchange(self, result, last_event_id):
        if result.host_id in self.network.dead:
            raise fakes.HostDied
        self.reach_step("read")
        headers = dict(self.request.header_by_name)
        if last_event_id is not None:
            headers["last-event-id"] = str(last_event_id)
        request = dataclasses.replace(
            self.request,
            header_by_name=headers,
            caller_gone=lambda: self.caller_left,
        )
        reply = self.handler_by_id[result.host_id].handle(request)
        self.inject_reached()
        result.status = reply.status
        chunks = iter(reply.chunks)
        received = []
        try:
            for chunk in chunks:
                self.inject_reached()
                received.append(chunk)
                result.body = b"".join(received)
                if len(received) == REPLY_CHUNK:
                    self.reach_step("reply")
                if self.caller_left:
                    result.cut = True
                    break
            if len(received) < REPLY_CHUNK:
                self.reach_step("reply")
        finally:
            if hasattr(chunks, "close"):
                chunks.close()
        _record_problem(result, reply)

    def texts(self):
        """Return the texts of the engines' last runs, with resumed parts."""
        return {
            text
            for machine in self.machine_by_id.values()
            if isinstance(machine.application, engine.Engine)
            for texts in machine.application.counts.texts_by_request_id.values()
            for text in texts
        }

    def runs(self):
        """Return how often upstreams ran the request."""
        key = self.request.header_by_name["idempotency-key"]
        total = 0
        for machine in self.machine_by_id.values():
            application = machine.application
            if isinstance(application, engine.Engine):
                total += sum(application.counts.run_count_by_request_id.values())
            else:
                total += application.run_count(key)
        return total


def _record_problem(result, reply):
    if "problem+json" in reply.header_by_name.get("content-type", ""):
        fields = json.loads(result.body)
        result.code, result.ran = fields["code"], fields["ran"]
    elif b"event: error" in result.body:
        line = result.body.rpartition(b"data: ")[2]
        fields = json.loads(line)["error"]
        result.code, result.ran = fields["code"], fields["ran"]


class _SynchronousExecutor(concurrent.futures.Executor):
    """Runs work at once in the submitting thread."""

    def submit(self, work, /, *arguments):
        future = concurrent.futures.Future()
        try:
            future.set_result(work(*arguments))
        except BaseException as error:
            future.set_exception(error)
        return future


class _DeferredExecutor:
    """Queues background work until the bench runs it."""

    def __init__(self, bench, host_id):
        self._bench = bench
        self._host_id = host_id

    def submit(self, work, *arguments):
        self._bench.background.append((self._host_id, work, arguments))


def make_handler(bench, host_id, data_centre, view, counters):
    return assembly.make_handler(
        assembly.HandlerDependencies(
            feed=_Feed(),
            view=view,
            transport=fakes.WsgiTransport(bench, host_id),
            store=fakes.HookedStore(bench.store, bench, host_id),
            peers=bench.peers,
            fact_registry=bench.fact_registry,
            clock=bench.clock,
            metrics=counters,
            tracer=traces.Tracer(host_id),
            admission=_Admission(bench),
            version_picker=versions.VersionPicker(),
            immediate_observers=(),
            observers=(bench.observer,),
            executor=_DeferredExecutor(bench, host_id),
            lookup_executor=bench.lookup_executor,
            data_centre=data_centre,
        )
    )


def run_background(bench):
    """Run the queued work of live hosts, one sweep of each and the work it queued."""
    _run_queue(bench)
    for host_id in sorted(bench.handler_by_id):
        if host_id not in bench.network.dead:
            _run_as(bench, host_id, bench.handler_by_id[host_id].adopter.sweep, ())
    _run_queue(bench)


def _run_queue(bench):
    queued, bench.background = bench.background, []
    for host_id, work, arguments in queued:
        if host_id not in bench.network.dead:
            _run_as(bench, host_id, work, arguments)


def _run_as(bench, host_id, work, arguments):
    bench._acting.append(host_id)
    bench.caller_left = False
    try:
        work(*arguments)
        bench.inject_reached()
    except fakes.HostDied:
        pass
    finally:
        bench._acting.pop()


def make_request(kind, poisoned=False):
    method, path, _, _ = ROUTES[kind]
    body = b"" if method == "GET" else b'{"amount": "12"}'
    if kind in ("bulletin", "chat"):
        content = "poison-prompt" if poisoned else "write"
        messages_ = [{"role": "user", "content": content}]
        fields = {"stream": True, "max_tokens": TOKENS, "messages": messages_}
        body = json.dumps(fields).encode()
    elif poisoned:
        body = b'{"note": "poison-prompt"}'
    header_by_name = {
        "authorization": f"Bearer {KEY}",
        "idempotency-key": "key-1",
        "content-type": "application/json",
    }
    return messages.Request(
        method=method, path=path, header_by_name=header_by_name, body=body
    )
