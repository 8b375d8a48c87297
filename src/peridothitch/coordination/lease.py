"""Leases whose holder may pause at any instruction.

A holder acts only on a `Permit`, which is refused once the local monotonic deadline is
too near to finish an order in time. The deadline is counted from before the call that
renewed the lease, so it is never later than the store's own. A new holder waits until
its predecessor's deadline and longest order have passed, unless the predecessor
released the lease. Every acquisition has a higher fencing number, the store's revision.
"""

import dataclasses
import datetime
import secrets
import threading

import logbook
import msgspec

from peridothitch import errors
from peridothitch.ports import leadership, store

__all__ = ["PREFIX", "FencedLease", "LeaseTerms", "Permit", "read_holder"]

PREFIX = "/peridothitch/leases/"
"""Prefix of the keys of leases in the store; the name of a lease follows."""

_NONCE_BYTES = 9
_NO_TIME = datetime.timedelta(0)
_RENEWALS_PER_TTL = 3
_log = logbook.Logger("peridothitch.lease")


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseTerms:
    """Parameters that all candidates for a lease share.

    Attributes
    ----------
    name : str
        Name of the lease.
    ttl : datetime.timedelta
        Time after the last renewal until the store ends the lease.
    max_order_time : datetime.timedelta
        Maximum time from a permit until its order has taken effect.
    orders_are_fenced : bool
        Whether the receivers of orders refuse lower fencing numbers. A new holder then
        acts without a wait, since its first order excludes its predecessor.
    """

    name: str
    ttl: datetime.timedelta = datetime.timedelta(seconds=10)
    max_order_time: datetime.timedelta = datetime.timedelta(seconds=2)
    orders_are_fenced: bool = False

    def __post_init__(self):
        if self.max_order_time >= self.ttl:
            raise errors.SettingsError(
                [f"lease {self.name}: the longest order is not shorter than the ttl"]
            )


@dataclasses.dataclass(frozen=True)
class Permit:
    """Right to send one order now.

    Attributes
    ----------
    fencing_number : int
        Sent with the order; receivers that check it refuse lower ones.
    deadline : datetime.timedelta
        Monotonic time by which the order has to have taken effect.
    """

    fencing_number: int
    deadline: datetime.timedelta


class _HolderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of the last acquisition, which outlives the lease."""

    holder: str
    nonce: str
    released: bool = False


def _always():
    return True


class FencedLease(leadership.Leadership):
    """One process's handle of a lease that at most one process holds.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    terms : LeaseTerms
    holder : str
        Name of this process.
    clock : peridothitch.ports.clock.Clock

    Attributes
    ----------
    fencing_number : int
        Fencing number of the last acquisition, 0 before the first one.
    """

    def __init__(self, service, terms, holder, clock):
        self._store = service
        self._terms = terms
        self._holder = holder
        self._clock = clock
        self._lock = threading.Lock()
        self._key = PREFIX + terms.name
        self._record_key = f"{self._key}.last"
        self._lease_id = 0
        self._nonce = ""
        self._deadline = clock.monotonic()
        self._active_from = self._deadline
        self.fencing_number = 0

    def is_held(self):
        """Return whether a permit would be granted now."""
        try:
            self.permit()
        except errors.LeaseError:
            return False
        return True

    def permit(self):
        """Return a `Permit`; to be requested right before each order.

        Raises
        ------
        peridothitch.errors.LeaseError
            Another process may hold the lease, or may still be acting on it.
        """
        with self._lock:
            now = self._clock.monotonic()
            if not self._lease_id or now + self._terms.max_order_time > self._deadline:
                raise errors.LeaseError(f"{self._terms.name} is not held")
            if now < self._active_from:
                raise errors.LeaseError(
                    f"the last holder of {self._terms.name} may still be acting"
                )
            return Permit(self.fencing_number, self._deadline)

    def step(self):
        """Acquire or renew once; returns whether this process now holds the lease.

        Raises
        ------
        peridothitch.errors.StoreError
            The lease is unchanged; its deadline still applies.
        """
        if self._lease_id and self._clock.monotonic() < self._deadline:
            return self._renew()
        self._clear()
        return self._acquire()

    def run(self, stop, is_candidate=_always):
        """Acquire and renew until the event `stop` is set, then release the lease.

        Parameters
        ----------
        stop : threading.Event
        is_candidate : callable
            Returns whether this process should hold the lease; few should, since each
            candidate calls the store.
        """
        while not self._clock.wait(stop, self._terms.ttl / _RENEWALS_PER_TTL):
            self._try(self.step if is_candidate() else self.release)
        self._try(self.release)

    def _try(self, change):
        try:
            change()
        except errors.StoreError as error:
            _log.debug("lease {}: {}", self._terms.name, error)

    def abandon(self):
        """Stop acting on a lease that another process has taken over."""
        _log.info("lease {} was taken over by another process", self._terms.name)
        self._clear()

    def release(self):
        """Release the lease; to be called after the last order has taken effect.

        The next holder then acts without a wait.
        """
        with self._lock:
            lease_id, self._lease_id = self._lease_id, 0
            is_over = self._clock.monotonic() >= self._deadline
        if not lease_id or is_over:
            return
        unchanged = store.Compare(self._key, store.Target.CREATE, self.fencing_number)
        record = _HolderRecord(holder=self._holder, nonce=self._nonce, released=True)
        writes = [
            store.Delete(self._key),
            store.Put(self._record_key, msgspec.json.encode(record)),
        ]
        self._store.transact([unchanged], writes)
        self._store.revoke_lease(lease_id)

    def _renew(self):
        start = self._clock.monotonic()
        remaining = self._store.keep_alive(self._lease_id)
        if remaining <= _NO_TIME:
            self._clear()
            return False
        with self._lock:
            self._deadline = start + min(remaining, self._terms.ttl)
        return True

    def _acquire(self):
        found = self._store.range(self._key)
        if self._key in found.item_by_key:
            return False
        record = found.item_by_key.get(self._record_key)
        start = self._clock.monotonic()
        lease_id = self._store.grant_lease(self._terms.ttl)
        nonce = secrets.token_urlsafe(_NONCE_BYTES)
        fencing_number = self._create_key(record, lease_id, nonce)
        if not fencing_number:
            self._store.revoke_lease(lease_id)
            return False
        with self._lock:
            self._lease_id = lease_id
            self._nonce = nonce
            self._deadline = start + self._terms.ttl
            self._active_from = start + self._predecessor_wait(record)
            self.fencing_number = fencing_number
        _log.info(
            "lease {} acquired with fencing number {}", self._terms.name, fencing_number
        )
        return True

    def _create_key(self, record, lease_id, nonce):
        holder_record = _HolderRecord(holder=self._holder, nonce=nonce)
        value = msgspec.json.encode(holder_record)
        seen = record.mod_revision if record is not None else 0
        compares = [
            store.Compare(self._key, store.Target.CREATE, 0),
            store.Compare(self._record_key, store.Target.MOD, seen),
        ]
        writes = [
            store.Put(self._key, value, lease_id),
            store.Put(self._record_key, value),
        ]
        try:
            result = self._store.transact(compares, writes)
            return result.revision if result.succeeded else 0
        except errors.StoreUnclearError:
            item = self._store.get(self._key)
            if item is None or _decode(item.value).nonce != nonce:
                return 0
            return item.create_revision

    def _predecessor_wait(self, record):
        if self._terms.orders_are_fenced:
            return _NO_TIME
        if record is None or _decode(record.value).released:
            return _NO_TIME
        # The store may have ended the lease early, so its end doesn't show that the
        # last holder's own deadline has passed.
        return self._terms.ttl + self._terms.max_order_time

    def _clear(self):
        with self._lock:
            self._lease_id = 0


def _decode(value):
    return msgspec.json.decode(value, type=_HolderRecord)


def read_holder(value):
    """Return the holder from the value of a lease's key, empty if it is malformed."""
    try:
        return _decode(value).holder
    except msgspec.MsgspecError:
        return ""
