"""Finds upstreams for a request until one answers."""

import dataclasses
import datetime
import random
import threading

from peridothitch import errors
from peridothitch.policy import cache_moves, retries
from peridothitch.policy import document as documents
from peridothitch.ports import upstream

__all__ = ["Dispatcher", "Search"]

_FAILED_STATUS = 500
_SHED_RETRY_AFTER = datetime.timedelta(seconds=1)
_JUDGE_WAIT = datetime.timedelta(seconds=1)
_SUSPECT_WAIT = datetime.timedelta(milliseconds=200)
_JUDGED_CRASHES = 2
_BLAMELESS_CODES = frozenset(
    {errors.Code.CONNECTION_SILENT, errors.Code.DEADLINE_EXCEEDED}
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dispatcher:
    """What a search for upstreams needs.

    Attributes
    ----------
    runner : peridothitch.gateway.attempts.AttemptRunner
    view : peridothitch.gateway.upstreams.UpstreamView
    version_picker : peridothitch.gateway.versions.VersionPicker
    guard : peridothitch.gateway.quarantine.CrashGuard
    leaving : peridothitch.gateway.leaving_upstreams.LeavingUpstreams
    limits : peridothitch.gateway.limits.UpstreamLimits
    health : peridothitch.gateway.limits.UpstreamHealth
    budgets : peridothitch.gateway.limits.RetryBudgets
    mover : peridothitch.gateway.cache_moves.CacheMover
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    data_centre : str
        Where this entry host is.
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
        """Return how many requests of a service may be in progress from here."""
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
    parts : Dispatcher
    job : peridothitch.gateway.jobs.Job
    span : opentelemetry.trace.Span
    avoided : iterable of str
        Host ids that another search of the request uses.
    """

    def __init__(self, parts, job, span, avoided=()):
        self._parts = parts
        self._job = job
        self._span = span
        self._durable = job.route.effect is documents.Effect.DURABLE
        self._tried = set(avoided)
        self._attempts = 0
        self._rounds = 0
        self._may_have_run = False
        self._host = None
        self._source = None
        self._has_cache = False
        self._never = threading.Event()
        self._version = None
        self._last_error = None
        parts.budgets.record_request(job.match.name)

    def open(self, resume=None):
        """Return the next attempt whose answer has begun.

        Parameters
        ----------
        resume : peridothitch.policy.resumption.ResumePoint or None
            Where the attempt goes on.

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
                attempt = self._parts.runner.open(job, self._host, self._span)
            except errors.UpstreamError as error:
                self.handle_failure(error)
                continue
            self._note_answer(attempt)
            if not self._is_worth_repeating(attempt):
                return attempt

    def host_ids(self):
        """Return the ids of the hosts used so far."""
        current = {self._host.host_id} if self._host is not None else set()
        return frozenset(self._tried | current)

    @property
    def has_cache(self):
        """Whether the last attempt's upstream got the KV cache of the tokens known."""
        return self._has_cache

    def should_migrate(self, remaining_tokens, token_gap):
        """Return whether the stream should move away from its upstream now."""
        marked = self._parts.leaving_upstreams.mark([self._current()])
        if marked[0].state is upstream.HostState.LIVE:
            return False
        return cache_moves.should_move(remaining_tokens, token_gap)

    def _current(self):
        listed = self._parts.view.hosts(self._job.route.service)
        for host in listed:
            if host.host_id == self._host.host_id:
                return host
        return self._host

    def start_migration(self):
        """Go on elsewhere, with the KV cache if that is cheaper."""
        self._tried.add(self._host.host_id)
        self._source = self._host
        self._attempts -= 1
        self._parts.metrics.count("streams_moved")

    def _move_cache(self, job):
        source, self._source = self._source, None
        if source is None or job.resume is None:
            return False
        return self._parts.mover.move(job, source, self._host)

    def _note_answer(self, attempt):
        if attempt.status < _FAILED_STATUS:
            self._parts.health.record_answer(self._host.host_id)
        else:
            self._parts.health.record_failure(self._host.host_id)

    def _is_worth_repeating(self, attempt):
        if attempt.status < _FAILED_STATUS:
            return False
        error = errors.UpstreamError(
            errors.Code.UPSTREAM_FAILED, f"status {attempt.status}", errors.Ran.YES
        )
        if not retries.may_repeat(self._job.route.effect, error):
            return False
        if not self._durable and not self._may_spend():
            return False
        attempt.fail(error)
        self._may_have_run = True
        self._tried.add(self._host.host_id)
        return True

    def handle_failure(self, error):
        """Take note of a failed attempt.

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
        if error.code not in _BLAMELESS_CODES:
            self._tried.add(self._host.host_id)
            self._parts.health.record_failure(self._host.host_id)
        self._judge_crashes()
        if not retries.may_repeat(self._job.route.effect, error):
            raise self._final(error)
        if not self._durable and not self._may_spend():
            raise self._final(error)

    def _may_spend(self):
        if self._attempts >= self._job.route.attempts:
            return False
        return self._parts.budgets.spend(self._job.match.name)

    def _judge_crashes(self):
        guard = self._parts.guard
        digest = self._job.digest
        if guard.crash_count(digest) < _JUDGED_CRASHES:
            return
        # Other entry hosts' crashes tell innocents from the request to blame.
        self._parts.clock.wait(self._never, _JUDGE_WAIT)
        if guard.decide_quarantine(digest):
            raise errors.RequestError(
                errors.Code.REQUEST_QUARANTINED,
                "the request crashed upstreams",
                errors.Ran.UNKNOWN,
            )

    def _final(self, error):
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
        parts = self._parts
        job = self._job
        if self._version is None:
            self._version = parts.version_picker.pick(job)
        in_flight = parts.view.in_flight()
        listed = parts.view.hosts(job.route.service)
        hosts = self._fitting(parts.leaving_upstreams.mark(listed))
        open_hosts = [
            host
            for host in hosts
            if parts.limits.allows(
                host.host_id, in_flight.get(host.host_id, 0), job.route.priority
            )
        ]
        if hosts and not open_hosts and not self._durable:
            raise self._shed()
        preferred = parts.health.prefer(self._apart(open_hosts))
        allowed = {host.host_id for host in preferred}
        excluded = {host.host_id for host in listed} - allowed
        decision = parts.view.choose(job, self._version, excluded)
        if decision is None:
            return None
        self._span.set_attribute("choice", decision.explain())
        return decision.host

    def _fitting(self, hosts):
        return [
            host
            for host in hosts
            if host.state is upstream.HostState.LIVE
            and host.version == self._version
            and host.host_id not in self._tried
        ]

    def _shed(self):
        self._parts.metrics.count("shed_requests")
        ran = errors.Ran.UNKNOWN if self._may_have_run else errors.Ran.NO
        return errors.RequestError(
            errors.Code.OVERLOADED,
            "all upstreams are at their limit",
            ran,
            retry_after=_SHED_RETRY_AFTER,
        )

    def _apart(self, hosts):
        """Keep a suspect of a crash away from other suspects."""
        guard = self._parts.guard
        if not guard.is_suspect(self._job.digest):
            return hosts
        for _ in range(int(_JUDGE_WAIT / _SUSPECT_WAIT)):
            occupied = guard.suspect_host_ids()
            free = [host for host in hosts if host.host_id not in occupied]
            if free or not hosts:
                return free
            self._parts.clock.wait(self._never, _SUSPECT_WAIT)
        return hosts

    def _wait_for_hosts(self):
        self._rounds += 1
        self._version = None
        delay = retries.backoff(self._rounds, self._parts.random_source.random())
        late = self._parts.clock.monotonic() + delay >= self._job.deadline
        if late or not self._durable and self._rounds > 1:
            raise self._no_upstream()
        if self._durable:
            self._tried.clear()
            self._parts.clock.wait(self._never, delay)

    def _no_upstream(self):
        if self._last_error is not None:
            return self._final(self._last_error)
        return self._final(
            errors.UpstreamError(
                errors.Code.NO_UPSTREAM,
                f"no live host runs {self._job.route.service}",
                errors.Ran.NO,
            )
        )
