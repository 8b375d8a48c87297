"""Limits that upstreams name on the requests of all entry hosts together."""

import dataclasses
import math
import threading

import logbook
import msgspec

from peridothitch.gateway.forwarding import shared_allowances
from peridothitch.policy import upstream_limits
from peridothitch.ports import facts

__all__ = ["LIMIT_KIND", "UpstreamLimits"]

LIMIT_KIND = "upstream-limit"
_MILLISECONDS = 1000
_MAX_LIMITS = 1024
"""Upstreams that are gone are forgotten once this many have named a limit."""

_log = logbook.Logger("forwarding")


class _LimitFact(msgspec.Struct, frozen=True, array_like=True):
    """A limit; None for an upstream that names none any more."""

    rate: float | None


@dataclasses.dataclass
class _Limit:
    rate: float
    named_at: float


class UpstreamLimits:
    """The limits that upstreams named last, and this host's shares of them.

    A limit that one host is told spreads to the others by gossip, so that they keep it
    before they have an answer of their own.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    fact_registry : peridothitch.ports.facts.FactRegistry
    clock : peridothitch.ports.clock.Clock
        Clock of the time that all entry hosts agree on.
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, peers, fact_registry, clock, metrics):
        self._shares = shared_allowances.SharedAllowances(peers, clock)
        self._fact_registry = fact_registry
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.RLock()
        self._limit_by_incarnation = {}
        fact_registry.subscribe(LIMIT_KIND, self._receive)

    def record(self, host, request_limit):
        """Store the limit in an upstream's answer.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        request_limit : float
            See `peridothitch.ports.forwarding.ResponseMetadata`. The former limit
            stays in force if it is NaN.
        """
        if math.isnan(request_limit):
            self._metrics.count("malformed_limits", service=host.service)
            return
        incarnation = _incarnation(host)
        if self._rate(incarnation) == request_limit:
            return
        named_at = self._clock.now().timestamp()
        rate = request_limit if math.isfinite(request_limit) else None
        self._set(incarnation, request_limit, named_at)
        self._fact_registry.publish(
            facts.Fact(
                LIMIT_KIND,
                incarnation,
                int(named_at * _MILLISECONDS),
                msgspec.msgpack.encode(_LimitFact(rate)),
            )
        )

    def _rate(self, incarnation):
        limit = self._limit_by_incarnation.get(incarnation)
        return limit.rate if limit is not None else math.inf

    def _receive(self, fact):
        found = msgspec.msgpack.decode(fact.value, type=_LimitFact)
        rate = math.inf if found.rate is None else found.rate
        self._set(fact.key, rate, fact.sequence / _MILLISECONDS)

    def _set(self, incarnation, rate, named_at):
        with self._lock:
            known = self._limit_by_incarnation.get(incarnation)
            before = known.rate if known is not None else math.inf
            if before == rate or (known is not None and named_at < known.named_at):
                return
            if math.isinf(rate):
                self._remove(incarnation)
            elif known is not None:
                known.rate, known.named_at = rate, named_at
            else:
                self._limit_by_incarnation[incarnation] = _Limit(rate, named_at)
                self._shares.start(incarnation)
                if len(self._limit_by_incarnation) > _MAX_LIMITS:
                    self._remove(next(iter(self._limit_by_incarnation)))
            count = len(self._limit_by_incarnation)
        self._metrics.set("limited_upstreams", count)
        _log.info("limit named", incarnation=incarnation, rate=rate, before=before)

    def _remove(self, incarnation):
        del self._limit_by_incarnation[incarnation]
        self._shares.end(incarnation)

    def is_limited(self, host):
        """Return whether an upstream has named a limit."""
        return _incarnation(host) in self._limit_by_incarnation

    def may_send(self, host):
        """Return whether this host may send a request to an upstream now."""
        with self._lock:
            limit = self._limit_by_incarnation.get(_incarnation(host))
            if limit is None:
                return True
            terms = upstream_limits.Terms(limit.rate)
            return self._shares.is_open(_incarnation(host), terms)

    def spend(self, host):
        """Take one request from this host's share of an upstream's limit."""
        self._shares.spend(_incarnation(host))


def _incarnation(host):
    return f"{host.host_id}/{host.incarnation}"
