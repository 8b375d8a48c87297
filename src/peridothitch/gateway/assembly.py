"""Puts the parts that handle requests together."""

import dataclasses

from peridothitch.coordination import claim_writes, claims, streams
from peridothitch.gateway import (
    attempts,
    cache_moves,
    dispatch,
    durable,
    fair_admission,
    handler,
    hedging,
    idempotency,
    leaving_upstreams,
    limits,
    quarantine,
    request_adoption,
    request_parsing,
)

__all__ = ["HandlerDependencies", "make_handler"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandlerDependencies:
    """What a request handler needs from its process.

    Attributes
    ----------
    feed : peridothitch.coordination.documents.DocumentFeed
    view : peridothitch.gateway.upstreams.UpstreamView
    transport : peridothitch.ports.upstream.Transport
    store : peridothitch.ports.store.Store
    peers : peridothitch.ports.peers.Peers
    board : peridothitch.ports.facts.FactRegistry
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    tracer : peridothitch.adapters.traces.Tracer
    admission : peridothitch.gateway.admission.Admission
    version_picker : peridothitch.gateway.versions.VersionPicker
    settlers : sequence of peridothitch.ports.outcomes.AttemptObserver
        Get outcomes at once; the observers get those of crashes after a while.
    observers : sequence of peridothitch.ports.outcomes.AttemptObserver
    executor : concurrent.futures.Executor
        Runs what has no caller.
    lookup_executor : concurrent.futures.Executor
        Runs lookups that may be sent to a second upstream.
    data_centre : str
        Where this entry host is.
    """

    feed: object
    view: object
    transport: object
    store: object
    peers: object
    fact_registry: object
    clock: object
    metrics: object
    tracer: object
    admission: object
    version_picker: object
    immediate_observers: tuple
    observers: tuple
    executor: object
    lookup_executor: object
    data_centre: str


def make_handler(given):
    """Return a `peridothitch.gateway.handler.RequestHandler`.

    Parameters
    ----------
    given : Surroundings
    """
    active_requests = handler.ActiveRequests(given.metrics)
    checks = request_parsing.RequestParser(given.feed, given.clock)
    guard = quarantine.CrashGuard(
        given.fact_registry,
        given.immediate_observers,
        given.observers,
        given.clock,
        given.metrics,
    )
    dispatcher = _make_dispatcher(given, guard)
    writer = claim_writes.ClaimWriter(
        given.store, given.peers, given.clock, given.metrics
    )
    claim_store = claims.ClaimStore(given.store, writer, given.peers, given.clock)
    stream_registry = streams.StreamRegistry(given.peers, given.clock, given.metrics)
    durable_requests = durable.DurableRequests(
        claim_store=claim_store,
        stream_registry=stream_registry,
        dispatcher=dispatcher,
        clock=given.clock,
        metrics=given.metrics,
        executor=given.executor,
    )
    return handler.RequestHandler(
        parser=checks,
        admission=fair_admission.FairAdmission(
            given.admission, dispatcher.capacity, given.clock, given.metrics
        ),
        dispatcher=dispatcher,
        guard=guard,
        lookups=hedging.HedgedLookups(dispatcher, given.lookup_executor),
        once=idempotency.OnceRequests(claim_store, dispatcher, given.metrics),
        durable=durable_requests,
        adopter=request_adoption.RequestAdopter(
            parser=checks,
            claim_store=claim_store,
            stream_registry=stream_registry,
            durable=durable_requests,
            guard=guard,
            peers=given.peers,
            executor=given.executor,
            clock=given.clock,
            metrics=given.metrics,
            tracer=given.tracer,
            active_requests=active_requests,
        ),
        clock=given.clock,
        metrics=given.metrics,
        tracer=given.tracer,
        active_requests=active_requests,
    )


def _make_dispatcher(given, guard):
    leaving_board = leaving_upstreams.LeavingUpstreams(
        given.fact_registry, given.metrics
    )
    upstream_limits = limits.UpstreamLimits(given.metrics)
    runner = attempts.AttemptRunner(
        view=given.view,
        transport=given.transport,
        clock=given.clock,
        metrics=given.metrics,
        tracer=given.tracer,
        guard=guard,
        leaving_upstreams=leaving_board,
        limits=upstream_limits,
    )
    return dispatch.Dispatcher(
        runner=runner,
        view=given.view,
        version_picker=given.version_picker,
        guard=guard,
        leaving_upstreams=leaving_board,
        limits=upstream_limits,
        health=limits.UpstreamHealth(given.clock),
        budgets=limits.RetryBudgets(given.metrics),
        mover=cache_moves.CacheMover(given.transport, given.metrics),
        clock=given.clock,
        metrics=given.metrics,
        data_centre=given.data_centre,
    )
