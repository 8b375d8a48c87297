"""One attempt to have an upstream answer a request."""

import dataclasses

from peridothitch import errors
from peridothitch.gateway.forwarding import room_account
from peridothitch.ports import outcomes

__all__ = ["Attempt", "AttemptDependencies"]

_CLIENT_ERROR_STATUS = 400
_SERVER_ERROR_STATUS = 500
_UNAVAILABLE_STATUS = 503
_MIN_ANSWER_EVENTS = 2
"""An upstream that crashes when it begins an answer may send a first event."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptDependencies:
    """Services that the attempts of an entry host share.

    Attributes
    ----------
    upstreams : peridothitch.gateway.forwarding.upstream_pool.UpstreamPool
    limits : peridothitch.gateway.forwarding.upstream_limits.UpstreamLimits
    transport : peridothitch.ports.raw.RawTransport
    header_codec : peridothitch.ports.forwarding.HeaderCodec
    budgets : peridothitch.gateway.forwarding.retry_budgets.RetryBudgets
    crash_guard : peridothitch.gateway.quarantine.CrashGuard
    part_guard : peridothitch.gateway.forwarding.part_guard.PartGuard
    record_usage : callable
        Called with a `Job` and the monotonic time at which it started running.
    moves : peridothitch.gateway.forwarding.version_moves.VersionMoves
    held_bytes : peridothitch.policy.held_bytes.HeldBytes
        Bytes of responses that are held for all requests.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    room : peridothitch.gateway.forwarding.room_account.RoomAccount
    """

    upstreams: object
    limits: object
    transport: object
    header_codec: object
    budgets: object
    crash_guard: object
    part_guard: object
    record_usage: object
    moves: object
    held_bytes: object
    clock: object
    metrics: object
    room: room_account.RoomAccount = dataclasses.field(
        default_factory=room_account.RoomAccount
    )


class Attempt:
    """Attempt at one upstream, counted in its load until the attempt is released.

    Attributes
    ----------
    host : peridothitch.ports.upstream.Host
    answer : peridothitch.ports.raw.RawResponse or None
        None until the answer's head has arrived.
    sent_at : datetime.timedelta
        Monotonic time at which the request was sent.
    estimate : peridothitch.policy.placement.Estimate
    """

    def __init__(self, deps, job, host, estimate):
        self._deps = deps
        self._job = job
        self._uncached_tokens = deps.upstreams.begin_request(host, job.need)
        self._has_begun = False
        self._is_released = False
        self.host = host
        self.estimate = estimate
        self.sent_at = deps.clock.monotonic()
        self.answer = None
        self._first_byte = None
        self._event_count = 0
        self._is_answer_recorded = False
        self._is_complete = False
        self._is_refused = False

    def record_first_byte(self):
        """Record the arrival of the answer, or of a stream's first event, once."""
        if self._has_begun:
            return
        self._has_begun = True
        self._first_byte = self._upstream_time()
        self._deps.upstreams.record_first_byte(
            self.host,
            self._uncached_tokens,
            self.estimate.seconds,
            self._first_byte.total_seconds(),
        )
        if self.answer is not None and self.answer.status < _CLIENT_ERROR_STATUS:
            self._deps.upstreams.models.record_first_piece(
                self.host,
                self._job.need,
                self._uncached_tokens,
                self.estimate,
                self._first_byte.total_seconds(),
            )
        self._deps.metrics.observe(
            "upstream_first_byte", self._first_byte, service=self.host.service
        )
        self._deps.room.record_start(
            self._job,
            self.estimate,
            self._first_byte.total_seconds(),
            self._deps.clock.monotonic(),
        )

    @property
    def event_count(self):
        """Number of events received on a stream."""
        return self._event_count

    @property
    def elapsed_seconds(self):
        """Seconds since the request was sent."""
        return (self._deps.clock.monotonic() - self.sent_at).total_seconds()

    @property
    def first_byte(self):
        """Time that the upstream took until the answer began, None before that."""
        return self._first_byte

    def _upstream_time(self):
        """Return the time since the request was sent on the path that was answered.

        Paths that were tried before say nothing about the upstream.
        """
        sent_at = self.answer.sent_at if self.answer is not None else None
        return self._deps.clock.monotonic() - (sent_at or self.sent_at)

    def record_events(self, count):
        """Add to the number of events received on a stream."""
        self._event_count += count
        if self._event_count >= _MIN_ANSWER_EVENTS:
            self._record_answer()

    def _record_answer(self):
        if self._is_answer_recorded:
            return
        self._is_answer_recorded = True
        self._deps.part_guard.record_answer(self.host.service, self._job.shared_parts)

    @property
    def has_answer(self):
        """Whether the upstream has begun to answer and survived it."""
        return self._is_answer_recorded

    def complete(self):
        """Report that the whole answer has arrived."""
        self._is_complete = True
        if self._first_byte is not None:
            stream_time = self._upstream_time() - self._first_byte
            self._deps.room.record_stream(
                self._job, self.estimate, stream_time.total_seconds()
            )
        if self.answer.status < _SERVER_ERROR_STATUS:
            self._record_answer()
        if self._first_byte is not None:
            streaming = self._upstream_time() - self._first_byte
            self._deps.upstreams.models.record_answer(
                self, self._job, streaming.total_seconds()
            )
        self._report(None, errors.Ran.YES)

    def record_refusal(self):
        """Record that the upstream had no room for the request."""
        if self.estimate.is_modelled and self.answer.status == _UNAVAILABLE_STATUS:
            now = self._deps.clock.monotonic()
            self._is_refused = True
            self._deps.upstreams.record_full(self.host)
            self._deps.metrics.count("upstreams_full", service=self.host.service)
            self._deps.room.record_refused(self._job, self.estimate, now)

    def _record_cut(self):
        started = self._first_byte
        self._deps.room.record_cut(
            self._job,
            self.estimate,
            None if started is None else started.total_seconds(),
            self._upstream_time().total_seconds(),
            self._deps.clock.monotonic(),
        )

    def fail(self, error):
        """Report the `peridothitch.errors.UpstreamError` that ended the answer."""
        self._report(error.code, error.ran)

    def _report(self, code, ran):
        """Report the attempt's outcome to the comparison of versions."""
        host, job = self.host, self._job
        outcome = outcomes.AttemptOutcome(
            # A caller's retries of a request that crashes hosts have other ids.
            request_id=job.digest,
            service=host.service,
            version=host.version,
            route=job.route.name,
            customer=job.customer_name,
            host_id=host.host_id,
            data_centre=host.data_centre,
            ended=self._deps.moves.now(),
            first_byte=self._first_byte,
            duration=self._upstream_time(),
            status=self.answer.status if self.answer is not None else 0,
            code=code,
            ran=ran,
            token_count=self._event_count,
            latency_objective=job.route.latency_objective,
            host_leaving=not self._deps.upstreams.is_live(host),
        )
        self._deps.moves.observe(outcome)

    def release(self):
        """Close the answer and remove the request from the upstream's load."""
        if self._is_released:
            return
        self._is_released = True
        if not self._is_complete and not self._is_refused:
            self._record_cut()
        if self.answer is not None:
            self.answer.close()
        self._deps.upstreams.end_request(
            self.host, self._uncached_tokens, self._has_begun
        )
