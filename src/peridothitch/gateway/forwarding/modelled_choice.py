"""Upstreams to compare where their speed is learnt from answers."""

import dataclasses

from peridothitch.gateway.forwarding import upstream_entries
from peridothitch.policy import part_owners, placement, shared_loads

__all__ = ["ModelledChoice"]


class ModelledChoice:
    """Draws the upstreams that a request is compared with; not thread-safe.

    Parameters
    ----------
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels
    exchange : peridothitch.gateway.forwarding.load_exchange.LoadExchange or None
        Tells what the other entry hosts have in progress.
    random_source : random.Random
    """

    def __init__(self, models, exchange, random_source):
        self._models = models
        self._exchange = exchange
        self._random = random_source
        self._owners_by_service = {}

    def states(self, available, live_ids, need, now):
        """Return the `placement.UpstreamState`s of the upstreams to compare.

        Parameters
        ----------
        available : list of upstream_entries.Entry
            Upstreams of one service that may get the request.
        live_ids : list of str
            All live upstreams of the service.
        need : peridothitch.policy.placement.RequestNeed
        now : float
            Monotonic seconds.
        """
        shared = need.prompt_parts[:-1]
        preferred_ids = ()
        if shared:
            owners = self._owners_by_service.setdefault(
                available[0].host.service, part_owners.PartOwners()
            )
            preferred_ids = owners.owners(shared[-1][0], live_ids, now)
        preferred, others_by_nearness = [], {}
        for entry in available:
            if entry.host.host_id in preferred_ids:
                preferred.append(entry)
            others_by_nearness.setdefault(entry.nearness, []).append(entry)
        drawn = placement.draw(
            others_by_nearness,
            preferred,
            lambda entry: self._models.factor(entry.host),
            self._random,
        )
        return [self._state(entry, need, now, preferred_ids) for entry in drawn]

    def _state(self, entry, need, now, preferred_ids):
        use = shared_loads.UpstreamUse()
        if self._exchange is not None:
            use = self._exchange.use_of(entry.host)
        state = upstream_entries.make_state(entry, need, now, use)
        shared_tokens = sum(tokens for _, tokens in need.prompt_parts[:-1])
        # The speed of a service without prompts is in this factor alone.
        factor = 1.0 if need.prompt_tokens else self._models.factor(entry.host)
        return dataclasses.replace(
            state,
            speed=self._models.speed(entry.host),
            slowness=factor * upstream_entries.failure_factor(entry),
            uncertain_tokens=max(0.0, shared_tokens - state.cached_tokens),
            is_preferred=entry.host.host_id in preferred_ids,
        )

    def record_sent(self, service, prompt_parts, uncached_tokens, now):
        """Count a request towards the load of its last shared part's owners."""
        owners = self._owners_by_service.get(service)
        if owners is None or not prompt_parts:
            return
        last_shared = prompt_parts[-2:-1]
        part_id = last_shared[0][0] if last_shared else ""
        owners.record(part_id, uncached_tokens, now)
