"""Requests that, once accepted, are completed by any host that still runs."""

import collections
import datetime

from peridothitch import errors
from peridothitch.adapters import problems
from peridothitch.coordination import claim_records, streams
from peridothitch.gateway import idempotency, stream_failover
from peridothitch.policy import resumption
from peridothitch.ports import messages

__all__ = ["DurableRequests", "StreamRun"]

_EVENT_STREAM = "text/event-stream"
_OK = 200
_CHECKPOINT_INTERVAL = datetime.timedelta(milliseconds=250)


class StreamRun:
    """One durable stream that this host runs.

    Attributes
    ----------
    job : peridothitch.gateway.jobs.Job
    stored : peridothitch.coordination.claims.StoredClaim
        This host's claim; replaced by each checkpoint.
    progress : peridothitch.policy.resumption.StreamProgress
    usage : peridothitch.gateway.admission.Usage
    epoch : int
        Epoch of the claim; increases with each takeover.
    superseded : bool
        Whether another host or run has taken the stream over.
    next_checkpoint : datetime.timedelta
        Monotonic time before which no checkpoint is written.
    """

    def __init__(self, job, stored, progress, usage):
        self.job = job
        self.stored = stored
        self.progress = progress
        self.usage = usage
        self.epoch = stored.claim.epoch
        self.superseded = False
        self.next_checkpoint = datetime.timedelta(0)

    @property
    def events(self):
        """The stream's events so far, numbered from 0."""
        return self.progress.events

    def stop(self):
        """End the run at its next event."""
        self.superseded = True


class DurableRequests:
    """Accepts, runs, resumes and hands over durable requests.

    Parameters
    ----------
    claim_store : peridothitch.coordination.claims.ClaimStore
    stream_registry : peridothitch.coordination.streams.StreamRegistry
    dispatcher : peridothitch.gateway.dispatch.Dispatcher
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    executor : concurrent.futures.Executor
        Continues streams whose callers have disconnected.
    """

    def __init__(
        self, *, claim_store, stream_registry, dispatcher, clock, metrics, executor
    ):
        self._claims = claim_store
        self._streams = stream_registry
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._executor = executor

    def answer(self, job, span, scope, usage):
        """Run a request, resume it, or replay its answer.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job
        span : opentelemetry.trace.Span
        scope : contextlib.ExitStack
            Stays open until the request ends, also if its caller disconnects.
        usage : peridothitch.gateway.admission.Usage

        Returns
        -------
        peridothitch.ports.messages.Reply
        """
        stored = idempotency.claim_job(self._claims, job, _make_accepted_request(job))
        if stored.owned:
            return self._start(job, stored, span, scope, usage)
        idempotency.check_digest(job, stored.claim)
        return self.resume(job, stored, span, scope, usage)

    def resume(self, job, stored, span, scope, usage):
        """Answer a request that was accepted before, by this or another host."""
        claim = stored.claim
        if claim.state is claim_records.ClaimState.DONE:
            return self._replay(job, claim)
        if not job.streamed and self._claims.may_be_running(claim):
            raise idempotency.in_progress(claim)
        new_stored = self._take_over(job, stored)
        if new_stored is None:
            raise idempotency.in_progress(claim)
        progress = self._fence(new_stored, claim)
        if not job.streamed:
            return self._run_unstreamed(job, new_stored, span, usage)
        self._metrics.count("streams_taken_over")
        run = StreamRun(job, new_stored, progress, usage)
        return self._make_event_reply(job, self._stream_events(run, span, scope, None))

    def _take_over(self, job, stored):
        try:
            return self._claims.take_over(stored, job.route.timeout)
        except errors.StoreError as error:
            raise errors.RequestError(
                error.code, error.detail, errors.Ran.UNKNOWN
            ) from None

    def _fence(self, stored, former_claim):
        copied = self._streams.fence(
            stored.customer, stored.request_id, stored.claim.epoch, former_claim.host_id
        )
        recorded = resumption.split_events(former_claim.body)
        return resumption.StreamProgress(max(copied, recorded, key=len))

    def _replay(self, job, claim):
        if not claim.content_type.startswith(_EVENT_STREAM):
            return idempotency.replay(job.headers(), claim)
        events = resumption.split_events(claim.body)
        body = b"".join(events[job.last_event_id + 1 :])
        return idempotency.replay(job.headers(), claim, body)

    def _start(self, job, stored, span, scope, usage):
        if not job.streamed:
            return self._run_unstreamed(job, stored, span, usage)
        progress = resumption.StreamProgress()
        search = self._dispatcher.search(job, span)
        try:
            attempt = search.open()
        except errors.RequestError as error:
            raise self._settle_failure(stored, error) from None
        content_type = attempt.header_by_name.get("content-type", "")
        if not content_type.startswith(_EVENT_STREAM):
            return self._read_unstreamed(job, stored, attempt, content_type)
        run = StreamRun(job, stored, progress, usage)
        search_and_attempt = (search, attempt)
        return self._make_event_reply(
            job, self._stream_events(run, span, scope, search_and_attempt)
        )

    def _make_event_reply(self, job, chunks):
        header_by_name = job.headers() | {"content-type": _EVENT_STREAM}
        # Runs the generator to its first yield. Closing one that has not started does
        # not raise GeneratorExit in it, so the run would end with its caller.
        next(chunks)
        return messages.Reply(status=_OK, header_by_name=header_by_name, chunks=chunks)

    def _settle_failure(self, stored, error):
        if error.ran is errors.Ran.NO and self._claims.release(stored):
            return error
        return errors.RequestError(error.code, error.detail, errors.Ran.UNKNOWN)

    def _read_unstreamed(self, job, stored, attempt, content_type):
        try:
            body = attempt.read()
        except errors.UpstreamError as error:
            raise errors.RequestError(
                error.code, error.detail, errors.Ran.UNKNOWN
            ) from None
        self._record(stored, attempt.status, content_type, body)
        header_by_name = job.headers() | {"content-type": content_type}
        return messages.Reply(
            status=attempt.status, header_by_name=header_by_name, chunks=(body,)
        )

    def _run_unstreamed(self, job, stored, span, usage):
        try:
            reply = idempotency.read_answer(self._dispatcher.search(job, span), job)
        except errors.RequestError as error:
            raise self._settle_failure(stored, error) from None
        content_type = reply.header_by_name["content-type"]
        self._record(stored, reply.status, content_type, reply.chunks[0])
        return reply

    def _record(self, stored, status, content_type, body):
        try:
            self._claims.finish(stored, status, content_type, body)
        except errors.StoreError:
            self._metrics.count("claim_record_failures")

    # Streams

    def _stream_events(self, run, span, scope, search_and_attempt):
        """Yield an empty chunk, then the events that the caller lacks.

        `search_and_attempt` is the first attempt with its search, None if it is not
        opened yet.
        """
        job = run.job
        search = (
            search_and_attempt[0]
            if search_and_attempt
            else self._dispatcher.search(job, span)
        )
        attempt = search_and_attempt[1] if search_and_attempt else None
        replicator = streams.StreamReplicator(
            self._streams, job.customer, job.request_id, run.epoch
        )
        new_events = stream_failover.FailoverStream(
            search=search,
            progress=run.progress,
            usage=run.usage,
            max_tokens=job.max_tokens,
            clock=self._clock,
            metrics=self._metrics,
        ).events(attempt)
        self._streams.register(job.request_id, run)
        try:
            yield b""
            missed_events = run.progress.since(job.last_event_id)
            yield from missed_events
            for number, event in self._advance(run, new_events, replicator):
                if number > job.last_event_id:
                    yield event
                if job.request.caller_gone():
                    self._detach(run, new_events, replicator, scope)
                    return
        except errors.RequestError as error:
            self._streams.unregister(job.request_id, run)
            yield problems.to_event(error)
        except GeneratorExit:
            self._detach(run, new_events, replicator, scope)
            raise

    def _advance(self, run, new_events, replicator):
        """Yield each event with its number once `_replicate_events` permits sending."""
        withheld = collections.deque()
        if run.events:
            self._replicate_events(run, replicator)
        number = len(run.events)
        for event in new_events:
            if run.superseded:
                new_events.close()
                raise _handed_over_error()
            withheld.append((number, event))
            number += 1
            if run.progress.done:
                self._finish(run, replicator)
            elif not self._replicate_events(run, replicator):
                continue
            while withheld:
                yield withheld.popleft()
        self._finish(run, replicator)

    def _replicate_events(self, run, replicator):
        """Copy the events to another host; returns whether the caller may get them.

        If no other host can be reached, events wait for the next checkpoint in the
        key-value service. If that is unreachable too, they are sent without a copy.
        """
        if replicator.push(run.events):
            return True
        now = self._clock.monotonic()
        if now < run.next_checkpoint:
            return False
        run.next_checkpoint = now + _CHECKPOINT_INTERVAL
        try:
            stored = self._claims.checkpoint(run.stored, b"".join(run.events))
        except errors.StoreError:
            self._metrics.count("stream_events_without_copy")
            return True
        if stored is None:
            raise _handed_over_error()
        run.stored = stored
        return True

    def _finish(self, run, replicator):
        if self._streams.running().get(run.job.request_id) is not run:
            return
        body = b"".join(run.events)
        try:
            recorded = self._claims.finish(run.stored, _OK, _EVENT_STREAM, body)
        except errors.StoreError:
            self._metrics.count("claim_record_failures")
            recorded = True
        else:
            replicator.push(run.events, done=True)
        self._streams.unregister(run.job.request_id, run)
        if not recorded:
            raise _handed_over_error()

    def _detach(self, run, new_events, replicator, scope):
        """Continue the run in the executor, without the caller."""
        if run.superseded or run.progress.done:
            return
        self._metrics.count("streams_without_caller")
        detached_scope = scope.pop_all()
        self._executor.submit(
            self._run_to_end, run, new_events, replicator, detached_scope
        )

    def _run_to_end(self, run, new_events, replicator, scope):
        with scope:
            try:
                for _ in self._advance(run, new_events, replicator):
                    pass
            except errors.CodedError as error:
                self._metrics.count("durable_failures", code=int(error.code))
            finally:
                self._streams.unregister(run.job.request_id, run)

    def complete(self, job, stored, span, scope, usage):
        """Resume a request that has no caller here and run it to its end."""
        reply = self.resume(job, stored, span, scope, usage)
        for _ in reply.chunks:
            pass

    def hand_over_all(self):
        """Hand over all streams of this host to other hosts."""
        for request_id, run in self._streams.running().items():
            if self._streams.hand_over(run.job.customer, request_id):
                self._metrics.count("streams_handed_over")


def _handed_over_error():
    return errors.RequestError(
        errors.Code.HANDED_OVER,
        "resume by request id",
        errors.Ran.UNKNOWN,
    )


def _make_accepted_request(job):
    request = job.request
    return claim_records.AcceptedRequest(
        method=request.method,
        path=request.path,
        query=request.query,
        content_type=request.header_by_name.get("content-type", ""),
        body=request.body,
        key=job.key,
    )
