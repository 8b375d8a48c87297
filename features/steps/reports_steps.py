"""Steps for what other operators reported."""

import json
import time

import behave
import forwarding_bench as benches

_DEPTH = 100_000
_USE_SECONDS = 0.4
"""From the start of the callers until the host is stopped, with a margin."""

_GRACE_SECONDS = 5
_BALANCER_SECONDS = 2.5
"""From a stop until the balancer routes to other hosts."""

_RECORD = {
    "service": "till",
    "address": "127.0.0.1:1",
    "zone": "lothian-a",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "sequence": 1,
    "born": 1,
}


def _with_field(name, text):
    """Return a record in which a field has a value written as `text`."""
    head = json.dumps({key: value for key, value in _RECORD.items() if key != name})
    return f'{head[:-1]}, "{name}": {text}}}'.encode()


def _with_port(port):
    return _with_field("address", json.dumps(f"127.0.0.1:{port}"))


_RECORD_BY_ODDITY = {
    "lists nested 100000 deep": _with_field("odd", "[" * _DEPTH + "]" * _DEPTH),
    "objects nested 100000 deep": _with_field(
        "odd", '{"a":' * _DEPTH + "1" + "}" * _DEPTH
    ),
    "a capacity of 400 digits": _with_field("capacity", "9" * 400),
    "a capacity of 18 digits": _with_field("capacity", "9" * 18),
    "a start of 30 digits": _with_field("born", "9" * 30),
    "a sequence of 400 digits": _with_field("sequence", "9" * 400),
    "another field of 5000 digits": _with_field("odd", "9" * 5000),
    "a port of 99999": _with_port("99999"),
    "a port of 5000 digits": _with_port("9" * 5000),
    "a port with a sign": _with_port("+1"),
    "a port with an underscore": _with_port("1_0"),
    "a port in digits of another script": _with_port("\u0661"),
    "bytes that are no text": b'{"service": "\xff\xfe"}',
}


@behave.when("a host record with {oddity} is written")
def write_odd_record(context, oddity):
    context.bench.store.put("servers/odd", _RECORD_BY_ODDITY[oddity])


@behave.when('the replica "{replica_id}" is started and the others leave')
def replace_replicas(context, replica_id):
    others = [
        known for known in context.bench.replica_by_id if known.startswith("till")
    ]
    context.bench.add_replica(replica_id, "till")
    for other in others:
        context.bench.store.remove(f"servers/{other}")
    hosts = context.host.catalogue.hosts
    benches.wait_until(
        lambda: replica_id in hosts() and not set(others) & hosts().keys(),
        "the entry host follows the records",
    )


@behave.then("no loop of the entry host has failed")
def check_loops(context):
    rendered, _ = context.host.metrics.render("text/plain")
    assert b"loop_failures" not in rendered, rendered


@behave.then("the entry host does not use that record")
def check_not_used(context):
    assert "odd" not in context.host.catalogue.hosts()


@behave.then("the entry host may use that record")
def check_used(context):
    assert "odd" in context.host.catalogue.hosts()


@behave.then("each body is whole")
def check_bodies(context):
    for response in context.responses:
        assert response.complete and b" of /lookup/1" in response.body, response


@behave.given("the replicas record what they receive late in the stop")
def record_late_requests(context):
    """Record the ends of the requests that replicas receive once the balancer knows."""
    context.late_ends = []
    begins_at = time.monotonic() + _USE_SECONDS + _BALANCER_SECONDS
    context.host_ends_at = time.monotonic() + _USE_SECONDS + _GRACE_SECONDS
    for replica in context.bench.replica_by_id.values():
        _record_requests(replica, begins_at, context.late_ends)


def _record_requests(replica, begins_at, ends):
    answer = replica.do_answer

    def do_answer(sock, request):
        now = time.monotonic()
        milliseconds = float(request.value("Peridothitch-Deadline-Ms"))
        if now >= begins_at:
            ends.append(now + milliseconds / 1000)
        return answer(sock, request)

    replica.do_answer = do_answer


@behave.then("no request was passed on whose time ends after the host")
def check_late_requests(context):
    late = [end - context.host_ends_at for end in context.late_ends]
    assert all(seconds <= 0 for seconds in late), (len(late), max(late))
