import datetime
import json
import os
import pathlib
import signal
import socket
import tempfile

import behave
import fake_network
import processes

from peridothitch import errors
from peridothitch.adapters import thrift_server, thrift_transport
from peridothitch.adapters.generated.peer import ttypes
from peridothitch.gateway import embedded

SECOND = datetime.timedelta(seconds=1)
ROUTES = "late: {method: GET, path: /late, service: ticketing}\n"
MEMBERS = "peridothitch_members "


@behave.given("a store and four entry hosts that are each other's peers")
def start_peers(context):
    fleet = context.peer_fleet = processes.ProcessFleet()
    context.add_cleanup(fleet.stop_all)
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    store = fleet.start("store", "standin", "store")
    host_list = fleet.start("hosts", "standin", "hosts")
    document = pathlib.Path(context.folder.name) / "document.yaml"
    document.write_text(embedded.EXAMPLE_DOCUMENT, encoding="utf-8")
    done = fleet.run("config", "create", "--store", store, document)
    assert done.returncode == 0, done.stderr
    context.hosts = [f"entry-{index}" for index in range(4)]
    for index, name in enumerate(context.hosts):
        fleet.start(
            name,
            "serve",
            *("--host-id", name),
            *("--data-centre", f"dc-{index % 2}"),
            *("--listen", "127.0.0.1:0"),
            *("--peer-listen", "127.0.0.1:0"),
            *("--store", store),
            *("--host-list", host_list),
        )
    wait_for_members(context, context.hosts, 4)


def read_members(context, name):
    answer = processes.send_request(
        context.peer_fleet.address_by_name[name], "GET", "/metrics"
    )
    for line in answer.body.decode().splitlines():
        name, _, value = line.replace("{}", " ").rpartition(" ")
        if name.strip() == MEMBERS.strip():
            return int(float(value))
    return 0


def wait_for_members(context, names, count):
    processes.wait_until(
        lambda: all(read_members(context, name) == count for name in names)
    )


@behave.when("an operator changes the routes at those hosts' store")
def change_routes(context):
    path = pathlib.Path(context.folder.name) / "routes.yaml"
    path.write_text(ROUTES, encoding="utf-8")
    store = context.peer_fleet.address_by_name["store"]
    done = context.peer_fleet.run("config", "edit", "--store", store, "routes", path)
    assert done.returncode == 0, done.stderr


@behave.then("the status of any of them is done at revision 2")
def check_done(context):
    for name in context.hosts:
        address = context.peer_fleet.address_by_name[name]

        def is_done(address=address):
            run = context.peer_fleet.run("status", "--output", "json", address)
            report = json.loads(run.stdout)
            return run.returncode == 0 and report["done"] and report["revision"] == 2

        processes.wait_until(is_done)


@behave.when("one of the four hosts is killed")
def kill_host(context):
    name = context.hosts.pop()
    process = context.peer_fleet.process_by_name[name]
    process.kill()
    process.wait()


@behave.when("one of the four hosts is frozen")
def freeze_host(context):
    context.frozen = context.peer_fleet.process_by_name[context.hosts.pop()]
    os.kill(context.frozen.pid, signal.SIGSTOP)
    context.add_cleanup(resume_host, context)


@behave.when("the frozen host resumes")
def resume_host(context):
    if context.frozen.poll() is None:
        os.kill(context.frozen.pid, signal.SIGCONT)


@behave.then("each remaining host lists three members")
def check_three(context):
    wait_for_members(context, context.hosts, 3)


@behave.then("each host lists four members")
def check_four(context):
    wait_for_members(context, [*context.hosts, "entry-3"], 4)


def make_transport(context, name):
    transport = thrift_transport.ThriftTransport(
        name, "127.0.0.1:0", fake_network.CountingMetrics()
    )
    transport.start()
    context.add_cleanup(transport.close)
    return transport


@behave.then(
    "a call returns its answer, an unknown method is refused, a silent host times out"
)
def check_calls(context):
    one, other = make_transport(context, "one"), make_transport(context, "other")
    other.register("echo", lambda payload: payload)
    assert one.call(other.address, "echo", b"x" * 100_000, 5 * SECOND)[:1] == b"x"
    assert refusal(one, other.address, "unknown").sent
    silent = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(silent.close)
    address = f"127.0.0.1:{silent.getsockname()[1]}"
    assert refusal(one, address, "echo").sent
    silent.close()
    assert not refusal(one, address, "echo").sent
    assert one.call(other.address, "echo", b"y", 5 * SECOND) == b"y"


def refusal(transport, address, method):
    try:
        transport.call(address, method, b"x", SECOND / 5)
    except errors.PeerError as error:
        return error
    raise AssertionError(f"the call of {method} was answered")


@behave.then("a fresh call reaches a host whose idle connection has gone silent")
def check_silent_connection(context):
    one, other = make_transport(context, "one"), make_transport(context, "other")
    other.register("echo", lambda payload: payload)
    assert one.call(other.address, "echo", b"x", 5 * SECOND) == b"x"
    silent, peer_end = socket.socketpair()
    context.add_cleanup(peer_end.close)
    connection = one._idle_by_address[other.address]
    os.dup2(silent.fileno(), connection.sock.fileno())
    silent.close()
    assert refusal(one, other.address, "echo").sent
    assert one.call(other.address, "echo", b"z", 5 * SECOND, fresh=True) == b"z"
    assert one.call(other.address, "echo", b"z", 5 * SECOND) == b"z"


@behave.then(
    "a host of another version and a frame over the limit are refused; calls continue"
)
def check_bounds(context):
    one, other = make_transport(context, "one"), make_transport(context, "other")
    other.register("echo", lambda payload: payload)
    too_long = b"x" * (thrift_server.MAX_FRAME_BYTES + 1)
    try:
        one.call(other.address, "echo", too_long, 5 * SECOND)
    except errors.PeerError as error:
        assert error.sent
    else:
        raise AssertionError("a frame over the size limit was answered")
    version = thrift_transport.INTERFACE_VERSION
    thrift_transport.INTERFACE_VERSION = version + 1
    try:
        envelope = ttypes.Envelope(version, "old", "echo", b"x")
        handler = thrift_transport._PeerServiceHandler(
            {"echo": bytes}, fake_network.CountingMetrics()
        )
        try:
            handler.call(envelope)
        except ttypes.Refused as refused:
            assert str(version) in refused.detail
        else:
            raise AssertionError("another version was answered")
    finally:
        thrift_transport.INTERFACE_VERSION = version
    assert one.call(other.address, "echo", b"y", 5 * SECOND) == b"y"
