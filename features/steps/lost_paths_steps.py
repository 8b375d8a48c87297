"""Steps for entry hosts that have lost the path to their upstreams."""

import dataclasses
import json
import socket
import threading
import time

import behave
import forwarding_bench as benches
import host_links

_PATHS = ("/charge/1", "/lookup/1", "/helper/1", "/planner/1")
_UNREPEATABLE_PATHS = ("/charge/1", "/planner/1")
_CRASH_KINDS = ("crash", "quarantine", "prompt-crash")
_WARM_UP_COUNT = 4


@dataclasses.dataclass(frozen=True)
class _Sent:
    """One request and its response, None for a connection closed without one."""

    path: str
    after_seconds: float
    lasted_seconds: float
    response: object


def _names(text):
    return [name.strip() for name in text.split(",")]


def _host(context, host_id):
    return context.host_by_id[host_id]


def _wait_for_members(context):
    hosts = context.bench.hosts
    for host in hosts:
        benches.wait_until(
            lambda host=host: len(host.members()) == len(hosts), "all hosts are known"
        )


def _start(context, host_ids, data_centre, has_links=True):
    if not hasattr(context, "host_by_id"):
        context.host_by_id, context.links_by_id = {}, {}
    for host_id in host_ids:
        links = host_links.HostLinks() if has_links else None
        context.links_by_id[host_id] = links
        context.host_by_id[host_id] = context.bench.start_host(
            host_id, data_centre=data_centre, links=links
        )
    _wait_for_members(context)


@behave.given('the entry hosts "{host_ids}" with links of their own')
def start_hosts(context, host_ids):
    _start(context, _names(host_ids), "lothian-a")


@behave.given('the entry hosts "{host_ids}" without links')
def start_hosts_without_links(context, host_ids):
    _start(context, _names(host_ids), "lothian-a", has_links=False)


@behave.given('the entry host "{host_id}" of "{data_centre}" with links of its own')
def start_host_of(context, host_id, data_centre):
    _start(context, [host_id], data_centre)


@behave.given('callers have used all routes of "{host_id}"')
def use_all_routes(context, host_id):
    for _ in range(_WARM_UP_COUNT):
        for path in _PATHS:
            response = _request(context, host_id, path)
            assert response.status == 200, (path, response)


def _request(context, host_id, path):
    method = "GET" if path.startswith("/lookup/") else "POST"
    return context.bench.request(path, method, host=_host(context, host_id))


@behave.when('the links of "{host_ids}" to all upstreams {way}')
def cut(context, host_ids, way):
    for host_id in _names(host_ids):
        context.links_by_id[host_id].cut(way)


@behave.when(
    "callers send {rate:d} requests a second of all routes"
    ' to "{host_id}" for {seconds:d} s'
)
def send(context, rate, host_id, seconds):
    context.sent, threads = [], []
    context.indirect_counts = []
    metrics = _host(context, host_id).metrics
    began = context.began = time.monotonic()

    def send_one(path):
        at = time.monotonic() - began
        try:
            response = _request(context, host_id, path)
        except (OSError, benches.http.client.HTTPException):
            response = None
        lasted = time.monotonic() - began - at
        context.sent.append(_Sent(path, at, lasted, response))

    for number in range(rate * seconds):
        time.sleep(max(0.0, began + number / rate - time.monotonic()))
        context.indirect_counts.append((number / rate, _indirect_count(metrics)))
        path = _PATHS[number % len(_PATHS)]
        threads.append(threading.Thread(target=send_one, args=(path,), daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join(benches.TIMEOUT_SECONDS)


def _outcome(sent):
    if sent.response is None:
        return sent.path, "closed"
    return sent.path, sent.response.status, sent.response.body[-200:]


@behave.then('no more requests of "{host_id}" failed than connections were silent')
def check_silent_connections(context, host_id):
    silenced = context.links_by_id[host_id].silenced_count
    assert silenced >= len(context.bench.replica_by_id)
    answers = [_outcome(sent) for sent in context.sent]
    failed = [outcome for outcome in answers if outcome[1] != 200]
    assert len(failed) <= silenced, (silenced, failed)


@behave.then("from {seconds:d} s on the callers got 200 each time")
def check_served(context, seconds):
    late = [sent for sent in context.sent if sent.after_seconds >= seconds]
    failed = [
        _outcome(sent)
        for sent in late
        if sent.response is None
        or sent.response.status != 200
        or not sent.response.complete
    ]
    assert late and not failed, f"{len(failed)} of {len(late)} failed: {failed[:8]}"


@behave.then("no request that may run only once ran twice")
def check_unrepeated(context):
    once_ids = {
        request.value("Peridothitch-Attempt-Id")
        for request in context.bench.received_requests()
        if request.target in _UNREPEATABLE_PATHS
    }
    repeated = [name for name in once_ids if context.bench.run_count(name) > 1]
    assert once_ids and not repeated, repeated


@behave.given("each replica streams {count:d} events, one each {gap:g} s")
def stream_slowly(context, count, gap):
    for replica in context.bench.replica_by_id.values():
        replica.event_count, replica.event_gap_seconds = count, gap


@behave.when('callers have {count:d} streams of "{host_id}" under way')
def begin_streams(context, count, host_id):
    context.observed = []
    moves = _host(context, host_id)._moves
    observe = moves.observe

    def record(outcome):
        context.observed.append((time.monotonic(), outcome))
        observe(outcome)

    moves.observe = record
    for _ in range(count):
        sock = context.bench.connect(_host(context, host_id))
        context.add_cleanup(sock.close)
        context.bench.send(sock, "/planner/1")
        assert sock.recv(1 << 12)


@behave.then("no host believes that an upstream has crashed")
def check_no_crash(context):
    for host_id, host in context.host_by_id.items():
        facts = host._fleet.facts
        found = {kind: facts.facts(kind) for kind in _CRASH_KINDS}
        assert not any(found.values()), (host_id, found)


@behave.then(
    '"{host_id}" has counted no failure against a version from {seconds:g} s on'
)
def check_no_evidence(context, host_id, seconds):
    since = context.began + seconds
    failures = [
        (at - context.began, outcome)
        for at, outcome in context.observed
        if at >= since and outcome.code is not None
    ]
    assert not failures, failures[:4]


@behave.when('the links of "{host_ids}" are back')
def heal(context, host_ids):
    for host_id in _names(host_ids):
        context.links_by_id[host_id].heal()


@behave.then(
    "from {seconds:d} s on the callers got 503 within {limit:g} s each time,"
    " with a time to wait"
)
def check_refused(context, seconds, limit):
    late = [sent for sent in context.sent if sent.after_seconds >= seconds]
    wrong = [
        (_outcome(sent), sent.lasted_seconds)
        for sent in late
        if sent.response is None
        or sent.response.status != 503
        or not float(sent.response.value("Retry-After") or 0)
        or sent.lasted_seconds > limit
    ]
    assert late and not wrong, f"{len(wrong)} of {len(late)}: {wrong[:4]}"


@behave.then('from {seconds:d} s on "{host_id}" needed no other host')
def check_direct(context, seconds, host_id):
    metrics = _host(context, host_id).metrics
    counts = context.indirect_counts
    used = [
        (at, count)
        for at, count in counts
        if at >= seconds and count > _last_before(counts, seconds)
    ]
    assert _indirect_count(metrics) and not used, used[:4]


def _last_before(counts, seconds):
    return max(count for at, count in counts if at < seconds)


def _indirect_count(metrics):
    return sum(
        metrics.value("indirect_calls", service=service)
        for service in ("till", "model")
    )


@behave.when('a caller of "{host_id}" leaves a stream after its first event')
def leave_stream(context, host_id):
    sock = context.bench.connect(_host(context, host_id))
    context.request_id = context.bench.send(sock, "/planner/1")
    received = b""
    while b"data:" not in received:
        received += sock.recv(1 << 12)
    sock.close()


@behave.then("the replica's work on it ends within {seconds:g} s")
def check_cancelled(context, seconds):
    deadline = time.monotonic() + seconds
    while not any(
        context.request_id in replica.cancelled_request_ids
        for replica in context.bench.replica_by_id.values()
    ):
        assert time.monotonic() < deadline, "the replica still works"
        time.sleep(0.01)


@behave.when(
    'a caller posts to "{path}" of "{host_id}" and "{helper_id}" loses its connections'
)
def post_and_lose(context, path, host_id, helper_id):
    responses = []

    def post():
        responses.append(_request(context, host_id, path))

    arrived = len(context.bench.received_requests())
    thread = threading.Thread(target=post, daemon=True)
    thread.start()
    benches.wait_until(
        lambda: len(context.bench.received_requests()) > arrived, "it has arrived"
    )
    _host(context, helper_id)._helper_server.close()
    thread.join(benches.TIMEOUT_SECONDS)
    (context.response,) = responses


@behave.when(
    'a process sends "{host_id}" a call with the order'
    ' "{purpose}", "{upstream}", "{wait}"'
)
def send_order(context, host_id, purpose, upstream, wait):
    context.arrived = len(context.bench.received_requests())
    host = _host(context, host_id)
    benches.wait_until(lambda: "till-a" in host.catalogue.hosts(), "it is listed")
    born = host.catalogue.hosts()["till-a"].incarnation
    upstream = upstream.replace("born", str(born))
    address = host._helper_server.address
    ip_address, _, port = address.rpartition(":")
    lines = [
        "POST /charge/1 HTTP/1.1",
        f"Entry-Purpose: {purpose}",
        f"Entry-Upstream: {upstream}",
        f"Entry-Wait-Ms: {wait}",
        "Host: shop.example",
        "Content-Length: 2",
    ]
    with socket.create_connection((ip_address, int(port)), 5) as sock:
        sock.sendall("\r\n".join([*lines, "", "ok"]).encode())
        context.response = benches.read_response(sock)


@behave.then(
    'the response is {status:d} with code {code:d}, "{outcome}", and no replica got'
    " a request"
)
def check_malformed(context, status, code, outcome):
    assert context.response.status == status, context.response
    assert json.loads(context.response.body)["code"] == code, context.response
    assert context.response.value("Entry-Outcome") == outcome, context.response
    assert len(context.bench.received_requests()) == context.arrived


@behave.given('each replica crashes on the part "{part}"')
def set_deadly_part(context, part):
    for replica in context.bench.replica_by_id.values():
        replica.deadly_parts = frozenset([part])


@behave.when('a caller posts a prompt with the part "{part}" to "{host_id}"')
def post_prompt(context, part, host_id):
    context.response = context.bench.request(
        "/planner/1",
        host=_host(context, host_id),
        Peridothitch_Prompt_Prefix=f"{part}:100,own:10",
    )
    assert context.response.status == 502, context.response


@behave.then('all hosts know of a crash on the part "{part}" within {seconds:d} s')
def check_crash_known(context, part, seconds):
    deadline = time.monotonic() + seconds
    for host_id, host in context.host_by_id.items():
        while not any(
            part.encode() in fact.value
            for fact in host._fleet.facts.facts("prompt-crash").values()
        ):
            assert time.monotonic() < deadline, f"{host_id} knows of no crash"
            time.sleep(0.05)
