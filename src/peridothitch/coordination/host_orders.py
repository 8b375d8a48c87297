"""Records of host starts in the store: one slot for each host, one order in a slot.

A slot is the n-th host of a service of one offer. The order's id is written to its slot
before the cloud is called, so a retry after a lost reply or by the next lease holder
uses the same id, for which the cloud starts at most one host.
"""

import dataclasses
import datetime
import enum
import secrets

import msgspec

from peridothitch.ports import cloud, store

__all__ = ["HostOrders", "Slot", "SlotState"]

_PREFIX = "/peridothitch/host-orders/"
_ID_BYTES = 9


class SlotState(enum.Enum):
    """Progress of an order."""

    ORDERED = "ordered"
    SEEN = "seen"
    MISSING = "missing"
    REFUSED = "refused"
    RELEASED = "released"


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    order: cloud.Order
    state: SlotState
    changed: datetime.datetime


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slot:
    """One slot as it was last read.

    Attributes
    ----------
    key : str
    order : peridothitch.ports.cloud.Order
    state : SlotState
    changed : datetime.datetime
    mod_revision : int
    """

    key: str
    order: cloud.Order
    state: SlotState
    changed: datetime.datetime
    mod_revision: int


class HostOrders:
    """Reads and writes slots; every write compares the revision that was read.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, service, clock):
        self._store = service
        self._clock = clock

    def read(self):
        """Return all slots as a dict of key to `Slot`."""
        stored = self._store.range(_PREFIX)
        return {key: _to_slot(item) for key, item in stored.item_by_key.items()}

    def order(self, service, version, offer, slot_by_key):
        """Write an order to the first free slot of an offer.

        Returns
        -------
        Slot or None
            None when another holder took the slot.

        Raises
        ------
        peridothitch.errors.StoreError
            The order may have been written; the next read shows it.
        """
        key = self._free_key(service, offer, slot_by_key)
        order = cloud.Order(
            order_id=secrets.token_hex(_ID_BYTES),
            service=service,
            version=version,
            offer=offer,
        )
        record = _Record(order=order, state=SlotState.ORDERED, changed=self._now())
        compare = store.Compare(key, store.Target.VERSION, 0)
        put = store.Put(key, msgspec.json.encode(record))
        result = self._store.transact([compare], [put])
        if not result.succeeded:
            return None
        return Slot(
            key=key,
            order=order,
            state=record.state,
            changed=record.changed,
            mod_revision=result.revision,
        )

    def set_state(self, slot, state):
        """Change a slot's state; returns the new `Slot`, None if it was changed."""
        record = _Record(order=slot.order, state=state, changed=self._now())
        put = store.Put(slot.key, msgspec.json.encode(record))
        result = self._write(slot, put)
        if not result.succeeded:
            return None
        return dataclasses.replace(
            slot,
            state=state,
            changed=record.changed,
            mod_revision=result.revision,
        )

    def free(self, slot):
        """Delete a slot whose host is gone; returns whether the slot was unchanged."""
        return self._write(slot, store.Delete(slot.key)).succeeded

    def _free_key(self, service, offer, slot_by_key):
        number = 0
        while True:
            key = f"{_PREFIX}{service}/{offer.name}/{number}"
            if key not in slot_by_key:
                return key
            number += 1

    def _write(self, slot, write):
        compare = store.Compare(slot.key, store.Target.MOD, slot.mod_revision)
        return self._store.transact([compare], [write])

    def _now(self):
        return self._clock.now()


def _to_slot(item):
    record = msgspec.json.decode(item.value, type=_Record)
    return Slot(
        key=item.key,
        order=record.order,
        state=record.state,
        changed=record.changed,
        mod_revision=item.mod_revision,
    )
