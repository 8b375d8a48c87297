"""Chooses the upstream host for one attempt of a request.

The candidate with the lowest expected cost, latency included, is chosen. In a small
group every host is a candidate; in a large one the candidates are the owners and likely
holders of the prompt's prefix and a few hosts drawn at random.
"""

import dataclasses
import math
import random

import msgspec

from peridothitch.policy import (
    affinity,
    cache_estimates,
    cost,
    host_pool,
    load_estimates,
    reclaim_rates,
)

__all__ = [
    "TOKENS_PER_BLOCK",
    "ChoiceContext",
    "Decision",
    "UpstreamEstimates",
    "choose",
    "choose_host",
]

_SMALL_GROUP_COUNT = 4
_RANDOM_CANDIDATE_COUNT = 2
_SCARCE_LOAD_SHARE = 0.6
_LOAD_BOUND_FACTOR = 1.25
_FREE_LOAD_SHARE = 0.5
_OWNER_CACHED_PROBABILITY = 0.7
TOKENS_PER_BLOCK = 128
_DEFAULT_PROFILE = load_estimates.Profile()


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamEstimates:
    """Estimates of this entry host about its upstreams; they change over time.

    Attributes
    ----------
    loads : peridothitch.policy.load_estimates.LoadEstimates
    caches : peridothitch.policy.cache_estimates.CacheEstimates
    reclaims : peridothitch.policy.reclaim_rates.ReclaimRates
    profile_by_machine_class : dict of str to peridothitch.policy.load_estimates.Profile
    prices : peridothitch.policy.cost.Prices
    targets : peridothitch.policy.cost.Targets
    """

    loads: load_estimates.LoadEstimates = dataclasses.field(
        default_factory=load_estimates.LoadEstimates
    )
    caches: cache_estimates.CacheEstimates = dataclasses.field(
        default_factory=cache_estimates.CacheEstimates
    )
    reclaims: reclaim_rates.ReclaimRates = dataclasses.field(
        default_factory=reclaim_rates.ReclaimRates
    )
    profile_by_machine_class: dict = dataclasses.field(default_factory=dict)
    prices: cost.Prices = cost.Prices()
    targets: cost.Targets = cost.Targets()

    def profile(self, host):
        """Return the `Profile` of a host's machine class."""
        return self.profile_by_machine_class.get(host.machine_class, _DEFAULT_PROFILE)

    def load(self, host, now):
        """Return the estimated `HostLoad` of a host."""
        rate = self.profile(host).prefill_tokens_per_second
        return self.loads.estimate(host.host_id, now, rate)

    def share(self, host, now):
        """Return a host's estimated load per slot."""
        return self.load(host, now).running / self.profile(host).slots


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChoiceContext:
    """Inputs of a choice besides the hosts.

    Attributes
    ----------
    version : str
        Version that serves the request.
    adapter : str
        Adapter that the host must have loaded; empty for none.
    data_centre, region : str
        Location of this entry host.
    tried : frozenset of str
        Host ids that earlier attempts of the request used.
    leaving : frozenset of str
        Host ids known to be leaving that the host list still has as live.
    in_flight_by_host_id : dict of str to int
        Requests in progress from this entry host; used without `estimates`.
    prefix : peridothitch.policy.affinity.Prefix
    demand : peridothitch.policy.cost.Demand
    now : float
        Monotonic time in seconds.
    estimates : UpstreamEstimates or None
    random_source : random.Random
    """

    version: str
    adapter: str = ""
    data_centre: str = ""
    region: str = ""
    tried: frozenset = frozenset()
    leaving: frozenset = frozenset()
    in_flight_by_host_id: dict = dataclasses.field(default_factory=dict)
    prefix: affinity.Prefix = affinity.NO_PREFIX
    demand: cost.Demand = cost.Demand()
    now: float = 0.0
    estimates: UpstreamEstimates | None = None
    random_source: random.Random = dataclasses.field(default_factory=random.Random)


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """A chosen host and the reason for the choice.

    Attributes
    ----------
    host : peridothitch.ports.upstream.Host
    reason : str
        ``prefix``, ``cost``, ``load`` or ``only``.
    cost : peridothitch.policy.cost.Cost
    cached_tokens : float
        Prompt tokens estimated to be cached at the host.
    candidate_count : int
        Hosts that were compared.
    """

    host: object
    reason: str
    cost: cost.Cost
    cached_tokens: float
    candidate_count: int

    def explain(self):
        """Return the decision as one line for traces."""
        parts = self.cost
        return (
            f"{self.reason}: of {self.candidate_count}"
            f" first_token={parts.first_token_seconds:.3f}s"
            f" gap={parts.gap_seconds * 1000:.1f}ms"
            f" cached={self.cached_tokens:.0f}"
            f" compute={parts.compute:.2e} traffic={parts.traffic:.2e}"
            f" reclaim={parts.reclaim:.2e} latency={parts.latency:.2e}"
        )


def choose_host(hosts, context):
    """Return the host of `choose`'s decision, None when no host is left."""
    decision = choose(hosts, context)
    return decision.host if decision is not None else None


def choose(hosts, context):
    """Choose a live host that runs the version and has the adapter.

    A leaving or tried host is never chosen, nor one over the load bound.

    Parameters
    ----------
    hosts : peridothitch.policy.host_pool.HostPool or iterable of Host
    context : ChoiceContext

    Returns
    -------
    Decision or None
        None when no host is left.
    """
    pool = hosts
    if not isinstance(pool, host_pool.HostPool):
        pool = host_pool.HostPool(hosts)
    group = pool.group(context.version, context.adapter)
    return _HostChooser(group, context).decide()


def _estimates_of(context):
    if context.estimates is not None:
        return context.estimates
    estimates = UpstreamEstimates()
    for host_id, count in context.in_flight_by_host_id.items():
        estimates.loads.record_report(
            host_id, load_estimates.LoadReport(count), context.now
        )
    return estimates


class _HostChooser:
    def __init__(self, group, context):
        self._group = group
        self._context = context
        self._estimates = _estimates_of(context)
        self._mean_load_per_slot = group.mean_load_per_slot(self._share, context.now)
        prefix = context.prefix
        self._owners = self._find_owners(prefix.conversation_key)
        self._shared_owners = self._find_owners(prefix.shared_key)[:1]
        self._reclaim_rate_by_data_centre = {}

    def decide(self):
        is_small = len(self._group.hosts) <= _SMALL_GROUP_COUNT
        candidates = self._group.hosts if is_small else self._sample()
        usable = [host for host in candidates if self._is_usable(host)]
        within = self._within_bound(usable)
        if not within and not is_small:
            usable = [host for host in self._group.hosts if self._is_usable(host)]
            within = self._within_bound(usable)
        if within:
            return self._cheapest(within, len(within) < len(usable))
        if not usable:
            return None
        # The hosts within the load bound are excluded; use the least loaded other one.
        least = min(usable, key=self._share)
        load = self._estimates.load(least, self._context.now)
        return self._cheapest([(least, load)], is_bounded=True)

    def _is_usable(self, host):
        host_id = host.host_id
        return host_id not in self._context.tried and (
            host_id not in self._context.leaving
        )

    def _share(self, host):
        return self._estimates.share(host, self._context.now)

    def _within_bound(self, hosts):
        bound = max(_FREE_LOAD_SHARE, _LOAD_BOUND_FACTOR * self._mean_load_per_slot)
        estimates = self._estimates
        now = self._context.now
        loaded = [(host, estimates.load(host, now)) for host in hosts]
        return [
            (host, load)
            for host, load in loaded
            if load.running <= bound * estimates.profile(host).slots
        ]

    def _find_owners(self, key):
        if not key or not self._context.prefix.blocks:
            return ()
        return self._group.owners.owners(key)

    def _sample(self):
        group = self._group
        host_ids = dict.fromkeys(self._owners[:1] + self._shared_owners)
        blocks = self._context.prefix.blocks
        if blocks:
            holders = self._estimates.caches.holders(blocks)
            host_ids |= dict.fromkeys(holders)
        sampled = self._context.random_source.sample(
            group.hosts, _RANDOM_CANDIDATE_COUNT
        )
        host_ids |= dict.fromkeys(host.host_id for host in sampled)
        found = map(group.host_by_id.get, host_ids)
        return [host for host in found if host is not None]

    def _cheapest(self, loaded, is_bounded):
        cached_by_host_id = self._cached_by_host_id(loaded)
        start = self._context.random_source.randrange(len(loaded))
        best = None
        least = math.inf
        # A random start index keeps equal hosts from always being chosen in id order.
        for host, load in loaded[start:] + loaded[:start]:
            cached = cached_by_host_id.get(host.host_id, 0.0)
            estimate = self._estimate(host, load, cached)
            total = estimate.total
            if total < least:
                least = total
                best = host, estimate, cached
        host, estimate, cached = best
        return Decision(
            host=host,
            reason=_reason(len(loaded), is_bounded, cached),
            cost=estimate,
            cached_tokens=cached,
            candidate_count=len(loaded),
        )

    def _estimate(self, host, load, cached):
        context = self._context
        estimates = self._estimates
        return cost.estimate_cost(
            price_per_hour=self._price(host),
            mean_price_per_hour=self._group.mean_price_per_hour,
            load=load,
            profile=estimates.profile(host),
            cached_tokens=cached,
            demand=context.demand,
            is_near=_is_near(host, context),
            reclaim_rate=self._reclaim_rate(host),
            prices=estimates.prices,
            targets=estimates.targets,
            reusable_tokens=self._reusable_tokens(host),
        )

    def _price(self, host):
        """Return the price that a host's time is calculated at.

        Prices matter while there is spare capacity, since idle hosts are released.
        When all hosts are needed, each is paid for anyhow and a second is worth the
        same on all of them.
        """
        mean = self._group.mean_price_per_hour
        price = host.price_per_hour or mean
        spare_share = max(0.0, 1.0 - self._mean_load_per_slot / _SCARCE_LOAD_SHARE)
        return mean + (price - mean) * spare_share

    def _reclaim_rate(self, host):
        if not host.reclaimable:
            return 0.0
        rate = self._reclaim_rate_by_data_centre.get(host.data_centre)
        if rate is None:
            count = self._group.reclaimable_count_by_data_centre[host.data_centre]
            rate = self._estimates.reclaims.rate_per_hour(
                host.data_centre, count, self._context.now
            )
            self._reclaim_rate_by_data_centre[host.data_centre] = rate
        return rate

    def _cached_by_host_id(self, loaded):
        prefix = self._context.prefix
        if not prefix.blocks:
            return {}
        host_ids = [host.host_id for host, _ in loaded]
        count_by_host_id = self._estimates.caches.cached_blocks(
            host_ids, prefix.blocks, self._context.now
        )
        # Other entry hosts send the same prefix to its owners as well.
        count_by_owner_id = {
            host_id: prefix.shared_count for host_id in self._shared_owners
        }
        if prefix.continued:
            count_by_owner_id[self._owners[0]] = len(prefix.blocks)
        for host_id, count in count_by_owner_id.items():
            estimated_count = count_by_host_id.get(host_id, 0.0)
            count_by_host_id[host_id] = max(
                estimated_count, _OWNER_CACHED_PROBABILITY * count
            )
        limit = self._context.demand.prompt_tokens
        return {
            host_id: min(count * TOKENS_PER_BLOCK, limit)
            for host_id, count in count_by_host_id.items()
        }

    def _reusable_tokens(self, host):
        if not self._owners or host.host_id != self._owners[0]:
            return 0.0
        demand = self._context.demand
        return demand.reuse * demand.prompt_tokens


def _reason(candidate_count, is_bounded, cached_tokens):
    if candidate_count == 1:
        return "load" if is_bounded else "only"
    if cached_tokens > 0.0:
        return "prefix"
    return "load" if is_bounded else "cost"


def _is_near(host, context):
    if host.data_centre == context.data_centre:
        return True
    return bool(context.region) and host.region == context.region
