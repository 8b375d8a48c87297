"""One attempt of a request at one upstream host, reported when it ends."""

import contextlib
import datetime

from peridothitch import errors
from peridothitch.ports import outcomes, upstream

__all__ = ["Attempt", "AttemptRunner"]

_JSON = "application/json"
_KEY_HEADER = "idempotency-key"
_REQUEST_ID_HEADER = "x-request-id"
_REFUSED_STATUSES = frozenset({429, 503})
_FAILED_STATUS = 500
_TOKEN_MARK = b'"content"'


class Attempt:
    """An answer under way; its outcome is reported once, when it ends.

    Parameters
    ----------
    report : callable
        Takes the fields of the outcome that are known at the end.
    exchange : peridothitch.ports.upstream.Exchange
    scope : contextlib.ExitStack
        Closed when the attempt ends.
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, report, exchange, scope, clock):
        self._report = report
        self._exchange = exchange
        self._scope = scope
        self._clock = clock
        self._first_byte = None
        self._token_count = 0
        self.status = exchange.status
        self.header_by_name = exchange.header_by_name

    def read(self):
        """Return the whole body and end the attempt."""
        self._first_byte = self._clock.monotonic()
        try:
            body = self._exchange.read()
        except errors.UpstreamError as error:
            self._end(error)
            raise
        self._end(None)
        return body

    def events(self):
        """Yield the stream's events and end the attempt with the last one."""
        failure = None
        try:
            for event in self._exchange.events():
                if self._first_byte is None:
                    self._first_byte = self._clock.monotonic()
                self._token_count += _TOKEN_MARK in event
                yield event
        except errors.UpstreamError as error:
            failure = error
            raise
        finally:
            self._end(failure)

    def fail(self, error):
        """End the attempt with an error found by its reader."""
        self._end(error)

    def _end(self, error):
        if self._report is None:
            return
        report, self._report = self._report, None
        self._scope.close()
        if error is None and self.status >= _FAILED_STATUS:
            error = errors.UpstreamError(
                errors.Code.UPSTREAM_FAILED, f"status {self.status}", errors.Ran.YES
            )
        report(error, self._first_byte, self.status, self._token_count)


class AttemptRunner:
    """Opens attempts and reports what they came to.

    Parameters
    ----------
    view : peridothitch.gateway.upstreams.UpstreamView
    transport : peridothitch.ports.upstream.Transport
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    tracer : peridothitch.adapters.traces.Tracer
    observers : sequence of peridothitch.ports.outcomes.AttemptObserver
    """

    def __init__(self, *, view, transport, clock, metrics, tracer, observers):
        self._view = view
        self._transport = transport
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        self._observers = tuple(observers)

    def open(self, job, host, span):
        """Send a request to a host and wait for the head of the answer.

        Returns
        -------
        Attempt

        Raises
        ------
        peridothitch.errors.UpstreamError
            The attempt ended without an answer; it was reported.
        """
        started = self._clock.monotonic()

        def report(error, first_byte=None, status=0, token_count=0):
            self._report(job, host, started, error, first_byte, status, token_count)

        scope = contextlib.ExitStack()
        try:
            exchange = self._send(job, host, span, scope)
        except errors.UpstreamError as error:
            scope.close()
            report(error)
            raise
        except BaseException:
            scope.close()
            raise
        attempt = Attempt(report, exchange, scope, self._clock)
        if exchange.status in _REFUSED_STATUSES:
            error = errors.UpstreamError(
                errors.Code.UPSTREAM_REFUSED,
                f"{host.host_id} refused the request",
                errors.Ran.NO,
            )
            attempt.fail(error)
            raise error
        return attempt

    def _send(self, job, host, span, scope):
        scope.enter_context(self._view.track(host.host_id))
        hop = scope.enter_context(
            self._tracer.span("attempt", parent=span, host=host.host_id)
        )
        exchange = self._transport.open(host, self._call(job, hop))
        scope.callback(exchange.cancel)
        return exchange

    def _call(self, job, hop):
        request = job.request
        remaining = job.deadline - self._clock.monotonic()
        if remaining <= datetime.timedelta(0):
            raise errors.UpstreamError(
                errors.Code.DEADLINE_EXCEEDED, "the deadline passed", errors.Ran.NO
            )
        route = job.route
        header_by_name = {
            "content-type": request.header_by_name.get("content-type", _JSON),
            "accept": request.header_by_name.get("accept", "*/*"),
            _KEY_HEADER: job.key,
            _REQUEST_ID_HEADER: job.request_id,
        }
        path = request.path + (f"?{request.query}" if request.query else "")
        return upstream.Call(
            method=request.method,
            path=path,
            header_by_name=header_by_name | self._tracer.headers(hop),
            body=request.body,
            streamed=job.streamed,
            first_byte_timeout=min(route.first_byte_timeout, remaining),
            gap_timeout=min(route.gap_timeout, remaining),
        )

    def _report(self, job, host, started, error, first_byte, status, token_count):
        if error is not None:
            self._metrics.count("attempt_failures", code=int(error.code))
        outcome = outcomes.AttemptOutcome(
            request_id=job.request_id,
            service=host.service,
            version=host.version,
            route=job.match.name,
            customer=job.customer,
            host_id=host.host_id,
            data_centre=host.data_centre,
            ended=self._clock.now(),
            first_byte=None if first_byte is None else first_byte - started,
            duration=self._clock.monotonic() - started,
            status=status,
            code=None if error is None else error.code,
            ran=errors.Ran.YES if error is None else error.ran,
            token_count=token_count,
            host_leaving=self._is_leaving(host),
        )
        for observer in self._observers:
            self._notify(observer, outcome)

    def _is_leaving(self, host):
        listed = {found.host_id: found for found in self._view.hosts(host.service)}
        found = listed.get(host.host_id)
        return found is None or found.state is upstream.HostState.LEAVING

    def _notify(self, observer, outcome):
        try:
            observer.observe(outcome)
        except Exception as error:
            self._metrics.count("observer_failures", kind=type(error).__name__)
