"""Runs a WSGI application with waitress in a thread of its own."""

import contextlib
import dataclasses
import datetime
import socket
import threading

import waitress.server

from peridothitch import errors
from peridothitch.adapters import caller_channel, system_clock
from peridothitch.policy import request_room

__all__ = ["ServerLimits", "WsgiServer"]

_BACKLOG_CONNECTIONS = 1024
_CONNECTIONS_PER_THREAD = 4
_SPARE_CONNECTIONS = 8
_CHANNEL_TIMEOUT_SECONDS = 120
_CLEANUP_INTERVAL_SECONDS = 10
_JOIN_TIMEOUT_SECONDS = 2
_KEEPALIVE_IDLE_SECONDS = 15
_UNACKNOWLEDGED_TIMEOUT_MS = 30_000
_OUTPUT_HIGH_WATERMARK_BYTES = 64 << 10
_SOCKET_OPTIONS = [
    (socket.SOL_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.SOL_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
    (socket.SOL_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS),
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Limits on the requests and the connection of one caller.

    Attributes
    ----------
    body_bytes : int
        Largest body.
    header_bytes : int
        Largest request head.
    request_memory_bytes : int
        Memory for the requests of all callers together.
    request_timeout : datetime.timedelta
        Maximum time until a request has been received completely.
    write_timeout : datetime.timedelta
        Maximum time without progress of a caller that has output to read.
    """

    body_bytes: int = 8 << 20
    header_bytes: int = 64 << 10
    request_memory_bytes: int = 40 << 20
    request_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    write_timeout: datetime.timedelta = datetime.timedelta(seconds=30)


def _ignore(error):
    pass


class WsgiServer:
    """A waitress server that runs in a thread of its own.

    Parameters
    ----------
    application : callable
        The WSGI application.
    address : str
        IP address and port; port 0 selects a free one.
    threads : int
        Number of requests served concurrently.
    limits : ServerLimits
    count_problem : callable
        Called with the coded error of each request that could not be read.
    channel_class : type
        Class of the callers' connections.
    dispatcher : object or None
        Runs the requests; by default the library's, which starts all its threads at
        the beginning.
    connection_limit : int or None
        Number of concurrent connections; four per thread by default.
    held_bytes : peridothitch.policy.held_bytes.HeldBytes or None
        Account of requests that other servers share; by default one of its own.
    clock : peridothitch.ports.clock.Clock or None
        The system's by default.
    """

    def __init__(
        self,
        application,
        address,
        threads=256,
        limits=None,
        count_problem=_ignore,
        *,
        channel_class=caller_channel.CallerChannel,
        dispatcher=None,
        connection_limit=None,
        held_bytes=None,
        clock=None,
    ):
        host, _, port = address.rpartition(":")
        limits = limits or ServerLimits()
        connection_limit = connection_limit or _CONNECTIONS_PER_THREAD * threads
        self._closing = False
        try:
            self._server = waitress.server.create_server(
                application,
                _dispatcher=dispatcher,
                host=host.strip("[]"),
                port=int(port),
                threads=threads,
                connection_limit=connection_limit,
                backlog=_BACKLOG_CONNECTIONS,
                channel_timeout=_CHANNEL_TIMEOUT_SECONDS,
                cleanup_interval=_CLEANUP_INTERVAL_SECONDS,
                channel_request_lookahead=1,
                max_request_body_size=limits.body_bytes + 1,
                max_request_header_size=limits.header_bytes,
                outbuf_high_watermark=_OUTPUT_HIGH_WATERMARK_BYTES,
                asyncore_use_poll=True,
                ident=None,
                clear_untrusted_proxy_headers=True,
            )
        except OSError as error:
            raise errors.CodedError(
                errors.Code.ADDRESS_IN_USE, f"{address}: {error}"
            ) from None
        server = self._server
        server.adj.socket_options = _SOCKET_OPTIONS
        server.channel_class = channel_class
        server.request_timeout_seconds = limits.request_timeout.total_seconds()
        server.write_timeout_seconds = limits.write_timeout.total_seconds()
        server.count_problem = count_problem
        server.crowded_connection_count = connection_limit - _SPARE_CONNECTIONS
        if held_bytes is None:
            held_bytes = request_room.make_held_bytes(limits.request_memory_bytes)
        self._room = request_room.RequestRoom(
            held_bytes, clock or system_clock.SystemClock()
        )
        self._room.set_body_limit(limits.body_bytes)
        server.adj.request_room = self._room
        self._thread = threading.Thread(
            target=self._run, name=f"front-{self.port}", daemon=True
        )

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.effective_port

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._server.active_channels)

    @property
    def request_bytes(self):
        """Bytes of all requests in the account, those of other servers included."""
        return self._room.held.total

    @property
    def pending_request_count(self):
        """Number of requests that are being served or are waiting for a thread."""
        dispatcher = self._server.task_dispatcher
        return dispatcher.active_count + len(dispatcher.queue)

    def start(self):
        """Start serving in a background thread."""
        self._thread.start()

    def _run(self):
        try:
            self._server.run()
        except OSError:
            if not self._closing:
                raise

    def close(self):
        """Close the listening socket and all connections."""
        self._closing = True
        self._server.task_dispatcher.shutdown(cancel_pending=True, timeout=1)
        # The event loop's own thread closes the sockets; closed by another thread, they
        # would leave the loop blocked in poll until its timeout.
        # A loop that woke up by itself may already have closed the trigger when it is
        # written to.
        with contextlib.suppress(OSError):
            self._server.trigger.pull_trigger(self._close_sockets)
        self._thread.join(_JOIN_TIMEOUT_SECONDS)

    def _close_sockets(self):
        for dispatcher in list(self._server._map.values()):
            if dispatcher is not self._server:
                dispatcher.close()
        self._server.close()
