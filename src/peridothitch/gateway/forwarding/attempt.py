"""One sending of a request to one upstream."""

import dataclasses

from peridothitch import errors
from peridothitch.ports import outcomes

__all__ = ["Attempt", "AttemptDependencies"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptDependencies:
    """What attempts need.

    Attributes
    ----------
    book : peridothitch.gateway.forwarding.upstream_pool.UpstreamPool
    transport : peridothitch.ports.raw.RawTransport
    dialect : peridothitch.ports.forwarding.HeaderCodec
    budgets : peridothitch.gateway.forwarding.retry_budgets.RetryBudgets
    guard : peridothitch.gateway.quarantine.CrashGuard
    usage : callable
        Called with a `Job` and the monotonic time at which it began to run.
    moves : peridothitch.gateway.forwarding.version_moves.VersionMoves
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    upstreams: object
    transport: object
    header_codec: object
    budgets: object
    crash_guard: object
    record_usage: object
    moves: object
    clock: object
    metrics: object


class Attempt:
    """One answer of an upstream whose head has arrived.

    Attributes
    ----------
    host : peridothitch.ports.upstream.Host
    answer : peridothitch.ports.raw.RawResponse
    sent : datetime.timedelta
        Monotonic time at which the request was sent.
    estimate : peridothitch.policy.placement.Estimate
    """

    def __init__(self, deps, job, host, estimate):
        self._deps = deps
        self._job = job
        self._uncached = deps.upstreams.begin_request(host, job.need)
        self._has_begun = False
        self._ended = False
        self.host = host
        self.estimate = estimate
        self.sent_at = deps.clock.monotonic()
        self.answer = None
        self._first_byte = None
        self._event_count = 0

    def record_first_byte(self):
        """Note that the answer, or a stream's first event, has arrived."""
        if self._has_begun:
            return
        self._has_begun = True
        self._first_byte = self._deps.clock.monotonic() - self.sent_at
        self._deps.upstreams.record_first_byte(
            self.host,
            self._uncached,
            self.estimate.seconds,
            self._first_byte.total_seconds(),
        )
        self._deps.metrics.observe(
            "upstream_first_byte", self._first_byte, service=self.host.service
        )

    def record_events(self, count):
        """Count events of a stream."""
        self._event_count += count

    def complete(self):
        """Note that the whole answer has arrived."""
        self._report(None, errors.Ran.YES)

    def fail(self, error):
        """Note the `peridothitch.errors.UpstreamError` that ended the answer."""
        self._report(error.code, error.ran)

    def _report(self, code, ran):
        """Tell those who compare versions what the attempt came to."""
        host, job = self.host, self._job
        if not self._deps.moves.is_watched(host.service):
            return
        outcome = outcomes.AttemptOutcome(
            # Repeats of a request that crashes hosts have other ids.
            request_id=job.digest,
            service=host.service,
            version=host.version,
            route=job.route.name,
            customer=job.customer_name,
            host_id=host.host_id,
            data_centre=host.data_centre,
            ended=self._deps.moves.now(),
            first_byte=self._first_byte,
            duration=self._deps.clock.monotonic() - self.sent_at,
            status=self.answer.status if self.answer is not None else 0,
            code=code,
            ran=ran,
            token_count=self._event_count,
            host_leaving=not self._deps.upstreams.is_live(host),
        )
        self._deps.moves.observe(outcome)

    def release(self):
        """Drop what is left of the answer and the request's part in the load."""
        if self._ended:
            return
        self._ended = True
        if self.answer is not None:
            self.answer.close()
        self._deps.upstreams.end_request(self.host, self._uncached, self._has_begun)
