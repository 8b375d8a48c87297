"""Record in the store of the crashes that parts of prompts are blamed for.

It lies below the prefix of the leases, so that every host receives it without a further
watch, and a host that starts has read it before it serves.
"""

import logbook
import msgspec

from peridothitch.coordination import lease
from peridothitch.policy import part_evidence
from peridothitch.ports import store

__all__ = ["PartRecord", "PartRecords"]

_KEY = lease.PREFIX + "prompt-parts"
_log = logbook.Logger(__name__)


class PartRecord(msgspec.Struct, frozen=True):
    """Crashes since the last answer on one of their parts, the blamed ones first.

    Attributes
    ----------
    reports : tuple of peridothitch.policy.part_evidence.CrashReport
    """

    reports: tuple[part_evidence.CrashReport, ...] = ()


class PartRecords:
    """Reads the record from a mirror and writes it to the store.

    Parameters
    ----------
    record_store : peridothitch.ports.store.Store
    leases : peridothitch.coordination.mirror.Mirror
        Mirror of the prefix of the record's key.
    """

    def __init__(self, record_store, leases):
        self._store = record_store
        self._leases = leases
        self._revision = 0
        self._record = PartRecord()

    def read(self):
        """Return the record, an empty one if there is none."""
        item = self._leases.items().get(_KEY)
        if item is None:
            return PartRecord()
        if item.mod_revision != self._revision:
            try:
                record = msgspec.json.decode(item.value, type=PartRecord)
            except msgspec.MsgspecError as error:
                _log.error("crash record is malformed", reason=str(error))
                record = PartRecord()
            self._record = record
            self._revision = item.mod_revision
        return self._record

    def write(self, record):
        """Write the record if the stored one is unchanged since this host read it.

        Raises
        ------
        peridothitch.errors.StoreError
        """
        item = self._leases.items().get(_KEY)
        revision = item.mod_revision if item is not None else 0
        compares = [store.Compare(_KEY, store.Target.MOD, revision)]
        writes = [store.Put(_KEY, msgspec.json.encode(record))]
        return self._store.transact(compares, writes).succeeded
