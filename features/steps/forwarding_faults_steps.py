"""Steps for faults of upstreams, callers and the store."""

import contextlib
import datetime
import itertools
import json
import socket
import threading
import time

import behave
import forwarding_bench as benches

from peridothitch.ports import entry_settings as entry_settings

_TRIES = 40
_CRASHES = 4
_USE_SECONDS = 0.3
_BETWEEN_SECONDS = 0.002
_RECONNECT_SECONDS = 0.05


@behave.when('each replica\'s next behaviour is "{name}"')
def misbehave_all(context, name):
    for found in context.bench.replica_by_id.values():
        found.queue_behaviours(default=name)


@behave.when('each replica\'s next behaviour is "{name}" once')
def misbehave_all_once(context, name):
    context.bench.replica_by_id["model-a"].queue_behaviours(name)
    context.bench.replica_by_id["model-b"].queue_behaviours(name)
    for replica_id in ("model-c", "model-d"):
        context.bench.add_replica(replica_id, "model")
    _leave(context, "model-b")


def _leave(context, replica_id):
    found = context.bench.replica_by_id[replica_id]
    service = replica_id.partition("-")[0]
    value = benches.host_record(found, service, state="draining")
    context.bench.store.put(f"servers/{replica_id}", value)
    hosts = context.host.catalogue.hosts
    benches.wait_until(
        lambda: hosts()[replica_id].state.value == "leaving", "the host is leaving"
    )


@behave.then("the caller gets {status:d} and the request ran {runs:d} times")
def check_outcome(context, status, runs):
    assert context.answer.status == status, context.answer
    request_id = f"request-{context.bench.request_count}"
    assert context.bench.run_count(request_id) == runs, context.bench.run_count(
        request_id
    )
    if status != 200 and status != 500:
        assert not context.answer.value("Peridothitch-Response-Signature")
    if status == 503:
        assert float(context.answer.value("Retry-After")) > 0


@behave.when('one replica\'s next behaviour is "{name}"')
def misbehave_one(context, name):
    context.faulty = context.bench.replica_by_id["till-a"]
    context.faulty.queue_behaviours(name)


@behave.when('a caller gets "{path}" until that replica was asked')
def get_until_asked(context, path):
    _ask_until(context, path, "GET")


@behave.when('a caller posts to "{path}" until that replica was asked')
def post_until_asked(context, path):
    _ask_until(context, path, "POST")


def _ask_until(context, path, method):
    context.answers = []
    for _ in range(_TRIES):
        context.answers.append(context.bench.request(path, method))
        if context.faulty.received:
            return
    raise AssertionError("the replica was never asked")


@behave.then("the caller got 200 each time")
def check_all(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {200}, statuses
    assert all(answer.complete for answer in context.answers)


@behave.then("no request ran twice")
def check_once(context):
    ran = [
        request_id
        for found in context.bench.replica_by_id.values()
        for request_id in found.executed_request_ids
    ]
    assert len(ran) == len(set(ran)), ran


@behave.when('one replica of "{service}" crashes')
def crash_one(context, service):
    context.bench.replica_by_id[f"{service}-a"].close()


@behave.when("a caller posts {count:d} payments")
def post_payments(context, count):
    context.answers = [
        context.bench.request(f"/charge/{number}") for number in range(count)
    ]


@behave.then("the answer is cut off after the event {last:d}")
def check_cut(context, last):
    answer = context.answer
    assert answer.status == 200, answer
    assert not answer.complete
    assert answer.body.endswith(b"id: %d\ndata: token %d\n\n" % (last, last))


@behave.when("a caller asks for {count:d} streams that may be resumed")
def post_streams(context, count):
    context.answers = [
        context.bench.request(f"/helper/{number}") for number in range(count)
    ]


@behave.then("each of them is cut off after the event {last:d}")
def check_all_cut(context, last):
    end = b"id: %d\ndata: token %d\n\n" % (last, last)
    for answer in context.answers:
        assert answer.status == 200, answer
        assert not answer.complete
        assert answer.body.endswith(end), answer


_OWN_HEADERS = (
    "Peridothitch-Cache-Retention",
    "Peridothitch-Pin-Ms",
    "Peridothitch-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "Peridothitch-Expected-Version",
)


@behave.when('a caller posts to "{path}" with headers that only entry hosts set')
def post_with_own_headers(context, path):
    headers = {name.replace("-", "_"): "1" for name in _OWN_HEADERS}
    headers["Peridothitch_Tenant"] = "somebody-else"
    context.answer = context.bench.request(path, **headers)


@behave.then("none of these headers reached a replica")
def check_own_headers(context):
    (received,) = context.bench.received_requests()
    assert not any(received.value(name) for name in _OWN_HEADERS)
    tenants = [v for n, v in received.fields if n.lower() == "peridothitch-tenant"]
    assert tenants == [benches.CUSTOMER], tenants


@behave.given("streams are long")
def make_long(context):
    for found in context.bench.replica_by_id.values():
        found.event_count = 300


@behave.when("a caller leaves in the middle of a stream")
def leave(context):
    sock = context.bench.connect()
    context.request_id = context.bench.send(sock, "/planner/1")
    assert sock.recv(100)
    sock.close()


@behave.then("the replica's work on it ends")
def check_cancelled(context):
    replicas = context.bench.replica_by_id.values()
    benches.wait_until(
        lambda: any(
            context.request_id in found.cancelled_request_ids for found in replicas
        ),
        "the stream is cancelled",
    )


@behave.when('a caller posts to "{path}" with a deadline of {milliseconds:d} ms')
def post_with_deadline(context, path, milliseconds):
    context.answer = context.bench.request(
        path, Peridothitch_Deadline_Ms=str(milliseconds)
    )


@behave.when("records of hosts come with")
def put_records(context):
    for number, text in enumerate(context.text.split("\n")):
        context.bench.store.put(f"servers/odd-{number}", text.encode())
    revision = context.bench.store.revision
    hosts = context.host.catalogue
    benches.wait_until(
        lambda: hosts.hosts_revision >= revision, "the records have been seen"
    )


@behave.when('one replica of "{service}" says that it is leaving')
def leave_one(context, service):
    _leave(context, f"{service}-a")
    context.leaving = context.bench.replica_by_id[f"{service}-a"]


@behave.then("the leaving replica got none")
def check_leaving(context):
    assert not context.leaving.received


@behave.given("a second entry host")
def start_second(context):
    second = context.bench.start_host("edge-2")
    first = context.bench.hosts[0]
    benches.wait_until(
        lambda: len(first.members()) == 2 and len(second.members()) == 2,
        "both know each other",
    )


@behave.when("the store turns the first entry host away")
def turn_away(context):
    context.bench.store_by_host_id["edge-1"].close()


@behave.when('the rules drop the route "{prefix}"')
def drop_route(context, prefix):
    routes = [route for route in benches.ROUTES if route["prefix"] != prefix]
    context.bench.configure(version=2, routes=routes)


@behave.then('the first entry host answers {status:d} to "{path}"')
def check_first(context, status, path):
    first = context.bench.hosts[0]
    benches.wait_until(
        lambda: context.bench.request(path, "GET", host=first).status == status,
        "the first host has learned the change",
    )


@behave.given('the request "{path}" crashes each replica')
def make_deadly(context, path):
    for number in range(_CRASHES):
        replica_id = f"till-x{number}"
        context.bench.add_replica(replica_id, "till")
    for found in context.bench.replica_by_id.values():
        _crash_on(found, path)
    hosts = context.host.catalogue.hosts
    benches.wait_until(lambda: len(hosts()) == 4 + _CRASHES, "all hosts are known")


def _crash_on(found, path):
    answer = found.do_answer

    def do_answer(sock, request):
        if request.target != path:
            return answer(sock, request)
        found.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        found.close()
        return False

    found.do_answer = do_answer


@behave.when('callers get "{path}" until it is suspended')
def get_deadly(context, path):
    for _ in range(_TRIES):
        answer = context.bench.request(path, "GET")
        if answer.status == 503 and json.loads(answer.body)["code"] == 1015:
            return
        time.sleep(0.05)
    raise AssertionError(f"it was never suspended: {answer}")


@behave.then("other requests are still answered")
def check_others(context):
    answer = context.bench.request("/lookup/harmless", "GET")
    assert answer.status == 200, answer


@behave.given("an entry host with {seconds:d} seconds to stop")
def start_slow_host(context, seconds):
    bounds = entry_settings.OperatingBounds(
        grace_period=datetime.timedelta(seconds=seconds)
    )
    context.host = context.bench.start_host("edge-stopping", bounds=bounds)


@behave.when("{count:d} callers use their connections until the host has stopped")
def use_until_stopped(context, count):
    bench, host = context.bench, context.host
    context.outcomes = []
    stopped = threading.Event()

    def use(number):
        serial = itertools.count()
        while not stopped.is_set():
            try:
                with contextlib.closing(bench.connect(host)) as sock:
                    _use_connection(context, sock, number, serial)
            except OSError:
                # The port is closed, or the host closed an idle connection.
                time.sleep(_RECONNECT_SECONDS)

    threads = [threading.Thread(target=use, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    time.sleep(_USE_SECONDS)
    bench.stop_host(host)
    stopped.set()
    for thread in threads:
        thread.join()


def _use_connection(context, sock, number, serial):
    """Send requests until the host closes the connection."""
    while True:
        request_id = f"caller-{number}-{next(serial)}"
        path, method = ("/lookup/1", "GET") if number % 2 else ("/charge/1", "POST")
        answer = None
        try:
            context.bench.send(sock, path, method, request_id=request_id)
            answer = benches.read_response(sock, method)
        finally:
            context.outcomes.append((request_id, answer))
        if answer.value("Connection").lower() == "close":
            return
        time.sleep(_BETWEEN_SECONDS)


@behave.then("every request that ran was answered whole")
def check_answered(context):
    lost = [
        request_id
        for request_id, answer in context.outcomes
        if context.bench.run_count(request_id)
        and not (answer is not None and answer.status == 200 and answer.complete)
    ]
    assert not lost, lost


@behave.then("callers were told to connect elsewhere")
def check_told(context):
    told = [
        answer
        for _, answer in context.outcomes
        if answer is not None and answer.value("Connection").lower() == "close"
    ]
    assert told


@behave.when("a request to a replica is cut off in its {part}")
def cut_request(context, part):
    found = context.bench.replica_by_id["till-a"]
    context.faulty = found
    host, _, port = found.address.rpartition(":")
    head = b"POST /charge/1 HTTP/1.1\r\nContent-Length: 10\r\n"
    sent = head if part == "head" else head + b"\r\n12345"
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(sent)
        sock.shutdown(socket.SHUT_WR)
        # The replica closes its end once it has dealt with what it got.
        assert sock.recv(1) == b""


@behave.then("the replica has run nothing")
def check_none_ran(context):
    assert not context.faulty.executed_request_ids
    assert not context.faulty.received


@behave.given("the outcomes of attempts are compared")
def compare_outcomes(context):
    context.compared = []
    moves = context.host._moves
    moves.is_watched = lambda service: True
    moves.observe = context.compared.append


@behave.then("{count:d} outcomes are compared")
def check_compared(context, count):
    # The caller has its answer a moment before the host is done with the request.
    front = context.host._handler
    benches.wait_until(lambda: not front.active, "the request is over at the host")
    assert len(context.compared) == count, context.compared
