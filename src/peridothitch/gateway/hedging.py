"""Sends slow idempotent lookups to a second upstream; the first answer is used."""

import concurrent.futures
import threading

from peridothitch import errors
from peridothitch.gateway import idempotency
from peridothitch.policy import hedging

__all__ = ["HedgedLookups"]


class HedgedLookups:
    """Answers lookups, with a second request to another upstream if one is slow.

    Parameters
    ----------
    dispatcher : peridothitch.gateway.dispatch.Dispatcher
    executor : concurrent.futures.Executor
        Runs the attempts.
    """

    def __init__(self, dispatcher, executor):
        self._dispatcher = dispatcher
        self._executor = executor
        self._lock = threading.Lock()
        self._delay_by_route = {}

    def may_hedge(self, job):
        """Return whether a request may be hedged."""
        return hedging.may_hedge(
            job.request.method, job.route.effect, job.service.protocol
        )

    def answer(self, job, span):
        """Return the first reply.

        A second upstream is tried if there is no reply within the route's hedge delay
        and the route's retry budget permits it.

        Raises
        ------
        peridothitch.errors.RequestError
            All attempts failed.
        """
        search = self._dispatcher.search(job, span)
        first = self._executor.submit(self._read, search, job)
        delay = self._hedge_delay(job.match.name).estimate
        done, _ = concurrent.futures.wait([first], delay.total_seconds())
        if done or not self._dispatcher.budgets.spend(job.match.name):
            return first.result()
        self._dispatcher.metrics.count("hedged_requests", route=job.match.name)
        second_search = self._dispatcher.search(job, span, avoided=search.host_ids())
        second = self._executor.submit(self._read, second_search, job)
        return _wait_for_first(first, second)

    def _read(self, search, job):
        clock = self._dispatcher.clock
        started = clock.monotonic()
        reply = idempotency.read_answer(search, job)
        latency = clock.monotonic() - started
        with self._lock:
            delay = self._hedge_delay(job.match.name).after_answer(latency)
            self._delay_by_route[job.match.name] = delay
        return reply

    def _hedge_delay(self, route_name):
        return self._delay_by_route.get(route_name, hedging.HedgeDelay())


def _wait_for_first(first, second):
    pending = {first, second}
    while pending:
        done, pending = concurrent.futures.wait(
            pending, return_when=concurrent.futures.FIRST_COMPLETED
        )
        for future in done:
            if future.exception() is None:
                return future.result()
    # The error must be true of both attempts: report one that may have run, if any.
    failures = sorted((first.exception(), second.exception()), key=_may_have_run)
    raise failures[-1]


def _may_have_run(error):
    return getattr(error, "ran", errors.Ran.UNKNOWN) is not errors.Ran.NO
