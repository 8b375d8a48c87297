"""Addresses at which a host may reach members that it has no record of."""

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
        self._addresses_by_source = {"seeds": frozenset(seeds)}
        self._address_by_departed = {}

    def set_addresses(self, source, addresses):
        """Replace the addresses that a source lists."""
        with self._lock:
            self._addresses_by_source[source] = frozenset(addresses)

    def add_departed(self, host_id, address):
        """Store the address of a departed member, which may rejoin."""
        with self._lock:
            self._address_by_departed[host_id] = address

    def remove_departed(self, host_id):
        """Remove the address of a member that has rejoined."""
        with self._lock:
            self._address_by_departed.pop(host_id, None)

    def retain_departed(self, host_ids):
        """Remove all departed members except those given."""
        with self._lock:
            for host_id in set(self._address_by_departed) - set(host_ids):
                del self._address_by_departed[host_id]

    def candidates(self, live):
        """Return the sorted addresses that belong to no live member."""
        with self._lock:
            found = set(self._address_by_departed.values())
            found.update(*self._addresses_by_source.values())
        return sorted(found - live)
