"""What the store keeps of the moves that operators have ordered.

A record lies beside the leases, so that every host sees it without a further watch. It
is written only if it is still as it was read, together with the state that operators
see: of several hosts that decide at the same time one writes the verdict.
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
    """A move as the store keeps it.

    Attributes
    ----------
    order_revision : int
        Store revision of the order that it carries out.
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
    service : peridothitch.ports.store.Store
    leases : peridothitch.coordination.mirror.Mirror
        Mirror of the prefix that the records lie under.
    names : peridothitch.ports.record_codec.RecordCodec
        Formats of the state that operators see.
    """

    def __init__(self, service, leases, names):
        self._store = service
        self._leases = leases
        self._names = names
        self._decoded_by_key = {}

    def find(self, order):
        """Return the `PersistedMove` of an `OrderedMove`, None if it was not begun."""
        item = self._leases.items().get(_PREFIX + order.service)
        if item is None:
            return None
        kept = self._decode(item)
        is_of_order = kept is not None and kept.order_revision == order.revision
        return kept if is_of_order else None

    def _decode(self, item):
        # Every request of a service that has an order asks for its record.
        revision, kept = self._decoded_by_key.get(item.key, (0, None))
        if revision == item.mod_revision:
            return kept
        try:
            kept = msgspec.json.decode(item.value, type=PersistedMove)
        except msgspec.MsgspecError as error:
            _log.error("move record can't be read", key=item.key, reason=str(error))
            kept = None
        self._decoded_by_key[item.key] = item.mod_revision, kept
        return kept

    def write(self, order, kept):
        """Write a record if it is still as this host knows it.

        Parameters
        ----------
        order : peridothitch.ports.record_codec.OrderedMove
        kept : PersistedMove

        Returns
        -------
        bool
            Whether it was written.

        Raises
        ------
        peridothitch.errors.StoreError
        """
        key = _PREFIX + order.service
        known = self._leases.items().get(key)
        seen = known.mod_revision if known is not None else 0
        told_key, told = self._names.encode_move_status(order, kept.told)
        compares = [store.Compare(key, store.Target.MOD, seen)]
        writes = [
            store.Put(key, msgspec.json.encode(kept)),
            store.Put(told_key, told),
        ]
        return self._store.transact(compares, writes).succeeded
