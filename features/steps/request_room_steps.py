import datetime
import re

import behave
import virtual_clock

from peridothitch.policy import request_room

_MEGABYTE = 10**6
_STALL_TIME = datetime.timedelta(seconds=3)
_SECOND = datetime.timedelta(seconds=1)
_SLOW_BYTES = 100_000
_REQUEST = re.compile(
    r"(?:(?P<count>\d+) times )?"
    r"(?P<kind>[a-z ]+) (?P<size>\d+)(?P<crowd> of the crowd)?"
)


@behave.given("room for requests of {size:d} MB")
def make_room(context, size):
    context.clock = virtual_clock.VirtualClock()
    context.held = request_room.make_held_bytes(size * _MEGABYTE)
    context.room = request_room.RequestRoom(context.held, context.clock)
    context.holdings = []
    context.refused = []


def _begin(context, name, source=None):
    def refuse(reason):
        context.refused.append(name)

    source = source or f"source-{len(context.holdings)}"
    holding = context.room.add(source, refuse)
    context.holdings.append(holding)
    return holding


@behave.given("{requests} are being received")
def receive(context, requests):
    progressing = []
    for text in requests.split(", "):
        match = _REQUEST.fullmatch(text)
        size = int(match["size"]) * _MEGABYTE
        remaining = 1000 if "nearly complete" in match["kind"] else 9 * size
        name = text.partition(" times ")[2] or text
        source = "crowd" if match["crowd"] else None
        for _ in range(int(match["count"] or 1)):
            holding = _begin(context, name, source)
            begun = size if "stalled" in match["kind"] else size - _SLOW_BYTES
            assert holding.grow(begun, remaining)
            if begun < size:
                progressing.append((holding, size, remaining))
    context.clock.advance(_STALL_TIME)
    for holding, size, remaining in progressing:
        assert holding.grow(size, remaining)


@behave.when("another caller has sent {size:g} MB")
def ask(context, size):
    holding = _begin(context, "the other caller")
    if not holding.grow(int(size * _MEGABYTE), 0):
        context.refused.append("the other caller")


@behave.then("{name} was refused")
def check_refused(context, name):
    expected = [] if name == "nobody" else [name]
    assert context.refused == expected, context.refused


@behave.when("they are complete")
def complete(context):
    for holding in context.holdings:
        holding.complete()


@behave.when(
    "a caller sends 100 kB a second for {seconds:d} seconds while others stall"
)
def send_slowly(context, seconds):
    slow = _begin(context, "slow", "slow")
    for second in range(seconds):
        size = (second + 1) * _SLOW_BYTES
        assert slow.grow(size), second
        for number in range(5):
            _begin(context, f"other-{second}-{number}", "crowd").grow(10 * _MEGABYTE)
        context.clock.advance(_SECOND)


@behave.then("only others were refused")
def check_others(context):
    assert context.refused
    assert "slow" not in context.refused


@behave.when("{count:d} requests of {size:d} MB are received one after the other")
def answer_all(context, count, size):
    for _ in range(count):
        holding = _begin(context, "one of them")
        assert holding.grow(size * _MEGABYTE, 0)
        holding.complete()
        holding.release()


@behave.then("nobody was refused and nothing is held")
def check_nothing_held(context):
    assert not context.refused
    assert context.held.total == 0


@behave.when("callers may send bodies of {size:d} MB")
def set_body_limit(context, size):
    context.room.set_body_limit(size * _MEGABYTE)
