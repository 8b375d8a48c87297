"""Queues requests in weighted fair order while upstreams are at their limits."""

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


class _PendingAdmission:
    """A pending request and the decision whether it is admitted."""

    def __init__(self, waiting):
        self.waiting = waiting
        self.resolved = threading.Event()
        self.admitted = False

    def resolve(self, admitted):
        self.admitted = admitted
        self.resolved.set()


class _ServiceQueue:
    """The requests of one service: the queue and the count of those in progress."""

    def __init__(self):
        self.queue = fairness.FairQueue(QUEUE_CAPACITY)
        self.pending_by_object_id = {}
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
        self._queue_by_service = {}

    @contextlib.contextmanager
    def admit(self, job):
        """Wait for admission; the request counts as active until the context closes."""
        waiting = _make_waiting_request(job)
        service = job.route.service
        self._wait_for_admission(service, waiting, job)
        usage = None
        try:
            with self._inner.admit(job) as usage:
                yield usage
        finally:
            self._end_request(service, waiting, usage)

    def waiting_count(self, service):
        """Return how many requests of a service wait here."""
        with self._lock:
            return len(self._service_queue(service).queue)

    def _service_queue(self, service):
        return self._queue_by_service.setdefault(service, _ServiceQueue())

    def _wait_for_admission(self, service, waiting, job):
        pending = _PendingAdmission(waiting)
        with self._lock:
            service_queue = self._service_queue(service)
            service_queue.pending_by_object_id[id(waiting)] = pending
            shed = service_queue.queue.add(waiting)
            if shed is not None:
                service_queue.pending_by_object_id.pop(id(shed)).resolve(False)
            self._admit_queued(service, service_queue)
        if not pending.resolved.is_set():
            self._poll_queue(service, pending, job)
        if not pending.admitted:
            self._metrics.count("shed_requests", customer=job.customer, service=service)
            raise errors.RequestError(
                errors.Code.OVERLOADED,
                f"{service} is at its limit",
                retry_after=RETRY_AFTER,
            )

    def _poll_queue(self, service, pending, job):
        started = self._clock.monotonic()
        # The capacity can also grow without a request ending here, so it is polled.
        while not self._clock.wait(pending.resolved, RECHECK_INTERVAL):
            with self._lock:
                service_queue = self._service_queue(service)
                if job.request.caller_gone() and not pending.resolved.is_set():
                    service_queue.queue.discard(pending.waiting)
                    service_queue.pending_by_object_id.pop(id(pending.waiting)).resolve(
                        False
                    )
                self._admit_queued(service, service_queue)
        waited = self._clock.monotonic() - started
        self._metrics.observe("turn_wait", waited, customer=job.customer)

    def _admit_queued(self, service, service_queue):
        """Admit requests while there is capacity; the caller must hold the lock."""
        # Without any upstream all are admitted, so that they fail at once.
        capacity_by_priority = {
            priority: self._capacity(service, priority) or QUEUE_CAPACITY
            for priority in documents.Priority
        }

        def admits(waiting):
            return service_queue.active_count < capacity_by_priority[waiting.priority]

        while True:
            waiting, expired = service_queue.queue.pop_next(
                self._clock.monotonic(), admits
            )
            for expired_request in expired:
                service_queue.pending_by_object_id.pop(id(expired_request)).resolve(
                    False
                )
            if waiting is None:
                return
            service_queue.active_count += 1
            service_queue.pending_by_object_id.pop(id(waiting)).resolve(True)

    def _end_request(self, service, waiting, usage):
        with self._lock:
            service_queue = self._service_queue(service)
            service_queue.active_count -= 1
            if usage is not None:
                used = usage.prompt_tokens + usage.completion_tokens
                service_queue.queue.charge_used(waiting, max(used, 1))
            self._admit_queued(service, service_queue)


def _make_waiting_request(job):
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
