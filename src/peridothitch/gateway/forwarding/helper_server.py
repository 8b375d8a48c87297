"""Passes calls of other entry hosts on to upstreams.

An entry host that has lost its own path to an upstream sends its calls through one that
has a path. The sender remains responsible for the request: it decides whether and where
it is sent, counts it and repeats it. The helper sends a call at most once, over its own
connection, and never through a third entry host.
"""

import dataclasses
import threading

import logbook

from peridothitch import errors
from peridothitch.adapters import problems, raw_server
from peridothitch.gateway.forwarding import indirect_calls
from peridothitch.ports import raw

__all__ = ["HelperServer"]

_MAX_CALLS = 128
"""Calls in progress; the senders of further ones ask another entry host."""

_SPARE_THREADS = 8
_MAX_CONNECTIONS = 512
_ORDER_BYTES = 4096
"""Added to the head of a caller's request by the entry host that sends it on."""

_LENGTH_FIELD = "content-length"
_log = logbook.Logger("forwarding")


class HelperServer:
    """Server for calls of other entry hosts to upstreams.

    Parameters
    ----------
    header_codec : peridothitch.ports.forwarding.HeaderCodec
    address : str
        IP address and port; port 0 selects a free one. Empty to serve no other host.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    held_bytes : peridothitch.policy.held_bytes.HeldBytes
        Account of the requests that the process holds.

    Attributes
    ----------
    address : str
        IP address and port that other entry hosts connect to.
    """

    def __init__(self, header_codec, address, clock, metrics, held_bytes):
        self._upstreams = None
        self._paths = None
        self._is_draining = False
        self._header_codec = header_codec
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._active = 0
        self._server = None
        self.address = ""
        if address:
            self._server = self._make_server(address, held_bytes)
            ip_address = address.rpartition(":")[0]
            self.address = f"{ip_address}:{self._server.port}"

    def _make_server(self, address, held_bytes):
        return raw_server.RawServer(
            self._handle,
            address,
            self._clock,
            _MAX_CALLS + _SPARE_THREADS,
            _MAX_CONNECTIONS,
            self._count_unreadable,
            held_bytes,
        )

    @property
    def active(self):
        """Number of calls in progress."""
        return self._active

    def start(self, upstreams, paths):
        """Start serving in the background.

        Parameters
        ----------
        upstreams : peridothitch.gateway.forwarding.upstream_pool.UpstreamPool
        paths : peridothitch.gateway.forwarding.upstream_paths.UpstreamPaths
        """
        self._upstreams = upstreams
        self._paths = paths
        if self._server is not None:
            self._server.start()

    def drain(self):
        """Send no further calls; those in progress continue."""
        self._is_draining = True
        if self._server is not None:
            self._server.drain()

    def close(self):
        """Stop serving and close all connections."""
        if self._server is not None:
            self._server.close()

    def set_limits(self, limits):
        """Take calls as large as `peridothitch.ports.forwarding.CallerLimits` allow."""
        if self._server is None:
            return
        header_bytes = limits.header_bytes + _ORDER_BYTES
        self._server.set_limits(dataclasses.replace(limits, header_bytes=header_bytes))

    def _count_unreadable(self, error):
        self._metrics.count("helper_calls", outcome="malformed")
        _log.info("unreadable call", code=int(error.code), reason=error.detail[:200])

    def _handle(self, request, response_writer):
        with self._lock:
            self._active += 1
            is_full = self._active > _MAX_CALLS
        try:
            self._answer(request, response_writer, is_full)
        finally:
            with self._lock:
                self._active -= 1

    def _answer(self, request, response_writer, is_full):
        try:
            order, fields = indirect_calls.Order.split(request.fields)
            if is_full:
                raise errors.RequestError(errors.Code.OVERLOADED, "too many calls")
            if self._is_draining:
                raise errors.RequestError(errors.Code.DRAINING, "this host ends")
            host = self._find_host(order)
            if order.purpose is indirect_calls.Purpose.CHECK:
                self._check(host, response_writer)
                return
            self._check_path(host)
            call = self._to_call(request, order, fields)
            answer = self._paths.open_directly(
                host, call, response_writer.on_disconnect
            )
        except errors.CodedError as error:
            self._refuse(response_writer, error)
            return
        try:
            self._forward(host, answer, response_writer)
        finally:
            answer.close()

    def _find_host(self, order):
        host = self._upstreams.find_usable(order.host_id, order.incarnation)
        if host is not None:
            return host
        detail = f"{order.host_id}/{order.incarnation} takes no requests from this host"
        if order.purpose is indirect_calls.Purpose.CHECK:
            # That it wasn't tried is not the same as that it was not reached.
            raise errors.PeerError(detail, sent=False)
        raise errors.UpstreamError(errors.Code.NO_UPSTREAM, detail, errors.Ran.NO)

    def _check_path(self, host):
        if self._paths.avoids_direct_path(host):
            raise errors.UpstreamError(
                errors.Code.NO_UPSTREAM,
                f"this host has no path to {host.host_id} itself",
                errors.Ran.NO,
            )

    def _check(self, host, response_writer):
        if self._paths.has_lost_path(host):
            raise errors.PeerError(f"no path to {host.host_id}", sent=False)
        if not self._paths.probe(host):
            raise errors.UpstreamError(
                errors.Code.UPSTREAM_REFUSED,
                f"{host.host_id} can't be reached",
                errors.Ran.NO,
            )
        self._metrics.count("helper_calls", outcome="checked")
        fields = indirect_calls.add_outcome(indirect_calls.Outcome.REACHED, ())
        response_writer.begin(204, "", fields, None)
        response_writer.end()

    def _to_call(self, request, order, fields):
        return raw.RawCall(
            request_id=self._header_codec.read_request(fields).request_id,
            method=request.method,
            target=request.target,
            fields=tuple(
                field for field in fields if field[0].lower() != _LENGTH_FIELD
            ),
            body=request.body,
            has_body=request.has_body,
            deadline=self._clock.monotonic() + order.wait,
        )

    def _refuse(self, response_writer, error):
        ran = getattr(error, "ran", errors.Ran.NO)
        outcome = indirect_calls.Outcome.FAILED
        if ran is errors.Ran.NO and error.code is not errors.Code.PEER_FAILED:
            outcome = indirect_calls.Outcome.NOT_SENT
        self._metrics.count("helper_calls", outcome=outcome.value)
        reply = problems.to_reply(error)
        body = b"".join(reply.chunks)
        content_type = ("Content-Type", reply.header_by_name["content-type"])
        fields = indirect_calls.add_outcome(outcome, (content_type,))
        try:
            response_writer.begin(reply.status, "", fields, len(body))
            response_writer.write(body)
            response_writer.end()
        except errors.RequestError:
            response_writer.abort()

    def _forward(self, host, answer, response_writer):
        self._upstreams.record_notice(host, answer.status, answer.metadata)
        fields = indirect_calls.add_outcome(
            indirect_calls.Outcome.ANSWERED, self._header_codec.to_caller(answer.fields)
        )
        try:
            response_writer.begin(answer.status, answer.reason, fields, answer.length)
            while data := answer.read_some():
                response_writer.write(data)
            response_writer.end()
        except errors.CodedError as error:
            # The sender sees an incomplete answer and decides what follows.
            self._metrics.count("helper_calls", outcome="broken off")
            _log.info(
                "call broken off", host_id=host.host_id, reason=error.detail[:200]
            )
            response_writer.abort()
            return
        self._metrics.count("helper_calls", outcome="answered")
