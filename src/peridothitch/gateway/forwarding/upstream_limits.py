"""Limits that upstreams name on the requests of all entry hosts together."""

import dataclasses
import math
import threading

import logbook
import msgspec

from peridothitch.policy import upstream_limits
from peridothitch.ports import facts

__all__ = ["LIMIT_KIND", "UpstreamLimits"]

LIMIT_KIND = "upstream-limit"
_MILLISECONDS = 1000
_OWNERS_LIFETIME_SECONDS = 0.5
"""Ranking hundreds of entry hosts for each request would take milliseconds."""

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
    allowance: upstream_limits.Allowance
    owners: frozenset = frozenset()
    owners_until: float = -math.inf


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
        self._peers = peers
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
                del self._limit_by_incarnation[incarnation]
            elif known is not None:
                known.rate, known.named_at = rate, named_at
            else:
                allowance = upstream_limits.Allowance(0.0, self._now())
                limit = _Limit(rate, named_at, allowance)
                self._limit_by_incarnation[incarnation] = limit
                if len(self._limit_by_incarnation) > _MAX_LIMITS:
                    del self._limit_by_incarnation[
                        next(iter(self._limit_by_incarnation))
                    ]
            count = len(self._limit_by_incarnation)
        self._metrics.set("limited_upstreams", count)
        _log.info("limit named", incarnation=incarnation, rate=rate, before=before)

    def is_limited(self, host):
        """Return whether an upstream has named a limit."""
        return _incarnation(host) in self._limit_by_incarnation

    def may_send(self, host):
        """Return whether this host may send a request to an upstream now."""
        with self._lock:
            limit = self._limit_by_incarnation.get(_incarnation(host))
            if limit is None:
                return True
            return self._refill(_incarnation(host), limit).is_open

    def spend(self, host):
        """Take one request from this host's share of an upstream's limit."""
        with self._lock:
            limit = self._limit_by_incarnation.get(_incarnation(host))
            if limit is not None:
                limit.allowance = limit.allowance.spend()

    def _refill(self, incarnation, limit):
        now = self._now()
        if now >= limit.owners_until:
            members = self._peers.members()
            limit.owners = upstream_limits.choose_owners(incarnation, members)
            limit.owners_until = now + _OWNERS_LIFETIME_SECONDS
        rate = 0.0
        if self._peers.host_id in limit.owners:
            rate = upstream_limits.owner_rate(limit.rate, len(limit.owners))
        limit.allowance = limit.allowance.refill(rate, now)
        return limit.allowance

    def _now(self):
        return self._clock.monotonic().total_seconds()


def _incarnation(host):
    return f"{host.host_id}/{host.incarnation}"
