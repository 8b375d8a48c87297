"""Chooses the upstream at which a request is expected to be answered soonest.

The estimate is the sum of the network round trip, the prompts queued before this one
and the uncached part of its own, the work scaled by how much slower than expected the
upstream has been recently. Remote data centres cost more than their latency, since
traffic between them is paid for.
"""

import dataclasses
import math

import xxhash

__all__ = [
    "TOKENS_PER_SECOND",
    "Estimate",
    "RequestNeed",
    "UpstreamState",
    "choose",
    "draw",
    "estimate",
    "preferred_host",
]

_DISTANCE_SECONDS_BY_NEARNESS = {0: 0.0002, 1: 0.003, 2: 0.042}
"""Round trips: same data centre, same region, another region."""

_DISTANCE_COST_SECONDS_BY_NEARNESS = {0: 0.0, 1: 0.012, 2: 0.060}
"""Price of the traffic, as equivalent seconds of delay."""

_DRAWN_COUNT_BY_NEARNESS = {0: 2, 1: 1, 2: 1}
"""Upstreams drawn for a comparison, by nearness."""

_MIN_SLOWNESS = 0.5
"""Slowness from which upstreams are drawn each time."""

_REPORT_DECAY_SECONDS = 0.5
"""Age of a report at which the load has likely changed."""

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
    homes : frozenset of str or None
        Regions whose upstreams may get the request; None for all.
    """

    prompt_tokens: float = 0.0
    prompt_parts: tuple = ()
    work_seconds: float = 0.0
    homes: frozenset | None = None


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
    speed : peridothitch.policy.upstream_speeds.Speed or None
        Its speed as learnt from answers, None where it isn't known.
    uncertain_tokens : float
        Tokens that only other entry hosts may have had cached there.
    is_preferred : bool
        Whether all entry hosts expect the shared parts of the prompt there.
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
    speed: object = None
    uncertain_tokens: float = 0.0
    is_preferred: bool = False


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
    token_seconds : float or None
        Expected time per output token, None where it isn't known.
    is_modelled : bool
        Whether the times are based on the speed learnt from answers.
    queued_tokens : float
        Tokens that the upstream reads first, as far as known.
    uncertain_tokens : float
    is_preferred : bool
        See `UpstreamState`.
    """

    host_id: str
    seconds: float
    cost: float
    busy: int = 0
    cached_tokens: float = 0.0
    load_age: float | None = None
    token_seconds: float | None = None
    is_modelled: bool = False
    queued_tokens: float = 0.0
    uncertain_tokens: float = 0.0
    is_preferred: bool = False


def estimate(need, state):
    """Return the `Estimate` of one upstream."""
    if state.speed is not None and not need.work_seconds:
        return _modelled_estimate(need, state)
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
        uncertain_tokens=state.uncertain_tokens,
        is_preferred=state.is_preferred,
    )


def _modelled_estimate(need, state):
    """Return the `Estimate` of an upstream whose speed has been learnt."""
    speed, busy = state.speed, max(state.in_flight, state.reported)
    uncached = max(0.0, need.prompt_tokens - state.cached_tokens)
    if state.is_preferred:
        # Hosts that all doubted it would never have the parts read there.
        hit_rate = (1 + speed.hit_rate) / 2
        uncached -= min(uncached, hit_rate * state.uncertain_tokens)
    queued = max(state.backlog_tokens, state.reported_waiting * speed.mean_read_tokens)
    token_seconds = None
    if speed.token_seconds is not None:
        token_seconds = speed.token_seconds + busy * speed.token_seconds_per_request
    wait = max(queued * speed.read_seconds, _unseen_wait(state))
    work = speed.first_seconds + uncached * speed.read_seconds + wait
    excess = max(0, busy + 1 - state.slots)
    # Each place that becomes free takes one of those who wait for it.
    work *= 1 + excess / max(1, state.slots)
    seconds = _DISTANCE_SECONDS_BY_NEARNESS[state.nearness] + work * state.slowness
    return Estimate(
        state.host_id,
        seconds,
        seconds + _DISTANCE_COST_SECONDS_BY_NEARNESS[state.nearness],
        busy,
        state.cached_tokens,
        state.load_age,
        token_seconds=token_seconds,
        is_modelled=True,
        queued_tokens=queued,
        uncertain_tokens=state.uncertain_tokens,
        is_preferred=state.is_preferred,
    )


def _unseen_wait(state):
    """Return the expected wait at an upstream whose last report has become old."""
    if state.speed is None:
        return 0.0
    age = math.inf if state.load_age is None else max(0.0, state.load_age)
    return state.speed.wait_seconds * (1 - math.exp(-age / _REPORT_DECAY_SECONDS))


def draw(states_by_nearness, preferred, slowness, random_source):
    """Return the upstreams to compare: the preferred ones and a few others.

    The others are drawn in proportion to their speed.

    Entry hosts with the same view that compared all of them would all choose the same
    one, and overload it until they learn of each other's requests.

    Parameters
    ----------
    states_by_nearness : dict of int to list
        Upstreams of any type.
    preferred : list
        Those to be compared in any case.
    slowness : callable
        Returns how long work takes at an upstream relative to others.
    random_source : random.Random

    Returns
    -------
    list
    """
    drawn = list(preferred)
    for nearness, count in _DRAWN_COUNT_BY_NEARNESS.items():
        others = states_by_nearness.get(nearness, ())
        left = count
        for state in random_source.sample(others, min(3 * count, len(others))):
            if not left:
                break
            if random_source.random() * slowness(state) > _MIN_SLOWNESS:
                continue
            left -= 1
            if state not in preferred:
                drawn.append(state)
    if not drawn:
        drawn = [random_source.choice(others) for others in states_by_nearness.values()]
    return drawn


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
        if found.is_modelled:
            # What is not seen is drawn, so that not all requests go to the same one.
            # The drawn ones are the best of several draws, the preferred ones are not.
            draws = sum(_DRAWN_COUNT_BY_NEARNESS.values()) if found.is_preferred else 1
            unseen = _unseen_wait(state)
            rank += unseen * (random_source.expovariate(draws) - 1.0)
        if state.host_id == preferred and not found.is_modelled:
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
