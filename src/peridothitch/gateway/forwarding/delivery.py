"""Forwards upstreams' answers to callers."""

import http.client

import logbook

from peridothitch import errors
from peridothitch.gateway.forwarding import retrying_sender
from peridothitch.policy import event_stream, held_bytes

__all__ = ["deliver"]

_EVENT_STREAM_TYPE = "text/event-stream"
_MAX_BUFFERED_BYTES = 1 << 20
"""A body up to this size is forwarded only after it has arrived completely.

A request whose body breaks off may then be sent again. Where the process holds too many
bytes already, smaller bodies are forwarded as they arrive, too.
"""

_MAX_EVENT_BYTES = 1 << 20
_FREE_BYTES = 64 << 10
"""Every response may hold as much, whatever the others hold."""

_WRITE_BYTES = 32 << 10
"""Size of the parts in which a body is passed to the caller's connection."""

_BAD_GATEWAY_STATUS = 502
_log = logbook.Logger("forwarding")


def deliver(deps, job, sender, response_writer):
    """Send a request and forward its answer.

    Parameters
    ----------
    deps : peridothitch.gateway.forwarding.attempt.AttemptDependencies
    job : peridothitch.gateway.forwarding.job.Job
    sender : peridothitch.gateway.forwarding.retrying_sender.RetryingSender
    response_writer : peridothitch.ports.raw.ResponseWriter

    Returns
    -------
    int
        The status sent to the caller.

    Raises
    ------
    peridothitch.errors.RequestError
        The caller has not received a complete answer.
    """
    while True:
        attempt = sender.open()
        try:
            if _is_stream(attempt.answer):
                return _StreamForwarder(deps, job, sender, response_writer).run(attempt)
            return _forward_body(deps, job, sender, response_writer, attempt)
        except errors.UpstreamError as error:
            sender.record_interruption(attempt, error)
            if response_writer.has_begun or not _may_repeat(job, sender, error):
                raise sender.to_request_error(error) from None
            sender.log_repeat(attempt, error.detail)
        finally:
            attempt.release()


def _is_stream(answer):
    if not 200 <= answer.status < 300:
        return False
    return any(
        name.lower() == "content-type" and value.lower().startswith(_EVENT_STREAM_TYPE)
        for name, value in answer.fields
    )


def _may_repeat(job, sender, error):
    return (
        job.may_repeat
        and not sender.is_cancelled
        and error.code is not errors.Code.DEADLINE_EXCEEDED
    )


def _head(deps, answer):
    """Return the status, reason and fields to send to the caller."""
    fields = deps.header_codec.to_caller(answer.fields)
    if retrying_sender.means_not_run(answer.status):
        # The upstream did not report that the request has not run.
        reason = http.client.responses[_BAD_GATEWAY_STATUS]
        return _BAD_GATEWAY_STATUS, reason, deps.header_codec.without_signature(fields)
    return answer.status, answer.reason, fields


def _forward_body(deps, job, sender, response_writer, attempt):
    answer = attempt.answer
    attempt.record_first_byte()
    sender.record_start(attempt.sent_at)
    head = _head(deps, answer)
    is_head = job.request.method == "HEAD"
    body = bytearray()
    holding = held_bytes.Holding(deps.held_bytes, job.service, _FREE_BYTES)
    try:
        while data := answer.read_some():
            body += data
            if len(body) <= _MAX_BUFFERED_BYTES and holding.resize(len(body)):
                continue
            if not response_writer.has_begun:
                response_writer.begin(*head, answer.length)
            _write(response_writer, body)
            holding.release()
        if not response_writer.has_begun:
            length = answer.length if is_head else len(body)
            response_writer.begin(*head, length)
        _write(response_writer, body)
    finally:
        holding.release()
    response_writer.end()
    attempt.complete()
    if not job.need.prompt_tokens:
        deps.upstreams.record_work(job.service, attempt.first_byte.total_seconds())
    return head[0]


def _write(response_writer, body):
    """Write a bytearray in parts and empty it; waits for a caller that reads slowly."""
    while body:
        part = bytes(body[:_WRITE_BYTES])
        del body[:_WRITE_BYTES]
        response_writer.write(part)


class _StreamForwarder:
    """Forwards one stream of events, from one upstream or several in turn."""

    def __init__(self, deps, job, sender, response_writer):
        self._deps = deps
        self._job = job
        self._sender = sender
        self._response_writer = response_writer
        self._last_event_id = job.metadata.last_event_id
        self._last_event_number = None
        self._status = 0

    def run(self, attempt):
        """Forward events until the stream is complete; returns the status."""
        while True:
            try:
                self._forward_events(attempt)
                self._response_writer.end()
                attempt.complete()
                return self._status
            except errors.UpstreamError as error:
                if not self._response_writer.has_begun:
                    raise
                self._sender.record_interruption(attempt, error)
                if not self._sender.can_resume(error):
                    raise self._sender.to_request_error(error) from None
                attempt = self._resume(error)

    def _resume(self, error):
        attempt = self._sender.open(self._last_event_id)
        _log.info(
            "stream goes on",
            id=self._job.request_id,
            host_id=attempt.host.host_id,
            after=self._last_event_id,
            reason=error.detail,
        )
        self._deps.metrics.count("streams_resumed", service=self._job.service)
        if not _is_stream(attempt.answer):
            attempt.release()
            raise errors.RequestError(
                errors.Code.STREAM_INTERRUPTED,
                f"status {attempt.answer.status} instead of the stream's rest",
                errors.Ran.UNKNOWN,
            )
        return attempt

    def _forward_events(self, attempt):
        splitter = event_stream.EventSplitter()
        service = self._job.service
        holding = held_bytes.Holding(self._deps.held_bytes, service, _FREE_BYTES)
        try:
            while data := attempt.answer.read_some():
                events = splitter.feed(data)
                size = splitter.pending_size
                if size > _MAX_EVENT_BYTES or not holding.resize(size):
                    raise errors.UpstreamError(
                        errors.Code.ANSWER_INVALID,
                        f"an event has no end after {size} bytes",
                        errors.Ran.UNKNOWN,
                    )
                if events:
                    self._write_events(attempt, events)
            if splitter.pending.strip():
                raise errors.UpstreamError(
                    errors.Code.STREAM_INTERRUPTED,
                    f"the stream ended inside an event: {splitter.pending[:40]!r}",
                    errors.Ran.UNKNOWN,
                )
            if not self._response_writer.has_begun:
                self._begin(attempt)
            self._response_writer.write(splitter.pending)
        finally:
            holding.release()
            attempt.release()

    def _begin(self, attempt):
        head = _head(self._deps, attempt.answer)
        self._status = head[0]
        self._response_writer.begin(*head)

    def _write_events(self, attempt, events):
        attempt.record_first_byte()
        attempt.record_events(len(events))
        if not self._response_writer.has_begun:
            self._sender.record_start(self._deps.clock.monotonic())
            self._begin(attempt)
        self._response_writer.write(
            b"".join(event.content for event in events if self._is_new(event))
        )

    def _is_new(self, event):
        """Return whether an event is new; an upstream may send some again."""
        number = event.number
        if number is not None:
            if (
                self._last_event_number is not None
                and number <= self._last_event_number
            ):
                return False
            self._last_event_number = number
        if event.event_id:
            self._last_event_id = event.event_id
        return True
