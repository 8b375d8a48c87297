"""Answers framed thrift calls with a bounded number of threads.

Idle connections cost a file descriptor, not a thread: one thread waits on all of them
and hands each one that has a frame to a pool. Gossip is answered in a pool of its own,
so that slow calls never look like a dead host.
"""

import concurrent.futures
import contextlib
import logging
import queue
import selectors
import socket
import ssl
import struct
import threading
import time

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from peridothitch import errors

__all__ = ["MAX_FRAME_BYTES", "ThriftServer"]

MAX_FRAME_BYTES = 4 << 20
_HEADER = struct.Struct("!I")
_READ_TIMEOUT_SECONDS = 2.0
_IDLE_TIMEOUT_SECONDS = 120.0
_SWEEP_SECONDS = 5.0
_BACKLOG = 512
_MAX_CONNECTIONS = 2048
_GOSSIP_THREADS = 4
_CALL_THREADS = 16
_MAX_WAITING_CALLS = 256
_GOSSIP_METHOD = "gossip"
_PROTOCOL = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()

# The library reports each refused connection; here those are counted instead.
logging.getLogger("thrift").setLevel(logging.CRITICAL)


class _Connection:
    """An accepted connection; blocking, with a bound on each read."""

    def __init__(self, raw, context):
        self.raw = raw
        self.context = context
        self.last_used = time.monotonic()

    def fileno(self):
        return self.raw.fileno()

    def secure(self):
        if self.context is None or isinstance(self.raw, ssl.SSLSocket):
            return
        self.raw = self.context.wrap_socket(self.raw, server_side=True)

    def read_frame(self):
        (size,) = _HEADER.unpack(self._read_exactly(_HEADER.size))
        if size > MAX_FRAME_BYTES:
            raise OSError(f"frame of {size} bytes")
        return self._read_exactly(size)

    def _read_exactly(self, size):
        parts = bytearray()
        while len(parts) < size:
            part = self.raw.recv(min(size - len(parts), 1 << 16))
            if not part:
                raise OSError("closed")
            parts += part
        return bytes(parts)

    def write_frame(self, frame):
        self.raw.sendall(_HEADER.pack(len(frame)) + frame)

    def has_buffered(self):
        return isinstance(self.raw, ssl.SSLSocket) and self.raw.pending() > 0

    def close(self):
        with contextlib.suppress(OSError):
            self.raw.close()


class ThriftServer:
    """Serves one thrift processor.

    Parameters
    ----------
    processor : thrift.Thrift.TProcessor
    listen : str
        IP number and port; port 0 takes a free one.
    context : ssl.SSLContext or None
    """

    def __init__(self, processor, listen, context=None):
        self._processor = processor
        self._context = context
        host, _, port = listen.rpartition(":")
        try:
            self._listener = socket.create_server((host, int(port)), backlog=_BACKLOG)
        except OSError as error:
            raise errors.CodedError(
                errors.Code.ADDRESS_IN_USE, f"{listen}: {error}"
            ) from None
        self._listener.setblocking(False)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._returned = queue.SimpleQueue()
        self._stop = threading.Event()
        self._gossip_pool = concurrent.futures.ThreadPoolExecutor(
            _GOSSIP_THREADS, thread_name_prefix="peer-gossip"
        )
        self._call_pool = concurrent.futures.ThreadPoolExecutor(
            _CALL_THREADS, thread_name_prefix="peer-call"
        )
        self._loop_pool = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix="peer-loop"
        )

    def start(self):
        """Serve in background threads."""
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._loop_pool.submit(self._run)

    def close(self):
        """Stop serving and close all connections."""
        self._stop.set()
        self._wake()
        self._loop_pool.shutdown()
        self._gossip_pool.shutdown()
        self._call_pool.shutdown(cancel_futures=True)
        self._take_returned()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()
        self._listener.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _run(self):
        swept = time.monotonic()
        while not self._stop.is_set():
            for key, _ in self._selector.select(_SWEEP_SECONDS):
                self._handle_ready(key.fileobj)
            self._take_returned()
            if time.monotonic() - swept > _SWEEP_SECONDS:
                swept = time.monotonic()
                self._close_idle(swept - _IDLE_TIMEOUT_SECONDS)

    def _handle_ready(self, ready):
        if ready is self._listener:
            self._accept()
        elif ready is self._wake_reader:
            with contextlib.suppress(OSError):
                self._wake_reader.recv(4096)
        else:
            self._selector.unregister(ready)
            self._gossip_pool.submit(self._serve, ready)

    def _accept(self):
        try:
            raw, _ = self._listener.accept()
        except OSError:
            return
        if len(self._selector.get_map()) >= _MAX_CONNECTIONS:
            raw.close()
            return
        raw.settimeout(_READ_TIMEOUT_SECONDS)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._selector.register(_Connection(raw, self._context), selectors.EVENT_READ)

    def _close_idle(self, oldest):
        for key in list(self._selector.get_map().values()):
            connection = key.fileobj
            if isinstance(connection, _Connection) and connection.last_used < oldest:
                self._selector.unregister(connection)
                connection.close()

    def _take_returned(self):
        while True:
            try:
                connection = self._returned.get_nowait()
            except queue.Empty:
                return
            if connection.fileno() >= 0:
                self._selector.register(connection, selectors.EVENT_READ)

    def _wake(self):
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"\0")

    def _serve(self, connection):
        try:
            connection.secure()
            frame = connection.read_frame()
            if _method(frame) == _GOSSIP_METHOD:
                self._answer(connection, frame)
            elif self._call_pool._work_queue.qsize() < _MAX_WAITING_CALLS:
                self._call_pool.submit(self._answer, connection, frame)
            else:
                connection.close()
        except (OSError, EOFError, Thrift.TException, RuntimeError):
            connection.close()

    def _answer(self, connection, frame):
        reply = TTransport.TMemoryBuffer()
        try:
            self._processor.process(
                _PROTOCOL.getProtocol(TTransport.TMemoryBuffer(frame)),
                _PROTOCOL.getProtocol(reply),
            )
            connection.write_frame(reply.getvalue())
            if connection.has_buffered():
                self._serve(connection)
                return
        except (OSError, EOFError, Thrift.TException):
            connection.close()
            return
        connection.last_used = time.monotonic()
        self._returned.put(connection)
        self._wake()


def _method(frame):
    protocol = _PROTOCOL.getProtocol(TTransport.TMemoryBuffer(frame))
    name, _, _ = protocol.readMessageBegin()
    return name
