"""Steps for answers whose heads or bodies are damaged."""

import json
import time

import answer_readers
import behave
import forwarding_bench as benches
import logbook
import scripted_server

from peridothitch import errors
from peridothitch.policy import resumption
from peridothitch.standins import platform_records

_STATUS_LINE = "HTTP/1.1 200 OK"
_SOUND = "told"
_TEXT = b"twenty bytes of text"
_SIGNED_LINES = (
    b"Peridothitch-Attempt-Id: {id}\r\nPeridothitch-Response-Signature: 3e1b\r\n"
)
_CLOSE_LINE = b"Connection: close\r\n"
_MAX_SECONDS = 1.0
_METHOD_BY_PATH = {"/charge/1": "POST", "/lookup/1": "GET"}
_PATIENT_ROUTES = tuple(
    route | {"target_latency_ms": route["timeout_ms"]} for route in benches.ROUTES
)
"""Routes on which no answer is late before the deadline."""

_LIMITS = {"max_body_bytes": 4 << 20}
_MAX_LOOKUPS = 40
_SERVICES = ("till", "model")
_REFUSED = "502 with code 3010"
_CUT_OFF = "502 with code 3003"


def _to_bytes(text):
    """Return a cell's text as bytes; it may have escapes as in Python."""
    return text.encode("latin-1").decode("unicode_escape").encode("latin-1")


def _fill(text, body):
    value_by_name = {
        b"{n}": b"%d" % len(body),
        b"{half}": b"%d" % (len(body) // 2),
        b"{x}": b"%x" % len(body),
        b"{halfx}": b"%x" % (len(body) // 2),
        b"{chunk}": b"%x\r\n%b\r\n" % (len(body), body),
        b"{body}": body,
    }
    if text == "nothing":
        return b""
    filled = _to_bytes(text)
    for name, value in value_by_name.items():
        filled = filled.replace(name, value)
    return filled


def _make_answer(row, first_lines, body):
    lines = _fill(row.get("lines", "Content-Length: {n}"), body)
    status_line = _fill(row.get("status line", _STATUS_LINE), body)
    lines = lines and lines + b"\r\n"
    head = status_line + b"\r\n" + first_lines + lines + b"\r\n"
    if "line end" in row:
        head = head.replace(b"\r\n", _to_bytes(row["line end"]))
    return (
        _fill(row.get("before", ""), body)
        + head
        + _fill(row.get("body", "{body}"), body)
    )


class _EntryHostReader:
    """Callers of an entry host before one replica."""

    def __init__(self, bench, server):
        self._bench = bench
        self._server = server

    def outcome(self, path, body=b""):
        """Send a request and return what the caller got."""
        count = self._server.request_count
        response = self._bench.request(path, _METHOD_BY_PATH[path], body)
        sent = self._server.request_count - count
        if "problem+json" not in response.value("Content-Type"):
            is_sound = response.complete and response.body == _TEXT
            return _SOUND if response.status == 200 and is_sound else f"{response}"
        outcome = f"{response.status} with code {json.loads(response.body)['code']}"
        return outcome if sent == 1 else f"{outcome}, sent {sent} times"


@behave.given("callers and calls of each kind, and servers that send given bytes")
def start(context):
    context.bench = benches.ForwardingBench()
    context.add_cleanup(context.bench.close)
    context.bench.configure(routes=_PATIENT_ROUTES, limits=_LIMITS)
    context.server = scripted_server.ScriptedServer()
    context.add_cleanup(context.server.close)
    context.log = logbook.TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)
    address = context.server.address
    for service in _SERVICES:
        record = platform_records.host_record(address, service, "lothian-a")
        context.bench.store.put(f"servers/{service}-a", record)
    known = context.bench.start_host().catalogue.hosts
    benches.wait_until(lambda: len(known()) == len(_SERVICES), "they are known")


@behave.when("uploads are answered at once and their connections reset")
def reset_uploads(context):
    context.outcomes = []
    server = context.server
    for row in context.table:
        cells = row.as_dict()
        server.answer = _make_answer(cells, _SIGNED_LINES, _TEXT)
        server.seconds_to_reset = int(cells["after ms"]) / 1000
        upload = b"u" * (int(cells["kilobytes"]) << 10)
        caller = _EntryHostReader(context.bench, server)
        outcome = caller.outcome("/charge/1", upload)
        context.outcomes.append((cells, True, "/charge/1", _CUT_OFF, outcome))
        reader = answer_readers.make_upload_reader(upload, _TEXT)
        outcome, _, _ = _read_answer(reader, server).partition(" ")
        context.outcomes.append((cells, True, "serve", reader.error, outcome))


def _read_answer(reader, server):
    try:
        told = reader.call(server.address)
    except errors.CodedError as error:
        return f"{type(error).__name__} {int(error.code)}"
    except Exception as error:
        return f"unexpected {error!r}"
    return _SOUND if told == reader.told else f"other: {told!r}"


def _play(context, row, closes):
    """Yield the reader, the outcome that a broken answer has to have, and its own."""
    server = context.server
    server.closes = closes
    end_line = _CLOSE_LINE if closes else b""
    server.answer = _make_answer(row, _SIGNED_LINES + end_line, _TEXT)
    callers = _EntryHostReader(context.bench, server)
    for path in _METHOD_BY_PATH:
        yield path, _REFUSED, callers.outcome(path)
    if "attempt-id" in row.get("before", "").lower():
        return
    for name, reader in answer_readers.READER_BY_NAME.items():
        server.answer = _make_answer(row, reader.first_lines + end_line, reader.body)
        yield name, reader.error, _read_answer(reader, server)


@behave.when("answers come with")
def send_answers(context):
    context.outcomes = []
    endings = (True, False)
    for row in context.table:
        cells = row.as_dict()
        for closes in endings if cells.pop("ending", "") != "closed" else (True,):
            began = time.monotonic()
            for name, expected, outcome in _play(context, cells, closes):
                seconds = time.monotonic() - began
                began = time.monotonic()
                if seconds > _MAX_SECONDS:
                    outcome = f"{outcome} after {seconds:.1f} s"
                context.outcomes.append((cells, closes, name, expected, outcome))


def _report(context, faults):
    lines = [
        f"{name}, {'closed' if closes else 'kept'}, {cells}: {outcome}"
        for cells, closes, name, _, outcome in faults
    ]
    return f"{len(faults)} of {len(context.outcomes)}:\n" + "\n".join(lines)


@behave.when("answers with these documents are read")
def send_documents(context):
    context.outcomes = []
    server = context.server
    server.closes = False
    for row in context.table:
        for name, reader in answer_readers.JSON_READER_BY_NAME.items():
            if name != row.get("reader", name):
                continue
            cut = reader.body[: len(reader.body) // 2]
            body = _fill(row["body"].replace("{cut}", cut.decode()), reader.body)
            cells = row.as_dict() | {"body": "{body}"}
            server.answer = _make_answer(cells, b"", body)
            outcome = _read_answer(reader, server)
            context.outcomes.append((row.as_dict(), False, name, reader.error, outcome))


@behave.when("a stream has events with the ids")
def send_events(context):
    context.outcomes = []
    for row in context.table:
        event_id = _to_bytes(row["id"]) * int(row["times"])
        event = b"id: %b\ndata: a\n\n" % event_id
        lines = "Content-Type: text/event-stream\\r\\nContent-Length: {n}"
        answer = _make_answer({"lines": lines}, _SIGNED_LINES, event)
        context.server.answer = answer
        response = context.bench.request("/planner/1")
        is_sound = response.complete and response.body == event
        outcome = _SOUND if is_sound else f"{response}"
        context.outcomes.append((row.as_dict(), False, "/planner/1", _SOUND, outcome))
        outcome = _add_event(event)
        context.outcomes.append((row.as_dict(), False, "serve", _SOUND, outcome))


def _add_event(event):
    """Return what becomes of an event in ``serve``, which may call it interrupted."""
    try:
        resumption.StreamProgress().add_event(event)
    except errors.UpstreamError:
        return _SOUND
    except Exception as error:
        return f"unexpected {error!r}"
    return _SOUND


@behave.when("a host that is probed answers with")
def probe(context):
    context.outcomes = []
    for row in context.table:
        context.server.answer = _make_answer(row.as_dict(), b"", b"")
        outcome = _read_answer(answer_readers.PROBE, context.server)
        context.outcomes.append((row.as_dict(), False, "probe", _SOUND, outcome))


@behave.then("each of them is read whole")
def check_sound(context):
    faults = [played for played in context.outcomes if played[-1] != _SOUND]
    assert not faults, _report(context, faults)


@behave.then("none of them is an answer, and none is asked for again")
def check_broken(context):
    faults = [played for played in context.outcomes if played[-1] != played[-2]]
    assert not faults, _report(context, faults)


@behave.then("the connections they came on are closed")
def check_closed(context):
    benches.wait_until(
        lambda: not context.server.open_connections, "the connections are closed"
    )


@behave.then("the log of the entry host names what was wrong with each")
def check_log(context):
    reasons = [str(record.kwargs.get("reason")) for record in context.log.records]
    missing = [row["log"] for row in context.table if not _names(reasons, row["log"])]
    assert not missing, (missing, reasons)


def _names(reasons, text):
    return any(text in reason and "till-a" in reason for reason in reasons)


@behave.when("a sound replica is added and callers get lookups until a broken answer")
def get_lookups(context):
    bench, server = context.bench, context.server
    server.answer = _make_answer({"lines": "X A: b"}, _SIGNED_LINES, _TEXT)
    bench.add_replica("till-b", "till")
    known = bench.hosts[0].catalogue.hosts
    benches.wait_until(lambda: "till-b" in known(), "it is known")
    context.statuses = []
    while not server.request_count and len(context.statuses) < _MAX_LOOKUPS:
        context.statuses.append(bench.request("/lookup/1", "GET").status)


@behave.then("each lookup is answered")
def check_lookups(context):
    assert context.server.request_count, "no broken answer was sent"
    assert set(context.statuses) == {200}, context.statuses
