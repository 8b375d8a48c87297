"""Shares of small quantities, each of which a few entry hosts own."""

import dataclasses
import math
import threading

from peridothitch.policy import upstream_limits

__all__ = ["SharedAllowances"]

_OWNERS_LIFETIME_SECONDS = 0.5
"""Ranking hundreds of entry hosts for each request would take milliseconds."""


@dataclasses.dataclass
class _Share:
    allowance: upstream_limits.Allowance
    owners: frozenset = frozenset()
    owners_until: float = -math.inf


class SharedAllowances:
    """Requests that this host may send to upstreams that take only so many.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, peers, clock):
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self._share_by_key = {}

    def start(self, key):
        """Begin to share a quantity, with nothing; one that is shared goes on."""
        with self._lock:
            if key not in self._share_by_key:
                allowance = upstream_limits.Allowance(0.0, self._now())
                self._share_by_key[key] = _Share(allowance)

    def end(self, key):
        """Forget a quantity that is not limited any more."""
        with self._lock:
            self._share_by_key.pop(key, None)

    def is_open(self, key, terms):
        """Return whether this host may send a request now.

        Parameters
        ----------
        key : str
            Incarnation of the upstream; True for one that isn't shared.
        terms : peridothitch.policy.upstream_limits.Terms
        """
        now = self._now()
        with self._lock:
            share = self._share_by_key.get(key)
            if share is None:
                return True
            owners = self._find_owners(share, key, terms, now)
            rate = 0.0
            if self._peers.host_id in owners:
                rate = terms.owner_rate(len(owners))
            share.allowance = share.allowance.refill(rate, now, terms.burst_seconds)
            return share.allowance.is_open

    def owners(self, key, terms):
        """Return the ids of the hosts that share a quantity, if it is shared."""
        with self._lock:
            share = self._share_by_key.get(key)
            if share is None:
                return frozenset()
            return self._find_owners(share, key, terms, self._now())

    def _find_owners(self, share, key, terms, now):
        if now >= share.owners_until:
            share.owners = terms.choose_owners(key, self._peers.members())
            share.owners_until = now + _OWNERS_LIFETIME_SECONDS
        return share.owners

    def spend(self, key):
        """Take one request from this host's share."""
        with self._lock:
            share = self._share_by_key.get(key)
            if share is not None:
                share.allowance = share.allowance.spend()

    def _now(self):
        return self._clock.monotonic().total_seconds()
