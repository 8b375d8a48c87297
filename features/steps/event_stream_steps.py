import contextlib
import socket
import threading

import behave
import hypothesis
from hypothesis import strategies

from peridothitch import errors
from peridothitch.adapters import http_transport
from peridothitch.ports import upstream

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
FIRST, SECOND = b"id: 0\ndata: a\n\n", b"id: 1\ndata: b\n\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
COUNTED = HEAD + b"content-length: %d\r\n\r\n" % len(FIRST + SECOND)
UNCOUNTED = HEAD + b"connection: close\r\n\r\n"


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


BYTES_BY_CASE = {
    ("chunks", "after the last chunk"): CHUNKED
    + _chunk(FIRST)
    + _chunk(SECOND)
    + b"0\r\n\r\n",
    ("chunks", "before the end mark"): CHUNKED + _chunk(FIRST) + _chunk(SECOND),
    ("chunks", "inside a chunk"): CHUNKED + _chunk(FIRST) + _chunk(SECOND)[:9],
    ("counted bytes", "after all bytes"): COUNTED + FIRST + SECOND,
    ("counted bytes", "too early"): COUNTED + FIRST + SECOND[:5],
    ("uncounted bytes", "after all bytes"): UNCOUNTED + FIRST + SECOND,
}


class _Upstream:
    """Answers each connection with the configured pieces."""

    def __init__(self):
        self.pieces = ()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                with sock:
                    sock.recv(65536)
                    for piece in self.pieces:
                        sock.sendall(piece)


@behave.given("an upstream that sends given bytes")
def start_upstream(context):
    context.upstream = _Upstream()
    context.add_cleanup(context.upstream.listener.close)


def _read(context, pieces):
    """Return the events read and how the stream ended."""
    context.upstream.pieces = pieces
    host = upstream.Host(
        host_id="u",
        address=context.upstream.address,
        service="s",
        version="v1",
        data_centre="d",
    )
    call = upstream.Call(method="GET", path="/", header_by_name={}, streamed=True)
    exchange = http_transport.HttpTransport().open(host, call)
    events = []
    try:
        events.extend(exchange.events())
    except errors.UpstreamError:
        return events, "interrupted"
    finally:
        exchange.cancel()
    return events, "whole"


@behave.then("events with any line endings and any split arrive complete and in order")
def check_splits(context):
    event = strategies.tuples(
        strategies.sampled_from([b"\n", b"\r\n"]), strategies.integers(0, 40)
    ).map(lambda pair: b"data: " + b"x" * pair[1] + pair[0] * 2)

    @hypothesis.given(
        strategies.lists(event, min_size=1, max_size=6),
        strategies.lists(strategies.integers(1, 250), max_size=6),
        strategies.booleans(),
    )
    @hypothesis.settings(max_examples=60, phases=[hypothesis.Phase.generate])
    def read(events, cuts, chunked):
        body = b"".join(events)
        ends = sorted({min(cut, len(body)) for cut in cuts} | {len(body)})
        parts = [body[begin:end] for begin, end in zip([0, *ends], ends, strict=False)]
        if chunked:
            pieces = [CHUNKED, *map(_chunk, parts), b"0\r\n\r\n"]
        else:
            pieces = [UNCOUNTED, *parts]
        assert _read(context, pieces) == (events, "whole"), (events, parts)

    read()


@behave.when("it sends two events as {framing} and closes {moment}")
def send_events(context, framing, moment):
    context.result = _read(context, [BYTES_BY_CASE[framing, moment]])


@behave.then('the reader gets {count:d} events and the end "{end}"')
def check_end(context, count, end):
    assert context.result == ([FIRST, SECOND][:count], end), context.result
