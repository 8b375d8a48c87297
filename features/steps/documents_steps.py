import re

import behave
import processes
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from peridothitch import errors
from peridothitch.adapters import traces, wsgi_server, yaml_codec
from peridothitch.gateway import embedded
from peridothitch.ports import upstream

EXAMPLES = processes.ROOT / "examples"
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
SPAN_ID = "b7ad6b7169203331"


def _example(name="lanark.yaml"):
    return (EXAMPLES / name).read_text(encoding="utf-8")


@behave.then(
    'the example document "{name}" is valid with {count:d} customers, a limit for each '
    "and an owner for each section"
)
def check_example(context, name, count):
    document = yaml_codec.parse_document(_example(name))
    customers = set(document.customer_by_name)
    assert len(customers) == count, customers
    assert {limit.customer for limit in document.limit_by_name.values()} == customers
    assert set(document.owner_by_section) == set(yaml_codec.SECTIONS)
    assert document.move_by_name and document.route_by_name


@behave.when("a document with five faults is checked")
def check_five(context):
    text = _example()
    text = text.replace("service: ticketing\n    effect: once", "service: none", 3)
    text = text.replace("current: v4", "current: v9")
    context.faulty_text = text.replace("customer: gate", "customer: nobody")
    context.error = _parse_error(context.faulty_text)


def _parse_error(text):
    try:
        yaml_codec.parse_document(text)
    except errors.DocumentError as error:
        return error
    raise AssertionError("the document was accepted")


@behave.then("each of them is reported with its line and path")
def check_reported(context):
    faults = context.error.faults
    assert len(faults) == 5, faults
    lines = context.faulty_text.splitlines()
    for fault in faults:
        found = re.match(r"line (\d+), /(\S+): .*'(\w+)' is undefined", fault)
        assert found, fault
        assert found[3] in lines[int(found[1]) - 1], (fault, lines[int(found[1]) - 1])


def _change(text, fault):
    if fault == "a section defined twice":
        return text + "routes: {}\n"
    if fault == "an alias":
        return text.replace("routes:", "routes: &all", 1) + "  other: *all\n"
    if fault == "a move that ends before it starts":
        return text.replace("2026-10-05T17", "2026-10-05T04")
    if fault == "two routes of one method and path":
        added = "  second: {method: POST, path: /refunds, service: ticketing}\n"
        return text.replace("customers:\n", added + "customers:\n", 1)
    if fault == "a key of two customers":
        digest = re.search(r'key_sha256: (\["\w+"\])', text)[1]
        return text.replace(
            "versions:\n", f"  second: {{key_sha256: {digest}}}\nversions:\n", 1
        )
    return text.replace("owners:\n", 'owners:\n  nothing: "00"\n', 1)


@behave.when("an example document is checked with {fault}")
def check_changed(context, fault):
    text = _example()
    head, separator, rest = text.partition("\nroutes:\n")
    if fault == "an owner of an unknown section":
        context.error = _parse_error(_change(head, fault) + separator + rest)
    else:
        context.error = _parse_error(head + _change(separator + rest, fault))


@behave.then('it is refused with code {code:d} at "{path}"')
@behave.then('it is refused with code {code:d} at ""')
def check_refused_document(context, code, path=""):
    assert context.error.code == code, context.error
    assert context.error.path == path, context.error.path
    assert context.error.line, context.error


class _Receiver:
    """Records the bodies and headers that it receives."""

    def __init__(self):
        self.bodies = []
        self.traceparents = []

    def __call__(self, environ, start_response):
        self.bodies.append(environ["wsgi.input"].read())
        self.traceparents.append(environ.get("HTTP_TRACEPARENT"))
        start_response("200 OK", [("content-type", "application/json")])
        return [b"{}"]


def _serve(context, application):
    server = wsgi_server.WsgiServer(application, "127.0.0.1:0", threads=4)
    server.start()
    context.add_cleanup(server.close)
    return f"127.0.0.1:{server.port}"


@behave.given("an entry host that exports spans to a test receiver")
def start_traced(context):
    context.receiver, context.upstream = _Receiver(), _Receiver()
    endpoint = f"http://{_serve(context, context.receiver)}/v1/traces"
    context.system = embedded.EmbeddedSystem(exporter=traces.make_exporter(endpoint))
    for host_id in list(context.system.host_list.read()):
        context.system.host_list.remove(host_id)
    context.system.host_list.put(
        upstream.Host(
            host_id="traced",
            address=_serve(context, context.upstream),
            service="ticketing",
            version="v1",
            data_centre="local",
        )
    )
    context.system.start()


@behave.when("a caller sends a request with a traceparent")
def send_traced(context):
    answer = processes.send_request(
        f"127.0.0.1:{context.system.port}",
        "GET",
        "/tickets/1",
        header_by_name={"traceparent": f"00-{TRACE_ID}-{SPAN_ID}-01"},
    )
    context.system.stop()
    assert answer.status == 200, answer


@behave.then(
    "the receiver gets spans of the caller's trace for the request and its attempt"
)
def check_spans(context):
    spans = []
    for body in context.receiver.bodies:
        request = trace_service_pb2.ExportTraceServiceRequest.FromString(body)
        for resource in request.resource_spans:
            for scope in resource.scope_spans:
                spans += scope.spans
    span_by_name = {
        span.name: span for span in spans if span.trace_id.hex() == TRACE_ID
    }
    assert {"request", "attempt"} <= set(span_by_name), spans
    assert span_by_name["request"].parent_span_id.hex() == SPAN_ID
    parent = span_by_name["attempt"].parent_span_id
    assert parent == span_by_name["request"].span_id
    context.attempt = span_by_name["attempt"].span_id.hex()


@behave.then("the upstream received the same trace")
def check_upstream_trace(context):
    sent = context.upstream.traceparents
    assert sent == [f"00-{TRACE_ID}-{context.attempt}-01"], sent
