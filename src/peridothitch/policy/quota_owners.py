"""Chooses the entry hosts that a customer's quota is divided among.

An equal share for each of hundreds of hosts may be smaller than one request; nearly
every request of a customer far below its quota would be refused. Such a quota is
divided among a few owners, which admit requests for the other hosts. The choice answers
any load at which the mean size of a request is known.
"""

import dataclasses
import functools

import xxhash

__all__ = [
    "LENDER_COUNT",
    "OwnerTable",
    "choose_owners",
    "owner_count",
    "reserved_part",
]

_MIN_REQUESTS_PER_HOST = 12
"""Requests that an equal share has to cover for every host to own one."""

_MIN_REQUESTS_PER_OWNER = 24
"""Requests that the share of an owner covers, so that random arrivals fit."""

_MIN_OWNERS = 2
"""One owner may be lost."""

_MIN_RESERVED_REQUESTS = 4
"""Requests that an equal share has to cover for other hosts to keep a part of it."""

_RESERVED_PART = 0.5
"""Part of an equal share that they keep for times without contact to the owners."""

_CHANGE_FACTOR = 3
"""Factor by which the number of owners has to differ before it is changed."""

LENDER_COUNT = 4
"""Hosts that one host asks in turn before it refuses a request."""

_LENDER_CANDIDATES = 6
"""Hosts that lend for the others where all hosts own a share."""

_MAX_CACHED_HASHES = 65536


@functools.lru_cache(maxsize=_MAX_CACHED_HASHES)
def _rank(customer, name):
    return xxhash.xxh64_intdigest(f"{customer}/{name}".encode())


def owner_count(limit, mean_units, host_count):
    """Return the number of hosts to divide a quota among.

    Parameters
    ----------
    limit : float
        Units that the customer may use at all hosts in one window.
    mean_units : float
        Mean size of a request.
    host_count : int
    """
    if mean_units <= 0:
        return host_count
    requests = limit / mean_units
    if requests >= _MIN_REQUESTS_PER_HOST * host_count:
        return host_count
    wanted = max(_MIN_OWNERS, int(requests / _MIN_REQUESTS_PER_OWNER))
    return min(host_count, wanted)


def reserved_part(limit, mean_units, host_count):
    """Return the part of an equal share that hosts keep which are no owners.

    Parameters
    ----------
    limit, mean_units : float
        See `owner_count`.
    host_count : int
    """
    if mean_units <= 0 or limit / mean_units < _MIN_RESERVED_REQUESTS * host_count:
        return 0.0
    return _RESERVED_PART


def choose_owners(customer, peer_by_id, count):
    """Return the ids of a customer's owners, spread over the data centres.

    Fewer owners are the first ones of more owners, and a host that joins or leaves
    replaces few of them.

    Parameters
    ----------
    customer : str
    peer_by_id : dict of str to peridothitch.ports.peers.Peer
        Entry hosts believed live.
    count : int
    """
    ids_by_data_centre = {}
    for host_id, peer in peer_by_id.items():
        ids_by_data_centre.setdefault(peer.data_centre, []).append(host_id)
    positions = []
    for data_centre, host_ids in ids_by_data_centre.items():
        host_ids.sort(key=lambda host_id: _rank(customer, host_id))
        data_centre_rank = _rank(customer, data_centre)
        positions += [
            (turn, data_centre_rank, host_id)
            for turn, host_id in enumerate(host_ids[:count])
        ]
    return [host_id for _, _, host_id in sorted(positions)[:count]]


@dataclasses.dataclass(frozen=True)
class _Owners:
    """The owners of a customer's quota; `chosen_ids` lend to the other hosts."""

    count: int
    are_all: bool
    chosen_ids: tuple
    lenders_by_host: dict = dataclasses.field(default_factory=dict)


class OwnerTable:
    """The owners by customer, as one host determines them for all.

    Not safe for several threads at once.
    """

    def __init__(self):
        self._members = frozenset()
        self._owners_by_customer = {}

    def owners(self, customer, limit, mean_units, peer_by_id):
        """Return the ids of the owners; None if all hosts are.

        Parameters
        ----------
        customer : str
        limit, mean_units : float
            See `owner_count`.
        peer_by_id : dict of str to peridothitch.ports.peers.Peer
        """
        host_count = len(peer_by_id)
        count = owner_count(limit, mean_units, host_count)
        known = self._owners_by_customer.get(customer)
        if known is not None and _is_close(known.count, count):
            count = min(known.count, host_count)
        if peer_by_id.keys() != self._members:
            self._members = frozenset(peer_by_id)
            self._owners_by_customer.clear()
            known = None
        if known is None or known.count != count:
            are_all = count >= host_count
            chosen_count = _LENDER_CANDIDATES if are_all else count
            chosen = choose_owners(customer, peer_by_id, chosen_count)
            known = _Owners(count, are_all, tuple(chosen))
            self._owners_by_customer[customer] = known
        return None if known.are_all else known.chosen_ids

    def lenders(self, customer, host_id, peer_by_id):
        """Return the owners that a host asks in turn, a near one first.

        Parameters
        ----------
        customer : str
            One whose owners were determined.
        host_id : str
            The host that asks.
        peer_by_id : dict of str to peridothitch.ports.peers.Peer
        """
        owners = self._owners_by_customer[customer]
        found = owners.lenders_by_host.get(host_id)
        if found is None:
            found = _choose_lenders(owners.chosen_ids, host_id, peer_by_id)
            owners.lenders_by_host[host_id] = found
        return found


def _choose_lenders(owner_ids, host_id, peer_by_id):
    own = peer_by_id.get(host_id)
    others = sorted(
        (owner_id for owner_id in owner_ids if owner_id != host_id),
        key=lambda owner_id: _rank(host_id, owner_id),
    )
    near = [
        owner_id
        for owner_id in others
        if own is not None and peer_by_id[owner_id].data_centre == own.data_centre
    ]
    first = (near or others)[:1]
    rest = [other for other in others if other not in first]
    return tuple((first + rest)[:LENDER_COUNT])


def _is_close(count, other_count):
    return (
        count <= _CHANGE_FACTOR * other_count and other_count <= _CHANGE_FACTOR * count
    )
