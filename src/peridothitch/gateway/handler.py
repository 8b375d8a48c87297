"""Handles one request from its caller to an upstream and back."""

import contextlib
import dataclasses
import threading

from peridothitch import errors
from peridothitch.adapters import problems
from peridothitch.gateway import idempotency, stream_failover
from peridothitch.policy import document as documents
from peridothitch.policy import resumption
from peridothitch.ports import messages

__all__ = ["ActiveRequests", "RequestHandler"]

_JSON = "application/json"
_EVENT_STREAM = "text/event-stream"
_REQUESTS_PATH = "/v1/requests/"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHandler:
    """Checks, claims, dispatches and answers requests.

    Attributes
    ----------
    parser : peridothitch.gateway.request_parsing.RequestParser
    admission : peridothitch.gateway.admission.Admission
    dispatcher : peridothitch.gateway.dispatch.Dispatcher
    guard : peridothitch.gateway.quarantine.CrashGuard
    lookups : peridothitch.gateway.hedging.HedgedLookups
    once : peridothitch.gateway.idempotency.AtMostOnceRequests
    durable : peridothitch.gateway.durable.DurableRequests
    adopter : peridothitch.gateway.request_adoption.RequestAdopter
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    tracer : peridothitch.adapters.traces.Tracer
    active_requests : ActiveRequests
    """

    parser: object
    admission: object
    dispatcher: object
    guard: object
    lookups: object
    once: object
    durable: object
    adopter: object
    clock: object
    metrics: object
    tracer: object
    active_requests: object

    def is_ready(self):
        """Return whether new requests are accepted."""
        return self.active_requests.ready and self.parser.is_ready()

    def handle(self, request):
        """Answer one request.

        Parameters
        ----------
        request : peridothitch.ports.messages.Request

        Returns
        -------
        peridothitch.ports.messages.Reply
            Its chunks must be exhausted or closed.
        """
        scope = contextlib.ExitStack()
        try:
            scope.enter_context(self.active_requests.count())
            span = scope.enter_context(
                self.tracer.span("request", header_by_name=request.header_by_name)
            )
            reply = self._answer(request, span, scope)
        except errors.CodedError as error:
            scope.close()
            self.metrics.count("requests", code=int(error.code))
            return problems.to_reply(error)
        except BaseException:
            scope.close()
            raise
        chunks = self._yield_chunks(reply.chunks, scope)
        # Closing a generator that never started would not close the scope.
        next(chunks)
        return dataclasses.replace(reply, chunks=chunks)

    def _yield_chunks(self, chunks, scope):
        with scope:
            yield b""
            yield from chunks
        self.metrics.count("requests", code=0)

    def _answer(self, request, span, scope):
        if request.method == "GET" and request.path.startswith(_REQUESTS_PATH):
            return self._answer_by_id(request, span, scope)
        job = self.parser.parse(request)
        span.set_attribute("request.id", job.request_id)
        span.set_attribute("route", job.match.name)
        self.guard.check(job.digest)
        usage = scope.enter_context(self.admission.admit(job))
        if job.route.effect is documents.Effect.ONCE:
            return self.once.answer(job, span)
        if job.route.effect is documents.Effect.DURABLE:
            return self.durable.answer(job, span, scope, usage)
        if job.streamed:
            return self._stream(job, span, usage)
        if self.lookups.may_hedge(job):
            return self.lookups.answer(job, span)
        return idempotency.read_answer(self.dispatcher.search(job, span), job)

    def _answer_by_id(self, request, span, scope):
        customer = self.parser.find_customer(request)
        request_id = request.path.removeprefix(_REQUESTS_PATH)
        return self.adopter.answer_by_id(customer, request_id, request, span, scope)

    def _stream(self, job, span, usage):
        search = self.dispatcher.search(job, span)
        attempt = search.open()
        content_type = attempt.header_by_name.get("content-type", _JSON)
        header_by_name = job.headers() | {"content-type": content_type}
        if content_type.startswith(_EVENT_STREAM):
            events = stream_failover.FailoverStream(
                search=search,
                progress=resumption.StreamProgress(),
                usage=usage,
                max_tokens=job.max_tokens,
                clock=self.clock,
                metrics=self.metrics,
            ).events(attempt)
            chunks = self._forward_events(job, events)
        else:
            chunks = (_read_body(attempt),)
        return messages.Reply(
            status=attempt.status, header_by_name=header_by_name, chunks=chunks
        )

    def _forward_events(self, job, events):
        with contextlib.closing(events):
            try:
                for event in events:
                    yield event
                    if job.request.caller_gone():
                        self.metrics.count("callers_gone")
                        return
            except errors.RequestError as error:
                yield problems.to_event(error)


class ActiveRequests:
    """Counts the requests in progress; refuses new ones while draining.

    Parameters
    ----------
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    ready : bool
        Whether the balancer should send requests here.
    draining : bool
        Whether new requests are refused.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._changed = threading.Condition()
        self._count = 0
        self.ready = True
        self.draining = False

    def drain(self):
        """Refuse new requests from now on."""
        self.ready = False
        self.draining = True

    def wait_idle(self, timeout):
        """Wait until no request is in progress; returns False on a timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._count, timeout.total_seconds()
            )

    @contextlib.contextmanager
    def count(self):
        """Count a request in progress while the context is open."""
        if self.draining:
            raise errors.RequestError(errors.Code.DRAINING, "use another entry host")
        self._add(1)
        try:
            yield
        finally:
            self._add(-1)

    def _add(self, amount):
        with self._changed:
            self._count += amount
            self._metrics.set("active_requests", self._count)
            self._changed.notify_all()


def _read_body(attempt):
    try:
        return attempt.read()
    except errors.UpstreamError as error:
        raise errors.RequestError(error.code, error.detail, error.ran) from None
