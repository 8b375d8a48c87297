"""The platform's metadata store as the product's key-value service.

The store compares the revision of a key's last change only. Comparisons of the creation
revision are translated: an absent key has revision 0 in both, and for another number
the key is read first.
"""

import base64
import binascii
import datetime

import logbook
import msgspec

from peridothitch import errors
from peridothitch.platform import client, eras
from peridothitch.ports import store

__all__ = ["WATCH_MARGIN", "PlatformStore"]

_CALL_TIMEOUT = datetime.timedelta(seconds=1.5)
"""A slow store takes some hundred milliseconds; a lost answer never arrives."""

WATCH_MARGIN = datetime.timedelta(seconds=0.75)
"""Time beyond a watch's wait after which its answer counts as lost."""

_MAX_WATCH_WAIT = datetime.timedelta(seconds=30)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_OK = 200
_ABSENT = 404
_HISTORY_GONE = 410
_CONDITION_FAILED = 412
_log = logbook.Logger(__name__)


class _Entry(msgspec.Struct):
    key: str
    revision: int
    created: int = 0
    value: str = ""
    lease: int = 0
    deleted: bool = False


class _Page(msgspec.Struct):
    entries: list[_Entry]
    at: int
    has_more: bool = False


class _Changes(msgspec.Struct):
    events: list[_Entry]
    at: int


class _Transaction(msgspec.Struct):
    revision: int


class _Grant(msgspec.Struct):
    lease: int


class _Renewal(msgspec.Struct):
    ttl_ms: float


class PlatformStore(store.Store):
    """Client of the platform's store.

    Parameters
    ----------
    address : str
        IP number and port.
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, address, clock):
        self._client = client.Client(address, clock)
        self._eras = eras.EraTracker()
        # Only the client that was granted a lease uses it.
        self._era_by_lease = {}

    def close(self):
        """Close the idle connections."""
        self._client.close()

    def range(self, prefix):
        """Read all keys that start with `prefix`.

        The pages are not one snapshot, so the first page's revision is returned: a
        watch from there repeats what the later pages may have returned already.
        """
        item_by_key = {}
        revision = None
        after = None
        while True:
            query = {"prefix": prefix}
            if after is not None:
                query["after"] = after
            answer, era = self._read("/v1/kv-range", query)
            page = _decode_answer(answer, _Page, writes=False)
            items = [_to_item(entry, era) for entry in page.entries]
            item_by_key.update((item.key, item) for item in items)
            if revision is None:
                revision = store.in_era(era, page.at)
            if era != store.era_of(revision):
                raise errors.StoreUnavailableError(
                    f"pages of eras {store.era_of(revision)} and {era}"
                )
            if not page.has_more or not items:
                return store.Range(revision, item_by_key)
            after = items[-1].key

    def get(self, key):
        """Read one key."""
        answer, era = self._read("/v1/kv-key", {"key": key})
        if answer.status == _ABSENT:
            return None
        return _to_item(_decode_answer(answer, _Entry, writes=False), era)

    def transact(self, compares, writes):
        """Apply `writes` at once if all `compares` hold."""
        era = self._eras.current
        puts = [put for put in writes if isinstance(put, store.Put)]
        for put in puts:
            if put.lease_id and self._era_by_lease.get(put.lease_id) != era:
                raise errors.StoreUnavailableError(
                    f"lease {put.lease_id} is not of era {era}"
                )
        expected = []
        for compare in compares:
            row = self._to_expectation(compare, era)
            if row is None:
                return store.TransactionResult(False, 0)
            expected.append(row)
        body = {
            "expected_revision": expected,
            "write": [_to_write(put) for put in puts],
            "remove": [
                delete.key for delete in writes if isinstance(delete, store.Delete)
            ],
        }
        answer, answer_era = self._write("POST", "/v1/kv-txn", body)
        if answer.status == _CONDITION_FAILED:
            return store.TransactionResult(False, 0)
        if answer.status == _ABSENT:
            raise errors.StoreUnavailableError("the lease of a write has ended")
        transaction = _decode_answer(answer, _Transaction, writes=True)
        is_of_era = any(row["revision"] for row in expected) or any(
            put.lease_id for put in puts
        )
        if answer_era != era and is_of_era:
            # The numbers may have stood for another change or lease.
            raise errors.StoreUnclearError(
                f"a write for era {era} was applied in era {answer_era}"
            )
        revision = store.in_era(answer_era, transaction.revision)
        return store.TransactionResult(True, revision)

    def grant_lease(self, ttl):
        """Create a lease."""
        body = {"ttl_ms": ttl // _MILLISECOND}
        answer, era = self._write("POST", "/v1/kv-lease", body)
        lease_id = _decode_answer(answer, _Grant, writes=True).lease
        self._era_by_lease[lease_id] = era
        return lease_id

    def keep_alive(self, lease_id):
        """Renew a lease; returns the remaining time.

        A lease of an earlier era counts as ended: its number may be given out again.
        """
        era = self._era_by_lease.get(lease_id)
        if era != self._eras.current:
            return datetime.timedelta(0)
        answer, answer_era = self._write("POST", f"/v1/kv-keep/{lease_id}")
        if answer.status == _ABSENT or answer_era != era:
            return datetime.timedelta(0)
        return _decode_answer(answer, _Renewal, writes=True).ttl_ms * _MILLISECOND

    def revoke_lease(self, lease_id):
        """End a lease; one of an earlier era is left to its end."""
        if self._era_by_lease.pop(lease_id, None) != self._eras.current:
            return
        answer, _ = self._write("DELETE", f"/v1/kv-lease-end/{lease_id}")
        if answer.status != _ABSENT:
            _check_status(answer)

    def watch(self, prefix, start_revision):
        """Watch `prefix` from `start_revision` on."""
        return _LongPoll(self, prefix, start_revision - 1)

    def read_changes(self, prefix, after, wait):
        """Return the events below `prefix` after a revision, and the newest revision.

        Raises
        ------
        peridothitch.errors.StoreHistoryGoneError
            The events are no longer available; the keys have to be read again.
        """
        era = store.era_of(after)
        if era != self._eras.current:
            raise errors.StoreHistoryGoneError(
                f"revision {store.to_text(after)} is not of era {self._eras.current}"
            )
        wait = min(wait, _MAX_WATCH_WAIT)
        query = {
            "prefix": prefix,
            "after": store.number_of(after),
            "wait_ms": wait // _MILLISECOND,
        }
        answer, answer_era = self._read("/v1/kv-watch", query, wait + WATCH_MARGIN)
        if answer.status == _HISTORY_GONE or answer_era != era:
            raise errors.StoreHistoryGoneError(
                f"no events after revision {store.to_text(after)}, era {answer_era}"
            )
        changes = _decode_answer(answer, _Changes, writes=False)
        events = tuple(_to_event(entry, era) for entry in changes.events)
        return events, store.in_era(era, changes.at)

    def _read(self, path, query, timeout=_CALL_TIMEOUT):
        """Return an answer and its era."""
        try:
            answer = self._client.call("GET", path, timeout, query=query)
        except client.CallError as error:
            raise client.to_store_error(error, writes=False) from None
        era = self._eras.record(answer.header_by_name.get(eras.HEADER))
        if era < self._eras.current:
            raise errors.StoreUnavailableError(self._describe_past(era))
        return answer, era

    def _write(self, method, path, body=None):
        """Return an answer and its era."""
        try:
            answer = self._client.call(method, path, _CALL_TIMEOUT, body=body)
        except client.CallError as error:
            raise client.to_store_error(error, writes=True) from None
        era = self._eras.record(answer.header_by_name.get(eras.HEADER))
        if era < self._eras.current:
            # The store may have lost the write since.
            raise errors.StoreUnclearError(self._describe_past(era))
        return answer, era

    def _describe_past(self, era):
        return f"answer of era {era}, the store is in era {self._eras.current}"

    def _to_expectation(self, compare, era):
        """Return the key and the revision of its last change, None if it differs."""
        if compare.number and store.era_of(compare.number) != era:
            return None
        if compare.target is store.Target.MOD or compare.number == 0:
            return {"key": compare.key, "revision": store.number_of(compare.number)}
        item = self.get(compare.key)
        if item is None or item.create_revision != compare.number:
            return None
        return {"key": compare.key, "revision": store.number_of(item.mod_revision)}


class _LongPoll(store.Watch):
    """Watch by repeated calls, each of which waits for events."""

    def __init__(self, owner, prefix, after):
        self._owner = owner
        self._prefix = prefix
        self._after = after

    @property
    def revision(self):
        """Revision up to which all events were returned."""
        return self._after

    def poll(self, timeout):
        events, at = self._owner.read_changes(self._prefix, self._after, timeout)
        self._after = max(self._after, at)
        return events

    def close(self):
        """Do nothing; a call in progress ends at its timeout."""


def _check_status(answer):
    if answer.status != _OK:
        raise errors.StoreUnavailableError(
            f"status {answer.status} {answer.error_text}".strip()
        )


def _decode_answer(answer, kind, writes):
    """Return the body of a success.

    A body that can't be read says nothing about the store, not that it is empty.
    """
    _check_status(answer)
    try:
        return answer.decode(kind)
    except client.CallError as error:
        raise client.to_store_error(error, writes) from None


def _to_item(entry, era):
    return store.KeyValue(
        key=entry.key,
        value=_decode(entry.value),
        # "revision" is that of the last change, "created" that of the first one.
        create_revision=store.in_era(era, entry.created),
        mod_revision=store.in_era(era, entry.revision),
        version=0,
        lease_id=entry.lease,
    )


def _to_event(entry, era):
    return store.Event(_to_item(entry, era), deleted=entry.deleted)


def _to_write(put):
    value = base64.standard_b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease_id}


def _decode(text):
    try:
        return base64.standard_b64decode(text)
    except (binascii.Error, ValueError) as error:
        # Other writers may have stored any content; readers reject empty values.
        _log.info("value is not base64", reason=str(error))
        return b""
