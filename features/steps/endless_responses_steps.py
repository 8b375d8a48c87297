"""Steps for replicas whose responses have no end."""

import contextlib
import datetime
import json
import time
import tracemalloc

import behave
import endless_server
import forwarding_bench as benches

from peridothitch import errors
from peridothitch.adapters import (
    boot_clock,
    http_cloud,
    http_engine_reports,
    http_transport,
)
from peridothitch.platform import duties as platform_duties
from peridothitch.platform import store as platform_store
from peridothitch.ports import duties, upstream
from peridothitch.standins import platform_records

_MEGABYTE = 1 << 20
_REPLICA_COUNT = 2
_MAX_REQUESTS = 40
HEAD = (
    b"HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: {id}\r\n"
    b"Peridothitch-Response-Signature: 3e1b\r\n"
)
_CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_FILLER = b"x" * 4096
_LAST_CHUNK = b"0\r\n\r\n"
_CHUNK = b"1000\r\n" + _FILLER + b"\r\n"
RESPONSE_BY_PLACE = {
    "status line": (b"", _FILLER),
    "status line after its beginning": (b"HTTP/1.1 200 ", _FILLER),
    "header line": (HEAD + b"X-Filler: ", _FILLER),
    "headers": (HEAD, b"X-Filler: 1\r\n" * 8),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 16),
    "response to another request": (
        b"HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: another\r\n\r\n",
        _FILLER,
    ),
    "line with the size of a chunk": (_CHUNKED, b"0" * 4096),
    "trailer": (_CHUNKED + b"0\r\n", b"X-Filler: 1\r\n" * 256),
    "body without length": (HEAD + b"\r\n", _FILLER),
    "body in chunks": (_CHUNKED, _CHUNK),
    "body of 100 gigabytes": (HEAD + b"Content-Length: 107374182400\r\n\r\n", _FILLER),
    "body of a refusal": (
        b"HTTP/1.1 503 Full\r\nPeridothitch-Attempt-Id: {id}\r\n"
        b"Peridothitch-Not-Executed: 1\r\n\r\n",
        _FILLER,
    ),
    "event of a stream": (
        HEAD + b"Content-Type: text/event-stream\r\n\r\ndata: ",
        _FILLER,
    ),
}


def _add_server(context, beginning, repeated, pause=0.0):
    server = endless_server.EndlessServer(beginning, repeated, pause)
    context.add_cleanup(server.close)
    replica_id = f"till-endless-{len(context.servers)}"
    record = platform_records.host_record(server.address, "till", "lothian-a")
    context.bench.store.put(f"servers/{replica_id}", record)
    context.servers.append(server)
    return replica_id


@behave.given('a platform whose replicas of "{service}" send responses without end')
def start_platform(context, service):
    context.bench = benches.ForwardingBench()
    context.add_cleanup(context.bench.close)
    context.bench.configure()
    context.servers = []


@behave.given('a replica of "till" that answers')
def add_sound_replica(context):
    context.bench.add_replica("till-a", "till")


def _start_servers(context, *response):
    ids = [_add_server(context, *response) for _ in range(_REPLICA_COUNT)]
    hosts = context.host.catalogue.hosts
    benches.wait_until(lambda: set(ids) <= set(hosts()), "the replicas are known")


@behave.when("the responses have no end in the {place}")
def set_place(context, place):
    _start_servers(context, *RESPONSE_BY_PLACE[place])


@behave.when("the responses are slow bytes that are no response")
def set_slow(context):
    _start_servers(context, b"", b"x", 0.05)


@behave.then("the caller gets {status:d} with code {code:d} within {seconds:d} seconds")
def check_code(context, status, code, seconds):
    assert context.response.status == status, context.response
    assert json.loads(context.response.body)["code"] == code, context.response.body
    assert context.elapsed_seconds < seconds, context.elapsed_seconds


@behave.when('a caller waits for the response to "{path}"')
def wait_for_response(context, path):
    began = time.monotonic()
    context.response = context.bench.request(path)
    context.elapsed_seconds = time.monotonic() - began


@behave.when('a caller discards the response to "{path}"')
def discard_response(context, path):
    tracemalloc.start()
    context.last_bytes = b""
    with contextlib.closing(context.bench.connect()) as sock:
        context.bench.send(sock, path)
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(_MEGABYTE):
                context.last_bytes = (context.last_bytes + data)[-len(_LAST_CHUNK) :]
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@behave.when(
    'a caller gets "{path}" until a replica without end has received a request'
)
def get_until_received(context, path):
    context.results = []
    for _ in range(_MAX_REQUESTS):
        began = time.monotonic()
        response = context.bench.request(path, "GET")
        context.results.append((response.status, time.monotonic() - began))
        if any(server.response_count for server in context.servers):
            return
    raise AssertionError("no replica received a request")


@behave.then("the caller got 200 each time within {seconds:d} seconds")
def check_all_answered(context, seconds):
    assert all(
        status == 200 and elapsed < seconds for status, elapsed in context.results
    ), context.results


@behave.then("the response is cut off")
def check_cut_off(context):
    assert context.last_bytes not in (b"", _LAST_CHUNK), context.last_bytes


@behave.then("no replica could send more than {size:d} megabytes")
def check_sent(context, size):
    sent = [server.sent_bytes for server in context.servers]
    assert max(sent) < size * _MEGABYTE, sent


@behave.then("memory grew by less than {size:d} megabytes")
def check_memory(context, size):
    assert context.peak_bytes < size * _MEGABYTE, context.peak_bytes


@behave.then("the connections to the replicas were closed")
def check_closed(context):
    benches.wait_until(
        lambda: not any(server.open_connections for server in context.servers),
        "the connections are closed",
    )


def _read_store(address):
    platform_store.PlatformStore(address, boot_clock.BootClock()).range("op/")


def _report_usage(address):
    client = platform_duties.HttpDuties(address, "edge-1", boot_clock.BootClock())
    client.report_usage(
        duties.UsageReport(window=1, count_by_customer={"customer": 1}), 1
    )


def _call_host(address):
    call = upstream.Call(
        method="POST", path="/", body=b"", header_by_name={}, **_CALL_TIMEOUTS
    )
    exchange = http_transport.HttpTransport().open(_make_host(address), call)
    if "event-stream" in exchange.header_by_name.get("content-type", ""):
        list(exchange.events())
    exchange.read()


def _read_report(address):
    http_engine_reports.HttpEngineReports().read(_make_host(address), 0)


def _make_host(address):
    return upstream.Host(
        host_id="endless",
        address=address,
        service="till",
        version="v1",
        data_centre="lothian-a",
    )


_CALL_TIMEOUTS = {
    "first_byte_timeout": datetime.timedelta(seconds=2),
    "gap_timeout": datetime.timedelta(seconds=2),
}
_CALL_BY_CALLEE = {
    "the platform's store": _read_store,
    "the platform's duties": _report_usage,
    "a host that is called": _call_host,
    "a host whose report is read": _read_report,
    "the list of hosts": lambda address: http_transport.HttpHostList(address).read(),
    "the cloud API": lambda address: http_cloud.HttpCloud(address).offers(),
}
_PLACE_BY_NAME = {"body": "body without length", "event": "event of a stream"}


@behave.when("{callee} sends a response without end in the {place}")
def call(context, callee, place):
    response = RESPONSE_BY_PLACE[_PLACE_BY_NAME.get(place, place)]
    server = endless_server.EndlessServer(*response)
    context.add_cleanup(server.close)
    context.servers.append(server)
    began = time.monotonic()
    context.error = None
    try:
        _CALL_BY_CALLEE[callee](server.address)
    except errors.CodedError as error:
        context.error = error
    context.elapsed_seconds = time.monotonic() - began


@behave.then("the call fails as {name} within {seconds:d} seconds")
def check_error(context, name, seconds):
    assert type(context.error).__name__ == name, repr(context.error)
    assert context.elapsed_seconds < seconds, context.elapsed_seconds


@behave.then("no callee could send more than {size:d} megabytes")
def check_sent_by_callee(context, size):
    check_sent(context, size)
    check_closed(context)
