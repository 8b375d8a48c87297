"""Admits requests before they run and settles their usage."""

import contextlib
import dataclasses
import functools

from peridothitch import errors
from peridothitch.coordination import spending
from peridothitch.policy import bill
from peridothitch.policy import spending as prices
from peridothitch.ports import outcomes

__all__ = ["Admission", "SpendingAdmission", "Usage"]

CHARACTERS_PER_TOKEN = 4
"""Characters of a prompt that make one token on average."""


@dataclasses.dataclass(kw_only=True)
class Usage:
    """Usage of a request so far; updated while it runs.

    Attributes
    ----------
    ran : bool
        Whether an upstream executed it, or may have.
    prompt_tokens, completion_tokens : int
        Tokens that the customer pays for.
    recomputed_tokens : int
        Tokens computed again after a failure; not charged to the customer.
    """

    ran: bool = False
    prompt_tokens: int = 0
    completion_tokens: int = 0
    recomputed_tokens: int = 0


class Admission:
    """Admits every request."""

    @contextlib.contextmanager
    def admit(self, job):
        """Admit a request for as long as the context is open.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job

        Yields
        ------
        Usage
            Settled when the context closes.

        Raises
        ------
        peridothitch.errors.RequestError
            The request is shed or a limit is reached; it did not run.
        """
        yield Usage()


def _prompt_characters(job):
    if job.chat is None:
        return 0
    return sum(len(str(message)) for message in job.chat["messages"])


def _charges_for(job, now):
    """Return the charges for a request's worst case, one for each limit."""
    characters = _prompt_characters(job)
    tokens = job.max_tokens if job.chat is not None else 0
    charges = []
    for name, limit in job.document.limit_by_name.items():
        if limit.customer != job.customer:
            continue
        charges.append(
            spending.Charge(
                limit_name=name,
                limit_micros=prices.to_micros(limit.amount),
                revision=job.document.revision,
                period=prices.find_period(now, limit.period),
                amount=prices.worst_case_cost(limit, characters, tokens),
            )
        )
    return charges


class SpendingAdmission(Admission, outcomes.AttemptObserver):
    """Admits requests whose worst-case cost fits into the customer's limits.

    Parameters
    ----------
    spending_limiter : peridothitch.coordination.spending.SpendingLimiter
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    recorder : peridothitch.coordination.usage.UsageRecorder
    """

    def __init__(self, spending_limiter, clock, metrics, recorder):
        self._spending_limiter = spending_limiter
        self._recorder = recorder
        self._clock = clock
        self._metrics = metrics
        self._usage_by_request_id = {}

    @contextlib.contextmanager
    def admit(self, job):
        """Reserve the worst-case cost while the context is open, then settle."""
        reservation = self._spending_limiter.reserve(
            _charges_for(job, self._clock.now())
        )
        usage = Usage(prompt_tokens=_prompt_characters(job) // CHARACTERS_PER_TOKEN)
        # Requests repeated with one idempotency key share their id; one of them runs.
        registered = self._usage_by_request_id.setdefault(job.request_id, usage)
        try:
            yield usage
        finally:
            if registered is usage:
                del self._usage_by_request_id[job.request_id]
            self._settle(job, reservation, usage)

    def observe(self, outcome):
        """Count the tokens of an attempt; one that did not run is free."""
        usage = self._usage_by_request_id.get(outcome.request_id)
        if usage is None or outcome.ran is errors.Ran.NO:
            return
        usage.ran = True
        usage.completion_tokens += outcome.token_count

    def _settle(self, job, reservation, usage):
        cost = functools.partial(_cost, job.document, usage)
        charged = self._spending_limiter.settle(reservation, cost)
        labels = {"customer": job.customer, "route": job.match.name}
        self._metrics.count("charged_micros", charged, **labels)
        self._metrics.count("completion_tokens", usage.completion_tokens, **labels)
        self._record(job, usage, charged)

    def _record(self, job, usage, charged):
        if not usage.ran:
            return
        tokens = usage.prompt_tokens + usage.completion_tokens
        self._recorder.add(
            bill.UsageKey(job.customer, job.match.name, bill.Cause.ANSWER.value),
            bill.Usage(1, tokens, charged),
        )
        if usage.recomputed_tokens:
            self._recorder.add(
                bill.UsageKey(
                    job.customer, job.match.name, bill.Cause.RECOMPUTED.value
                ),
                bill.Usage(0, usage.recomputed_tokens, 0),
            )


def _cost(document, usage, charge):
    if not usage.ran:
        return 0
    limit = document.limit_by_name[charge.limit_name]
    tokens = usage.prompt_tokens + usage.completion_tokens
    return prices.actual_cost(limit, tokens)
