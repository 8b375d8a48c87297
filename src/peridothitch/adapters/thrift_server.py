"""Serves framed thrift calls with a bounded number of threads.

An idle connection occupies a file descriptor, not a thread: one thread polls all of
them and passes each one that has a frame to a thread pool. Gossip has a pool of its
own, so that slow calls never make the host look dead.
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
from peridothitch.policy import held_bytes

__all__ = ["MAX_FRAME_BYTES", "ThriftServer"]

MAX_FRAME_BYTES = 4 << 20
_HEADER = struct.Struct("!I")
_READ_TIMEOUT_SECONDS = 2.0
_IDLE_TIMEOUT_SECONDS = 120.0
_IDLE_CHECK_INTERVAL_SECONDS = 5.0
_BACKLOG_CONNECTIONS = 512
_MAX_CONNECTIONS = 2048
_GOSSIP_THREADS = 4
_CALL_THREADS = 16
_MAX_QUEUED_CALLS = 256
_FRAME_MEMORY_BYTES = 16 << 20
"""Frames that are received or wait for a thread together; peers send 32 KB usually."""

_FRAMES = "frames"
_GOSSIP_METHOD = "gossip"
_PROTOCOL = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()

# The library logs each refused connection; here those are counted instead.
logging.getLogger("thrift").setLevel(logging.CRITICAL)


class _Connection:
    """An accepted connection; blocking, with a timeout for each read."""

    def __init__(self, sock, context):
        self.sock = sock
        self.context = context
        self.last_used = time.monotonic()

    def fileno(self):
        return self.sock.fileno()

    def start_tls(self):
        if self.context is None or isinstance(self.sock, ssl.SSLSocket):
            return
        self.sock = self.context.wrap_socket(self.sock, server_side=True)

    def read_size(self):
        (size,) = _HEADER.unpack(self.read_exactly(_HEADER.size))
        if size > MAX_FRAME_BYTES:
            raise OSError(f"frame of {size} bytes is too large")
        return size

    def read_exactly(self, size):
        received = bytearray()
        while len(received) < size:
            chunk = self.sock.recv(min(size - len(received), 1 << 16))
            if not chunk:
                raise OSError("connection closed by the peer")
            received += chunk
        return bytes(received)

    def write_frame(self, frame):
        self.sock.sendall(_HEADER.pack(len(frame)) + frame)

    def has_buffered(self):
        return isinstance(self.sock, ssl.SSLSocket) and self.sock.pending() > 0

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.close()


class ThriftServer:
    """Serves one thrift processor.

    Parameters
    ----------
    processor : thrift.Thrift.TProcessor
    listen : str
        IP address and port; port 0 selects a free one.
    context : ssl.SSLContext or None
    """

    def __init__(self, processor, listen, context=None):
        self._processor = processor
        self._context = context
        host, _, port = listen.rpartition(":")
        try:
            self._listener = socket.create_server(
                (host, int(port)), backlog=_BACKLOG_CONNECTIONS
            )
        except OSError as error:
            raise errors.CodedError(
                errors.Code.ADDRESS_IN_USE, f"{listen}: {error}"
            ) from None
        self._listener.setblocking(False)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._released_connections = queue.SimpleQueue()
        self._stop = threading.Event()
        self._frames = held_bytes.HeldBytes(_FRAME_MEMORY_BYTES, group_share=1.0)
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
        """Start serving in background threads."""
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
        self._register_released()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()
        self._listener.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _run(self):
        last_idle_check = time.monotonic()
        while not self._stop.is_set():
            for key, _ in self._selector.select(_IDLE_CHECK_INTERVAL_SECONDS):
                self._handle_ready(key.fileobj)
            self._register_released()
            if time.monotonic() - last_idle_check > _IDLE_CHECK_INTERVAL_SECONDS:
                last_idle_check = time.monotonic()
                self._close_idle(last_idle_check - _IDLE_TIMEOUT_SECONDS)

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
            sock, _ = self._listener.accept()
        except OSError:
            return
        if len(self._selector.get_map()) >= _MAX_CONNECTIONS:
            sock.close()
            return
        sock.settimeout(_READ_TIMEOUT_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._selector.register(_Connection(sock, self._context), selectors.EVENT_READ)

    def _close_idle(self, oldest):
        for key in list(self._selector.get_map().values()):
            connection = key.fileobj
            if isinstance(connection, _Connection) and connection.last_used < oldest:
                self._selector.unregister(connection)
                connection.close()

    def _register_released(self):
        while True:
            try:
                connection = self._released_connections.get_nowait()
            except queue.Empty:
                return
            if connection.fileno() >= 0:
                self._selector.register(connection, selectors.EVENT_READ)

    def _wake(self):
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"\0")

    def _serve(self, connection):
        try:
            connection.start_tls()
            size = connection.read_size()
        except OSError:
            connection.close()
            return
        if not self._frames.add(_FRAMES, size):
            connection.close()
            return
        is_queued = False
        try:
            frame = connection.read_exactly(size)
            if _read_method(frame) == _GOSSIP_METHOD:
                self._process(connection, frame)
            elif self._call_pool._work_queue.qsize() < _MAX_QUEUED_CALLS:
                self._call_pool.submit(self._process_queued, connection, frame)
                is_queued = True
            else:
                connection.close()
        except (OSError, EOFError, Thrift.TException, RuntimeError):
            connection.close()
        finally:
            if not is_queued:
                self._frames.remove(_FRAMES, size)

    def _process_queued(self, connection, frame):
        try:
            self._process(connection, frame)
        finally:
            self._frames.remove(_FRAMES, len(frame))

    def _process(self, connection, frame):
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
        self._released_connections.put(connection)
        self._wake()


def _read_method(frame):
    protocol = _PROTOCOL.getProtocol(TTransport.TMemoryBuffer(frame))
    name, _, _ = protocol.readMessageBegin()
    return name
