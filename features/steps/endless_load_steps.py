"""Steps for many responses without end at one entry host in a process of its own."""

import contextlib
import http.client
import pathlib
import socket
import threading
import time

import behave
import endless_responses_steps
import endless_server
import forwarding_bench as benches

from peridothitch.standins import platform_records

_MEGABYTE = 1 << 20
_REPLICA_COUNT = 3
_PAYMENTS_PER_SECOND = 20
_PATIENCE_SECONDS = 3.0
_SEND_BYTES = 64 << 10
_DEADLINE_MS = "20000"
_INCARNATION = 1
"""Start of the replicas, by `platform_records.host_record`."""

_HEAD = endless_responses_steps.HEAD
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_EVENT = b"data: %b\n\n" % (b"x" * 492)
_RESPONSE_BY_PLACE = endless_responses_steps.RESPONSE_BY_PLACE | {
    "body of a failure": (
        _HEAD.replace(b"200 OK", b"500 Internal Server Error") + b"\r\n",
        b"x" * 4096,
    ),
    "events of a stream": (
        _HEAD + b"Content-Type: text/event-stream\r\n\r\n",
        _EVENT * 8,
    ),
    "chunks of one byte": (_HEAD + _CHUNKED, b"1\r\nx\r\n"),
    "event in chunks of 45 bytes": (
        _HEAD + b"Content-Type: text/event-stream\r\n" + _CHUNKED,
        b"2d\r\n%b\r\n" % (b"x" * 45),
    ),
}


@behave.when("{count:d} callers that {pace} get responses without end in the {place}")
def start_callers(context, count, pace, place):
    _start_servers(context, place)
    benches.wait_until(lambda: _reaches_server(context), "the replicas are known")
    for number in range(count):
        _read_if(pace, _call(context, number))


@behave.when(
    "{count:d} calls of other hosts that {pace} get responses without end in the"
    " {place}"
)
def start_calls_of_hosts(context, count, pace, place):
    _start_servers(context, place)
    benches.wait_until(lambda: _reaches_server(context), "the replicas are known")
    for number in range(count):
        _read_if(pace, _call_through(context, number))


def _start_servers(context, place):
    for number in range(_REPLICA_COUNT):
        beginning, repeated = _RESPONSE_BY_PLACE[place]
        # Small sends would keep the processor of the test busy.
        repeated *= _SEND_BYTES // len(repeated)
        server = endless_server.EndlessServer(beginning, repeated)
        context.add_cleanup(server.close)
        context.servers.append(server)
        record = platform_records.host_record(server.address, "model", "lothian-a")
        context.bench.store.put(f"servers/model-endless-{number}", record)
    benches.wait_until(lambda: _pay(context, 0)[0] == 200, "payments are answered")


def _read_if(pace, sock):
    if pace == "read":
        threading.Thread(target=_read_all, args=(sock,), daemon=True).start()


def _call_through(context, number):
    """Send a call as another entry host does that has lost its path."""
    lines = [
        f"POST /planner/{number} HTTP/1.1",
        "Entry-Purpose: send",
        f"Entry-Upstream: model-endless-{number % _REPLICA_COUNT}/{_INCARNATION}",
        f"Entry-Wait-Ms: {_DEADLINE_MS}",
        f"Host: {benches.HOST_NAME}",
        f"Peridothitch-Attempt-Id: through-{number}",
        "Content-Length: 0",
    ]
    sock = socket.create_connection(("127.0.0.1", context.ports["helper"]))
    context.add_cleanup(sock.close)
    sock.sendall("\r\n".join([*lines, "", ""]).encode())
    return sock


def _call(context, number):
    sock = socket.create_connection(("127.0.0.1", context.ports["front"]))
    context.add_cleanup(sock.close)
    context.bench.send(
        sock, f"/planner/{number}", Peridothitch_Deadline_Ms=_DEADLINE_MS
    )
    return sock


def _reaches_server(context):
    with contextlib.closing(_call(context, 0)):
        time.sleep(0.05)
        return any(server.response_count for server in context.servers)


def _read_all(sock):
    with contextlib.suppress(OSError):
        while sock.recv(_MEGABYTE):
            pass


@behave.when("payments are sent beside them for {seconds:d} seconds")
def pay_beside(context, seconds):
    context.payments = []
    threads = []
    for number in range(seconds * _PAYMENTS_PER_SECOND):
        thread = threading.Thread(
            target=lambda number=number: context.payments.append(_pay(context, number))
        )
        thread.start()
        threads.append(thread)
        time.sleep(1 / _PAYMENTS_PER_SECOND)
    for thread in threads:
        thread.join()


def _pay(context, number):
    began = time.monotonic()
    status = None
    with contextlib.suppress(OSError, http.client.HTTPException):
        address = ("127.0.0.1", context.ports["front"])
        with socket.create_connection(address, _PATIENCE_SECONDS) as sock:
            context.bench.send(sock, f"/charge/{number}")
            status = benches.read_response(sock).status
    return status, time.monotonic() - began


@behave.then("the process used less than {size:d} megabytes at any time")
def check_memory(context, size):
    status = pathlib.Path(f"/proc/{context.process.pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
    peak = int(line.split()[1]) / 1024
    assert context.process.poll() is None
    assert peak < size, f"{peak:.0f} MB; {_failed(context, 1.5)}"


@behave.then("every payment got 200 within {seconds:g} seconds")
def check_payments(context, seconds):
    assert not _failed(context, seconds), _failed(context, seconds)


def _failed(context, seconds):
    return [
        (status, round(elapsed, 2))
        for status, elapsed in context.payments
        if status != 200 or elapsed >= seconds
    ]


@behave.then("each replica has sent responses without end")
def check_servers(context):
    sent = [server.sent_bytes for server in context.servers]
    assert min(sent) >= _SEND_BYTES, sent
