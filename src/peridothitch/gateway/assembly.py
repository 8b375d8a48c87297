"""Builds the request handler from its parts."""

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
    """Dependencies of a request handler on its process.

    Attributes
    ----------
    feed : peridothitch.coordination.feed.DocumentFeed
    view : peridothitch.gateway.upstreams.UpstreamView
    transport : peridothitch.ports.upstream.Transport
    store : peridothitch.ports.store.Store
    peers : peridothitch.ports.peers.Peers
    fact_registry : peridothitch.ports.facts.FactRegistry
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    tracer : peridothitch.adapters.traces.Tracer
    admission : peridothitch.gateway.admission.Admission
    version_picker : peridothitch.gateway.versions.VersionPicker
    immediate_observers : sequence of peridothitch.ports.outcomes.AttemptObserver
        Receive all outcomes at once; `observers` receive those of crashes after a
        delay.
    observers : sequence of peridothitch.ports.outcomes.AttemptObserver
    executor : concurrent.futures.Executor
        Runs requests that have no caller.
    lookup_executor : concurrent.futures.Executor
        Runs lookups that may be sent to a second upstream.
    data_centre : str
        Data centre of this entry host.
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


def make_handler(dependencies):
    """Return a `peridothitch.gateway.handler.RequestHandler`.

    Parameters
    ----------
    dependencies : HandlerDependencies
    """
    active_requests = handler.ActiveRequests(dependencies.metrics)
    request_parser = request_parsing.RequestParser(
        dependencies.feed, dependencies.clock
    )
    guard = quarantine.CrashGuard(
        dependencies.fact_registry,
        dependencies.immediate_observers,
        dependencies.observers,
        dependencies.clock,
        dependencies.metrics,
    )
    dispatcher = _make_dispatcher(dependencies, guard)
    writer = claim_writes.ClaimWriter(
        dependencies.store, dependencies.peers, dependencies.clock, dependencies.metrics
    )
    claim_store = claims.ClaimStore(
        dependencies.store, writer, dependencies.peers, dependencies.clock
    )
    stream_registry = streams.StreamRegistry(
        dependencies.peers, dependencies.clock, dependencies.metrics
    )
    durable_requests = durable.DurableRequests(
        claim_store=claim_store,
        stream_registry=stream_registry,
        dispatcher=dispatcher,
        clock=dependencies.clock,
        metrics=dependencies.metrics,
        executor=dependencies.executor,
    )
    return handler.RequestHandler(
        parser=request_parser,
        admission=fair_admission.FairAdmission(
            dependencies.admission,
            dispatcher.capacity,
            dependencies.clock,
            dependencies.metrics,
        ),
        dispatcher=dispatcher,
        guard=guard,
        lookups=hedging.HedgedLookups(dispatcher, dependencies.lookup_executor),
        once=idempotency.AtMostOnceRequests(
            claim_store, dispatcher, dependencies.metrics
        ),
        durable=durable_requests,
        adopter=request_adoption.RequestAdopter(
            parser=request_parser,
            claim_store=claim_store,
            stream_registry=stream_registry,
            durable=durable_requests,
            guard=guard,
            peers=dependencies.peers,
            executor=dependencies.executor,
            clock=dependencies.clock,
            metrics=dependencies.metrics,
            tracer=dependencies.tracer,
            active_requests=active_requests,
        ),
        clock=dependencies.clock,
        metrics=dependencies.metrics,
        tracer=dependencies.tracer,
        active_requests=active_requests,
    )


def _make_dispatcher(dependencies, guard):
    leaving = leaving_upstreams.LeavingUpstreams(
        dependencies.fact_registry, dependencies.metrics
    )
    upstream_limits = limits.UpstreamLimits(dependencies.metrics)
    runner = attempts.AttemptRunner(
        view=dependencies.view,
        transport=dependencies.transport,
        clock=dependencies.clock,
        metrics=dependencies.metrics,
        tracer=dependencies.tracer,
        guard=guard,
        leaving_upstreams=leaving,
        limits=upstream_limits,
    )
    return dispatch.Dispatcher(
        runner=runner,
        view=dependencies.view,
        version_picker=dependencies.version_picker,
        guard=guard,
        leaving_upstreams=leaving,
        limits=upstream_limits,
        health=limits.UpstreamHealth(dependencies.clock),
        budgets=limits.RetryBudgets(dependencies.metrics),
        mover=cache_moves.CacheMover(dependencies.transport, dependencies.metrics),
        clock=dependencies.clock,
        metrics=dependencies.metrics,
        data_centre=dependencies.data_centre,
    )
