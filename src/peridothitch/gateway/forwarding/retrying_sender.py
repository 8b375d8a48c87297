"""Sends a request to upstreams until one answers it.

A request that may run once is sent again only after a proof that it has not run: no
byte left this process, or the upstream said so. Other requests are also sent again
after failures, as often as their route allows. Each repeat is taken from a budget that
all entry hosts share.
"""

import datetime
import threading

import logbook

from peridothitch import errors
from peridothitch.gateway.forwarding import attempt as attempts
from peridothitch.ports import forwarding, raw

__all__ = ["RetryingSender", "means_not_run"]

_MAX_SENDS = 4
"""Most upstreams that a request is sent to, those that did not run it included."""

_MAX_CONNECT_FAILURES = 8
"""Most upstreams that can't be reached before a request is given up."""

_FIRST_URGENCY = 3
_LAST_URGENCY = 9
"""Upstreams order requests by urgency from 0 to 9; routes' priorities begin at 0."""

_SUSPICION_FACTOR = 1.6
_LEAST_SUSPICION = datetime.timedelta(milliseconds=120)
"""A repeatable request is tried elsewhere once its answer is this late."""

_REFUSAL_RETRY_AFTER = datetime.timedelta(milliseconds=300)
_NO_UPSTREAM_RETRY_AFTER = datetime.timedelta(milliseconds=500)
_MISDIRECTED = 421
_FAILED = 500
_PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that a request has not run."""

_log = logbook.Logger("forwarding")


class RetryingSender:
    """The attempts of one request.

    Parameters
    ----------
    parts : peridothitch.gateway.forwarding.attempt.AttemptDependencies
    job : peridothitch.gateway.forwarding.job.Job
    first : tuple of (peridothitch.ports.upstream.Host, placement.Estimate) or None
        The choice that the request was admitted by.
    """

    def __init__(self, deps, job, first=None):
        self._deps = deps
        self._job = job
        self._first = first
        self._lock = threading.Lock()
        self._cancel = None
        self._is_cancelled = False
        self._tried = set()
        self._runs = 0
        self._arrivals = 0
        self._sends = 0
        self._connect_failures = 0
        self._reported = False
        self._last_error = None

    @property
    def send_count(self):
        """How often the request was sent."""
        return self._sends

    def cancel(self):
        """Drop the request; its caller has left. Callable from any thread."""
        with self._lock:
            self._is_cancelled = True
            cancel = self._cancel
        if cancel is not None:
            cancel()

    @property
    def is_cancelled(self):
        """Whether the caller has left."""
        return self._is_cancelled

    def open(self, last_event_id=""):
        """Return the next `Attempt` whose answer may be passed on.

        Parameters
        ----------
        last_event_id : str
            Event after which a stream goes on.

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
                self._note_failure(attempt, error)
                continue
            except BaseException:
                attempt.release()
                raise
            if self._is_worth_repeating(attempt):
                attempt.release()
                attempt.complete()
                self.log_repeat(attempt, f"status {attempt.answer.status}")
                continue
            return attempt

    def can_resume(self, error):
        """Return whether a stream that broke off may go on elsewhere."""
        return (
            self._job.route.retry_policy is forwarding.RetryPolicy.RESUMABLE
            and not self._is_cancelled
            and self._runs < self._job.route.attempts
            and self._deps.clock.monotonic() < self._job.deadline
            and error.code is not errors.Code.DEADLINE_EXCEEDED
        )

    def record_interruption(self, attempt, error):
        """Learn from an answer that broke off."""
        host = attempt.host
        self._last_error = error
        if self._is_cancelled:
            return
        attempt.fail(error)
        if error.code is errors.Code.UPSTREAM_SILENT:
            self._deps.upstreams.suspend(host, "silent")
            return
        if not self._deps.transport.is_down(host):
            self._deps.upstreams.record_result(host, failed=True)
            return
        self._deps.upstreams.suspend(host, "down")
        crashed = f"{host.host_id}/{host.incarnation}"
        self._deps.crash_guard.publish_crash(self._job.digest, crashed)
        if self._deps.crash_guard.decide_quarantine(self._job.digest):
            _log.info(
                "request suspended",
                id=self._job.request_id,
                digest=self._job.digest,
                crashes=self._deps.crash_guard.crash_count(self._job.digest),
            )

    def record_start(self, moment):
        """Count the request as begun, once."""
        if not self._reported:
            self._reported = True
            self._deps.record_usage(self._job, moment)

    def _choose(self):
        job, deps = self._job, self._deps
        if self._is_cancelled:
            raise self._error(errors.Code.CALLER_GONE, "the caller has left")
        if deps.clock.monotonic() >= job.deadline:
            raise self._error(errors.Code.DEADLINE_EXCEEDED, "the time is up")
        if (
            self._sends >= _MAX_SENDS
            or self._connect_failures >= _MAX_CONNECT_FAILURES
            or (self._runs and self._runs >= job.route.attempts)
        ):
            raise self._exhausted("no attempt is left")
        if self._arrivals and not deps.budgets.spend(job.service):
            raise self._exhausted("the repeats are used up")
        chosen, self._first = self._first, None
        if chosen is None:
            versions = deps.moves.versions_for_repeat(job.service)
            chosen = deps.upstreams.choose(job.service, job.need, self._tried, versions)
        if chosen is None:
            raise self._exhausted("no upstream is left")
        return chosen

    def _send(self, attempt, last_event_id):
        job, deps = self._job, self._deps
        host = attempt.host
        self._tried.add(host.host_id)
        self._sends += 1
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
            deadline=min(job.deadline, self._suspicion(attempt, now)),
        )
        _log.info(
            "sent",
            id=job.request_id,
            host_id=host.host_id,
            hosts=deps.upstreams.revision,
            load_age_ms=_milliseconds(attempt.estimate.load_age),
            busy=attempt.estimate.busy,
            cached_tokens=int(attempt.estimate.cached_tokens),
            expected_ms=int(attempt.estimate.seconds * 1000),
            attempt=self._sends,
            rules=job.table_version,
            left_ms=int((job.deadline - now).total_seconds() * 1000),
        )
        answer = deps.transport.open(host, call, self._set_cancel)
        answer.set_deadline(job.deadline)
        attempt.answer = answer
        if answer.metadata.load is not None:
            deps.upstreams.record_load(host, answer.metadata.load)

    def _urgency(self):
        if not self._job.need.prompt_tokens:
            return None
        return min(_LAST_URGENCY, _FIRST_URGENCY + self._job.priority)

    def _suspicion(self, attempt, now):
        """Return when the answer's head is so late that another upstream is tried."""
        job = self._job
        if (
            job.route.retry_policy is not forwarding.RetryPolicy.SAFE
            or job.route.streamed
        ):
            return job.deadline
        if self._runs + 1 >= job.route.attempts:
            return job.deadline
        expected = datetime.timedelta(seconds=attempt.estimate.seconds)
        patience = max(_LEAST_SUSPICION, expected * _SUSPICION_FACTOR)
        return now + max(patience, job.route.latency_objective / 2)

    def _set_cancel(self, cancel):
        with self._lock:
            self._cancel = cancel
            is_cancelled = self._is_cancelled
        if is_cancelled:
            cancel()

    def _check(self, attempt):
        """Refuse answers that say that the request did not run or can't be trusted."""
        metadata, status = attempt.answer.metadata, attempt.answer.status
        if metadata.not_executed or status == _MISDIRECTED:
            self._arrivals += 1
            self._drain(attempt.answer)
            raise errors.UpstreamError(
                errors.Code.UPSTREAM_REFUSED, f"status {status}", errors.Ran.NO
            )
        if not metadata.request_id or (200 <= status < 300 and not metadata.signed):
            raise errors.UpstreamError(
                errors.Code.ANSWER_INVALID,
                f"status {status} without signature or id",
                errors.Ran.UNKNOWN,
            )
        self._arrivals += 1
        self._runs += 1
        self._deps.upstreams.record_result(attempt.host, failed=status >= _FAILED)

    def _drain(self, answer):
        """Read a refusal to its end, so that its connection can be used again."""
        try:
            while answer.read_some():
                pass
        except errors.UpstreamError as error:
            _log.debug("refusal cut off: {}", error.detail)

    def _note_failure(self, attempt, error):
        job, host = self._job, attempt.host
        self._last_error = error
        if error.ran is errors.Ran.NO:
            # A refusal tells of an upstream's load, not of its version.
            if attempt.answer is None:
                self._sends -= 1
                self._connect_failures += 1
                self._deps.upstreams.suspend(host, "connect")
                if not self._is_cancelled:
                    attempt.fail(error)
        else:
            self._runs += 1
            self._arrivals += 1
            self.record_interruption(attempt, error)
            self.record_start(attempt.sent_at)
        if self._is_cancelled:
            raise self._error(errors.Code.CALLER_GONE, "the caller has left")
        if error.ran is not errors.Ran.NO and not job.may_repeat:
            raise self.to_request_error(error)
        self.log_repeat(attempt, error.detail)

    def _is_worth_repeating(self, attempt):
        job = self._job
        if attempt.answer.status < _FAILED or not job.may_repeat:
            return False
        if self._runs >= job.route.attempts or self._is_cancelled:
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
        """Log that the request goes to another upstream, and count it."""
        self._deps.metrics.count("repeats", service=self._job.service)
        _log.info(
            "tried elsewhere",
            id=self._job.request_id,
            host_id=attempt.host.host_id,
            reason=reason,
            runs=self._runs,
            sends=self._sends,
        )

    def _exhausted(self, detail):
        error = self._last_error
        if self._runs:
            return self.to_request_error(error)
        if error is not None:
            return self._error(
                errors.Code.UPSTREAMS_BUSY,
                f"{detail}; last: {error.detail}",
                _REFUSAL_RETRY_AFTER,
            )
        return self._error(errors.Code.NO_UPSTREAM, detail, _NO_UPSTREAM_RETRY_AFTER)

    def to_request_error(self, error):
        """Return what the caller is told of an attempt that may have run."""
        code = error.code
        if self._deps.clock.monotonic() >= self._job.deadline:
            code = errors.Code.DEADLINE_EXCEEDED
        elif code is errors.Code.UPSTREAM_REFUSED:
            code = errors.Code.OUTCOME_UNKNOWN
        return errors.RequestError(code, error.detail, errors.Ran.UNKNOWN)

    def _error(self, code, detail, retry_after=None):
        ran = errors.Ran.UNKNOWN if self._runs else errors.Ran.NO
        return errors.RequestError(code, detail, ran, retry_after)


def _milliseconds(seconds):
    return None if seconds is None else int(seconds * 1000)


def means_not_run(status):
    """Return whether a status promises callers that a request has not run."""
    return status in _PROMISES
