"""Tries upstreams for a request until one answers."""

import dataclasses
import datetime
import random
import threading

from peridothitch import errors
from peridothitch.policy import cache_moves, retries
from peridothitch.policy import document as documents
from peridothitch.ports import upstream

__all__ = ["Dispatcher", "Search"]

_MIN_FAILED_STATUS = 500
_SHED_RETRY_AFTER = datetime.timedelta(seconds=1)
_CRASH_REPORT_WAIT = datetime.timedelta(seconds=1)
_SUSPECT_RECHECK_INTERVAL = datetime.timedelta(milliseconds=200)
_MIN_CRASHES_FOR_QUARANTINE = 2
_CODES_WITHOUT_HOST_FAULT = frozenset(
    {errors.Code.CONNECTION_SILENT, errors.Code.DEADLINE_EXCEEDED}
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dispatcher:
    """Creates searches for upstreams; its attributes are what they depend on.

    Attributes
    ----------
    runner : peridothitch.gateway.attempts.AttemptRunner
    view : peridothitch.gateway.upstreams.UpstreamView
    version_picker : peridothitch.gateway.versions.VersionPicker
    guard : peridothitch.gateway.quarantine.CrashGuard
    leaving_upstreams : peridothitch.gateway.leaving_upstreams.LeavingUpstreams
    limits : peridothitch.gateway.limits.UpstreamLimits
    health : peridothitch.gateway.limits.UpstreamHealth
    budgets : peridothitch.gateway.limits.RetryBudgets
    mover : peridothitch.gateway.cache_moves.CacheMover
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    data_centre : str
        Data centre of this entry host.
    random_source : random.Random
    """

    runner: object
    view: object
    version_picker: object
    guard: object
    leaving_upstreams: object
    limits: object
    health: object
    budgets: object
    mover: object
    clock: object
    metrics: object
    data_centre: str
    random_source: random.Random = dataclasses.field(default_factory=random.Random)

    def capacity(self, service, priority):
        """Return how many requests of a service may be in progress from this host."""
        live = (
            host.host_id
            for host in self.leaving_upstreams.mark(self.view.hosts(service))
            if host.state is upstream.HostState.LIVE
        )
        return self.limits.capacity(live, priority)

    def search(self, job, span, avoided=()):
        """Return a `Search` for a request that leaves out the hosts `avoided`."""
        return Search(self, job, span, avoided)


class Search:
    """The attempts of one request.

    Parameters
    ----------
    dispatcher : Dispatcher
    job : peridothitch.gateway.jobs.Job
    span : opentelemetry.trace.Span
    avoided : iterable of str
        Host ids that another search of the request uses.
    """

    def __init__(self, dispatcher, job, span, avoided=()):
        self._dispatcher = dispatcher
        self._job = job
        self._span = span
        self._durable = job.route.effect is documents.Effect.DURABLE
        self._tried = set(avoided)
        self._attempts = 0
        self._empty_rounds = 0
        self._may_have_run = False
        self._host = None
        self._migration_source = None
        self._has_cache = False
        self._never_set = threading.Event()
        self._version = None
        self._last_error = None
        dispatcher.budgets.record_request(job.match.name)

    def open(self, resume=None):
        """Return the next attempt whose answer has begun.

        Parameters
        ----------
        resume : peridothitch.policy.resumption.ResumePoint or None
            Position in the answer from which the attempt resumes.

        Returns
        -------
        peridothitch.gateway.attempts.Attempt

        Raises
        ------
        peridothitch.errors.RequestError
            No attempt is left.
        """
        job = dataclasses.replace(self._job, resume=resume)
        while True:
            self._host = self._next_host()
            self._attempts += 1
            self._has_cache = self._move_cache(job)
            try:
                attempt = self._dispatcher.runner.open(job, self._host, self._span)
            except errors.UpstreamError as error:
                self.handle_failure(error)
                continue
            self._record_status(attempt)
            if not self._should_retry(attempt):
                return attempt

    def host_ids(self):
        """Return the ids of the hosts used so far."""
        current = {self._host.host_id} if self._host is not None else set()
        return frozenset(self._tried | current)

    @property
    def has_cache(self):
        """Whether the last attempt's upstream received the stream's KV cache."""
        return self._has_cache

    def should_migrate(self, remaining_tokens, token_gap):
        """Return whether to migrate the stream to another upstream now."""
        marked = self._dispatcher.leaving_upstreams.mark([self._current_host()])
        if marked[0].state is upstream.HostState.LIVE:
            return False
        return cache_moves.should_move(remaining_tokens, token_gap)

    def _current_host(self):
        listed = self._dispatcher.view.hosts(self._job.route.service)
        for host in listed:
            if host.host_id == self._host.host_id:
                return host
        return self._host

    def start_migration(self):
        """Resume at another upstream next, with the KV cache if that is cheaper."""
        self._tried.add(self._host.host_id)
        self._migration_source = self._host
        self._attempts -= 1
        self._dispatcher.metrics.count("streams_moved")

    def _move_cache(self, job):
        source, self._migration_source = self._migration_source, None
        if source is None or job.resume is None:
            return False
        return self._dispatcher.mover.move(job, source, self._host)

    def _record_status(self, attempt):
        if attempt.status < _MIN_FAILED_STATUS:
            self._dispatcher.health.record_answer(self._host.host_id)
        else:
            self._dispatcher.health.record_failure(self._host.host_id)

    def _should_retry(self, attempt):
        if attempt.status < _MIN_FAILED_STATUS:
            return False
        error = errors.UpstreamError(
            errors.Code.UPSTREAM_FAILED, f"status {attempt.status}", errors.Ran.YES
        )
        if not retries.may_repeat(self._job.route.effect, error):
            return False
        if not self._durable and not self._spend_retry():
            return False
        attempt.fail(error)
        self._may_have_run = True
        self._tried.add(self._host.host_id)
        return True

    def handle_failure(self, error):
        """Record a failed attempt and decide whether another one may follow.

        Parameters
        ----------
        error : peridothitch.errors.UpstreamError

        Raises
        ------
        peridothitch.errors.RequestError
            No further attempt may follow.
        """
        self._last_error = error
        self._may_have_run |= error.ran is not errors.Ran.NO
        if error.code not in _CODES_WITHOUT_HOST_FAULT:
            self._tried.add(self._host.host_id)
            self._dispatcher.health.record_failure(self._host.host_id)
        self._check_quarantine()
        if not retries.may_repeat(self._job.route.effect, error):
            raise self._to_request_error(error)
        if not self._durable and not self._spend_retry():
            raise self._to_request_error(error)

    def _spend_retry(self):
        if self._attempts >= self._job.route.attempts:
            return False
        return self._dispatcher.budgets.spend(self._job.match.name)

    def _check_quarantine(self):
        guard = self._dispatcher.guard
        digest = self._job.digest
        if guard.crash_count(digest) < _MIN_CRASHES_FOR_QUARANTINE:
            return
        # Crashes that other entry hosts report show which request is to blame.
        self._dispatcher.clock.wait(self._never_set, _CRASH_REPORT_WAIT)
        if guard.decide_quarantine(digest):
            raise errors.RequestError(
                errors.Code.REQUEST_QUARANTINED,
                "the request crashed upstreams",
                errors.Ran.UNKNOWN,
            )

    def _to_request_error(self, error):
        ran = errors.Ran.UNKNOWN if self._may_have_run else error.ran
        code = error.code
        once = self._job.route.effect is documents.Effect.ONCE
        if once and ran is errors.Ran.UNKNOWN:
            code = errors.Code.OUTCOME_UNKNOWN
        return errors.RequestError(code, error.detail, ran)

    def _next_host(self):
        while True:
            host = self._choose()
            if host is not None:
                return host
            self._wait_for_hosts()

    def _choose(self):
        dispatcher = self._dispatcher
        job = self._job
        if self._version is None:
            self._version = dispatcher.version_picker.pick(job)
        in_flight = dispatcher.view.in_flight()
        listed = dispatcher.view.hosts(job.route.service)
        hosts = self._filter_eligible(dispatcher.leaving_upstreams.mark(listed))
        open_hosts = [
            host
            for host in hosts
            if dispatcher.limits.allows(
                host.host_id, in_flight.get(host.host_id, 0), job.route.priority
            )
        ]
        if hosts and not open_hosts and not self._durable:
            raise self._make_overload_error()
        preferred = dispatcher.health.prefer(self._without_suspect_hosts(open_hosts))
        allowed = {host.host_id for host in preferred}
        excluded = {host.host_id for host in listed} - allowed
        decision = dispatcher.view.choose(job, self._version, excluded)
        if decision is None:
            return None
        self._span.set_attribute("choice", decision.explain())
        return decision.host

    def _filter_eligible(self, hosts):
        return [
            host
            for host in hosts
            if host.state is upstream.HostState.LIVE
            and host.version == self._version
            and host.host_id not in self._tried
        ]

    def _make_overload_error(self):
        self._dispatcher.metrics.count("shed_requests")
        ran = errors.Ran.UNKNOWN if self._may_have_run else errors.Ran.NO
        return errors.RequestError(
            errors.Code.OVERLOADED,
            "all upstreams are at their limit",
            ran,
            retry_after=_SHED_RETRY_AFTER,
        )

    def _without_suspect_hosts(self, hosts):
        """Leave out hosts that run other suspects if this request is a suspect."""
        guard = self._dispatcher.guard
        if not guard.is_suspect(self._job.digest):
            return hosts
        for _ in range(int(_CRASH_REPORT_WAIT / _SUSPECT_RECHECK_INTERVAL)):
            occupied = guard.suspect_host_ids()
            free = [host for host in hosts if host.host_id not in occupied]
            if free or not hosts:
                return free
            self._dispatcher.clock.wait(self._never_set, _SUSPECT_RECHECK_INTERVAL)
        return hosts

    def _wait_for_hosts(self):
        self._empty_rounds += 1
        self._version = None
        delay = retries.backoff(
            self._empty_rounds, self._dispatcher.random_source.random()
        )
        late = self._dispatcher.clock.monotonic() + delay >= self._job.deadline
        if late or not self._durable and self._empty_rounds > 1:
            raise self._make_no_upstream_error()
        if self._durable:
            self._tried.clear()
            self._dispatcher.clock.wait(self._never_set, delay)

    def _make_no_upstream_error(self):
        if self._last_error is not None:
            return self._to_request_error(self._last_error)
        return self._to_request_error(
            errors.UpstreamError(
                errors.Code.NO_UPSTREAM,
                f"no live host runs {self._job.route.service}",
                errors.Ran.NO,
            )
        )
