"""Keys that a mirror keeps when the store comes back from an older copy of itself.

The copy lacks what was written since it was made, until the writers write it again. So
a mirror keeps an item of an earlier era where its writer's own order, such as a version
or a sequence number, tells that the copy's item is older. Without such an order the
store's numbers decide, which are higher for an item that the copy lacks.
"""

import abc
import collections

import xxhash

from peridothitch.ports import store

__all__ = [
    "EraRule",
    "StoreRule",
    "WriteOrderRule",
    "digest",
    "join",
    "retained_items",
]

_MAX_REMOVED_KEYS = 1024


class EraRule(abc.ABC):
    """Chooses between items of two eras."""

    def choose(self, older, newer, is_written=False):
        """Return the item that a key has, None if it has none.

        Parameters
        ----------
        older : peridothitch.ports.store.KeyValue
            Item of an earlier era.
        newer : peridothitch.ports.store.KeyValue or None
            The key's item in the later era.
        is_written : bool
            Whether `newer` was certainly written in the later era; otherwise the copy
            may have contained it.
        """
        return newer

    def admits(self, item):
        """Return whether a key that is not held gets an item."""
        return True

    @abc.abstractmethod
    def record_removal(self, item, era):
        """Record that an item was removed in an era."""


class StoreRule(EraRule):
    """Whatever the store has counts, for keys that stand for rights, such as leases."""

    def record_removal(self, item, era):
        """Do nothing."""


class WriteOrderRule(EraRule):
    """Items are ordered by their writers.

    Parameters
    ----------
    write_order : callable
        Returns, for a key and a value, a comparable that is higher for later writes of
        a key; None if the value tells none.
    keeps_missing : bool
        Whether a key that the later era lacks is kept until it is written again.
    """

    def __init__(self, write_order, keeps_missing):
        self._write_order = write_order
        self._keeps_missing = keeps_missing
        self._removed_by_key = collections.OrderedDict()

    def choose(self, older, newer, is_written=False):
        """Return the item that was written last."""
        if newer is None:
            return older if self._keeps_missing else None
        older_order, newer_order = self._order(older), self._order(newer)
        if older_order is not None and newer_order is not None:
            return older if newer_order < older_order else newer
        older_number = store.number_of(older.mod_revision)
        newer_number = store.number_of(newer.mod_revision)
        if newer.value == older.value:
            # Written again, it is still the same write.
            return newer if newer_number == older_number else older
        return newer if is_written or newer_number > older_number else older

    def admits(self, item):
        """Return whether an item is newer than the one that was removed before it."""
        removed = self._removed_by_key.get(item.key)
        if removed is None:
            return True
        removed_order, removed_era = removed
        era = store.era_of(item.mod_revision)
        order = self._order(item)
        if era <= removed_era or order is None or removed_order is None:
            return era >= removed_era
        return order > removed_order

    def record_removal(self, item, era):
        """Remember a removed item's order."""
        self._removed_by_key[item.key] = self._order(item), era
        self._removed_by_key.move_to_end(item.key)
        while len(self._removed_by_key) > _MAX_REMOVED_KEYS:
            self._removed_by_key.popitem(last=False)

    def _order(self, item):
        return self._write_order(item.key, item.value)


def join(held_by_key, found_by_key, era, rule):
    """Return the items that remain of those held when others are found.

    Parameters
    ----------
    held_by_key, found_by_key : dict of str to peridothitch.ports.store.KeyValue
        What is held, and what the store or another host has since.
    era : int
        Era of what was found.
    rule : EraRule
    """
    joined_by_key = {}
    for key in found_by_key.keys() | held_by_key.keys():
        held, found = held_by_key.get(key), found_by_key.get(key)
        item = _join_one(held, found, era, rule)
        if item is not None:
            joined_by_key[key] = item
        elif held is not None and store.era_of(held.mod_revision) == era:
            rule.record_removal(held, era)
    return joined_by_key


def _join_one(held, found, era, rule):
    if held is None or found is None:
        item = held or found
        if store.era_of(item.mod_revision) < era:
            item = rule.choose(item, None)
        elif held is not None:
            return None
        return item if item is not None and rule.admits(item) else None
    held_era = store.era_of(held.mod_revision)
    found_era = store.era_of(found.mod_revision)
    if held_era == found_era:
        return max(held, found, key=lambda item: item.mod_revision)
    if held_era < found_era:
        return rule.choose(held, found)
    return rule.choose(found, held)


def retained_items(item_by_key, era):
    """Return the items of eras before one, by key."""
    return {
        key: item
        for key, item in item_by_key.items()
        if store.era_of(item.mod_revision) < era
    }


def digest(item_by_key):
    """Return a number, not 0, that is the same for the same content in other eras."""
    content = sorted(
        (key, store.number_of(item.mod_revision), xxhash.xxh32_intdigest(item.value))
        for key, item in item_by_key.items()
    )
    return xxhash.xxh32_intdigest(repr(content).encode()) or 1
