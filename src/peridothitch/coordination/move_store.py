"""Records of moves in the platform's store: one verdict for each move.

A record is created once and replaced only by compare-and-swap while it has no outcome,
so that of several deciders exactly one writes the verdict. A write whose answer was
lost is read back. The verdict and the version that it puts in force are one
transaction.
"""

import dataclasses

import msgspec

from peridothitch import errors
from peridothitch.policy import moves
from peridothitch.ports import store

__all__ = ["MoveStore", "MoveState", "Override", "StoredMove"]

_PREFIX = "/peridothitch/moves/"
_RECORD_PREFIX = _PREFIX + "record/"
_OVERRIDE_PREFIX = _PREFIX + "in_force/"


class Override(msgspec.Struct, frozen=True, kw_only=True):
    """Version in force since a finished move.

    Attributes
    ----------
    from_current : str
        The document's `current` at the verdict; the override ends when it is edited.
    version : str
        Version that the move went to.
    move_id : str
    """

    from_current: str
    version: str
    move_id: str


@dataclasses.dataclass(frozen=True)
class StoredMove:
    """A record with the revision that a change has to compare."""

    record: moves.MoveRecord
    mod_revision: int


@dataclasses.dataclass(frozen=True)
class MoveState:
    """All records and overrides at one revision.

    Attributes
    ----------
    revision : int
        The store's revision at the read.
    move_by_id : dict of str to StoredMove
    override_by_service : dict of str to Override
    """

    revision: int = 0
    move_by_id: dict = dataclasses.field(default_factory=dict)
    override_by_service: dict = dataclasses.field(default_factory=dict)


class MoveStore:
    """Reads and changes the records of moves.

    Every method raises `peridothitch.errors.StoreError` when the store can't be read.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    holder : str
        Name of this host.
    """

    def __init__(self, service, holder):
        self._store = service
        self._holder = holder

    def load(self):
        """Return the `MoveState`."""
        found = self._store.range(_PREFIX)
        move_by_id, override_by_service = {}, {}
        for key, item in found.item_by_key.items():
            if key.startswith(_RECORD_PREFIX):
                move_by_id[key.removeprefix(_RECORD_PREFIX)] = _stored(item)
            elif key.startswith(_OVERRIDE_PREFIX):
                override = msgspec.json.decode(item.value, type=Override)
                override_by_service[key.removeprefix(_OVERRIDE_PREFIX)] = override
        return MoveState(found.revision, move_by_id, override_by_service)

    def create(self, record):
        """Create the record of a move unless it exists; returns the `StoredMove`."""
        return self._write(record, 0, ())

    def record_proof(self, stored, at, fencing_number):
        """Record that the new version may receive more traffic.

        Returns
        -------
        StoredMove
            The record in the store afterwards, whichever host wrote it.
        """
        if stored.record.outcome is not None:
            return stored
        record = msgspec.structs.replace(
            stored.record,
            proved_at=at,
            decided_by=self._holder,
            fencing_number=fencing_number,
        )
        return self._write(record, stored.mod_revision, ())

    def record_verdict(self, stored, decision, at, fencing_number, current):
        """Write the verdict unless one is written or the record has changed.

        Parameters
        ----------
        stored : StoredMove
        decision : peridothitch.policy.moves.Close
        at : datetime.datetime
        fencing_number : int
        current : str
            The document's `current` of the service.

        Returns
        -------
        StoredMove
            The record in the store afterwards, whichever host wrote it.
        """
        if stored.record.outcome is not None:
            return stored
        record = msgspec.structs.replace(
            stored.record,
            outcome=decision.outcome,
            reason=decision.reason,
            detail=decision.detail,
            decided_at=at,
            decided_by=self._holder,
            fencing_number=fencing_number,
        )
        writes = ()
        if decision.outcome is moves.Outcome.DONE:
            override = Override(
                from_current=current,
                version=record.to_version,
                move_id=record.move_id,
            )
            key = _OVERRIDE_PREFIX + record.service
            writes = (store.Put(key, msgspec.json.encode(override)),)
        return self._write(record, stored.mod_revision, writes)

    def end_override(self, service, override):
        """Remove an override that the operators' edit has ended."""
        key = _OVERRIDE_PREFIX + service
        item = self._store.get(key)
        if item is None or item.value != msgspec.json.encode(override):
            return
        unchanged = store.Compare(key, store.Target.MOD, item.mod_revision)
        self._store.transact([unchanged], [store.Delete(key)])

    def _write(self, record, mod_revision, more_writes):
        key = _RECORD_PREFIX + record.move_id
        unchanged = store.Compare(key, store.Target.MOD, mod_revision)
        put = store.Put(key, msgspec.json.encode(record))
        try:
            result = self._store.transact([unchanged], [put, *more_writes])
        except errors.StoreUnclearError:
            return self._read_back(key)
        if result.succeeded:
            return StoredMove(record, result.revision)
        return self._read_back(key)

    def _read_back(self, key):
        item = self._store.get(key)
        if item is None:
            raise errors.StoreUnavailableError("the record was not written")
        return _stored(item)


def _stored(item):
    record = msgspec.json.decode(item.value, type=moves.MoveRecord)
    return StoredMove(record, item.mod_revision)
