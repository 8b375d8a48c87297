"""Takes one request from its caller to an upstream and back."""

import contextlib
import dataclasses
import datetime
import secrets
import threading

import msgspec

from peridothitch import errors
from peridothitch.adapters import problems
from peridothitch.coordination import claims
from peridothitch.gateway import attempts, customers, dispatch, jobs
from peridothitch.policy import document as documents
from peridothitch.policy import routes
from peridothitch.ports import messages

__all__ = ["RequestHandler"]

_KEY_HEADER = "idempotency-key"
_DEADLINE_HEADER = "x-request-timeout-ms"
_REQUEST_ID_HEADER = "x-request-id"
_JSON = "application/json"
_EVENT_STREAM = "text/event-stream"
_REQUEST_ID_BYTES = 16


class _Indexes:
    """Indexes of one document."""

    def __init__(self, document):
        self.document = document
        self.routes = routes.RouteTable(document.route_by_name)
        self.customers = customers.CustomerIndex(document.customer_by_name)


class RequestHandler:
    """Checks, claims, dispatches and answers requests.

    Parameters
    ----------
    feed : peridothitch.coordination.documents.DocumentFeed
    view : peridothitch.gateway.upstreams.UpstreamView
    transport : peridothitch.ports.upstream.Transport
    claim_book : peridothitch.coordination.claims.ClaimBook
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    tracer : peridothitch.adapters.traces.Tracer
    admission : peridothitch.gateway.admission.Admission
    version_picker : peridothitch.gateway.versions.VersionPicker
    observers : sequence of peridothitch.ports.outcomes.AttemptObserver
    data_centre : str
        Where this entry host is.
    """

    def __init__(
        self,
        *,
        feed,
        view,
        transport,
        claim_book,
        clock,
        metrics,
        tracer,
        admission,
        version_picker,
        observers,
        data_centre,
    ):
        self._feed = feed
        self._claims = claim_book
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        self._admission = admission
        runner = attempts.AttemptRunner(
            view=view,
            transport=transport,
            clock=clock,
            metrics=metrics,
            tracer=tracer,
            observers=observers,
        )
        self._dispatcher = dispatch.Dispatcher(
            runner=runner,
            view=view,
            version_picker=version_picker,
            data_centre=data_centre,
        )
        self._indexes = None
        self._draining = threading.Event()
        self._active_changed = threading.Condition()
        self._active_count = 0

    def drain(self, timeout):
        """Refuse new requests and wait for those in progress.

        Returns
        -------
        bool
            Whether all requests ended within `timeout`.
        """
        self._draining.set()
        with self._active_changed:
            return self._active_changed.wait_for(
                lambda: not self._active_count, timeout.total_seconds()
            )

    def is_ready(self):
        """Return whether new requests are taken."""
        return not self._draining.is_set() and self._feed.current() is not None

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
            scope.enter_context(self._count_active())
            span = scope.enter_context(
                self._tracer.span("request", header_by_name=request.header_by_name)
            )
            reply = self._answer(request, span, scope)
        except errors.CodedError as error:
            scope.close()
            self._metrics.count("requests", code=int(error.code))
            return problems.to_reply(error)
        except BaseException:
            scope.close()
            raise
        return dataclasses.replace(reply, chunks=self._finish(reply.chunks, scope))

    def _finish(self, chunks, scope):
        with scope:
            yield from chunks
        self._metrics.count("requests", code=0)

    @contextlib.contextmanager
    def _count_active(self):
        if self._draining.is_set():
            raise errors.RequestError(errors.Code.DRAINING, "use another entry host")
        self._add_active(1)
        try:
            yield
        finally:
            self._add_active(-1)

    def _add_active(self, amount):
        with self._active_changed:
            self._active_count += amount
            self._metrics.set("active_requests", self._active_count)
            self._active_changed.notify_all()

    def _answer(self, request, span, scope):
        job = self._check(request)
        span.set_attribute("request.id", job.request_id)
        span.set_attribute("route", job.match.name)
        scope.enter_context(self._admission.admit(job))
        if job.route.effect is documents.Effect.ONCE:
            return self._answer_once(job, span)
        return self._dispatch(job, span)

    def _current_indexes(self):
        document = self._feed.current()
        if document is None:
            raise errors.RequestError(errors.Code.NOT_READY, "no document was read yet")
        if self._indexes is None or self._indexes.document is not document:
            self._indexes = _Indexes(document)
        return self._indexes

    def _check(self, request):
        indexes = self._current_indexes()
        customer = indexes.customers.find(request.header_by_name)
        match = indexes.routes.find(request.method, request.path)
        key = request.header_by_name.get(_KEY_HEADER) or secrets.token_hex(
            _REQUEST_ID_BYTES
        )
        chat = self._parse_chat(request, match.route, indexes.document)
        return jobs.Job(
            request=_bound_tokens(request, chat, match.route),
            document=indexes.document,
            match=match,
            customer=customer,
            request_id=secrets.token_hex(_REQUEST_ID_BYTES),
            key=key,
            deadline=self._deadline(request, match.route),
            chat=chat,
        )

    def _deadline(self, request, route):
        timeout = route.timeout
        text = request.header_by_name.get(_DEADLINE_HEADER)
        if text is not None:
            if not text.isdigit() or not int(text):
                raise errors.RequestError(
                    errors.Code.MALFORMED_REQUEST,
                    f"{_DEADLINE_HEADER} is not a positive number",
                )
            timeout = min(timeout, datetime.timedelta(milliseconds=int(text)))
        return self._clock.monotonic() + timeout

    def _parse_chat(self, request, route, document):
        service = document.service_by_name[route.service]
        if service.protocol is not documents.Protocol.CHAT:
            return None
        try:
            body = msgspec.json.decode(request.body)
        except msgspec.DecodeError as error:
            raise errors.RequestError(errors.Code.INVALID_BODY, str(error)) from None
        if not isinstance(body, dict) or not isinstance(body.get("messages"), list):
            raise errors.RequestError(
                errors.Code.INVALID_BODY, "a chat request needs a list of messages"
            )
        for name in ("max_tokens", "n"):
            value = body.get(name)
            if value is not None and (type(value) is not int or value < 1):
                raise errors.RequestError(
                    errors.Code.INVALID_BODY, f"{name} is not a positive number"
                )
        return body

    def _answer_once(self, job, span):
        request = job.request
        digest = claims.digest_body(request.method, request.path, request.body)
        try:
            claim, created = self._claims.claim(job.customer, job.key, digest)
        except errors.StoreError as error:
            raise errors.RequestError(error.code, error.detail) from None
        if not created:
            return self._answer_claimed(job, claim, digest)
        try:
            reply = self._dispatch(job, span)
            body = b"".join(reply.chunks)
        except errors.RequestError as error:
            self._settle_failure(job, claim, error)
            raise
        content_type = reply.header_by_name.get("content-type", "")
        try:
            self._claims.finish(
                job.customer, job.key, claim, reply.status, content_type, body
            )
        except errors.StoreError:
            self._metrics.count("claim_record_failures")
        return dataclasses.replace(reply, chunks=(body,))

    def _answer_claimed(self, job, claim, digest):
        if claim.digest != digest:
            raise errors.RequestError(errors.Code.KEY_REUSED, "the body differs")
        if claim.state is claims.ClaimState.RUNNING:
            raise errors.RequestError(
                errors.Code.REQUEST_IN_PROGRESS,
                f"claimed by {claim.holder}",
                errors.Ran.UNKNOWN,
            )
        header_by_name = self._headers(job) | {
            "content-type": claim.content_type,
            "idempotent-replayed": "true",
        }
        return messages.Reply(
            status=claim.status, header_by_name=header_by_name, chunks=(claim.body,)
        )

    def _settle_failure(self, job, claim, error):
        if error.ran is not errors.Ran.NO:
            return
        try:
            self._claims.release(job.customer, job.key)
        except errors.StoreError:
            self._metrics.count("claim_release_failures")

    def _headers(self, job):
        return {_REQUEST_ID_HEADER: job.request_id, _KEY_HEADER: job.key}

    def _dispatch(self, job, span):
        attempt = self._dispatcher.open(job, span)
        content_type = attempt.header_by_name.get("content-type", _JSON)
        header_by_name = self._headers(job) | {"content-type": content_type}
        if job.streamed and content_type.startswith(_EVENT_STREAM):
            chunks = self._relay(job, attempt)
        else:
            chunks = (self._read(attempt),)
        return messages.Reply(
            status=attempt.status, header_by_name=header_by_name, chunks=chunks
        )

    def _read(self, attempt):
        try:
            return attempt.read()
        except errors.UpstreamError as error:
            raise errors.RequestError(error.code, error.detail, error.ran) from None

    def _relay(self, job, attempt):
        with contextlib.closing(attempt.events()) as events:
            try:
                for event in events:
                    yield event
                    if job.request.caller_gone():
                        self._metrics.count("callers_gone")
                        return
            except errors.UpstreamError as error:
                yield problems.to_event(error)


def _bound_tokens(request, chat, route):
    """Set the bound on the answer's tokens that its spending is reserved for."""
    if chat is None or chat.get("max_tokens") is not None:
        return request
    chat["max_tokens"] = route.max_tokens
    return dataclasses.replace(request, body=msgspec.json.encode(chat))
