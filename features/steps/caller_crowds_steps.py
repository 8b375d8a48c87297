"""Steps for crowds of clients at one entry host in a process of its own."""

import contextlib
import pathlib
import socket
import tempfile
import time

import behave
import caller_crowd
import forwarding_bench as benches
import forwarding_process_steps
import processes

from peridothitch.gateway import embedded
from peridothitch.standins import platform_records

_LIMITS = """
[limits]
memory_mb = 200
max_fds = {descriptors}
"""
_SMALLEST_HOST_DESCRIPTORS = 4100
_BODY_TIMEOUT_SECONDS = 20
_LONG_MS = 60_000
_MODEL_COUNT = 4
_PAUSE_SECONDS = 1.0
"""Longer than the routes' objective for the time to an answer."""
_CHAT = {"messages": [{"role": "user", "content": "Hello"}]}


@behave.given("an entry host of the smallest size that forwards bodies up to 1 MiB")
def start_smallest(context):
    start_forwarding(context, _SMALLEST_HOST_DESCRIPTORS)


@behave.given(
    "an entry host with {descriptors:d} descriptors that forwards bodies up to 1 MiB"
)
def start_forwarding(context, descriptors):
    context.bench = benches.ForwardingBench()
    context.add_cleanup(context.bench.close)
    routes = [route | {"timeout_ms": _LONG_MS} for route in benches.ROUTES]
    limits = {"max_body_bytes": caller_crowd.BODY_LIMIT, "idle_timeout_ms": _LONG_MS}
    context.bench.configure(routes=routes, limits=limits)
    context.bench.add_replica("till-a", "till")
    for number in range(_MODEL_COUNT):
        replica = context.bench.add_replica(f"model-{number}", "model")
        replica.queue_behaviours(default="silent")
    forwarding_process_steps.start_process(
        context, _LIMITS.format(descriptors=descriptors)
    )
    context.port = context.ports["front"]
    context.make_head = _forwarded_head
    context.ask = lambda: _pay(context)


def _forwarded_head(number, field, path="/planner/1"):
    fields = platform_records.request_headers(
        benches.HOST_NAME, benches.KEY, f"crowd-{number}"
    )
    fields |= platform_records.stream_headers()
    fields["Peridothitch-Deadline-Ms"] = str(_LONG_MS)
    lines = [f"POST {path} HTTP/1.1", field]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def _pay(context):
    address = ("127.0.0.1", context.port)
    with socket.create_connection(address, benches.TIMEOUT_SECONDS) as sock:
        context.bench.send(
            sock, "/charge/1", body=b"pay", Peridothitch_Deadline_Ms="20000"
        )
        return benches.read_response(sock).status


@behave.given("an entry host that serves bodies up to 1 MiB")
def start_serving(context):
    fleet = processes.ProcessFleet()
    context.add_cleanup(fleet.stop_all)
    store = fleet.start("store", "standin", "store")
    engine = fleet.start("engine", "standin", "engine", "--name", "engine")
    upstream = ("--upstream", f"engine,{engine},assistant,v1,lothian")
    hosts = fleet.start("hosts", "standin", "hosts", *upstream)
    with tempfile.TemporaryDirectory() as folder:
        document = pathlib.Path(folder) / "document.yaml"
        document.write_text(embedded.EXAMPLE_DOCUMENT, encoding="utf-8")
        done = fleet.run("config", "create", "--store", store, document)
    assert done.returncode == 0, done.stderr
    address = fleet.start(
        "entry",
        "serve",
        *("--host-id", "entry", "--data-centre", "lothian"),
        *("--listen", "127.0.0.1:0", "--max-body", "1MiB"),
        *("--store", store, "--host-list", hosts),
    )
    context.process = fleet.process_by_name["entry"]
    context.port = int(address.rpartition(":")[2])
    context.make_head = _served_head
    context.ask = lambda: (
        processes.send_request(address, "POST", "/v1/chat/completions", _CHAT).status
    )


def _served_head(number, field):
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: x", field]
    lines.append(f"Authorization: Bearer {embedded.EXAMPLE_KEY}")
    return "\r\n".join([*lines, "Content-Type: application/json", "", ""]).encode()


@behave.when("{count:d} clients at once send {bodies}")
def send_crowd(context, count, bodies):
    benches.wait_until(lambda: context.ask() == 200, "an ordinary request is answered")
    context.sampler = caller_crowd.HeldSampler(context.process.pid)
    context.add_cleanup(context.sampler.close)
    context.kinds = caller_crowd.kinds_of(bodies, count)
    _send(context)


def _send(context):
    context.crowd = caller_crowd.Crowd(context.port, context.make_head, context.kinds)
    context.add_cleanup(context.crowd.close)
    context.crowd.send()


@behave.when("they leave and 100 others do the same, {count:d} times")
def send_again(context, count):
    for _ in range(count):
        context.crowd.close()
        _send(context)
    context.crowd.close()


@behave.then("the process is alive and answers an ordinary request beside them")
def check_alive(context):
    assert context.process.poll() is None, context.process.poll()
    assert context.ask() == 200


@behave.then(
    "it held less than {size:d} megabytes in memory and files and {count:d} descriptors"
)
def check_held(context, size, count):
    context.sampler.close()
    held = context.sampler.megabytes, context.sampler.descriptor_count
    print("held {:.0f} MB, {} descriptors".format(*held))
    assert held[0] < size and held[1] < count, "{:.0f} MB, {}".format(*held)


@behave.when("one client sends a body of 1 MiB {how}")
def send_one(context, how):
    size = caller_crowd.BODY_LIMIT
    body = b"x" * size
    field, parts = f"Content-Length: {size}", [body]
    if how == "slowly":
        parts = [body[: size // 2], body[size // 2 :]]
    if how.startswith("in chunks"):
        chunk_size = 64 if how.endswith("bytes") else 64 << 10
        parts = caller_crowd.in_chunks(size, chunk_size, is_complete=True)
        field = "Transfer-Encoding: chunked"
    head = _forwarded_head(1, field, "/charge/1")
    address = ("127.0.0.1", context.port)
    with socket.create_connection(address, _BODY_TIMEOUT_SECONDS) as sock:
        if how == "after a 100 Continue":
            sock.sendall(head[:-2] + b"Expect: 100-continue\r\n\r\n")
            assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        else:
            sock.sendall(head)
        with contextlib.suppress(OSError):
            for part in parts:
                sock.sendall(part)
                if how == "slowly":
                    time.sleep(_PAUSE_SECONDS)
        context.response = benches.read_response(sock)


@behave.then("an ordinary body of 1 MiB is answered and no request is counted any more")
def check_left(context):
    benches.wait_until(lambda: _held_bytes(context) == 0, "no request is counted")
    send_one(context, "with a length")
    check_one(context)


def _held_bytes(context):
    address = f"127.0.0.1:{context.ports['metrics']}"
    body = processes.send_request(address, "GET", "/metrics").body.decode()
    (line,) = [
        line
        for line in body.splitlines()
        if line.startswith("peridothitch_request_bytes_held")
    ]
    return float(line.rpartition(" ")[2])


@behave.then("it is answered with 200 and the upstream got the body")
def check_one(context):
    assert context.response.status == 200, context.response
    received = context.bench.replica_by_id["till-a"].received[-1].body
    assert received == b"x" * caller_crowd.BODY_LIMIT, len(received)
