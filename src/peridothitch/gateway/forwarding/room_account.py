"""What this entry host has seen of the room at each service."""

import collections
import dataclasses
import datetime
import threading

from peridothitch.policy import request_kinds, room, service_pressure

__all__ = ["RoomAccount", "Ticket"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticket:
    """A request that asks for room.

    Attributes
    ----------
    job : peridothitch.gateway.forwarding.job.Job
    work : float
    is_large : bool
        Whether it is large for its route.
    elapsed_before : float
        Seconds since the caller first asked, until it came here.
    draw : float
        Uniform in [0, 1).
    """

    job: object
    work: float
    is_large: bool
    elapsed_before: float
    draw: float


class RoomAccount:
    """Pressure by service and learnt errors by route; safe for several threads.

    Parameters
    ----------
    decides : bool
        Whether requests are judged by it; otherwise it only records.

    Attributes
    ----------
    decides : bool
    """

    def __init__(self, decides=True):
        self.decides = decides
        self._lock = threading.Lock()
        self._pressure_by_service = collections.defaultdict(
            service_pressure.ServicePressure
        )
        self._kind_by_route = collections.defaultdict(request_kinds.RequestKind)

    def open(self, job, estimate, draw, now):
        """Record a request for a modelled service; returns its `Ticket`."""
        size = _size(job, estimate)
        deadline = job.metadata.deadline
        with self._lock:
            kind = self._kind_by_route[job.route.name]
            self._pressure_by_service[job.service].record_arrival(
                job.priority, size.work, job.customer_name, _weight(job), _seconds(now)
            )
            return Ticket(
                job=job,
                work=size.work,
                is_large=kind.record_asked(size, _seconds(now)),
                elapsed_before=kind.elapsed_before(
                    None if deadline is None else deadline.total_seconds()
                ),
                draw=draw,
            )

    def judge(self, ticket, host, estimate, now):
        """Return the `room.Decision` on a request and the `room.Prospect` behind it.

        Parameters
        ----------
        ticket : Ticket
        host : peridothitch.ports.upstream.Host
        estimate : peridothitch.policy.placement.Estimate
        now : datetime.timedelta
        """
        job = ticket.job
        with self._lock:
            prospect = self._prospect(ticket, host, estimate, now)
            service = self._pressure_by_service[job.service]
            pressure = room.Pressure(
                strain=service.strain(job.priority, _seconds(now)),
                yield_share=service.yield_share(job.priority, _seconds(now)),
                excess_share=service.excess_share(job.customer_name, _seconds(now)),
            )
        return room.decide(prospect, pressure, ticket.draw), prospect

    def _prospect(self, ticket, host, estimate, now):
        job = ticket.job
        kind = self._kind_by_route[job.route.name]
        held = _seconds(now - job.request.arrived)
        start = kind.expected_start(estimate.seconds)
        return room.Prospect(
            priority=job.priority,
            target=_seconds(job.route.latency_objective),
            elapsed=ticket.elapsed_before + held,
            held=held,
            left=_seconds(job.deadline - now),
            start=start,
            end=start + kind.expected_stream(estimate.token_seconds, _output(job)),
            busy_share=estimate.busy / max(1, host.slots),
            has_returned=kind.has_returned(ticket.elapsed_before),
            is_starved=kind.is_starved(ticket.is_large, _seconds(now)),
        )

    def record_decision(self, ticket, decision, now):
        """Record what became of a request."""
        job = ticket.job
        is_admitted = decision.verdict is room.Verdict.ADMIT
        with self._lock:
            service = self._pressure_by_service[job.service]
            if is_admitted:
                kind = self._kind_by_route[job.route.name]
                kind.record_admitted(ticket.is_large, _seconds(now))
                service.record_admitted(job.priority, ticket.work, _seconds(now))
            elif decision.reason in room.UPSTREAM_REASONS:
                service.record_refused(job.priority, ticket.work, _seconds(now))

    def use_of(self, job, now):
        """Return the customer's recent use of a service, over its entitlement."""
        with self._lock:
            service = self._pressure_by_service[job.service]
            return service.weighted_use(job.customer_name, _seconds(now))

    def can_end(self, job, estimate, now):
        """Return whether a request that is sent now is expected to end in time."""
        if not self.decides or not estimate.is_modelled:
            return True
        with self._lock:
            kind = self._kind_by_route[job.route.name]
            seconds = kind.expected_start(estimate.seconds)
            seconds += kind.expected_stream(estimate.token_seconds, _output(job))
        return seconds <= _seconds(job.deadline - now)

    def record_refused(self, job, estimate, now):
        """Record that an upstream had no room for a request."""
        if estimate.is_modelled:
            with self._lock:
                self._record_late(job, _size(job, estimate).work, now)

    def record_start(self, job, estimate, seconds, now):
        """Record the time until an upstream's first piece, or until it was given up."""
        if not estimate.is_modelled:
            return
        target = _seconds(job.route.latency_objective)
        with self._lock:
            kind = self._kind_by_route[job.route.name]
            kind.record_start(estimate.seconds, seconds, target)
            if _seconds(now - job.request.arrived) > target:
                self._record_late(job, _size(job, estimate).work, now)

    def record_stream(self, job, estimate, seconds):
        """Record the time from the first to the last piece of an answer."""
        if estimate.is_modelled and estimate.token_seconds and _output(job):
            with self._lock:
                kind = self._kind_by_route[job.route.name]
                kind.record_stream(estimate.token_seconds * _output(job), seconds)

    def record_cut(self, job, estimate, started, seconds, now):
        """Record a request that ended without a complete answer.

        Parameters
        ----------
        job : peridothitch.gateway.forwarding.job.Job
        estimate : peridothitch.policy.placement.Estimate
        started : float or None
            Seconds until the first piece, None if there was none.
        seconds : float
            Seconds from the request to its end.
        now : datetime.timedelta
        """
        if not estimate.is_modelled:
            return
        # One that ended sooner says nothing about the time that it would have taken.
        if started is None and seconds > estimate.seconds:
            self.record_start(job, estimate, seconds, now)
        elif started is not None and estimate.token_seconds:
            if seconds - started > estimate.token_seconds * _output(job):
                self.record_stream(job, estimate, seconds - started)

    def _record_late(self, job, work, now):
        service = self._pressure_by_service[job.service]
        service.record_late(job.priority, work, _seconds(now))


def _size(job, estimate):
    return request_kinds.RequestSize(
        job.metadata.prompt_tokens, estimate.cached_tokens, _output(job)
    )


def _output(job):
    return job.metadata.expected_tokens or job.metadata.output_tokens


def _weight(job):
    """Return the share that a customer is entitled to, relative to others."""
    quota = job.customer.quota if job.customer is not None else None
    return quota.rate if quota is not None and quota.rate > 0 else 1.0


def _seconds(duration):
    return duration / datetime.timedelta(seconds=1)
