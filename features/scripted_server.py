"""Server that answers each request with the given bytes."""

import contextlib
import re
import socket
import struct
import threading
import time

_TIMEOUT_SECONDS = 20
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)\r\n", re.IGNORECASE)
_REQUEST_ID = re.compile(rb"\r\nperidothitch-attempt-id: ([^\r]*)\r\n", re.IGNORECASE)


class ScriptedServer:
    """Reads whole requests and sends one answer to each.

    Attributes
    ----------
    answer : bytes
        ``{id}`` in it stands for the request's attempt id.
    closes : bool
        Whether a connection is closed after its first answer.
    seconds_to_reset : float or None
        If given, the answer follows the request's head at once, and the connection is
        reset so much later, with the request's body unread.
    request_count, open_connections : int
    """

    def __init__(self, answer=b"", closes=False):
        self.answer = answer
        self.closes = closes
        self.seconds_to_reset = None
        self.request_count = 0
        self.open_connections = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """IP number and port."""
        return "127.0.0.1:{}".format(self._listener.getsockname()[1])

    def close(self):
        """Accept no further connections."""
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        self._count_connection(1)
        try:
            self._answer_requests(sock)
        finally:
            self._count_connection(-1)

    def _count_connection(self, change):
        with self._lock:
            self.open_connections += change

    def _answer_requests(self, sock):
        sock.settimeout(_TIMEOUT_SECONDS)
        with contextlib.closing(sock), contextlib.suppress(OSError):
            while head := _read_request(sock, self.seconds_to_reset is None):
                self.request_count += 1
                found = _REQUEST_ID.search(head)
                sock.sendall(self.answer.replace(b"{id}", found[1] if found else b""))
                if self.seconds_to_reset is not None:
                    time.sleep(self.seconds_to_reset)
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
                    return
                if self.closes:
                    return


def _read_request(sock, with_body):
    """Return the head of the next request, empty at the connection's end."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(1 << 16)
        if not data:
            return b""
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    head += b"\r\n"
    found = _LENGTH.search(head)
    left = int(found[1]) - len(body) if found and with_body else 0
    while left > 0:
        left -= len(sock.recv(left)) or left
    return head
