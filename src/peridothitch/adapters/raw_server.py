"""HTTP server for callers whose requests are forwarded unchanged."""

import concurrent.futures
import contextlib
import http.client
import re
import threading

import logbook
import waitress.channel
import waitress.parser
import waitress.task

from peridothitch import errors, sockets
from peridothitch.adapters import caller_channel, request_parser, wsgi_server
from peridothitch.ports import forwarding, raw

__all__ = ["RawServer"]

_log = logbook.Logger(__name__)
_FIELD = re.compile(rb"([^:\s]+):[ \t]*(.*?)[ \t]*")
_DISABLED_TIMEOUT_SECONDS = 10**7
"""Prevents the library from closing idle connections by the wall clock."""


class _Parser(request_parser.RequestParser):
    """Preserves the header fields as they were sent and rejects ambiguous framing."""

    fields = ()
    received_at = None

    def __init__(self, adj, source=""):
        super().__init__(adj, source)
        self.arrived = adj.clock.monotonic()

    def received(self, data):
        """Take a part of the input; returns the number of bytes taken."""
        consumed = super().received(data)
        if self.completed:
            self.received_at = self.adj.clock.monotonic()
        return consumed

    def parse_header(self, header_plus):
        super().parse_header(header_plus)
        lines = header_plus.split(b"\r\n")[1:]
        self.fields = tuple(_to_field(line) for line in lines if line)
        self._check_framing()

    def _check_framing(self):
        values_by_name = {}
        for name, value in self.fields:
            values_by_name.setdefault(name.lower(), []).append(value)
        lengths = values_by_name.get("content-length", [])
        encodings = values_by_name.get("transfer-encoding", [])
        if len(lengths) > 1 or (lengths and encodings):
            raise waitress.parser.ParsingError("the length of the body is ambiguous")
        if encodings and (
            self.version != "1.1" or [e.lower() for e in encodings] != ["chunked"]
        ):
            raise waitress.parser.ParsingError("the transfer encoding is not usable")
        if self.version == "1.1" and len(values_by_name.get("host", [])) != 1:
            raise waitress.parser.ParsingError("there has to be one Host field")
        if not self.request_uri.startswith("/"):
            raise waitress.parser.ParsingError("the target has to be a path")
        self.has_body = bool(lengths or encodings)


def _to_field(line):
    match = _FIELD.fullmatch(line)
    if match is None:
        raise waitress.parser.ParsingError("a header field is malformed")
    name, value = match.groups()
    return name.decode("latin-1"), value.decode("latin-1")


class _Task(waitress.task.Task):
    """Passes one request to the application."""

    complete = True

    def execute(self):
        parsed = self.request
        request = raw.RawRequest(
            method=parsed.command,
            target=parsed.request_uri,
            fields=parsed.fields,
            body=parsed.get_body_stream().read(),
            has_body=parsed.has_body,
            arrived=parsed.arrived,
            received=parsed.received_at,
        )
        response_writer = _ResponseWriter(self, request)
        try:
            self.channel.server.handle_request(request, response_writer)
        finally:
            response_writer.on_disconnect(None)

    def finish(self):
        """Do nothing; the application completes its response itself."""


class _ResponseWriter(raw.ResponseWriter):
    def __init__(self, task, request):
        self._task = task
        self._channel = task.channel
        self._is_head_request = request.method == "HEAD"
        self._version = task.version
        self._chunked = False
        self._omits_body = False

    @property
    def has_begun(self):
        return self._task.wrote_header

    def on_disconnect(self, callback):
        self._channel.set_disconnect_callback(callback)

    def begin(self, status, reason, fields, length=None):
        lines = [f"HTTP/1.1 {status} {reason or http.client.responses.get(status, '')}"]
        lines += [f"{name}: {value}" for name, value in fields]
        self._omits_body = self._is_head_request or status in (204, 304)
        if length is not None and status != 204:
            lines.append(f"Content-Length: {length}")
        elif self._version == "1.1" and not self._omits_body:
            lines.append("Transfer-Encoding: chunked")
            self._chunked = True
        elif not self._omits_body:
            self._task.close_on_finish = True
        if self._must_close():
            lines.append("Connection: close")
            self._task.close_on_finish = True
        self._send("\r\n".join([*lines, "", ""]).encode("latin-1"))
        self._task.wrote_header = True

    def write(self, data):
        if self._omits_body or not data:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._send(data)

    def end(self):
        if self._chunked and not self._omits_body:
            self._send(b"0\r\n\r\n")

    def abort(self):
        self._task.close_on_finish = True
        if self.has_begun and not self._chunked:
            # Without a terminating chunk, only a reset distinguishes a truncated body
            # from a complete one.
            self._channel.reset()

    def _must_close(self):
        return (
            self._task.close_on_finish
            or self._version != "1.1"
            or self._task.request.connection_close
            or self._channel.server.is_draining
        )

    def _send(self, data):
        try:
            self._channel.write_soon(data)
        except (waitress.channel.ClientDisconnected, OSError) as error:
            raise errors.RequestError(
                errors.Code.CALLER_GONE, f"write: {error!r}", errors.Ran.UNKNOWN
            ) from None


class _Channel(caller_channel.CallerChannel):
    """Connection of one caller; reports when it is closed."""

    parser_class = _Parser
    task_class = _Task

    def __init__(self, server, sock, addr, adj, map=None):
        self._disconnect_lock = threading.Lock()
        self._disconnect_callback = None
        super().__init__(server, sock, addr, adj, map)
        self._last_active = adj.clock.monotonic()

    def set_disconnect_callback(self, callback):
        """Call `callback` when the connection is closed, immediately if it is."""
        with self._disconnect_lock:
            self._disconnect_callback = callback
            is_disconnected = not self.connected
        if callback is not None and is_disconnected:
            callback()

    def reset(self):
        """Make closing the connection send a TCP reset, unless it is closed."""
        sock = self.socket
        if sock is None:
            return
        with contextlib.suppress(OSError):
            sockets.reset_on_close(sock)

    def received(self, data):
        """Process input from the caller."""
        self._last_active = self.adj.clock.monotonic()
        return super().received(data)

    def readable(self):
        """Return whether to read input."""
        if self._is_idle_too_long() or (
            self.server.is_closing_idle and self._is_idle()
        ):
            self.will_close = True
        return super().readable()

    def handle_close(self):
        """Close the connection and call the disconnect callback."""
        super().handle_close()
        if self.connected:
            return
        with self._disconnect_lock:
            callback, self._disconnect_callback = self._disconnect_callback, None
        if callback is not None:
            callback()

    def service(self):
        """Serve the first request in the queue."""
        super().service()
        self._last_active = self.adj.clock.monotonic()

    def _is_idle(self):
        return not self.requests and self.request is None

    def _is_idle_too_long(self):
        if not self._is_idle():
            return False
        idle = self.adj.clock.monotonic() - self._last_active
        return idle > self.server.idle_timeout

    def _request_timeout_seconds(self):
        # The header timeout covers the head only; a body may take as long as a
        # connection may be idle between two requests.
        if self.request is not None and self.request.headers_finished:
            return self.server.idle_timeout.total_seconds()
        return self.server.header_timeout.total_seconds()


class _PoolDispatcher:
    """Runs requests in threads that are started on demand."""

    def __init__(self, threads):
        self._pool = concurrent.futures.ThreadPoolExecutor(
            threads, thread_name_prefix="caller"
        )
        self._lock = threading.Lock()
        self.active_count = 0
        self.queue = ()

    def add_task(self, task):
        with self._lock:
            self.active_count += 1
        self._pool.submit(self._serve, task)

    def _serve(self, task):
        try:
            task.service()
        except Exception:
            _log.exception("unexpected error while serving a request")
        finally:
            with self._lock:
                self.active_count -= 1

    def shutdown(self, cancel_pending=True, timeout=5):
        self._pool.shutdown(wait=False, cancel_futures=cancel_pending)


class RawServer(wsgi_server.WsgiServer):
    """Serves callers whose requests are forwarded unchanged.

    Parameters
    ----------
    handle_request : callable
        Called with a `peridothitch.ports.raw.RawRequest` and a
        `peridothitch.ports.raw.ResponseWriter` in a thread of its own.
    address : str
        IP address and port; port 0 selects a free one.
    clock : peridothitch.ports.clock.Clock
    threads : int
        Number of requests served concurrently.
    connections : int
        Number of concurrent connections.
    count_problem : callable
        Called with the coded error of each request that could not be read.
    held_bytes : peridothitch.policy.held_bytes.HeldBytes
        Account of the requests that the process holds.
    """

    def __init__(
        self,
        handle_request,
        address,
        clock,
        threads,
        connections,
        count_problem,
        held_bytes,
    ):
        super().__init__(
            handle_request,
            address,
            threads,
            count_problem=count_problem,
            channel_class=_Channel,
            dispatcher=_PoolDispatcher(threads),
            connection_limit=connections,
            held_bytes=held_bytes,
            clock=clock,
        )
        self._server.adj.clock = clock
        self._server.adj.channel_timeout = _DISABLED_TIMEOUT_SECONDS
        self._server.handle_request = handle_request
        self._server.is_draining = False
        self._server.is_closing_idle = False
        self.set_limits(forwarding.CallerLimits())

    def set_limits(self, limits):
        """Apply new `peridothitch.ports.forwarding.CallerLimits`."""
        self._server.adj.max_request_header_size = limits.header_bytes + 1
        self._server.adj.max_request_body_size = limits.body_bytes + 1
        self._room.set_body_limit(limits.body_bytes)
        self._server.header_timeout = limits.header_timeout
        self._server.idle_timeout = limits.idle_timeout

    def drain(self):
        """Close each connection after its response; callers then connect elsewhere."""
        self._server.is_draining = True

    def close_idle(self):
        """Stop accepting connections and close those without a request.

        Requests that have been read are still served.
        """
        self._server.is_closing_idle = True
        self._server.trigger.pull_trigger(self._stop_accepting)

    def _stop_accepting(self):
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()
