"""TCP proxy on the loopback interface that injects faults into its connections."""

import contextlib
import socket
import threading

from peridothitch import sockets

__all__ = ["FaultProxy"]

_CHUNK_BYTES = 1 << 14
_POLL_SECONDS = 0.02
_DELAY_PER_CHUNK_SECONDS = 0.15


class FaultProxy:
    """A TCP proxy in front of one address.

    Parameters
    ----------
    target : str
        IP number and port.

    Attributes
    ----------
    fault : str
        One of ``delayed``, ``cut there``, ``cut back`` or empty. Bytes that are
        blocked by a cut are delivered when it ends.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._lock = threading.Lock()
        self._socket_pairs = []
        self._silenced_ids = set()
        self._closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.fault = ""
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def apply(self, fault):
        """Start a fault; an empty string ends the current one."""
        if fault == "reset":
            self._reset_all()
            return
        if fault == "silent":
            # Open connections stay open and drop all data; new ones work normally.
            with self._lock:
                self._silenced_ids.update(map(id, self._socket_pairs))
            return
        self.fault = fault

    def close(self):
        """Close the listener and all connections."""
        self._closed.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._reset_all()

    def _reset_all(self):
        with self._lock:
            pairs, self._socket_pairs = self._socket_pairs, []
            self._silenced_ids.clear()
        for pair in pairs:
            for sock in pair:
                sockets.reset(sock)

    def _accept(self):
        while True:
            try:
                client_socket, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(client_socket,), daemon=True
            ).start()

    def _connect(self, client_socket):
        try:
            server_socket = socket.create_connection(self._target, 5)
        except OSError:
            sockets.reset(client_socket)
            return
        server_socket.settimeout(None)
        for sock in (client_socket, server_socket):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = client_socket, server_socket
        with self._lock:
            self._socket_pairs.append(pair)
        for direction, cut in (
            ((client_socket, server_socket), "cut there"),
            ((server_socket, client_socket), "cut back"),
        ):
            threading.Thread(
                target=self._forward, args=(pair, *direction, cut), daemon=True
            ).start()

    def _forward(self, pair, source, sink, cut):
        try:
            while data := source.recv(_CHUNK_BYTES):
                self._delay_or_block(cut)
                if id(pair) in self._silenced_ids:
                    continue
                sink.sendall(data)
            self._delay_or_block(cut)
            if id(pair) not in self._silenced_ids:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._reset_pair(pair)

    def _delay_or_block(self, cut):
        if self.fault == "delayed":
            self._closed.wait(_DELAY_PER_CHUNK_SECONDS)
        while self.fault == cut and not self._closed.is_set():
            self._closed.wait(_POLL_SECONDS)

    def _reset_pair(self, pair):
        with self._lock:
            if pair in self._socket_pairs:
                self._socket_pairs.remove(pair)
        for sock in pair:
            sockets.reset(sock)
