"""Callers' connections: timeouts, and errors as problem details."""

import functools
import socket
import time

import waitress.channel
import waitress.task
import waitress.utilities

from peridothitch import errors
from peridothitch.adapters import problems, request_parser

__all__ = ["CallerChannel"]

_LINGER_SECONDS = 2.0
_LINGER_BYTES_PER_READ = 1 << 16
_MAX_LINGER_BYTES = 8 << 20
_MAX_HEAD_SECONDS = 2.0
"""Time for a request's head while connections are short."""


class _RequestTimeout(waitress.utilities.BadRequest):
    code = 408
    reason = "Request Timeout"


_CODE_BY_ERROR = {
    waitress.utilities.RequestEntityTooLarge: errors.Code.BODY_TOO_LARGE,
    waitress.utilities.RequestHeaderFieldsTooLarge: errors.Code.HEADER_TOO_LARGE,
    waitress.utilities.ServerNotImplemented: errors.Code.ENCODING_UNSUPPORTED,
    waitress.utilities.InternalServerError: errors.Code.INTERNAL,
    _RequestTimeout: errors.Code.REQUEST_TIMEOUT,
    request_parser.MemoryShortageError: errors.Code.OVERLOADED,
}


def _to_request_error(error):
    code = _CODE_BY_ERROR.get(type(error), errors.Code.MALFORMED_REQUEST)
    if code is errors.Code.INTERNAL:
        return errors.RequestError(code, "the answer failed", errors.Ran.UNKNOWN)
    return errors.RequestError(code, str(error.body))


class _ProblemTask(waitress.task.ErrorTask):
    """Responds to a request that could not be read."""

    def execute(self):
        coded = _to_request_error(self.request.error)
        self.channel.server.count_problem(coded)
        reply = problems.to_reply(coded)
        body = b"".join(reply.chunks)
        self.status = problems.status_line(reply.status)
        self.response_headers.extend(reply.header_by_name.items())
        self.set_close_on_finish()
        self.content_length = len(body)
        # Closing with unread input would reset the connection and lose the response.
        self.channel.linger()
        self.write(body)


class CallerChannel(waitress.channel.HTTPChannel):
    """Connection of one caller that is closed when it makes no progress.

    The server that creates it has the attributes `request_timeout_seconds`, the maximum
    time until a request is received completely, `write_timeout_seconds`, the maximum
    time without progress of a caller that has output to read, `count_problem`, and
    `crowded_connection_count`, from which on connections without a request are closed.
    """

    error_task_class = _ProblemTask
    parser_class = request_parser.RequestParser

    _should_linger = False
    _linger_end = None
    _discarded_bytes = 0
    _has_received = False

    def __init__(self, server, sock, addr, adj, map=None):
        self._request_start = time.monotonic()
        super().__init__(server, sock, addr, adj, map)
        self.parser_class = functools.partial(self.parser_class, source=addr[0])

    def linger(self):
        """Read and discard input for a limited time before the connection is closed."""
        self._should_linger = True

    def received(self, data):
        """Process input from the caller."""
        if self.request is None:
            self._request_start = time.monotonic()
        self._has_received = True
        return super().received(data)

    def readable(self):
        """Return whether to read input; called at least once a second."""
        if self._linger_end is not None:
            return self._continue_lingering()
        self._check_refusal()
        self._check_request_timeout()
        self._check_write_timeout()
        if self._must_yield():
            self.server.count_problem(
                errors.RequestError(
                    errors.Code.OVERLOADED,
                    f"connections are short, one of {self.addr[0]} had no request",
                )
            )
            super().handle_close()
            return False
        return super().readable()

    def writable(self):
        """Return whether to write output or to close the connection."""
        return self._linger_end is None and super().writable()

    def handle_read(self):
        """Read input; discard it while lingering."""
        if self._linger_end is None:
            super().handle_read()
            return
        try:
            self._discarded_bytes += len(self.recv(_LINGER_BYTES_PER_READ))
        except OSError:
            self._discarded_bytes = _MAX_LINGER_BYTES
        if self._discarded_bytes >= _MAX_LINGER_BYTES:
            super().handle_close()

    def del_channel(self, map=None):
        """Forget the connection, which is closed, and free its incomplete request."""
        super().del_channel(map)
        # A failed write may close the connection while the requests are locked.
        if self.request is not None:
            self.request.close()

    def handle_close(self):
        """Close the connection, or start to linger."""
        if self._linger_end is not None or not self._begin_linger():
            super().handle_close()

    def _begin_linger(self):
        if not self._should_linger or not self.connected:
            return False
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        self._linger_end = time.monotonic() + _LINGER_SECONDS
        return True

    def _continue_lingering(self):
        if time.monotonic() < self._linger_end and not self._is_crowded():
            return True
        super().handle_close()
        return False

    def _request_timeout_seconds(self):
        """Return the maximum time for receiving the current request."""
        return self.server.request_timeout_seconds

    def _check_request_timeout(self):
        limit = self._request_timeout_seconds()
        if self.request is None or time.monotonic() - self._request_start < limit:
            return
        self.request.error = _RequestTimeout(f"the request took longer than {limit} s")
        self.request.close()
        self._answer_error()

    def _check_refusal(self):
        if self.request is not None and self.request.error:
            self._answer_error()

    def _answer_error(self):
        """Answer the current request, which is incomplete, with its error."""
        with self.requests_lock:
            failed, self.request = self.request, None
            failed.completed = True
            self.requests.append(failed)
            if len(self.requests) == 1:
                self.server.add_task(self)

    def _is_crowded(self):
        server = self.server
        return len(server.active_channels) >= server.crowded_connection_count

    def _must_yield(self):
        """Return whether to close the connection in favour of others.

        Callers may keep a connection that has served a request.
        """
        if not self._is_crowded() or self.requests or self.total_outbufs_len:
            return False
        if self.request is None:
            is_unused = not self._has_received
        elif self.request.headers_finished:
            return self.request.is_stalled
        else:
            is_unused = True
        age_seconds = time.monotonic() - self._request_start
        return is_unused and age_seconds > _MAX_HEAD_SECONDS

    def _check_write_timeout(self):
        idle = time.time() - self.last_activity
        if self.total_outbufs_len and idle > self.server.write_timeout_seconds:
            super().handle_close()
