"""Loopback proxies whose connections can be delayed, cut, reset and silenced."""

import contextlib
import socket
import threading

from peridothitch import sockets

__all__ = ["FaultProxy"]

_CHUNK_BYTES = 1 << 14
_POLL_SECONDS = 0.02
_DELAY_SECONDS = 0.15


class FaultProxy:
    """A TCP proxy in front of one address.

    Parameters
    ----------
    target : str
        IP number and port.

    Attributes
    ----------
    fault : str
        One of ``delayed``, ``cut there``, ``cut back`` or empty. Bytes that a cut
        holds up arrive when it is over.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._lock = threading.Lock()
        self._pairs = []
        self._silenced = set()
        self._closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.fault = ""
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def apply(self, fault):
        """Begin a fault; an empty one ends the last."""
        if fault == "reset":
            self._reset_all()
            return
        if fault == "silent":
            # These connections carry nothing more, without an end; new ones work.
            with self._lock:
                self._silenced.update(map(id, self._pairs))
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
            pairs, self._pairs = self._pairs, []
            self._silenced.clear()
        for pair in pairs:
            for sock in pair:
                sockets.reset(sock)

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near):
        try:
            far = socket.create_connection(self._target, 5)
        except OSError:
            sockets.reset(near)
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = near, far
        with self._lock:
            self._pairs.append(pair)
        for ends, cut in (((near, far), "cut there"), ((far, near), "cut back")):
            threading.Thread(
                target=self._pump, args=(pair, *ends, cut), daemon=True
            ).start()

    def _pump(self, pair, source, sink, cut):
        try:
            while data := source.recv(_CHUNK_BYTES):
                self._hold(cut)
                if id(pair) in self._silenced:
                    continue
                sink.sendall(data)
            self._hold(cut)
            if id(pair) not in self._silenced:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._drop(pair)

    def _hold(self, cut):
        if self.fault == "delayed":
            self._closed.wait(_DELAY_SECONDS)
        while self.fault == cut and not self._closed.is_set():
            self._closed.wait(_POLL_SECONDS)

    def _drop(self, pair):
        with self._lock:
            if pair in self._pairs:
                self._pairs.remove(pair)
        for sock in pair:
            sockets.reset(sock)
