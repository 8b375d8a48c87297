"""The platform's key-value service.

The contract follows the etcd v3 data model: keys with revisions, transactions that
compare before they write, leases that delete the attached keys when they end, and
watches from a revision.

A service that comes back from an older copy of itself begins a new era, in which it
gives out revisions and leases again. Its client adds the era to revisions, so that
every revision of an era is higher than all of the eras before, and lets no lease
outlive its era. A service that never does so has the era 0.
"""

import abc
import dataclasses
import datetime
import enum

__all__ = [
    "Compare",
    "Delete",
    "Event",
    "KeyValue",
    "Put",
    "Range",
    "Store",
    "Target",
    "TransactionResult",
    "Watch",
    "era_of",
    "in_era",
    "number_of",
    "to_text",
]

_ERA_BITS = 40
"""A counter of changes stays below this size for decades at 400 changes a second."""


def in_era(era, number):
    """Return the revision that a service gave a number in an era."""
    return era << _ERA_BITS | number


def era_of(revision):
    """Return the era of a revision."""
    return revision >> _ERA_BITS


def number_of(revision):
    """Return a revision as the service numbered it."""
    return revision & (1 << _ERA_BITS) - 1


def to_text(revision):
    """Return a revision for logs, with its era before it unless that is 0."""
    era, number = era_of(revision), number_of(revision)
    return f"{era}:{number}" if era else str(number)


@dataclasses.dataclass(frozen=True)
class KeyValue:
    """One key with its value and the store's revisions at its creation and last change.

    `version` is the number of writes since the key was created.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Range:
    """Keys read at one revision of the store.

    Attributes
    ----------
    revision : int
        The store's revision at the read.
    item_by_key : dict of str to KeyValue
        The keys found, in key order.
    """

    revision: int
    item_by_key: dict


class Target(enum.Enum):
    """Property of a key that a comparison tests."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"


@dataclasses.dataclass(frozen=True)
class Compare:
    """Condition that a key's property equals a number; absent keys have 0."""

    key: str
    target: Target
    number: int


@dataclasses.dataclass(frozen=True)
class Put:
    """Write of one key, attached to a lease when `lease_id` is not 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Delete:
    """Removal of one key."""

    key: str


@dataclasses.dataclass(frozen=True)
class TransactionResult:
    """Outcome of a transaction.

    Attributes
    ----------
    succeeded : bool
        Whether all comparisons held and the writes were applied.
    revision : int
        The store's revision after the transaction.
    """

    succeeded: bool
    revision: int


@dataclasses.dataclass(frozen=True)
class Event:
    """Change of one key; `deleted` events carry an empty value."""

    item: KeyValue
    deleted: bool = False


class Watch(abc.ABC):
    """Stream of changes of the keys that start with a prefix."""

    @abc.abstractmethod
    def poll(self, timeout):
        """Return the next changes.

        Parameters
        ----------
        timeout : datetime.timedelta
            Maximum time to wait.

        Returns
        -------
        tuple of Event
            Empty when the timeout passed without a change.

        Raises
        ------
        peridothitch.errors.StoreUnavailableError
            The watch has ended, for some stores already because the timeout passed; a
            new one has to be opened. A `peridothitch.errors.StoreHistoryGoneError` says
            that the store no longer has the next changes.
        """

    @abc.abstractmethod
    def close(self):
        """End the watch."""


class Store(abc.ABC):
    """Client of the key-value service.

    Every method raises `errors.StoreUnavailableError` when the call was not applied
    and `errors.StoreUnclearError` when a write may have been applied.
    """

    @abc.abstractmethod
    def range(self, prefix):
        """Read all keys that start with `prefix`; returns a `Range`."""

    @abc.abstractmethod
    def get(self, key):
        """Read one key; returns a `KeyValue` or None."""

    @abc.abstractmethod
    def transact(self, compares, writes):
        """Apply `writes` atomically if all `compares` hold.

        Parameters
        ----------
        compares : sequence of Compare
        writes : sequence of Put or Delete

        Returns
        -------
        TransactionResult
        """

    @abc.abstractmethod
    def grant_lease(self, ttl: datetime.timedelta):
        """Create a lease that expires after `ttl`; returns its id as int."""

    @abc.abstractmethod
    def keep_alive(self, lease_id):
        """Renew a lease.

        Returns
        -------
        datetime.timedelta
            The remaining time; zero when the lease has expired.
        """

    @abc.abstractmethod
    def revoke_lease(self, lease_id):
        """End a lease and remove its keys."""

    @abc.abstractmethod
    def watch(self, prefix, start_revision):
        """Watch `prefix` from `start_revision` on; returns a `Watch`."""
