"""Addresses at which a host may find members that it doesn't know."""

import threading

__all__ = ["AddressBook"]


class AddressBook:
    """Addresses from seeds and the store, and of members that have departed.

    Parameters
    ----------
    seeds : collection of str
    """

    def __init__(self, seeds):
        self._lock = threading.Lock()
        self._learned_by_source = {"seeds": frozenset(seeds)}
        self._address_by_departed = {}

    def set_addresses(self, source, addresses):
        """Replace the addresses that a source knows."""
        with self._lock:
            self._learned_by_source[source] = frozenset(addresses)

    def add_departed(self, host_id, address):
        """Keep the address of a member that may come back."""
        with self._lock:
            self._address_by_departed[host_id] = address

    def remove_departed(self, host_id):
        """Drop the address of a member that is back."""
        with self._lock:
            self._address_by_departed.pop(host_id, None)

    def retain_departed(self, host_ids):
        """Forget the departed members but for those given."""
        with self._lock:
            for host_id in set(self._address_by_departed) - set(host_ids):
                del self._address_by_departed[host_id]

    def candidates(self, live):
        """Return the addresses, sorted, at which no live member is."""
        with self._lock:
            unknown = set(self._address_by_departed.values())
            unknown.update(*self._learned_by_source.values())
        return sorted(unknown - live)
