"""Store in memory that can come back from an older copy of itself."""

import dataclasses

from peridothitch.adapters import memory_store
from peridothitch.ports import store


class RestorableStore(memory_store.MemoryStore):
    """A store whose revisions have an era, as the platform's client gives them."""

    def copy(self):
        """Return what `restore` takes."""
        return dict(self._item_by_key), self._revision

    def restore(self, copied):
        """Lose all that was written since a copy, and all leases."""
        item_by_key, revision = copied
        era = store.era_of(self._revision) + 1

        def to_era(before):
            return store.in_era(era, store.number_of(before))

        self._item_by_key = {
            key: dataclasses.replace(
                item,
                create_revision=to_era(item.create_revision),
                mod_revision=to_era(item.mod_revision),
                lease_id=0,
            )
            for key, item in item_by_key.items()
        }
        self._revision = to_era(revision)
        self._events.clear()
        self._lease_by_id.clear()
