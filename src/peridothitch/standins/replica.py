"""Stand-in for the platform's replicas, with faults; one thread per connection.

It writes HTTP itself, since most of its faults are answers that no library sends.
"""

import collections
import contextlib
import dataclasses
import http.client
import io
import socket
import threading
import time

from peridothitch import sockets
from peridothitch.standins import replica_heads, replica_load

__all__ = ["ReceivedRequest", "Replica"]

_TIMEOUT_SECONDS = 10.0
_SIGNATURE = "Peridothitch-Response-Signature: 3e1b.07"


@dataclasses.dataclass(frozen=True)
class ReceivedRequest:
    """One request that arrived.

    Attributes
    ----------
    method, target : str
    fields : tuple of (str, str)
    body : bytes
    connection : int
        Number of the connection that it arrived on.
    received_at : float
        Monotonic seconds of its arrival.
    """

    method: str
    target: str
    fields: tuple
    body: bytes
    connection: int
    received_at: float = 0.0

    def value(self, name):
        """Return the value of a header, empty without it."""
        for found, value in self.fields:
            if found.lower() == name.lower():
                return value
        return ""


class Replica(replica_heads.CutHeads, replica_heads.Notices, replica_load.Load):
    """One replica.

    Parameters
    ----------
    replica_id : str
    event_count : int
        Events of a stream.
    event_gap_seconds : float

    Attributes
    ----------
    received : list of ReceivedRequest
    executed_request_ids : list of str
        Ids of the requests that were run.
    faulty_request_ids : set of str
        Ids of the requests that were handled with a fault.
    cancelled_request_ids : list of str
        Ids of the streams whose connection was closed by the other end.
    deadly_parts : frozenset of str
        Ids of prompt parts on which the replica crashes when it begins an answer.
    """

    def __init__(self, replica_id, event_count=5, event_gap_seconds=0.01):
        super().__init__()
        self.replica_id = replica_id
        self.event_count = event_count
        self.event_gap_seconds = event_gap_seconds
        self.received = []
        self.executed_request_ids = []
        self.faulty_request_ids = set()
        self.cancelled_request_ids = []
        self.deadly_parts = frozenset()
        self._behaviours = collections.deque()
        self._default_behaviour = "answer"
        self._connection_count = 0
        self._open_sockets = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]

    def queue_behaviours(self, *behaviours, default=None):
        """Queue the behaviours for the next requests, one for each request.

        A behaviour is the name of a method that begins with ``do_``, without ``do_``.
        `default`, if given, applies from now on when the queue is empty.
        """
        self._behaviours.extend(behaviours)
        if default is not None:
            self._default_behaviour = default

    def reset_behaviours(self):
        """Drop the queued behaviours and answer without faults from now on."""
        with self._lock:
            self._behaviours.clear()
            self._default_behaviour = "answer"

    @property
    def is_listening(self):
        """Whether new connections are accepted."""
        return self._listener.fileno() >= 0

    def start(self):
        """Accept connections in the background."""
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def close(self):
        """Close the listener and all connections at once, as a crash does."""
        # Without shutdown, a thread that waits in accept keeps the socket open.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            open_sockets, self._open_sockets = self._open_sockets, set()
        for sock in open_sockets:
            sockets.reset(sock)

    def _accept_connections(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._connection_count += 1
                number = self._connection_count
                self._open_sockets.add(sock)
            threading.Thread(
                target=self._serve, args=(sock, number), daemon=True
            ).start()

    def _serve(self, sock, number):
        sock.settimeout(_TIMEOUT_SECONDS)
        reader = sock.makefile("rb")
        try:
            while True:
                self._wait_while_paused()
                request = _read_request(reader, number)
                if request is None:
                    return
                self._wait_while_paused()
                self.received.append(request)
                with self._lock:
                    behaviours = self._behaviours
                    name = (
                        behaviours.popleft() if behaviours else self._default_behaviour
                    )
                if name != "answer":
                    request_id = request.value("Peridothitch-Attempt-Id")
                    self.faulty_request_ids.add(request_id)
                if not getattr(self, f"do_{name}")(sock, request):
                    return
        except OSError:
            return
        finally:
            sock.close()

    def _head(self, request, status, *lines):
        reason = http.client.responses[status]
        return "\r\n".join(
            [
                f"HTTP/1.1 {status} {reason}",
                f"Peridothitch-Attempt-Id: {request.value('Peridothitch-Attempt-Id')}",
                f"Peridothitch-Replica-Load: 1,0,8{self.pace and ','}{self.pace}",
                *self._notice_lines(),
                *lines,
                "",
                "",
            ]
        ).encode()

    def _body(self, request):
        return b"%s of %s\n" % (self.replica_id.encode(), request.target.encode())

    def do_answer(self, sock, request):
        """Run the request and answer it."""
        expected = request.value("Peridothitch-Expected-Replica")
        if expected not in ("", self.replica_id):
            return self.do_misdirect(sock, request)
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        if self.deadly_parts & _prompt_parts(request):
            self.close()
            return False
        if request.value("Peridothitch-Token-Usage"):
            return self._stream(sock, request, self.event_count)
        body = self._body(request)
        length = f"Content-Length: {len(body)}"
        sock.sendall(self._head(request, 200, _SIGNATURE, length) + body)
        return True

    def _stream(self, sock, request, count):
        begin = int(request.value("Last-Event-Id") or 0)
        sock.sendall(
            self._head(
                request,
                200,
                _SIGNATURE,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        )
        for number in range(begin + 1, count + 1):
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            self._wait_while_paused()
            try:
                sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
                time.sleep(self.event_gap_seconds)
                if _is_closed(sock):
                    raise OSError
            except OSError:
                self.cancelled_request_ids.append(
                    request.value("Peridothitch-Attempt-Id")
                )
                return False
        if count == self.event_count:
            sock.sendall(b"0\r\n\r\n")
            return True
        return False

    def do_break_stream(self, sock, request):
        """Break off a stream in the middle of its third event."""
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        self._stream(sock, request, 2)
        sock.sendall(b"20\r\nid: 3\ndata: tok")
        sockets.reset(sock)
        return False

    def do_unframed_stream(self, sock, request):
        """Send a stream that ends with its connection."""
        begin = int(request.value("Last-Event-Id") or 0)
        self._send_unframed(sock, request, begin, self.event_count)
        return False

    def do_end_inside_event(self, sock, request):
        """End an unframed stream with its connection, inside its third event."""
        self._send_unframed(sock, request, 0, 2)
        sock.sendall(b"id: 3\ndata: tok")
        return False

    def do_reset_unframed(self, sock, request):
        """Reset the connection of an unframed stream between two events."""
        self._send_unframed(sock, request, 0, 2)
        time.sleep(self.event_gap_seconds)
        sockets.reset(sock)
        return False

    def do_end_chunks_inside_event(self, sock, request):
        """Complete the chunks of a stream inside its third event."""
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        self._stream(sock, request, 2)
        sock.sendall(b"f\r\nid: 3\ndata: tok\r\n0\r\n\r\n")
        return False

    def do_reset_unframed_body(self, sock, request):
        """Reset the connection of a body that would end with it."""
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        sock.sendall(self._head(request, 200, _SIGNATURE) + b"only a part")
        time.sleep(self.event_gap_seconds)
        sockets.reset(sock)
        return False

    def _send_unframed(self, sock, request, begin, end):
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        content_type = "Content-Type: text/event-stream"
        sock.sendall(self._head(request, 200, _SIGNATURE, content_type))
        for number in range(begin + 1, end + 1):
            sock.sendall(b"id: %d\ndata: token %d\n\n" % (number, number))

    def do_refuse(self, sock, request):
        """Refuse the request without running it."""
        lines = ("Peridothitch-Not-Executed: 1", "Content-Length: 0")
        sock.sendall(self._head(request, 503, *lines))
        return True

    def do_misdirect(self, sock, request):
        """Answer as another replica that has taken over the address."""
        lines = ("Peridothitch-Replica-Id: i-other", "Content-Length: 0")
        sock.sendall(self._head(request, 421, *lines))
        return True

    def do_fail(self, sock, request):
        """Run the request and answer that it failed."""
        return self._answer_status(sock, request, 500)

    def do_busy(self, sock, request):
        """Run the request and answer 503 without saying that it did not run."""
        return self._answer_status(sock, request, 503)

    def _answer_status(self, sock, request, status):
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        lines = (_SIGNATURE, "Content-Length: 6")
        sock.sendall(self._head(request, status, *lines) + b"failed")
        return True

    def do_unsigned(self, sock, request):
        """Answer with a success that is not signed."""
        sock.sendall(self._head(request, 200, "Content-Length: 2") + b"ok")
        return True

    def do_reset(self, sock, request):
        """Run the request and reset the connection without an answer."""
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        sockets.reset(sock)
        return False

    def do_cut(self, sock, request):
        """Close the connection in the middle of the body."""
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        head = self._head(request, 200, _SIGNATURE, "Content-Length: 100")
        sock.sendall(head + b"only a part")
        return False

    def do_unframed(self, sock, request):
        """Answer with a body that ends with the connection."""
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        head = self._head(request, 200, _SIGNATURE, "Connection: close")
        sock.sendall(head + self._body(request))
        return False

    def do_surplus(self, sock, request):
        """Answer, and send bytes beyond the answer's end."""
        self.do_answer(sock, request)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")
        return True

    def do_extra_before(self, sock, request):
        """Send another request's answer before this one's."""
        foreign = (
            b"HTTP/1.1 200 OK\r\nPeridothitch-Attempt-Id: somebody-else\r\n"
            b"Peridothitch-Response-Signature: 0\r\nContent-Length: 7\r\n\r\nforeign"
        )
        sock.sendall(foreign)
        return self.do_answer(sock, request)

    def do_garbage(self, sock, request):
        """Answer with bytes that are not an HTTP response."""
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        sock.sendall(b"\x00\x17 no answer at all\r\n\r\n")
        return False

    def do_silent(self, sock, request):
        """Never answer; record when the other end closes the connection."""
        self.executed_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        try:
            sock.recv(1)
        except OSError:
            pass
        self.cancelled_request_ids.append(request.value("Peridothitch-Attempt-Id"))
        return False


def _prompt_parts(request):
    entries = request.value("Peridothitch-Prompt-Prefix").split(",")
    return {entry.rpartition(":")[0] for entry in entries}


def _is_closed(sock):
    sock.settimeout(0.0)
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    finally:
        sock.settimeout(_TIMEOUT_SECONDS)


def _read_request(reader, number):
    line = reader.readline()
    if not line.strip() or not line.endswith(b"\n"):
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    raw_fields = bytearray()
    while (field := reader.readline()) != b"\r\n":
        if not field.endswith(b"\n"):
            return None
        raw_fields += field
    pairs = [
        entry.partition(":")
        for entry in io.StringIO(raw_fields.decode("latin-1")).read().splitlines()
    ]
    fields = tuple((name, value.strip()) for name, _, value in pairs)
    length = next((int(v) for n, v in fields if n.lower() == "content-length"), 0)
    body = reader.read(length)
    if len(body) < length:
        return None
    return ReceivedRequest(method, target, fields, body, number, time.monotonic())
