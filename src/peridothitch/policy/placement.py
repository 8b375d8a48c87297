"""Chooses the upstream at which a request is expected to be answered soonest.

The estimate is the sum of the network round trip, the prompts queued before this one
and the uncached part of its own, the work scaled by how much slower than expected the
upstream has been recently. Remote data centres cost more than their latency, since
traffic between them is paid for.
"""

import dataclasses

import xxhash

__all__ = [
    "TOKENS_PER_SECOND",
    "Estimate",
    "RequestNeed",
    "UpstreamState",
    "choose",
    "estimate",
    "preferred_host",
]

_DISTANCE_SECONDS_BY_NEARNESS = {0: 0.0002, 1: 0.003, 2: 0.042}
"""Round trips: same data centre, same region, another region."""

_DISTANCE_COST_SECONDS_BY_NEARNESS = {0: 0.0, 1: 0.012, 2: 0.060}
"""Price of the traffic, as equivalent seconds of delay."""

_AFFINITY_HIT_PROBABILITY = 0.3
"""Probability that the preferred host recently read a request's last shared part."""

TOKENS_PER_SECOND = 100_000.0
"""Prompt tokens that an otherwise idle engine reads per second."""

_QUEUED_TOKENS_PER_REQUEST = 3000.0
"""Assumed uncached prompt of a request that is only reported as waiting."""

_STEP_SECONDS = 0.012
"""Duration of one step of a busy engine."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestNeed:
    """Work that a request needs.

    Attributes
    ----------
    prompt_tokens : float
    prompt_parts : tuple of (str, int)
    work_seconds : float
        Processing time of such a request at a plain service; 0 for engines.
    """

    prompt_tokens: float = 0.0
    prompt_parts: tuple = ()
    work_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamState:
    """State of one upstream as this entry host estimates it.

    Attributes
    ----------
    host_id : str
    nearness : int
        0 in the same data centre, 1 in the same region, 2 elsewhere.
    slots : int
    in_flight : int
        Requests of this entry host in progress there.
    reported : int
        Requests running and waiting there by its last report, 0 once that is old.
    reported_waiting : int
    backlog_tokens : float
        Uncached tokens of this entry host's requests that have no first event yet.
    cached_tokens : float
        Cached tokens of this request's prompt.
    slowness : float
        Ratio of recent to estimated answer times.
    load_age : float or None
        Seconds since its last report, None before the first one.
    """

    host_id: str
    nearness: int
    slots: int
    in_flight: int = 0
    reported: int = 0
    reported_waiting: int = 0
    backlog_tokens: float = 0.0
    cached_tokens: float = 0.0
    slowness: float = 1.0
    load_age: float | None = None


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Expected answer time and cost at one upstream.

    Attributes
    ----------
    host_id : str
    seconds : float
        Time to the answer or its first event.
    cost : float
        Seconds, plus the cost of the distance.
    busy : int
        Requests there by own counts or its last report, whichever is higher.
    cached_tokens : float
    load_age : float or None
        Seconds since its last report.
    """

    host_id: str
    seconds: float
    cost: float
    busy: int = 0
    cached_tokens: float = 0.0
    load_age: float | None = None


def estimate(need, state):
    """Return the `Estimate` of one upstream."""
    round_trip = _DISTANCE_SECONDS_BY_NEARNESS[state.nearness]
    if need.work_seconds:
        others = max(state.in_flight, state.reported)
        rounds = 1 + max(0, others + 1 - state.slots) / max(1, state.slots)
        busy = 0.25 * min(1.0, others / max(1, state.slots))
        work = need.work_seconds * (rounds + busy)
    else:
        uncached = max(0.0, need.prompt_tokens - state.cached_tokens)
        queued = max(
            state.backlog_tokens, state.reported_waiting * _QUEUED_TOKENS_PER_REQUEST
        )
        work = (queued + uncached) / TOKENS_PER_SECOND + _STEP_SECONDS
        load = max(state.in_flight, state.reported) / max(1, state.slots)
        work += _STEP_SECONDS * load
    seconds = round_trip + work * state.slowness
    cost = seconds + _DISTANCE_COST_SECONDS_BY_NEARNESS[state.nearness]
    return Estimate(
        state.host_id,
        seconds,
        cost,
        max(state.in_flight, state.reported),
        state.cached_tokens,
        state.load_age,
    )


def choose(need, states, random_source):
    """Return the `Estimate` of the best upstream, or None without any.

    Parameters
    ----------
    need : RequestNeed
    states : sequence of UpstreamState
    random_source : random.Random
        Breaks ties, so that entry hosts with the same view don't all choose the same.
    """
    if not states:
        return None
    preferred = preferred_host(need, states)
    best, best_rank = None, None
    for state in states:
        found = estimate(need, state)
        rank = found.cost * random_source.uniform(1.0, 1.08)
        if state.host_id == preferred:
            rank -= (
                _AFFINITY_HIT_PROBABILITY * need.prompt_parts[-1][1] / TOKENS_PER_SECOND
            )
        if best is None or rank < best_rank:
            best, best_rank = found, rank
    return best


def preferred_host(need, states):
    """Return the host that all nearby entry hosts prefer for a session, or None."""
    if not need.prompt_parts:
        return None
    session = need.prompt_parts[-1][0]
    nearest = min(state.nearness for state in states)
    near = [state.host_id for state in states if state.nearness == nearest]
    return max(near, key=lambda host_id: _rank(session, host_id))


def _rank(session, host_id):
    return xxhash.xxh32_intdigest(f"{session}/{host_id}".encode())
