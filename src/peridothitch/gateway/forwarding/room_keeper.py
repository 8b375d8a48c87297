"""Gives requests for modelled services room at an upstream, or refuses them."""

import datetime
import random

import logbook

from peridothitch import errors
from peridothitch.gateway.forwarding import waiting_room
from peridothitch.policy import return_times, room

__all__ = ["RoomKeeper"]

_MAX_LOOKS = 3
"""Choices made before a request waits or is refused: each compares a few upstreams."""

_log = logbook.Logger("forwarding")


class RoomKeeper:
    """Admits requests, lets them wait a moment or refuses them.

    Parameters
    ----------
    account : peridothitch.gateway.forwarding.room_account.RoomAccount
    choose : callable
        Called with a job; returns the best upstream and its estimate, or None.
    count_active : callable
        Returns the number of requests in progress here.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None
    """

    def __init__(
        self, account, choose, count_active, clock, metrics, random_source=None
    ):
        self._account = account
        self._choose = choose
        self._clock = clock
        self._metrics = metrics
        self._random = random_source or random.Random()
        self._waiting_room = waiting_room.WaitingRoom(clock, count_active, metrics)

    def admit(self, job, chosen, response_writer):
        """Return the upstream for a request and its estimate.

        Parameters
        ----------
        job : peridothitch.gateway.forwarding.job.Job
        chosen : tuple of (peridothitch.ports.upstream.Host, placement.Estimate)
        response_writer : peridothitch.ports.raw.ResponseWriter

        Raises
        ------
        peridothitch.errors.RequestError
            There is no room for it in its time, or its caller left while it waited.
        """
        now = self._clock.monotonic()
        ticket = self._account.open(job, chosen[1], self._random.random(), now)
        chosen, decision, prospect = self._look(ticket, chosen, now)
        if decision.verdict is room.Verdict.WAIT:
            chosen, decision, prospect = self._wait(
                ticket, chosen, decision, prospect, response_writer
            )
        self._account.record_decision(ticket, decision, self._clock.monotonic())
        is_admitted = decision.verdict is room.Verdict.ADMIT
        self._metrics.count(
            "room_decisions",
            service=job.service,
            priority=job.priority,
            verdict="admit" if is_admitted else "refuse",
            reason=decision.reason.value,
        )
        if is_admitted:
            return chosen
        raise self._refusal(decision, prospect)

    def _look(self, ticket, chosen, now):
        """Return the first upstream with room, its decision and prospect.

        Others are asked for only where a request would not be admitted: requests that
        all took the best of many upstreams would overload it.
        """
        decision, prospect = self._account.judge(ticket, *chosen, now)
        for _ in range(_MAX_LOOKS - 1):
            is_admitted = decision.verdict is room.Verdict.ADMIT
            if is_admitted or decision.reason not in room.UPSTREAM_REASONS:
                break
            other = self._choose(ticket.job)
            if other is None:
                break
            found, other_prospect = self._account.judge(ticket, *other, now)
            has_room = found.verdict is room.Verdict.ADMIT
            if has_room or other_prospect.start < prospect.start:
                chosen, decision, prospect = other, found, other_prospect
        return chosen, decision, prospect

    def _wait(self, ticket, chosen, decision, prospect, response_writer):
        job = ticket.job
        place = waiting_room.Place(
            service=job.service,
            priority=job.priority,
            slack=-prospect.lateness,
            use=self._account.use_of(job, self._clock.monotonic()),
        )
        until = job.request.arrived + datetime.timedelta(
            seconds=room.longest_wait(prospect.target)
        )
        began = self._clock.monotonic()
        with self._waiting_room.enter(place) as waiter:
            if waiter is None:
                return chosen, decision, prospect
            if job.may_repeat or job.route.streamed:
                response_writer.on_disconnect(lambda: self._waiting_room.cancel(waiter))
            while self._waiting_room.wait_turn(waiter, until):
                chosen = self._choose(job) or chosen
                now = self._clock.monotonic()
                decision, prospect = self._account.judge(ticket, *chosen, now)
                if decision.verdict is not room.Verdict.WAIT:
                    break
            if waiter.has_left:
                raise errors.RequestError(
                    errors.Code.CALLER_GONE, "the caller left while it waited"
                )
        waited = self._clock.monotonic() - began
        self._metrics.observe("room_wait", waited, service=job.service)
        _log.info(
            "waited for room",
            id=job.request_id,
            verdict=decision.verdict.value,
            ms=int(waited / datetime.timedelta(milliseconds=1)),
        )
        return chosen, decision, prospect

    def _refusal(self, decision, prospect):
        delay = return_times.return_delay(prospect, self._random.random())
        return errors.RequestError(
            errors.Code.OVERLOADED,
            f"{decision.reason.value}: start in {prospect.start:.2f} s, end in"
            f" {prospect.end:.2f} s, {prospect.left:.2f} s left",
            retry_after=datetime.timedelta(seconds=delay),
        )
