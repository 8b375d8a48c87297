"""Server whose responses have no end until its client closes the connection."""

import socket
import threading
import time

_TIMEOUT_SECONDS = 20
_MAX_REQUEST_BYTES = 1 << 16


class EndlessServer:
    """Reads one request a connection, then sends a beginning and repeats a part.

    Parameters
    ----------
    beginning, repeated : bytes
        ``{id}`` in the beginning stands for the request's attempt id.
    pause : float
        Seconds between two repetitions.

    Attributes
    ----------
    sent_bytes : int
        Size of the largest response so far.
    response_count, open_connections : int
    """

    def __init__(self, beginning, repeated, pause=0.0):
        self._beginning = beginning
        self._repeated = repeated
        self._pause = pause
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._lock = threading.Lock()
        self.sent_bytes = 0
        self.response_count = 0
        self.open_connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """IP number and port."""
        return "127.0.0.1:{}".format(self._listener.getsockname()[1])

    def close(self):
        """Accept no further connections."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.settimeout(_TIMEOUT_SECONDS)
        with self._lock:
            self.open_connections += 1
        try:
            request = self._read_request(sock)
            if request:
                self._send_without_end(sock, request)
        except OSError:
            pass
        finally:
            sock.close()
            with self._lock:
                self.open_connections -= 1

    def _read_request(self, sock):
        request = b""
        while b"\r\n\r\n" not in request and len(request) < _MAX_REQUEST_BYTES:
            data = sock.recv(_MAX_REQUEST_BYTES)
            if not data:
                return b""
            request += data
        return request

    def _send_without_end(self, sock, request):
        request_id = b""
        for line in request.split(b"\r\n"):
            name, _, value = line.partition(b": ")
            if name.lower() == b"peridothitch-attempt-id":
                request_id = value
        sent = 0
        part = self._beginning.replace(b"{id}", request_id)
        with self._lock:
            self.response_count += 1
        while True:
            sock.sendall(part)
            sent += len(part)
            with self._lock:
                self.sent_bytes = max(self.sent_bytes, sent)
            part = self._repeated
            if self._pause:
                time.sleep(self._pause)
