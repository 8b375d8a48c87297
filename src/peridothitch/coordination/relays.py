"""Selects the members that watch the store and the hosts that the others fetch from.

Members of a data centre are ordered by a hash of their ids. The first few are its
relays; the others fetch along a tree, so that every host answers a few others however
large the fleet is. The order is a hint: a host whose parent has nothing newer asks
others.
"""

import functools
import math

import xxhash

__all__ = ["ancestors", "is_relay", "position", "rank", "relays", "standby_rank"]

_MIN_RELAYS_PER_FLEET = 6
"""Minimum number of relays in a fleet; the store may refuse several of them."""

_CHILDREN_PER_HOST = 4
_MAX_CACHED_POSITIONS = 4096


@functools.lru_cache(maxsize=_MAX_CACHED_POSITIONS)
def position(host_id):
    """Return a host's position in the order of all hosts, a 64-bit number."""
    return xxhash.xxh64_intdigest(host_id.encode())


def rank(peer_by_id, host_id):
    """Return how many members come before a host in the order, 0 if it is none."""
    if host_id not in peer_by_id:
        return 0
    own = position(host_id)
    return sum(position(other) < own for other in peer_by_id)


def _sorted_ids(peer_by_id, data_centre):
    local = [
        host_id
        for host_id, peer in peer_by_id.items()
        if peer.data_centre == data_centre
    ]
    return sorted(local, key=position)


def _relays_per_data_centre(peer_by_id):
    """Return the number of relays of each data centre."""
    data_centres = {peer.data_centre for peer in peer_by_id.values()}
    return math.ceil(_MIN_RELAYS_PER_FLEET / max(1, len(data_centres)))


def relays(peer_by_id, data_centre):
    """Return the ids of the members that watch the store for a data centre."""
    return _sorted_ids(peer_by_id, data_centre)[: _relays_per_data_centre(peer_by_id)]


def is_relay(peer_by_id, host_id):
    """Return whether a member watches the store for its data centre."""
    peer = peer_by_id.get(host_id)
    return peer is not None and host_id in relays(peer_by_id, peer.data_centre)


def standby_rank(peer_by_id, host_id):
    """Return how many members replace failed relays before a member does."""
    data_centres = {peer.data_centre for peer in peer_by_id.values()}
    watching = {relay for name in data_centres for relay in relays(peer_by_id, name)}
    own = position(host_id)
    return sum(position(other) < own for other in peer_by_id if other not in watching)


def ancestors(peer_by_id, host_id):
    """Return the ids that a host queries in turn: its parent first, then up to a relay.

    Relays have none.
    """
    peer = peer_by_id.get(host_id)
    if peer is None:
        return []
    ordered = _sorted_ids(peer_by_id, peer.data_centre)
    rank = ordered.index(host_id)
    count = _relays_per_data_centre(peer_by_id)
    chain = []
    while rank >= count:
        rank = (rank - count) // _CHILDREN_PER_HOST
        chain.append(ordered[rank])
    return chain
