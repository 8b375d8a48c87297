"""Lets requests wait for their turn when upstreams are at their limits."""

import contextlib
import datetime
import threading

from peridothitch import errors
from peridothitch.gateway import admission
from peridothitch.policy import document as documents
from peridothitch.policy import fairness

__all__ = ["FairAdmission"]

QUEUE_CAPACITY = 128
"""Most requests of one service that wait at one host."""

PLAIN_REQUEST_TOKENS = 200
"""Tokens that a plain request counts as."""

RECHECK_INTERVAL = datetime.timedelta(milliseconds=50)
RETRY_AFTER = datetime.timedelta(seconds=1)


class _Turn:
    """A waiting request and what became of it."""

    def __init__(self, ticket):
        self.ticket = ticket
        self.decided = threading.Event()
        self.granted = False

    def decide(self, granted):
        self.granted = granted
        self.decided.set()


class _Line:
    """The requests of one service, waiting and in progress."""

    def __init__(self):
        self.queue = fairness.FairQueue(QUEUE_CAPACITY)
        self.turn_by_ticket_id = {}
        self.active_count = 0


class FairAdmission(admission.Admission):
    """Admits requests in weighted fair order, then passes them to an inner admission.

    Parameters
    ----------
    inner : peridothitch.gateway.admission.Admission
    capacity : callable
        Returns how many requests of a service may be in progress from this host
        when one of the given priority is added.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, inner, capacity, clock, metrics):
        self._inner = inner
        self._capacity = capacity
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._line_by_service = {}

    @contextlib.contextmanager
    def admit(self, job):
        """Wait for the request's turn, then hold it while the context is open."""
        ticket = _to_ticket(job)
        service = job.route.service
        self._wait_for_turn(service, ticket, job)
        usage = None
        try:
            with self._inner.admit(job) as usage:
                yield usage
        finally:
            self._leave(service, ticket, usage)

    def waiting_count(self, service):
        """Return how many requests of a service wait here."""
        with self._lock:
            return len(self._line(service).queue)

    def _line(self, service):
        return self._line_by_service.setdefault(service, _Line())

    def _wait_for_turn(self, service, ticket, job):
        turn = _Turn(ticket)
        with self._lock:
            line = self._line(service)
            line.turn_by_ticket_id[id(ticket)] = turn
            shed = line.queue.add(ticket)
            if shed is not None:
                line.turn_by_ticket_id.pop(id(shed)).decide(False)
            self._advance(service, line)
        if not turn.decided.is_set():
            self._wait(service, turn, job)
        if not turn.granted:
            self._metrics.count("shed_requests", customer=job.customer, service=service)
            raise errors.RequestError(
                errors.Code.OVERLOADED,
                f"{service} is at its limit",
                retry_after=RETRY_AFTER,
            )

    def _wait(self, service, turn, job):
        started = self._clock.monotonic()
        # The capacity also grows without a request leaving, so it is looked at again.
        while not self._clock.wait(turn.decided, RECHECK_INTERVAL):
            with self._lock:
                line = self._line(service)
                if job.request.caller_gone() and not turn.decided.is_set():
                    line.queue.discard(turn.ticket)
                    line.turn_by_ticket_id.pop(id(turn.ticket)).decide(False)
                self._advance(service, line)
        waited = self._clock.monotonic() - started
        self._metrics.observe("turn_wait", waited, customer=job.customer)

    def _advance(self, service, line):
        """Grant turns while there is room; the caller holds the lock."""
        # Without any upstream all are let through, to be told so at once.
        room_by_priority = {
            priority: self._capacity(service, priority) or QUEUE_CAPACITY
            for priority in documents.Priority
        }

        def admits(ticket):
            return line.active_count < room_by_priority[ticket.priority]

        while True:
            ticket, expired = line.queue.pop_next(self._clock.monotonic(), admits)
            for late in expired:
                line.turn_by_ticket_id.pop(id(late)).decide(False)
            if ticket is None:
                return
            line.active_count += 1
            line.turn_by_ticket_id.pop(id(ticket)).decide(True)

    def _leave(self, service, ticket, usage):
        with self._lock:
            line = self._line(service)
            line.active_count -= 1
            if usage is not None:
                used = usage.prompt_tokens + usage.completion_tokens
                line.queue.charge_used(ticket, max(used, 1))
            self._advance(service, line)


def _to_ticket(job):
    tokens = PLAIN_REQUEST_TOKENS
    if job.chat is not None:
        tokens = job.max_tokens
    return fairness.WaitingRequest(
        customer=job.customer,
        weight=job.document.customer_by_name[job.customer].weight,
        tokens=tokens,
        priority=job.route.priority,
        deadline=job.deadline,
    )
