"""Resumes accepted requests that no running host handles."""

import contextlib
import datetime

from peridothitch import errors
from peridothitch.coordination import claim_records
from peridothitch.gateway import admission, idempotency

__all__ = ["RequestAdopter"]

_SWEEP_INTERVAL = datetime.timedelta(seconds=1)
_OPEN_CHECK_INTERVAL = datetime.timedelta(seconds=5)


class RequestAdopter:
    """Adopts requests that no host handles and answers requests by id.

    The same loop does the periodic work for claims, streams and crash outcomes.

    Parameters
    ----------
    parser : peridothitch.gateway.request_parsing.RequestParser
    claim_store : peridothitch.coordination.claims.ClaimStore
    stream_registry : peridothitch.coordination.streams.StreamRegistry
    durable : peridothitch.gateway.durable.DurableRequests
    guard : peridothitch.gateway.quarantine.CrashGuard
    peers : peridothitch.ports.peers.Peers
    executor : concurrent.futures.Executor
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    tracer : peridothitch.adapters.traces.Tracer
    active_requests : peridothitch.gateway.handler.ActiveRequests
    """

    def __init__(
        self,
        *,
        parser,
        claim_store,
        stream_registry,
        durable,
        guard,
        peers,
        executor,
        clock,
        metrics,
        tracer,
        active_requests,
    ):
        self._parser = parser
        self._claims = claim_store
        self._streams = stream_registry
        self._durable = durable
        self._guard = guard
        self._peers = peers
        self._executor = executor
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        self._active_requests = active_requests
        self._next_open_check = clock.monotonic()
        self._requests_in_adoption = set()
        stream_registry.on_adopt(self.adopt)

    def run(self, stop):
        """Call `sweep` periodically until the event `stop` is set."""
        while not self._clock.wait(stop, _SWEEP_INTERVAL):
            self.sweep()

    run.__qualname__ = "Keeper.run"  # value of the metric label "loop"

    def sweep(self):
        """Do the periodic work that is due."""
        self._guard.sweep()
        self._claims.retry_writes()
        for customer, request_id in self._streams.orphans():
            self.adopt(customer, request_id)
        if self._clock.monotonic() >= self._next_open_check and self._is_elected():
            self._next_open_check = self._clock.monotonic() + _OPEN_CHECK_INTERVAL
            self._adopt_open_requests()

    def _is_elected(self):
        # Any host may adopt open requests; electing one limits reads of the store.
        return min(self._peers.members(), default="") == self._peers.host_id

    def _adopt_open_requests(self):
        try:
            listed = self._claims.open_requests()
        except errors.StoreError:
            return
        for customer, request_id, holder in listed:
            if not self._claims.is_live(holder):
                self.adopt(customer, request_id)

    def adopt(self, customer, request_id):
        """Resume a request in the background."""
        if (
            self._active_requests.draining
            or (customer, request_id) in self._requests_in_adoption
        ):
            return
        self._requests_in_adoption.add((customer, request_id))
        self._executor.submit(self._complete, customer, request_id)

    def _complete(self, customer, request_id):
        with contextlib.ExitStack() as scope:
            scope.callback(self._requests_in_adoption.discard, (customer, request_id))
            try:
                scope.enter_context(self._active_requests.count())
                span = scope.enter_context(self._tracer.span("adoption"))
                self._resume(customer, request_id, span, scope)
            except errors.CodedError as error:
                self._metrics.count("adoption_failures", code=int(error.code))

    def _resume(self, customer, request_id, span, scope):
        stored = self._claims.read(customer, request_id)
        if stored is None or stored.claim.state is claim_records.ClaimState.DONE:
            self._streams.discard_copy(request_id)
            return
        if stored.claim.request is None or self._is_run_here(stored):
            return
        self._metrics.count("adoptions")
        job = self._parser.restore(customer, stored.claim.request)
        self._durable.complete(job, stored, span, scope, admission.Usage())

    def _is_run_here(self, stored):
        return stored.request_id in self._streams.running()

    def answer_by_id(self, customer, request_id, request, span, scope):
        """Answer a caller who asks for an accepted request by its id.

        Raises
        ------
        peridothitch.errors.RequestError
        """
        try:
            stored = self._claims.read(customer, request_id)
        except errors.StoreError as error:
            raise errors.RequestError(
                error.code, error.detail, errors.Ran.UNKNOWN
            ) from None
        if stored is None:
            raise errors.RequestError(errors.Code.UNKNOWN_REQUEST, request_id)
        if stored.claim.request is None:
            return self._answer_from_claim(stored)
        job = self._parser.restore(customer, stored.claim.request, request)
        return self._durable.resume(job, stored, span, scope, admission.Usage())

    def _answer_from_claim(self, stored):
        claim = stored.claim
        if claim.state is claim_records.ClaimState.DONE:
            return idempotency.replay({"x-request-id": stored.request_id}, claim)
        if self._claims.may_be_running(claim):
            raise idempotency.in_progress(claim)
        raise idempotency.outcome_unknown(claim)
