"""What an entry host knows of one upstream, and the state that a choice compares."""

import dataclasses
import math

from peridothitch.policy import (
    placement,
    prompt_cache,
    shared_loads,
    upstream_cooldown,
)
from peridothitch.ports import upstream

__all__ = ["Entry", "failure_factor", "make_state"]

_NO_USE = shared_loads.UpstreamUse()
_MAX_REPORT_AGE_SECONDS = 1.5
"""Age beyond which a load report is ignored."""

_SLOWNESS_HALF_LIFE_SECONDS = 2.0
_SLOWNESS_WEIGHT = 0.3
_MAX_SLOWNESS = 8.0
_FAILURE_SLOWNESS = 3.0
"""Slowness added for an upstream that fails all its requests."""


@dataclasses.dataclass
class Entry:
    """One upstream; times are monotonic seconds.

    Attributes
    ----------
    host : peridothitch.ports.upstream.Host
    nearness : int
        See `peridothitch.policy.placement.UpstreamState`.
    cache : peridothitch.policy.prompt_cache.PromptCacheEstimate
    in_flight : int
    backlog_tokens : float
    load : peridothitch.ports.forwarding.Load or None
    load_at : float
    failure_rate : float
    cooldown : peridothitch.policy.upstream_cooldown.Cooldown
    """

    host: upstream.Host
    nearness: int
    cache: prompt_cache.PromptCacheEstimate
    in_flight: int = 0
    backlog_tokens: float = 0.0
    load: object = None
    load_at: float = -math.inf
    slowness: float = 1.0
    slowness_at: float = 0.0
    failure_rate: float = 0.0
    cooldown: upstream_cooldown.Cooldown = upstream_cooldown.Cooldown()

    def current_slowness(self, now):
        """Return the ratio of recent to estimated answer times, at least 1."""
        age = max(0.0, now - self.slowness_at)
        decay = 0.5 ** (age / _SLOWNESS_HALF_LIFE_SECONDS)
        return 1.0 + (self.slowness - 1.0) * decay

    def record_answer_time(self, expected_seconds, seconds, now):
        """Record the time until an answer began."""
        ratio = min(_MAX_SLOWNESS, seconds / max(expected_seconds, 0.001))
        # The estimate already includes the slowness so far.
        current = self.current_slowness(now)
        target = min(_MAX_SLOWNESS, max(1.0, current * ratio))
        self.slowness = current + _SLOWNESS_WEIGHT * (target - current)
        self.slowness_at = now


def failure_factor(entry):
    """Return by how much failures make an upstream count as slower."""
    return 1.0 + _FAILURE_SLOWNESS * entry.failure_rate


def make_state(entry, need, now, use=_NO_USE):
    """Return the `placement.UpstreamState` of an upstream for one request.

    Parameters
    ----------
    entry : Entry
    need : peridothitch.policy.placement.RequestNeed
    now : float
    use : peridothitch.policy.shared_loads.UpstreamUse
        What other entry hosts have in progress there, and the load that they saw.
    """
    load, load_age = entry.load, now - entry.load_at
    if use.age_seconds < load_age:
        load, load_age = use.load, use.age_seconds
    reported = waiting = 0
    if load is not None and load_age < _MAX_REPORT_AGE_SECONDS:
        reported = load.running + load.waiting
        waiting = load.waiting
    return placement.UpstreamState(
        host_id=entry.host.host_id,
        nearness=entry.nearness,
        slots=entry.host.slots,
        in_flight=entry.in_flight + use.in_flight,
        reported=reported,
        reported_waiting=waiting,
        backlog_tokens=entry.backlog_tokens + use.backlog_tokens,
        load_age=load_age if load is not None else None,
        cached_tokens=entry.cache.cached_tokens(need.prompt_parts, now),
        slowness=entry.current_slowness(now) + failure_factor(entry) - 1.0,
    )
