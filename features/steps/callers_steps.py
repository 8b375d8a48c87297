import contextlib
import datetime
import http.client
import json
import re
import socket

import behave
import hypothesis
import processes
from hypothesis import strategies

from peridothitch.adapters import wsgi_server
from peridothitch.gateway import embedded

CHAT = "/v1/chat/completions"
TIMEOUT_SECONDS = 20
MESSAGES = b'{"messages": [{"role": "user", "content": "Hello"}]}'
LIMITS = wsgi_server.ServerLimits(
    body_bytes=64 << 10,
    header_bytes=8 << 10,
    request_timeout=datetime.timedelta(seconds=1),
    write_timeout=datetime.timedelta(seconds=1),
)
KEY_LINE = f"Authorization: Bearer {embedded.EXAMPLE_KEY}\r\n"
JSON_LINE = "Content-Type: application/json\r\n"


def _request(body=b"", method="POST", path=CHAT, lines=KEY_LINE, length=None):
    length = len(body) if length is None else length
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{JSON_LINE}{lines}"
    return f"{head}Content-Length: {length}\r\n\r\n".encode("latin-1") + body


def _chunked(body):
    head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\n{JSON_LINE}{KEY_LINE}"
    return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + body


def _deadline(text):
    lines = f"{KEY_LINE}X-Request-Timeout-Ms: {text}\r\n"
    return _request(MESSAGES, lines=lines)


BYTES_BY_FAULT = {
    "a body that is too large": _request(b"x" * (200 << 10)),
    "a chunked body that is too large": _chunked(b"8000\r\n" + b"x" * 0x8000)
    + b"\r\n8000\r\n"
    + b"x" * 0x8000
    + b"\r\n8000\r\n"
    + b"x" * 0x8000,
    "a broken chunk": _chunked(b"zz\r\nx\r\n0\r\n\r\n"),
    "a head that is too large": _request(lines=f"X-Long: {'x' * 9000}\r\n"),
    "a head that never ends": f"POST {CHAT} HTTP/1.1\r\nHost: x\r\n".encode(),
    "a body that never ends": _request(b"{", length=100),
    "an unknown transfer encoding": _request(
        lines=f"{KEY_LINE}Transfer-Encoding: br\r\n"
    ),
    "a malformed request line": b"POST\r\n\r\n",
    "a control character in a header": _request(
        MESSAGES, lines=f"{KEY_LINE}X-Trace: a\x01b\r\n"
    ),
    "an unknown route": _request(path="/nowhere"),
    "another method": _request(method="PUT"),
    "an unknown key": _request(lines="Authorization: Bearer wrong\r\n"),
    "no key": _request(lines=""),
    "a body that is not JSON": _request(b"{"),
    "a body of another type": _request(b"[]"),
    "a deeply nested body": _request(b"[" * 50_000),
    "a body that is not UTF-8": _request(b'{"messages": ["\xff"]}'),
    "a deadline that is no number": _deadline("soon"),
    "a deadline of a foreign digit": _deadline("\xb2"),
    "a deadline of endless digits": _deadline("9" * 400),
}


def _connect(context):
    sock = socket.create_connection(("127.0.0.1", context.system.port))
    sock.settimeout(TIMEOUT_SECONDS)
    return sock


def _read_response(sock):
    response = http.client.HTTPResponse(sock)
    response.begin()
    found = {name.lower(): value for name, value in response.getheaders()}
    answer = processes.Response(response.status, found, response.read())
    response.close()
    return answer


@behave.given("an embedded system with tight limits for callers")
def start_system(context):
    context.system = embedded.EmbeddedSystem(limits=LIMITS)
    context.system.start()
    context.add_cleanup(context.system.stop)


def _send_byte_by_byte(sock):
    sock.sendall(_request(b"", length=1000))
    sock.settimeout(0.1)
    while True:
        try:
            sock.sendall(b"x")
            if sock.recv(1, socket.MSG_PEEK):
                break
        except TimeoutError:
            continue
    sock.settimeout(TIMEOUT_SECONDS)


@behave.when("a faulty caller sends {fault}")
def send_fault(context, fault):
    sock = _connect(context)
    if fault == "a body that trickles":
        _send_byte_by_byte(sock)
    else:
        sock.sendall(BYTES_BY_FAULT[fault])
    context.answer = _read_response(sock)
    sock.close()


@behave.then(
    'the raw response has status {status:d} and code {code:d} with ran "{ran}"'
)
def check_answer(context, status, code, ran):
    assert context.answer.status == status, context.answer
    problem = context.answer.json()
    assert (problem["code"], problem["ran"]) == (code, ran), problem


@behave.then(
    "it has the fields of a problem and a message for OpenAI-compatible clients"
)
def check_fields(context):
    problem = context.answer.json()
    content_type = context.answer.header_by_name["content-type"]
    assert content_type == "application/problem+json", content_type
    assert problem["status"] == context.answer.status
    assert {"type", "title", "detail", "name"} <= set(problem), problem
    assert problem["error"]["message"] == problem["detail"]


@behave.then("no connection or request of a caller is left open")
def check_none_open(context):
    entry_host = context.system.entry_host

    def is_idle():
        return not (
            entry_host.connection_count
            or entry_host.pending_request_count
            or entry_host.in_flight_by_host_id
        )

    processes.wait_until(is_idle)


@behave.when(
    "{count:d} callers open a stream and close their connection after the first token"
)
def disconnect_streams(context, count):
    body = json.dumps(
        {
            "stream": True,
            "max_tokens": 2000,
            "messages": [{"role": "user", "content": "Hello"}],
        }
    ).encode()
    socks = [_connect(context) for _ in range(count)]
    for sock in socks:
        sock.sendall(_request(body))
    for sock in socks:
        response = http.client.HTTPResponse(sock)
        response.begin()
        assert response.readline().startswith(b"id: 0")
        sock.shutdown(socket.SHUT_RDWR)
        response.close()
        sock.close()


def _remove_engine_delays(context):
    for engine in context.system.engine_by_id.values():
        engine._first_token = engine._token_gap = datetime.timedelta(0)


@behave.when("a caller requests a long response and never reads")
def never_read(context):
    _remove_engine_delays(context)
    body = json.dumps(
        {
            "stream": True,
            "max_tokens": 10_000_000,
            "messages": [{"role": "user", "content": "Hello"}],
        }
    ).encode()
    context.sock = _connect(context)
    context.add_cleanup(context.sock.close)
    context.sock.sendall(_request(body))
    processes.wait_until(lambda: context.system.entry_host.pending_request_count)


@behave.when("a caller sends a request while the entry host drains")
def send_while_draining(context):
    context.system.entry_host._handler.active_requests.drain()
    sock = _connect(context)
    sock.sendall(_request(MESSAGES))
    context.answer = _read_response(sock)
    sock.close()


@behave.then("the response has code {code:d} and a Retry-After of {seconds:d} second")
def check_retry_after(context, code, seconds):
    assert context.answer.json()["code"] == code, context.answer
    assert context.answer.header_by_name["retry-after"] == str(seconds)


@behave.then("no generated path, header or body causes an internal error")
def check_no_internal_error(context):
    _remove_engine_delays(context)
    names = strategies.sampled_from(
        [
            "accept",
            "content-type",
            "idempotency-key",
            "last-event-id",
            "traceparent",
            "tracestate",
            "x-request-id",
            "x-request-timeout-ms",
        ]
    )
    visible = strategies.text(
        strategies.characters(min_codepoint=0x20, max_codepoint=0xFF), max_size=60
    ).map(lambda text: re.sub("[\x7f-\x9f]", "", text).strip())
    plain_json = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers(-(2**70), 2**70)
        | strategies.text(max_size=5),
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=8,
    )
    messages = plain_json | strategies.fixed_dictionaries(
        {"role": strategies.just("user"), "content": strategies.text(max_size=9)}
    )
    valid = strategies.fixed_dictionaries(
        {"messages": strategies.lists(messages, min_size=1, max_size=2)},
        optional={
            "stream": strategies.booleans(),
            "max_tokens": strategies.integers(1, 3),
            "extra": plain_json,
        },
    )
    chats = strategies.fixed_dictionaries(
        {"messages": strategies.lists(messages, max_size=2)},
        optional={
            "stream": plain_json,
            "max_tokens": strategies.integers(-2, 3),
            "stream_options": plain_json,
            "model": plain_json,
        },
    )
    bodies = strategies.binary(max_size=40) | (plain_json | chats | valid).map(
        lambda value: json.dumps(value).encode()
    )
    paths = strategies.just(CHAT) | strategies.binary(max_size=12).map(
        lambda raw: "/tickets/" + "".join(f"%{byte:02X}" for byte in raw)
    )

    @hypothesis.given(
        strategies.dictionaries(names, visible, max_size=3), bodies, paths
    )
    @hypothesis.settings(max_examples=150, phases=[hypothesis.Phase.generate])
    def send(header_by_name, body, path):
        method = "POST" if path == CHAT else "GET"
        headers = header_by_name | {"authorization": f"Bearer {embedded.EXAMPLE_KEY}"}
        encoded = {name: text.encode("latin-1") for name, text in headers.items()}
        connection = http.client.HTTPConnection(
            "127.0.0.1", context.system.port, timeout=TIMEOUT_SECONDS
        )
        with contextlib.closing(connection):
            connection.request(method, path, body, encoded)
            response = connection.getresponse()
            answer = response.read()
        internal = b'"code":9001' in answer
        assert response.status != 500 and not internal, (response.status, answer)

    send()


@behave.when('a caller requests the path "{path}"')
def request_path(context, path):
    sock = _connect(context)
    sock.sendall(_request(method="GET", path=path))
    context.answer = _read_response(sock)
    sock.close()
    context.path = path


@behave.then("the upstream received that path")
def check_path(context):
    assert context.answer.status == 200, context.answer
    raw = context.answer.json()["path"].encode("latin-1")
    assert raw == "/tickets/café %41".encode(), raw


@behave.when("a caller expects 100 Continue before a body of {size:d} bytes")
def expect_continue(context, size):
    with contextlib.closing(_connect(context)) as sock:
        lines = f"{KEY_LINE}Expect: 100-continue\r\n"
        sock.sendall(_request(lines=lines, length=size))
        context.first_line = sock.makefile("rb").readline()


@behave.then("the first status that it gets is {status:d}")
def check_first_status(context, status):
    assert context.first_line.split()[1] == str(status).encode(), context.first_line
