import select
import socket
import struct
import threading

import behave
import forwarding_bench as benches

from peridothitch.adapters import thrift_server

_MEGABYTE = 1 << 20
_NAME = b"read"
# A binary message: version and type, the method's name, a sequence number.
_HEADER = struct.pack("!II", 0x80010001, len(_NAME)) + _NAME + struct.pack("!I", 1)
_REPLY = b"reply"


class _SlowProcessor:
    def __init__(self):
        self.may_go_on = threading.Event()

    def process(self, call, reply):
        self.may_go_on.wait(benches.TIMEOUT_SECONDS)
        reply.trans.write(_REPLY)


@behave.given("a server for peers whose calls take until it is told otherwise")
def start_server(context):
    context.processor = _SlowProcessor()
    context.server = thrift_server.ThriftServer(context.processor, "127.0.0.1:0")
    context.server.start()
    context.add_cleanup(context.server.close)
    context.add_cleanup(context.processor.may_go_on.set)


def _send_call(context):
    host, _, port = context.server.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), benches.TIMEOUT_SECONDS)
    context.add_cleanup(sock.close)
    try:
        sock.sendall(struct.pack("!I", _MEGABYTE) + _HEADER)
        sock.sendall(b"x" * (_MEGABYTE - len(_HEADER)))
    except OSError:
        return None
    return sock


@behave.when("{count:d} peers send a call of 1 MB each")
def send_calls(context, count):
    sent = [_send_call(context) for _ in range(count)]
    context.sockets = [sock for sock in sent if sock is not None]


@behave.then(
    "at most {count:d} of them are kept, and the connections of the others are closed"
)
def check_kept(context, count):
    benches.wait_until(lambda: len(_open(context)) <= count, "the others are closed")
    context.sockets = _open(context)
    assert context.sockets


def _open(context):
    # Nothing is answered yet, so a readable connection is a closed one.
    closed, _, _ = select.select(context.sockets, [], [], 0)
    return [sock for sock in context.sockets if sock not in closed]


@behave.when("the calls go on")
def go_on(context):
    context.processor.may_go_on.set()


@behave.then("those kept are answered, and so is another call of 1 MB")
def check_answered(context):
    for sock in context.sockets:
        assert _read_reply(sock) == _REPLY
    benches.wait_until(
        lambda: _read_reply(_send_call(context)) == _REPLY, "another call is answered"
    )


def _read_reply(sock):
    if sock is None:
        return None
    try:
        return sock.recv(100)[4:]
    except OSError:
        return None
