"""TCP sockets: dead peer detection, liveness tests and resets."""

import contextlib
import select
import socket
import struct

__all__ = [
    "close",
    "connect",
    "has_input",
    "reset",
    "reset_on_close",
    "enable_dead_peer_detection",
    "send_message",
]

_NO_LINGER = struct.pack("ii", 1, 0)

_KEEPALIVE_IDLE_SECONDS = 1
"""Idle time before the kernel probes a connection; well below a contact's length."""

_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 3
_UNACKNOWLEDGED_TIMEOUT_MS = 2500
"""Allows several retransmissions on the slowest link, whose round trip takes 50 ms."""


_JOINED_BODY_BYTES = 1 << 16
"""Largest body that is sent together with its head; joining them copies it."""


def send_message(sock, head, body):
    """Send a head and a body."""
    if len(body) <= _JOINED_BODY_BYTES:
        sock.sendall(head + body)
        return
    sock.sendall(head)
    sock.sendall(body)


def enable_dead_peer_detection(sock):
    """Make the kernel close a connection whose peer stops responding."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS
    )


def connect(address, timeout):
    """Return a socket connected to ``IP:PORT``.

    Parameters
    ----------
    address : str
    timeout : datetime.timedelta

    Raises
    ------
    OSError
        Nothing was sent.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout.total_seconds())
    enable_dead_peer_detection(sock)
    return sock


def has_input(sock):
    """Return whether a socket has bytes to read, or has been closed by its peer."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def close(sock):
    """Close a socket immediately, even while another thread reads from it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def reset_on_close(sock):
    """Make closing the connection send a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def reset(sock):
    """Reset a connection, even while another thread reads from it."""
    with contextlib.suppress(OSError):
        reset_on_close(sock)
        sock.shutdown(socket.SHUT_RD)
    sock.close()
