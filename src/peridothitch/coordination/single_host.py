"""Fact registry and peers for a fleet of one host, without gossip and network."""

import threading

from peridothitch import errors
from peridothitch.ports import facts, peers

__all__ = ["LocalFactRegistry", "SingleHostPeers"]


class LocalFactRegistry(facts.FactRegistry):
    """Fact registry that is not replicated to other hosts."""

    def __init__(self):
        self._lock = threading.Lock()
        self._fact_by_key_by_kind = {}
        self._callbacks_by_kind = {}

    def publish(self, fact):
        """Add a fact; returns whether it was new."""
        with self._lock:
            fact_by_key = self._fact_by_key_by_kind.setdefault(fact.kind, {})
            known = fact_by_key.get(fact.key)
            if known is not None and known.sequence >= fact.sequence:
                return False
            fact_by_key[fact.key] = fact
            callbacks = tuple(self._callbacks_by_kind.get(fact.kind, ()))
        for callback in callbacks:
            callback(fact)
        return True

    def facts(self, kind):
        """Return the facts of a kind by key."""
        with self._lock:
            return dict(self._fact_by_key_by_kind.get(kind, {}))

    def subscribe(self, kind, callback):
        """Call `callback` for each new fact of a kind."""
        with self._lock:
            self._callbacks_by_kind.setdefault(kind, []).append(callback)


class SingleHostPeers(peers.Peers):
    """Peers of a fleet that has this host as its only member.

    Parameters
    ----------
    peer : peridothitch.ports.peers.Peer
        This host.
    """

    def __init__(self, peer):
        self.host_id = peer.host_id
        self._peer = peer
        self._handler_by_method = {}

    def members(self):
        """Return a dict with this host's id and `Peer`."""
        return {self.host_id: self._peer}

    def register(self, method, handler):
        """Register the handler of calls of `method`."""
        self._handler_by_method[method] = handler

    def call(self, host_id, method, payload, timeout):
        """Call a handler of this host.

        Raises
        ------
        peridothitch.errors.PeerError
            `host_id` is another host, or `method` has no handler.
        """
        if host_id != self.host_id or method not in self._handler_by_method:
            raise errors.PeerError(f"{host_id} does not answer {method}", sent=False)
        return self._handler_by_method[method](payload)
