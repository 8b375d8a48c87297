"""Steps for the path of forwarded requests."""

import behave
import forwarding_bench as benches


@behave.given('a platform with the replicas "{first}" and "{second}" of each service')
def start_platform(context, first, second):
    context.bench = benches.ForwardingBench()
    context.add_cleanup(context.bench.close)
    for service in ("till", "model"):
        for name in (first, second):
            context.bench.add_replica(f"{service}-{name}", service)
    context.bench.configure()


@behave.given("an entry host")
def start_host(context):
    context.host = context.bench.start_host()


@behave.when('a caller posts to "{path}"')
def post(context, path):
    context.path = path
    context.response = context.bench.request(path)


@behave.when('a caller posts to "{path}" there')
def post_there(context, path):
    context.response = context.bench.request(path, host=context.host)


@behave.when('a caller without a key gets "{path}"')
def get_without_key(context, path):
    context.path = path
    context.before = len(context.bench.received_requests())
    context.response = context.bench.request(path, "GET", X_Api_Key="")


@behave.when('a caller gets "{path}" of host "{host}" with key "{key}"')
def get_with(context, path, host, key):
    context.before = len(context.bench.received_requests())
    context.response = context.bench.request(path, "GET", Host=host, X_Api_Key=key)


@behave.then("the response is 200 with the replica's body and signature")
def check_answer(context):
    response = context.response
    assert response.status == 200, response
    assert response.complete
    assert response.body.endswith(f" of {context.path}\n".encode()), response.body
    assert response.value("Peridothitch-Response-Signature") == "3e1b.07"


@behave.then("the response is 200 with the events 1 to {last:d}")
def check_events(context, last):
    response = context.response
    assert response.status == 200, response
    assert response.complete
    expected = b"".join(
        b"id: %d\ndata: token %d\n\n" % (number, number)
        for number in range(1, last + 1)
    )
    assert response.body == expected, response.body


@behave.then('the replica got the target "{target}"')
def check_target(context, target):
    (received,) = context.bench.received_requests()
    assert received.target == target


@behave.then("the replica got the customer but not the key")
def check_customer(context):
    (received,) = context.bench.received_requests()
    assert received.value("Peridothitch-Tenant") == benches.CUSTOMER
    assert not received.value("X-Api-Key")
    assert received.value("Peridothitch-Expected-Replica") in (
        context.bench.replica_by_id
    )
    assert 0 < int(received.value("Peridothitch-Deadline-Ms")) <= 2000


@behave.when("a caller sends the header lines")
def send_header_lines(context):
    lines = context.text.split("\n")
    _send_raw(
        context,
        "GET /lookup/1 HTTP/1.1",
        f"Host: {benches.HOST_NAME}",
        f"X-Api-Key: {benches.KEY}",
        "Peridothitch-Attempt-Id: lines-1",
        *lines,
    )
    assert context.response.status == 200, context.response


def _send_raw(context, *lines, body=b""):
    context.before = len(context.bench.received_requests())
    sock = context.bench.connect()
    try:
        sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        context.response = benches.read_response(sock)
    finally:
        sock.close()


@behave.then("the replica got these header lines")
def check_header_lines(context):
    (received,) = context.bench.received_requests()
    lines = [f"{name}: {value}" for name, value in received.fields]
    expected_lines = context.text.split("\n")
    names = {line.partition(":")[0] for line in expected_lines}
    found = [line for line in lines if line.partition(":")[0] in names]
    assert found == expected_lines, lines


@behave.then('the replica did not get "{name}"')
def check_no_header(context, name):
    (received,) = context.bench.received_requests()
    assert not received.value(name)
    assert not received.value("Connection")


@behave.then("the response is {status:d} and nothing reached a replica")
def check_refusal(context, status):
    assert context.response.status == status, context.response
    assert len(context.bench.received_requests()) == context.before
    assert not context.response.value("Peridothitch-Response-Signature")


_HOST = f"Host: {benches.HOST_NAME}"
_KEY = f"X-Api-Key: {benches.KEY}"
_REQUEST = "POST /charge/1 HTTP/1.1"
_RAW_BY_NAME = {
    "two lengths": ([_REQUEST, _HOST, _KEY, *["Content-Length: 3"] * 2], b"abc"),
    "a length and chunks": (
        [_REQUEST, _HOST, _KEY, "Content-Length: 3", "Transfer-Encoding: chunked"],
        b"3\r\nabc\r\n0\r\n\r\n",
    ),
    "chunks in HTTP 1.0": (
        ["POST /charge/1 HTTP/1.0", _HOST, _KEY, "Transfer-Encoding: chunked"],
        b"0\r\n\r\n",
    ),
    "two hosts": ([_REQUEST, _HOST, "Host: other", _KEY], b""),
    "no host": ([_REQUEST, _KEY], b""),
    "a folded header": ([_REQUEST, _HOST, _KEY, "X-A: b", " c"], b""),
    "a space before the colon": ([_REQUEST, _HOST, _KEY, "X-A : b"], b""),
    "an absolute target": (["GET http://x/lookup/1 HTTP/1.1", _HOST, _KEY], b""),
    "an unknown transfer encoding": (
        [_REQUEST, _HOST, _KEY, "Transfer-Encoding: chunked, chunked"],
        b"0\r\n\r\n",
    ),
    "a broken chunk": (
        [_REQUEST, _HOST, _KEY, "Transfer-Encoding: chunked"],
        b"zz\r\nabc\r\n0\r\n\r\n",
    ),
    "a head beyond the limit": ([_REQUEST, _HOST, _KEY, "X-A: " + "b" * 5000], b""),
    "a body beyond the limit": ([_REQUEST, _HOST, _KEY, "Content-Length: 70000"], b""),
    "a deadline that is not a number": (
        [_REQUEST, _HOST, _KEY, "Peridothitch-Deadline-Ms: soon", "Content-Length: 0"],
        b"",
    ),
}


@behave.when("a malformed request comes with {what}")
def send_malformed(context, what):
    lines, body = _RAW_BY_NAME[what]
    _send_raw(context, *lines, body=body)


@behave.when('a caller posts the chunks "{first}" and "{second}" to "{path}"')
def post_chunks(context, first, second, path):
    body = b"".join(
        b"%x\r\n%b\r\n" % (len(part), part)
        for part in (first.encode(), second.encode())
    )
    lines = [f"POST {path} HTTP/1.1", _HOST, _KEY, "Peridothitch-Attempt-Id: c-1"]
    lines.append("Transfer-Encoding: chunked")
    _send_raw(context, *lines, body=body + b"0\r\n\r\n")
    assert context.response.status == 200, context.response


@behave.then('the replica got the body "{body}"')
def check_body(context, body):
    (received,) = context.bench.received_requests()
    assert received.body == body.encode()
    assert received.value("Content-Length") == str(len(body))


@behave.when("the rules forbid bodies of more than {size:d} bytes")
def limit_bodies(context, size):
    value = benches.configuration(version=2).replace(b"65536", str(size).encode())
    context.bench.store.put("op/config", value)
    catalogue = context.host.catalogue
    benches.wait_until(lambda: catalogue.table.version == 2, "the rules are applied")


@behave.when('a caller posts {size:d} bytes to "{path}"')
def post_bytes(context, size, path):
    context.before = len(context.bench.received_requests())
    context.response = context.bench.request(path, body=b"x" * size)


@behave.when('a caller sends HEAD for "{path}"')
def send_head(context, path):
    context.response = context.bench.request(path, "HEAD")


@behave.then("the response is 200 with a length and no body")
def check_head(context):
    assert context.response.status == 200, context.response
    assert int(context.response.value("Content-Length")) > 0
    assert context.response.body == b""


@behave.when("a caller sends {count:d} requests on one connection")
def send_many(context, count):
    sock = context.bench.connect()
    context.responses = []
    for number in range(count):
        context.bench.send(sock, f"/lookup/{number}", "GET")
        context.responses.append(benches.read_response(sock, "GET"))
    sock.close()


@behave.then("all {count:d} are answered with their own bodies")
def check_many(context, count):
    for number, response in enumerate(context.responses):
        assert response.status == 200, response
        assert response.body.endswith(f" of /lookup/{number}\n".encode())
    assert len(context.responses) == count


@behave.given("the store refuses all calls")
def refuse_calls(context):
    context.bench.store_service.faults.refuse_status = 503


@behave.given("another entry host without peers")
def start_host_without_peers(context):
    context.bench.hosts.clear()
    context.host = context.bench.start_host("edge-lonely", wait=False)


@behave.then("the response is 503 with a Retry-After")
def check_not_ready(context):
    assert context.response.status == 503, context.response
    assert float(context.response.value("Retry-After")) > 0


@behave.then("that host is not ready")
def check_unready(context):
    assert not context.host.is_ready()
