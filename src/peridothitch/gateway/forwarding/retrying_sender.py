"""Sends a request to upstreams until one answers it.

A request that may run only once is sent again only after proof that it has not run: no
byte left this process, or the upstream reported so. Other requests are also retried
after failures, as often as their route allows. Each retry is charged to a budget that
all entry hosts share.
"""

import datetime
import math
import threading

import logbook

from peridothitch import errors
from peridothitch.gateway.forwarding import attempt as attempts
from peridothitch.gateway.forwarding import interruption, refusals
from peridothitch.ports import forwarding, raw, store

__all__ = ["RetryingSender", "means_not_run"]

_MAX_SENDS = 4
"""Maximum sends of one request, including to upstreams that did not run it."""

_MAX_CONNECT_FAILURES = 8
"""Failed connection attempts after which the request fails."""

_FIRST_URGENCY = 3
_LAST_URGENCY = 9
"""Upstreams order requests by urgency from 0 to 9; route priorities start at 0."""

_LATE_ANSWER_FACTOR = 1.6
_MIN_ANSWER_TIMEOUT = datetime.timedelta(milliseconds=120)
"""A safe request is sent to another upstream once its answer is this late."""

_MAX_REFUSAL_BYTES = 64 << 10
_MAX_REFUSAL_TIME = datetime.timedelta(milliseconds=100)
"""A new connection takes less time than the rest of a refusal after this time."""

_REFUSAL_RETRY_AFTER = datetime.timedelta(milliseconds=300)
_NO_UPSTREAM_RETRY_AFTER = datetime.timedelta(milliseconds=500)
_MISDIRECTED_STATUS = 421
_SERVER_ERROR_STATUS = 500
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers conclude that a request has not run."""

_log = logbook.Logger("forwarding")


class RetryingSender:
    """Sends one request, and sends it again where that is permitted.

    Parameters
    ----------
    deps : peridothitch.gateway.forwarding.attempt.AttemptDependencies
    job : peridothitch.gateway.forwarding.job.Job
    first : tuple of (peridothitch.ports.upstream.Host, placement.Estimate) or None
        The upstream chosen when the request was admitted.
    """

    def __init__(self, deps, job, first=None):
        self._deps = deps
        self._job = job
        self._first = first
        self._lock = threading.Lock()
        self._cancel = None
        self._is_cancelled = False
        self._tried_host_ids = set()
        self._run_count = 0
        self._arrival_count = 0
        self._send_count = 0
        self._connect_failure_count = 0
        self._is_start_recorded = False
        self._last_error = None

    @property
    def send_count(self):
        """Number of times that the request was sent."""
        return self._send_count

    def cancel(self):
        """Cancel the request because its caller disconnected.

        Callable from any thread.
        """
        with self._lock:
            self._is_cancelled = True
            cancel = self._cancel
        if cancel is not None:
            cancel()

    @property
    def is_cancelled(self):
        """Whether the caller has disconnected."""
        return self._is_cancelled

    def open(self, last_event_id=""):
        """Return the next `Attempt` whose answer may be forwarded to the caller.

        Parameters
        ----------
        last_event_id : str
            Event after which a stream is resumed.

        Raises
        ------
        peridothitch.errors.RequestError
            No attempt is left.
        """
        while True:
            chosen = self._choose()
            attempt = attempts.Attempt(self._deps, self._job, *chosen)
            try:
                self._send(attempt, last_event_id)
                self._check(attempt)
            except errors.UpstreamError as error:
                attempt.release()
                self._record_failure(attempt, error)
                continue
            except BaseException:
                attempt.release()
                raise
            if self._should_retry(attempt):
                attempt.release()
                attempt.complete()
                self.log_repeat(attempt, f"status {attempt.answer.status}")
                continue
            return attempt

    def can_resume(self, error):
        """Return whether an interrupted stream may be resumed at another upstream."""
        return (
            self._job.route.retry_policy is forwarding.RetryPolicy.RESUMABLE
            and not self._is_cancelled
            and self._run_count < self._job.route.attempts
            and self._deps.clock.monotonic() < self._job.deadline
            and error.code is not errors.Code.DEADLINE_EXCEEDED
        )

    def record_interruption(self, attempt, error):
        """Report an interrupted answer unless the caller has ended it."""
        self._last_error = error
        if not self._is_cancelled:
            interruption.report(self._deps, self._job, attempt, error)

    def record_start(self, moment):
        """Record the start of the request for its usage, once."""
        if not self._is_start_recorded:
            self._is_start_recorded = True
            self._deps.record_usage(self._job, moment)

    def _choose(self):
        job, deps = self._job, self._deps
        if self._is_cancelled:
            raise self._error(errors.Code.CALLER_GONE, "the caller has left")
        if deps.clock.monotonic() >= job.deadline:
            raise self._error(errors.Code.DEADLINE_EXCEEDED, "the time is up")
        if (
            self._send_count >= _MAX_SENDS
            or self._connect_failure_count >= _MAX_CONNECT_FAILURES
            or (self._run_count and self._run_count >= job.route.attempts)
        ):
            raise self._exhausted("no attempt is left")
        try:
            deps.part_guard.check(job.service, job.shared_parts)
        except errors.RequestError:
            if self._run_count:
                raise self.to_request_error(self._last_error) from None
            raise
        if self._arrival_count and not deps.budgets.spend(job.service):
            raise self._exhausted("the repeats are used up")
        chosen, self._first = self._first, None
        if chosen is None:
            versions = deps.moves.versions_for_retry(job.service)
            terms = job.service, job.need, self._tried_host_ids, versions
            chosen = deps.upstreams.choose(*terms) or deps.upstreams.choose_lent(*terms)
        if not self._run_count:
            refusals.check_choice(chosen, deps.upstreams, job.service, job.need)
        if chosen is None:
            raise self._exhausted("no upstream is left")
        if self._arrival_count and not deps.room.can_end(
            job, chosen[1], deps.clock.monotonic()
        ):
            raise self._exhausted("it can't end in time at another upstream")
        return chosen

    def _send(self, attempt, last_event_id):
        job, deps = self._job, self._deps
        host = attempt.host
        self._tried_host_ids.add(host.host_id)
        self._send_count += 1
        now = deps.clock.monotonic()
        outbound = forwarding.OutboundMetadata(
            host_id=host.host_id,
            customer=job.customer_name,
            time_left=job.deadline - now,
            urgency=self._urgency(),
            last_event_id=last_event_id,
        )
        call = raw.RawCall(
            request_id=job.request_id,
            method=job.request.method,
            target=job.request.target,
            fields=deps.header_codec.to_upstream(job.request.fields, outbound),
            body=job.request.body,
            has_body=job.request.has_body,
            deadline=min(job.deadline, self._answer_deadline(attempt, now)),
            homes=job.need.homes,
        )
        _log.info(
            "sent",
            id=job.request_id,
            host_id=host.host_id,
            hosts=store.to_text(deps.upstreams.revision),
            load_age_ms=_to_milliseconds(attempt.estimate.load_age),
            busy=attempt.estimate.busy,
            cached_tokens=int(attempt.estimate.cached_tokens),
            expected_ms=int(attempt.estimate.seconds * 1000),
            attempt=self._send_count,
            rules=job.table_version,
            left_ms=int((job.deadline - now).total_seconds() * 1000),
        )
        answer = deps.transport.open(host, call, self._set_cancel)
        answer.set_deadline(job.deadline)
        attempt.answer = answer
        deps.upstreams.record_notice(host, answer.status, answer.metadata)
        if _tells_limit(answer):
            deps.limits.record(host, answer.metadata.request_limit)
        if answer.metadata.load is not None:
            deps.upstreams.record_load(host, answer.metadata.load)

    def _urgency(self):
        if not self._job.need.prompt_tokens:
            return None
        return min(_LAST_URGENCY, _FIRST_URGENCY + self._job.priority)

    def _answer_deadline(self, attempt, now):
        """Return the monotonic time after which another upstream is tried."""
        job = self._job
        if (
            job.route.retry_policy is not forwarding.RetryPolicy.SAFE
            or job.route.streamed
        ):
            return job.deadline
        if self._run_count + 1 >= job.route.attempts:
            return job.deadline
        expected = datetime.timedelta(seconds=attempt.estimate.seconds)
        answer_timeout = max(_MIN_ANSWER_TIMEOUT, expected * _LATE_ANSWER_FACTOR)
        return now + max(answer_timeout, job.route.latency_objective / 2)

    def _set_cancel(self, cancel):
        with self._lock:
            self._cancel = cancel
            is_cancelled = self._is_cancelled
        if is_cancelled:
            cancel()

    def _check(self, attempt):
        """Raise if the answer reports that the request did not run or is invalid."""
        metadata, status = attempt.answer.metadata, attempt.answer.status
        if metadata.not_executed or status == _MISDIRECTED_STATUS:
            self._arrival_count += 1
            attempt.record_refusal()
            self._read_to_end(attempt.answer)
            raise errors.UpstreamError(
                errors.Code.UPSTREAM_REFUSED, f"status {status}", errors.Ran.NO
            )
        if not metadata.request_id or (200 <= status < 300 and not metadata.signed):
            raise errors.UpstreamError(
                errors.Code.ANSWER_INVALID,
                f"status {status} without signature or id",
                errors.Ran.UNKNOWN,
            )
        self._arrival_count += 1
        self._run_count += 1
        self._deps.upstreams.record_result(
            attempt.host, failed=status >= _SERVER_ERROR_STATUS
        )

    def _read_to_end(self, answer):
        """Read a refusal to its end, so that its connection can be reused.

        The rest of a long or slow one is abandoned with its connection.
        """
        deadline = self._deps.clock.monotonic() + _MAX_REFUSAL_TIME
        answer.set_deadline(min(deadline, self._job.deadline))
        size = 0
        try:
            while (data := answer.read_some()) and size <= _MAX_REFUSAL_BYTES:
                size += len(data)
        except errors.UpstreamError as error:
            _log.debug("refusal incomplete: {}", error.detail)

    def _record_failure(self, attempt, error):
        job, host = self._job, attempt.host
        self._last_error = error
        if error.ran is errors.Ran.NO:
            # A refusal depends on an upstream's load, not on its version.
            if attempt.answer is None:
                self._send_count -= 1
                self._connect_failure_count += 1
                self._deps.upstreams.suspend(host, "connect")
                if not self._is_cancelled and not self._has_lost_path(host):
                    attempt.fail(error)
        else:
            self._run_count += 1
            self._arrival_count += 1
            self.record_interruption(attempt, error)
            self.record_start(attempt.sent_at)
        if self._is_cancelled:
            raise self._error(errors.Code.CALLER_GONE, "the caller has left")
        if error.ran is not errors.Ran.NO and not job.may_repeat:
            raise self.to_request_error(error)
        self.log_repeat(attempt, error.detail)

    def _has_lost_path(self, host):
        return self._deps.transport.has_lost_path(host)

    def _should_retry(self, attempt):
        job = self._job
        if attempt.answer.status < _SERVER_ERROR_STATUS or not job.may_repeat:
            return False
        if self._run_count >= job.route.attempts or self._is_cancelled:
            return False
        left = job.deadline - self._deps.clock.monotonic()
        if left <= datetime.timedelta(seconds=attempt.estimate.seconds):
            return False
        if not self._deps.budgets.can_spend(job.service):
            return False
        self.record_start(attempt.sent_at)
        self._last_error = errors.UpstreamError(
            errors.Code.UPSTREAM_FAILED,
            f"status {attempt.answer.status}",
            errors.Ran.YES,
        )
        return True

    def log_repeat(self, attempt, reason):
        """Log and count that the request is sent to another upstream."""
        self._deps.metrics.count("repeats", service=self._job.service)
        _log.info(
            "tried elsewhere",
            id=self._job.request_id,
            host_id=attempt.host.host_id,
            reason=reason,
            runs=self._run_count,
            sends=self._send_count,
        )

    def _exhausted(self, detail):
        error = self._last_error
        if self._run_count:
            return self.to_request_error(error)
        if error is not None:
            return self._error(
                errors.Code.UPSTREAMS_BUSY,
                f"{detail}; last: {error.detail}",
                _REFUSAL_RETRY_AFTER,
            )
        return self._error(errors.Code.NO_UPSTREAM, detail, _NO_UPSTREAM_RETRY_AFTER)

    def to_request_error(self, error):
        """Return the error for the caller of an attempt that may have run."""
        code = error.code
        if self._deps.clock.monotonic() >= self._job.deadline:
            code = errors.Code.DEADLINE_EXCEEDED
        elif code is errors.Code.UPSTREAM_REFUSED or means_not_run(code.status):
            code = errors.Code.OUTCOME_UNKNOWN
        return errors.RequestError(code, error.detail, errors.Ran.UNKNOWN)

    def _error(self, code, detail, retry_after=None):
        ran = errors.Ran.UNKNOWN if self._run_count else errors.Ran.NO
        return errors.RequestError(code, detail, ran, retry_after)


def _tells_limit(answer):
    """Return whether an answer that names no limit means that there is none."""
    metadata = answer.metadata
    if answer.status == _MISDIRECTED_STATUS:
        return False
    return metadata.signed or not math.isinf(metadata.request_limit)


def _to_milliseconds(seconds):
    return None if seconds is None else int(seconds * 1000)


def means_not_run(status):
    """Return whether callers conclude from a status that a request has not run."""
    return status in _NOT_RUN_STATUSES
