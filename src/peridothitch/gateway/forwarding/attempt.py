"""One sending of a request to one upstream."""

import dataclasses
import datetime

from peridothitch.ports import forwarding

__all__ = ["Attempt", "AttemptParts"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptParts:
    """What attempts need.

    Attributes
    ----------
    book : peridothitch.gateway.forwarding.host_book.HostBook
    transport : peridothitch.ports.raw.RawTransport
    dialect : peridothitch.ports.forwarding.Dialect
    budgets : peridothitch.gateway.forwarding.retry_budgets.RetryBudgets
    guard : peridothitch.gateway.quarantine.CrashGuard
    usage : callable
        Called with a `Job` and the monotonic time at which it began to run.
    allowed_versions : callable
        Returns the versions of a service that a request may run at, None for all.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    book: object
    transport: object
    dialect: object
    budgets: object
    guard: object
    usage: object
    allowed_versions: object
    clock: object
    metrics: object


class Attempt:
    """One answer of an upstream whose head has arrived.

    Attributes
    ----------
    host : peridothitch.ports.upstream.Host
    answer : peridothitch.ports.raw.RawAnswer
    marks : peridothitch.ports.forwarding.AnswerMarks
    sent : datetime.timedelta
        Monotonic time at which the request was sent.
    estimate : peridothitch.policy.placement.Estimate
    """

    def __init__(self, parts, job, host, estimate):
        self._parts = parts
        self._job = job
        self._uncached = parts.book.start(host, job.need)
        self._has_begun = False
        self._ended = False
        self.host = host
        self.estimate = estimate
        self.sent = parts.clock.monotonic()
        self.answer = None
        self.marks = forwarding.AnswerMarks()

    def note_first(self):
        """Note that the answer, or a stream's first event, has arrived."""
        if self._has_begun:
            return
        self._has_begun = True
        took = (self._parts.clock.monotonic() - self.sent).total_seconds()
        self._parts.book.note_first(
            self.host, self._uncached, self.estimate.seconds, took
        )
        self._parts.metrics.observe(
            "upstream_first_byte",
            datetime.timedelta(seconds=took),
            service=self.host.service,
        )

    def end(self):
        """Drop what is left of the answer and the request's part in the load."""
        if self._ended:
            return
        self._ended = True
        if self.answer is not None:
            self.answer.close()
        self._parts.book.end(self.host, self._uncached, self._has_begun)
