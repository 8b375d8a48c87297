"""One attempt of a request at one upstream host, reported when it ends."""

import contextlib
import datetime

import msgspec

from peridothitch import errors
from peridothitch.gateway import quarantine
from peridothitch.ports import outcomes, upstream

__all__ = ["Attempt", "AttemptRunner"]

_JSON = "application/json"
_IDEMPOTENCY_KEY_HEADER = "idempotency-key"
_REQUEST_ID_HEADER = "x-request-id"
_REFUSED_STATUSES = frozenset({429, 503})
_MIN_FAILED_STATUS = 500
_PROBE_TIMEOUT = datetime.timedelta(seconds=1)
_RESUME_FIELD = "resume"
_USAGE_MEMBER = b'"usage"'


class _CompletionUsage(msgspec.Struct):
    completion_tokens: int = 0


class _Completion(msgspec.Struct):
    usage: _CompletionUsage | None = None


class Attempt:
    """An answer in progress; its outcome is reported once, when it ends.

    Parameters
    ----------
    report : callable
        Called at the end with the error, first byte, status and token count.
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
            raise self._end(error) from None
        self._token_count = _count_tokens(body)
        self._end(None)
        return body

    def events(self, progress):
        """Yield the numbered events that are new and end the attempt.

        Parameters
        ----------
        progress : peridothitch.policy.resumption.StreamProgress

        Raises
        ------
        peridothitch.errors.UpstreamError
            The stream ended before the answer was complete.
        """
        try:
            yield from self._read_new_events(progress)
        except errors.UpstreamError as error:
            raise self._end(error) from None
        finally:
            self._end(None)

    def _read_new_events(self, progress):
        former_token_count = progress.token_count
        for event in self._exchange.events():
            if self._first_byte is None:
                self._first_byte = self._clock.monotonic()
            numbered = progress.add_event(event)
            self._token_count = progress.token_count - former_token_count
            if numbered is not None:
                yield numbered
            if progress.done:
                return
        raise errors.UpstreamError(
            errors.Code.STREAM_INTERRUPTED, "the stream ended early", errors.Ran.UNKNOWN
        )

    def fail(self, error):
        """End the attempt with an error found by its reader; returns it."""
        return self._end(error)

    def _end(self, error):
        if self._report is None:
            return error
        report, self._report = self._report, None
        self._scope.close()
        if error is None and self.status >= _MIN_FAILED_STATUS:
            error = errors.UpstreamError(
                errors.Code.UPSTREAM_FAILED, f"status {self.status}", errors.Ran.YES
            )
        return report(error, self._first_byte, self.status, self._token_count)


class AttemptRunner:
    """Opens attempts and reports their outcomes.

    Parameters
    ----------
    view : peridothitch.gateway.upstreams.UpstreamView
    transport : peridothitch.ports.upstream.Transport
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    tracer : peridothitch.adapters.traces.Tracer
    guard : peridothitch.gateway.quarantine.CrashGuard
    leaving_upstreams : peridothitch.gateway.leaving_upstreams.LeavingUpstreams
    limits : peridothitch.gateway.limits.UpstreamLimits
    """

    def __init__(
        self,
        *,
        view,
        transport,
        clock,
        metrics,
        tracer,
        guard,
        leaving_upstreams,
        limits,
    ):
        self._view = view
        self._transport = transport
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        self._guard = guard
        self._leaving = leaving_upstreams
        self._limits = limits

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
            return self._report(
                job, host, started, error, first_byte, status, token_count
            )

        scope = contextlib.ExitStack()
        try:
            exchange = self._send(job, host, span, scope)
        except errors.UpstreamError as error:
            scope.close()
            raise report(error) from None
        except BaseException:
            scope.close()
            raise
        self._leaving.read_headers(host, exchange.header_by_name)
        attempt = Attempt(report, exchange, scope, self._clock)
        error = _head_error(job, host, exchange)
        if error is not None:
            if exchange.status in _REFUSED_STATUSES:
                self._limits.record_refusal(host.host_id)
            raise attempt.fail(error)
        self._limits.record_answer(
            job, host.host_id, self._clock.monotonic() - started, self._view.in_flight()
        )
        return attempt

    def _send(self, job, host, span, scope):
        scope.enter_context(self._view.track(host.host_id, job.request_id))
        scope.enter_context(self._guard.track(job.digest, host.host_id))
        attempt_span = scope.enter_context(
            self._tracer.span("attempt", parent=span, host=host.host_id)
        )
        exchange = self._transport.open(host, self._make_call(job, attempt_span))
        scope.callback(exchange.cancel)
        self._view.record_headers(job.request_id, host, exchange.header_by_name)
        return exchange

    def _make_call(self, job, attempt_span):
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
            _IDEMPOTENCY_KEY_HEADER: job.key,
            _REQUEST_ID_HEADER: job.request_id,
        }
        path = request.path + (f"?{request.query}" if request.query else "")
        return upstream.Call(
            method=request.method,
            path=path,
            header_by_name=header_by_name | self._tracer.headers(attempt_span),
            body=_body(job),
            streamed=job.streamed,
            first_byte_timeout=_first_byte_timeout(job, remaining),
            gap_timeout=min(route.gap_timeout, remaining),
        )

    def _report(self, job, host, started, error, first_byte, status, token_count):
        crashed = False
        if error is not None:
            error, crashed = self._find_cause(job, host, error)
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
        self._guard.report(job.digest, outcome, crashed)
        return error

    def _find_cause(self, job, host, error):
        silent = error.code is errors.Code.UPSTREAM_SILENT
        if not silent and not quarantine.is_crash_code(error.code):
            return error, False
        alive = self._transport.probe(host, _PROBE_TIMEOUT)
        if silent and alive:
            return errors.UpstreamError(
                errors.Code.CONNECTION_SILENT, error.detail, error.ran
            ), False
        if silent or alive or self._is_leaving(host):
            return error, False
        self._guard.publish_crash(job.digest, host.host_id)
        return error, True

    def _is_leaving(self, host):
        listed = self._leaving.mark(self._view.hosts(host.service))
        for found in listed:
            if found.host_id == host.host_id:
                return found.state is upstream.HostState.LEAVING
        return True


def _head_error(job, host, exchange):
    if exchange.status in _REFUSED_STATUSES:
        certain = job.service.refusal_means_not_run
        return errors.UpstreamError(
            errors.Code.UPSTREAM_REFUSED if certain else errors.Code.OUTCOME_UNKNOWN,
            f"{host.host_id} answered {exchange.status}",
            errors.Ran.NO if certain else errors.Ran.UNKNOWN,
        )
    answered_id = exchange.header_by_name.get(_REQUEST_ID_HEADER, job.request_id)
    if answered_id != job.request_id:
        return errors.UpstreamError(
            errors.Code.STREAM_INTERRUPTED,
            f"{host.host_id} answered another request",
            errors.Ran.UNKNOWN,
        )
    return None


def _count_tokens(body):
    if _USAGE_MEMBER not in body:
        return 0
    try:
        found = msgspec.json.decode(body, type=_Completion).usage
    except (msgspec.DecodeError, RecursionError):
        return 0
    return found.completion_tokens if found is not None else 0


def _body(job):
    if job.resume is None:
        return job.request.body
    resume = {"event_id": job.resume.event_id, "text": job.resume.text}
    return msgspec.json.encode({**job.chat, _RESUME_FIELD: resume})


def _first_byte_timeout(job, remaining):
    """Return the first-byte timeout; unstreamed chat answers start when complete."""
    if job.chat is not None and not job.streamed:
        return remaining
    return min(job.route.first_byte_timeout, remaining)
