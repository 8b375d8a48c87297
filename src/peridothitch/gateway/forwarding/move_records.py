"""Records in the store of the moves that operators have ordered.

A record is stored under the prefix of the leases, so that every host receives it
without a further watch. It is written only if it is unchanged since it was read,
together with the state that operators see: of several hosts that decide at the same
time, one writes the verdict.
"""

import logbook
import msgspec

from peridothitch.coordination import lease
from peridothitch.policy import moves
from peridothitch.ports import record_codec, store

__all__ = ["PersistedMove", "MoveRecords"]

_PREFIX = lease.PREFIX + "moves/"
_log = logbook.Logger(__name__)


class PersistedMove(msgspec.Struct, frozen=True, kw_only=True):
    """A move as it is stored.

    Attributes
    ----------
    order_revision : int
        `OrderedMove.revision` of the order that it carries out.
    told : peridothitch.ports.record_codec.MoveState
        State that operators see.
    record : peridothitch.policy.moves.MoveRecord
    """

    order_revision: int
    told: record_codec.MoveState
    record: moves.MoveRecord


class MoveRecords:
    """Reads records from a mirror and writes them to the store.

    Parameters
    ----------
    record_store : peridothitch.ports.store.Store
    leases : peridothitch.coordination.mirror.Mirror
        Mirror of the prefix of the records' keys.
    codec : peridothitch.ports.record_codec.RecordCodec
        Encodes the state that operators see.
    """

    def __init__(self, record_store, leases, codec):
        self._store = record_store
        self._leases = leases
        self._codec = codec
        self._decoded_by_key = {}

    def has_newer_orders(self, revision):
        """Return whether the store has orders of operators after a revision.

        Raises
        ------
        peridothitch.errors.StoreError
        """
        found = self._store.range(self._codec.move_prefix)
        return any(item.mod_revision > revision for item in found.item_by_key.values())

    def find(self, order):
        """Return the `PersistedMove` of an `OrderedMove`, None if not started."""
        item = self._leases.items().get(_PREFIX + order.service)
        if item is None:
            return None
        persisted = self._decode(item)
        return persisted if _is_of_order(persisted, order) else None

    def _decode(self, item):
        # Every request of a service that has an order reads its record.
        revision, persisted = self._decoded_by_key.get(item.key, (0, None))
        if revision == item.mod_revision:
            return persisted
        try:
            persisted = msgspec.json.decode(item.value, type=PersistedMove)
        except msgspec.MsgspecError as error:
            _log.error("move record is malformed", key=item.key, reason=str(error))
            persisted = None
        self._decoded_by_key[item.key] = item.mod_revision, persisted
        return persisted

    def write(self, order, persisted):
        """Write a record if the stored one is unchanged since this host read it.

        Parameters
        ----------
        order : peridothitch.ports.record_codec.OrderedMove
        persisted : PersistedMove

        Returns
        -------
        bool
            Whether it was written.

        Raises
        ------
        peridothitch.errors.StoreError
        """
        key = _PREFIX + order.service
        stored_item = self._leases.items().get(key)
        stored_revision = stored_item.mod_revision if stored_item is not None else 0
        told_key, told = self._codec.encode_move_status(order, persisted.told)
        compares = [store.Compare(key, store.Target.MOD, stored_revision)]
        writes = [
            store.Put(key, msgspec.json.encode(persisted)),
            store.Put(told_key, told),
        ]
        return self._store.transact(compares, writes).succeeded


def _is_of_order(persisted, order):
    if persisted is None or persisted.order_revision != order.revision:
        return False
    # A store that comes back from a copy gives the number to another order, too.
    return persisted.record.to_version == order.version
