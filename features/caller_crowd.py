"""Clients that send too much at once, and what the process they send to holds."""

import contextlib
import itertools
import os
import pathlib
import socket
import stat
import threading
import time

MEGABYTE = 1 << 20
BODY_LIMIT = MEGABYTE
_SEND_TIMEOUT_SECONDS = 10
_JOIN_TIMEOUT_SECONDS = 60
_SAMPLE_INTERVAL_SECONDS = 0.02
_PIECE_BYTES = 4096
_SENT_BYTES = 8 << 20
_SHORT_BYTES_BY_CHUNK_SIZE = {64 << 10: 1_000_000, 64: 950_000}
"""Content below the limit together with its framing."""

_PIPELINED_BYTES = 100_000
_SETTLED_SECONDS = 1.0
_SETTLE_TIMEOUT_SECONDS = 60
_MIXED = (
    "chunks of 64 KB and stop before the end",
    "chunks of 64 bytes and stop before the end",
    "a body with a length and stop one byte short",
    "a body piece by piece and stop one byte short",
    "complete bodies for an upstream that doesn't answer",
    "a body announced with 400 MB",
    "chunks without end",
)


def in_chunks(size, chunk_size, is_complete=False):
    """Yield the parts of a chunked body, several chunks at a time."""
    chunk = b"%x\r\n%b\r\n" % (chunk_size, b"x" * chunk_size)
    together = max(1, (64 << 10) // len(chunk))
    count, rest = divmod(size, chunk_size)
    for _ in range(count // together):
        yield chunk * together
    yield chunk * (count % together)
    if is_complete and rest:
        yield b"%x\r\n%b\r\n" % (rest, b"x" * rest)
    if is_complete:
        yield b"0\r\n\r\n"


def _pieces(size, piece_size):
    for _ in range(size // piece_size):
        yield b"x" * piece_size
    yield b"x" * (size % piece_size)


def _in_length(length, parts):
    return f"Content-Length: {length}", parts


def _chunked(parts):
    return "Transfer-Encoding: chunked", parts


def _chunked_short(chunk_size):
    return _chunked(in_chunks(_SHORT_BYTES_BY_CHUNK_SIZE[chunk_size], chunk_size))


def make_body(kind):
    """Return the field that frames a body, and an iterator of its parts."""
    short = BODY_LIMIT - 1
    complete = (MEGABYTE * 9 // 10, 64 << 10)
    makers = {
        _MIXED[0]: lambda: _chunked_short(64 << 10),
        _MIXED[1]: lambda: _chunked_short(64),
        "chunks of one byte and stop before the end": lambda: _chunked(
            in_chunks(40_000, 1)
        ),
        _MIXED[2]: lambda: _in_length(BODY_LIMIT, iter([b"x" * short])),
        _MIXED[3]: lambda: _in_length(BODY_LIMIT, _pieces(short, _PIECE_BYTES)),
        _MIXED[4]: lambda: _in_length(complete[0], _pieces(*complete)),
        "complete chunked bodies for an upstream that doesn't answer": lambda: _chunked(
            in_chunks(*complete, is_complete=True)
        ),
        _MIXED[5]: lambda: _in_length(400_000_000, _pieces(_SENT_BYTES, 64 << 10)),
        "pipelined bodies for an upstream that doesn't answer": lambda: _in_length(
            _PIPELINED_BYTES, iter([b"x" * _PIPELINED_BYTES])
        ),
        "a byte of a body each": lambda: _in_length(2, iter([b"x"])),
        _MIXED[6]: lambda: _chunked(in_chunks(_SENT_BYTES, 64 << 10)),
    }
    return makers[kind]()


NO_REQUEST_BY_KIND = {
    "heads that don't end": b"POST /charge/1 HTTP/1.1\r\nX-Filler: 1\r\n",
    "nothing": b"",
}
"""Bytes of clients that never complete the head of a request."""


def kinds_of(bodies, count):
    """Return the kind of each of `count` clients."""
    kinds = _MIXED if bodies == "all of these" else (bodies,)
    return list(itertools.islice(itertools.cycle(kinds), count))


class Crowd:
    """Clients that connect, send at once and stay connected.

    Parameters
    ----------
    port : int
    make_head : callable
        Called with the number of a client and the field that frames its body; returns
        the head in bytes.
    kinds : sequence of str
        Kind of each client's body.
    """

    def __init__(self, port, make_head, kinds):
        self._port = port
        self._make_head = make_head
        self._barrier = threading.Barrier(len(kinds))
        self._sockets = [
            socket.create_connection(("127.0.0.1", port), _SEND_TIMEOUT_SECONDS)
            for _ in kinds
        ]
        self._threads = [
            threading.Thread(target=self._send, args=(*client, number), daemon=True)
            for number, client in enumerate(zip(self._sockets, kinds, strict=True))
        ]

    def send(self):
        """Send all that the clients send; returns once the process has read it."""
        for thread in self._threads:
            thread.start()
        for thread in self._threads:
            thread.join(_JOIN_TIMEOUT_SECONDS)
            assert not thread.is_alive(), "the process neither reads nor closes"
        self._wait_until_read()

    def _wait_until_read(self):
        """Wait until the process has nothing to read, or reads no more."""
        unread, since = None, time.monotonic()
        end = since + _SETTLE_TIMEOUT_SECONDS
        while time.monotonic() < min(since + _SETTLED_SECONDS, end):
            now_unread = _count_unread(self._port)
            if now_unread != unread:
                unread, since = now_unread, time.monotonic()
            time.sleep(0.05)

    def close(self):
        """Close all connections."""
        for sock in self._sockets:
            sock.close()

    def _send(self, sock, kind, number):
        if kind in NO_REQUEST_BY_KIND:
            sock.sendall(NO_REQUEST_BY_KIND[kind])
            return
        field, parts = make_body(kind)
        self._barrier.wait()
        head = self._make_head(number, field)
        with contextlib.suppress(OSError):
            sock.sendall(head)
            for part in parts:
                sock.sendall(part)
            if kind.startswith("pipelined"):
                sock.sendall(head + b"x" * _PIPELINED_BYTES)


def _count_unread(port):
    """Return the bytes in the receive queues of connections to a local port."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port:
            total += int(fields[4].rpartition(":")[2], 16)
    return total


class HeldSampler:
    """Watches what a process holds.

    Attributes
    ----------
    megabytes : float
        Most resident memory so far, with the most bytes in files.
    descriptor_count : int
        Most descriptors seen.
    """

    def __init__(self, pid):
        self._folder = pathlib.Path("/proc", str(pid))
        self._stop = threading.Event()
        self._file_bytes = 0
        self.descriptor_count = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def megabytes(self):
        text = (self._folder / "status").read_text()
        (line,) = [line for line in text.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1]) / 1024 + self._file_bytes / MEGABYTE

    def close(self):
        """Sample once more, then stop; no effect the second time."""
        if self._stop.is_set():
            return
        self._stop.set()
        self._thread.join()
        self._sample()

    def _run(self):
        while not self._stop.wait(_SAMPLE_INTERVAL_SECONDS):
            self._sample()

    def _sample(self):
        names = os.listdir(self._folder / "fd")
        self.descriptor_count = max(self.descriptor_count, len(names))
        total = 0
        for name in names:
            with contextlib.suppress(OSError):
                found = os.stat(self._folder / "fd" / name)
                if stat.S_ISREG(found.st_mode):
                    total += found.st_blocks * 512
        self._file_bytes = max(self._file_bytes, total)
