import re

import behave
import hypothesis
from hypothesis import strategies
from waitress import utilities

from peridothitch.adapters import request_body

_MAX_BYTES = 1000
_REST = b"GET / HTTP/1.1\r\n"
_FAULT_BY_NAME = {
    "malformed": utilities.BadRequest,
    "too large": utilities.RequestEntityTooLarge,
}
_chunks = strategies.lists(
    strategies.tuples(
        strategies.binary(min_size=1, max_size=40),
        strategies.sampled_from((b"", b";a", b";a=b")),
    ),
    max_size=8,
)
_trailers = strategies.sampled_from((b"", b"T: 1\r\n", b"T: 1\r\nU: 2\r\n"))
_cuts = strategies.lists(strategies.integers(1, 30), min_size=1, max_size=8)


def _receive(body, wire, sizes):
    """Pass the bytes on in pieces; returns how many were taken."""
    position = index = 0
    while position < len(wire) and not (body.completed or body.error):
        piece = wire[position : position + sizes[index % len(sizes)]]
        taken = body.received(piece)
        assert taken == len(piece) or body.completed or body.error
        position += taken
        index += 1
    return position


@behave.then(
    "chunked bodies with extensions and trailers, cut anywhere, give their content"
)
def check_content(context):
    @hypothesis.given(_chunks, _trailers, _cuts)
    @hypothesis.settings(max_examples=300)
    def check(chunks, trailer, sizes):
        wire = b"".join(
            b"%X%b\r\n%b\r\n" % (len(content), extension, content)
            for content, extension in chunks
        )
        wire += b"0\r\n" + trailer + b"\r\n"
        body = request_body.ChunkedBody(_MAX_BYTES)
        assert _receive(body, wire + _REST, sizes) == len(wire)
        assert body.completed and body.error is None
        assert body.getfile().read() == b"".join(content for content, _ in chunks)

    check()


@behave.when("a chunked body of at most 100 bytes begins with {text}")
def set_bytes(context, text):
    text = re.sub(r"\{(\d+)\}", lambda match: "a" * int(match[1]), text)
    context.wire = text.encode().decode("unicode_escape").encode("latin-1")


@behave.then("it is refused as {fault} in whatever pieces it arrives")
def check_fault(context, fault):
    for size in range(1, len(context.wire) + 1):
        body = request_body.ChunkedBody(100)
        _receive(body, context.wire, [size])
        assert type(body.error) is _FAULT_BY_NAME[fault], (size, body.error)
