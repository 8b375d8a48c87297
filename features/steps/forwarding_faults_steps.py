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

from peridothitch.ports import entry_settings

_MAX_REQUESTS = 40
_CRASHING_REPLICA_COUNT = 4
_USE_SECONDS = 0.3
_REQUEST_INTERVAL_SECONDS = 0.002
_RECONNECT_DELAY_SECONDS = 0.05


@behave.when('each replica\'s next behaviour is "{name}"')
def set_behaviour_of_all(context, name):
    for replica in context.bench.replica_by_id.values():
        replica.queue_behaviours(default=name)


@behave.when('each replica\'s next behaviour is "{name}" once')
def set_behaviour_once(context, name):
    context.bench.replica_by_id["model-a"].queue_behaviours(name)
    context.bench.replica_by_id["model-b"].queue_behaviours(name)
    for replica_id in ("model-c", "model-d"):
        context.bench.add_replica(replica_id, "model")
    _mark_leaving(context, "model-b")


def _mark_leaving(context, replica_id):
    replica = context.bench.replica_by_id[replica_id]
    service = replica_id.partition("-")[0]
    value = benches.host_record(replica, service, state="draining")
    context.bench.store.put(f"servers/{replica_id}", value)
    hosts = context.host.catalogue.hosts
    benches.wait_until(
        lambda: hosts()[replica_id].state.value == "leaving", "the host is leaving"
    )


@behave.then("the caller gets {status:d} and the request ran {runs:d} times")
def check_outcome(context, status, runs):
    assert context.response.status == status, context.response
    request_id = f"request-{context.bench.request_count}"
    assert context.bench.run_count(request_id) == runs, context.bench.run_count(
        request_id
    )
    if status != 200 and status != 500:
        assert not context.response.value("Peridothitch-Response-Signature")
    if status == 503:
        assert float(context.response.value("Retry-After")) > 0


@behave.when('one replica\'s next behaviour is "{name}"')
def set_behaviour_of_one(context, name):
    context.faulty = context.bench.replica_by_id["till-a"]
    context.faulty.queue_behaviours(name)


@behave.when('a caller gets "{path}" until that replica has received a request')
def get_until_received(context, path):
    _send_until_received(context, path, "GET")


@behave.when('a caller posts to "{path}" until that replica has received a request')
def post_until_received(context, path):
    _send_until_received(context, path, "POST")


def _send_until_received(context, path, method):
    context.responses = []
    for _ in range(_MAX_REQUESTS):
        context.responses.append(context.bench.request(path, method))
        if context.faulty.received:
            return
    raise AssertionError("the replica never received a request")


@behave.then("the caller got 200 each time")
def check_all(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses
    assert all(response.complete for response in context.responses)


@behave.then("no request ran twice")
def check_once(context):
    ran = [
        request_id
        for replica in context.bench.replica_by_id.values()
        for request_id in replica.executed_request_ids
    ]
    assert len(ran) == len(set(ran)), ran


@behave.when('one replica of "{service}" crashes')
def crash_one(context, service):
    context.bench.replica_by_id[f"{service}-a"].close()


@behave.when("a caller posts {count:d} payments")
def post_payments(context, count):
    context.responses = [
        context.bench.request(f"/charge/{number}") for number in range(count)
    ]


@behave.then("the response is cut off after the event {last:d}")
def check_cut(context, last):
    response = context.response
    assert response.status == 200, response
    assert not response.complete
    assert response.body.endswith(b"id: %d\ndata: token %d\n\n" % (last, last))


@behave.when("a caller asks for {count:d} streams that may be resumed")
def post_streams(context, count):
    context.responses = [
        context.bench.request(f"/helper/{number}") for number in range(count)
    ]


@behave.then("each of them is cut off after the event {last:d}")
def check_all_cut(context, last):
    end = b"id: %d\ndata: token %d\n\n" % (last, last)
    for response in context.responses:
        assert response.status == 200, response
        assert not response.complete
        assert response.body.endswith(end), response


_RESERVED_HEADERS = (
    "Peridothitch-Cache-Retention",
    "Peridothitch-Pin-Ms",
    "Peridothitch-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "Peridothitch-Expected-Version",
)


@behave.when('a caller posts to "{path}" with headers that only entry hosts set')
def post_with_reserved_headers(context, path):
    headers = {name.replace("-", "_"): "1" for name in _RESERVED_HEADERS}
    headers["Peridothitch_Tenant"] = "somebody-else"
    context.response = context.bench.request(path, **headers)


@behave.then("none of these headers reached a replica")
def check_reserved_headers(context):
    (received,) = context.bench.received_requests()
    assert not any(received.value(name) for name in _RESERVED_HEADERS)
    tenants = [v for n, v in received.fields if n.lower() == "peridothitch-tenant"]
    assert tenants == [benches.CUSTOMER], tenants


@behave.given("streams are long")
def make_streams_long(context):
    for replica in context.bench.replica_by_id.values():
        replica.event_count = 300


@behave.when("a caller disconnects in the middle of a stream")
def disconnect(context):
    sock = context.bench.connect()
    context.request_id = context.bench.send(sock, "/planner/1")
    assert sock.recv(100)
    sock.close()


@behave.then("the replica's work on it ends")
def check_cancelled(context):
    replicas = context.bench.replica_by_id.values()
    benches.wait_until(
        lambda: any(
            context.request_id in replica.cancelled_request_ids for replica in replicas
        ),
        "the stream is cancelled",
    )


@behave.when('a caller posts to "{path}" with a deadline of {milliseconds:d} ms')
def post_with_deadline(context, path, milliseconds):
    context.response = context.bench.request(
        path, Peridothitch_Deadline_Ms=str(milliseconds)
    )


@behave.when("these host records are written")
def put_records(context):
    for number, text in enumerate(context.text.split("\n")):
        context.bench.store.put(f"servers/odd-{number}", text.encode())
    revision = context.bench.store.revision
    hosts = context.host.catalogue
    benches.wait_until(
        lambda: hosts.hosts_revision >= revision, "the records have been seen"
    )


@behave.when('one replica of "{service}" is marked as leaving')
def mark_one_leaving(context, service):
    _mark_leaving(context, f"{service}-a")
    context.leaving = context.bench.replica_by_id[f"{service}-a"]


@behave.then("the leaving replica got no request")
def check_leaving(context):
    assert not context.leaving.received


@behave.given("a second entry host")
def start_second(context):
    second = context.bench.start_host("edge-2")
    first = context.bench.hosts[0]
    benches.wait_until(
        lambda: len(first.members()) == 2 and len(second.members()) == 2,
        "each host lists the other as a member",
    )


@behave.when("the first entry host is disconnected from the store")
def disconnect_store(context):
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
        "the first host has received the change",
    )


@behave.given('the request "{path}" crashes each replica')
def make_crashing(context, path):
    for number in range(_CRASHING_REPLICA_COUNT):
        replica_id = f"till-x{number}"
        context.bench.add_replica(replica_id, "till")
    for replica in context.bench.replica_by_id.values():
        _crash_on(replica, path)
    hosts = context.host.catalogue.hosts
    benches.wait_until(
        lambda: len(hosts()) == 4 + _CRASHING_REPLICA_COUNT, "all hosts are known"
    )


def _crash_on(replica, path):
    run_default = replica.do_answer

    def do_answer(sock, request):
        if request.target != path:
            return run_default(sock, request)
        replica.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        replica.close()
        return False

    replica.do_answer = do_answer


@behave.when('callers get "{path}" until it is suspended')
def get_until_suspended(context, path):
    for _ in range(_MAX_REQUESTS):
        response = context.bench.request(path, "GET")
        if response.status == 503 and json.loads(response.body)["code"] == 1015:
            return
        time.sleep(0.05)
    raise AssertionError(f"the request was never suspended: {response}")


@behave.then("other requests are still answered")
def check_others(context):
    response = context.bench.request("/lookup/harmless", "GET")
    assert response.status == 200, response


@behave.given("an entry host with a grace period of {seconds:d} seconds")
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
                time.sleep(_RECONNECT_DELAY_SECONDS)

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
        response = None
        try:
            context.bench.send(sock, path, method, request_id=request_id)
            response = benches.read_response(sock, method)
        finally:
            context.outcomes.append((request_id, response))
        if response.value("Connection").lower() == "close":
            return
        time.sleep(_REQUEST_INTERVAL_SECONDS)


@behave.then("every request that ran was answered completely")
def check_answered(context):
    lost = [
        request_id
        for request_id, response in context.outcomes
        if context.bench.run_count(request_id)
        and not (response is not None and response.status == 200 and response.complete)
    ]
    assert not lost, lost


@behave.then("callers were told to close their connection")
def check_closing(context):
    closing_responses = [
        response
        for _, response in context.outcomes
        if response is not None and response.value("Connection").lower() == "close"
    ]
    assert closing_responses


@behave.when("a request to a replica is truncated in its {part}")
def truncate_request(context, part):
    replica = context.bench.replica_by_id["till-a"]
    context.faulty = replica
    host, _, port = replica.address.rpartition(":")
    head = b"POST /charge/1 HTTP/1.1\r\nContent-Length: 10\r\n"
    sent = head if part == "head" else head + b"\r\n12345"
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(sent)
        sock.shutdown(socket.SHUT_WR)
        # The replica closes its side after it has processed what it received.
        assert sock.recv(1) == b""


@behave.then("the replica has run nothing")
def check_none_ran(context):
    assert not context.faulty.executed_request_ids
    assert not context.faulty.received


@behave.given("the outcomes of attempts are compared")
def compare_outcomes(context):
    context.compared = []
    moves = context.host._moves
    moves.observe = context.compared.append


@behave.then("{count:d} outcomes are compared")
def check_compared(context, count):
    # The caller gets its response shortly before the host has finished the request.
    handler = context.host._handler
    benches.wait_until(lambda: not handler.active, "the host has finished the request")
    assert len(context.compared) == count, context.compared
