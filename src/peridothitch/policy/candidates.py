"""Draws the few upstreams among which a request's best one is chosen.

Entry hosts that see the same totals until the next ones arrive would all choose the
same least loaded upstream. With a few candidates drawn at random by each of them the
load stays even though the totals are old (Mitzenmacher, "How useful is old
information?").
Upstreams of the own region and of others are drawn apart, since a remote one is only
worth its distance when all near ones wait.
"""

import heapq
import math

from peridothitch.policy import placement

__all__ = ["draw"]

_NEAR_COUNT = 2
_REMOTE_COUNT = 2
_CACHED_COUNT = 2


def draw(need, states, random_source):
    """Return the candidates for a request, with likely holders of its prompt.

    Parameters
    ----------
    need : peridothitch.policy.placement.RequestNeed
    states : sequence of peridothitch.policy.placement.UpstreamState
    random_source : random.Random

    Returns
    -------
    list of peridothitch.policy.placement.UpstreamState
        Not empty unless `states` is.
    """
    near = [state for state in states if state.nearness < 2]
    remote = [state for state in states if state.nearness >= 2]
    chosen = _sample(near, _NEAR_COUNT, random_source)
    chosen += _sample(remote, _REMOTE_COUNT, random_source)
    chosen += _likely_holders(states, random_source)
    preferred = placement.preferred_host(need, states)
    chosen += [state for state in states if state.host_id == preferred]
    return list({state.host_id: state for state in chosen}.values())


def _likely_holders(states, random_source):
    """Return those with the most cached tokens, any of them where many have as many."""
    cached = [state for state in states if state.cached_tokens > 0]
    return heapq.nlargest(
        _CACHED_COUNT,
        cached,
        key=lambda state: (state.cached_tokens, random_source.random()),
    )


def _sample(states, count, random_source):
    """Return some states, drawn without replacement and weighted by capacity.

    The largest of ``log(u) / weight`` are such a sample (Efraimidis and Spirakis).
    """
    if len(states) <= count:
        return list(states)
    return heapq.nlargest(
        count,
        states,
        key=lambda state: math.log(1.0 - random_source.random()) / _weight(state),
    )


def _weight(state):
    return max(1, state.slots) / max(0.01, state.slowness)
