"""The platform's metadata store as the product's key-value service.

The store compares the revision of a key's last change only. Comparisons of the creation
revision are translated: an absent key has revision 0 in both, and for another number
the key is read first.
"""

import base64
import binascii
import datetime

import logbook

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
            answer = self._read("/v1/kv-range", query)
            _expect(answer, _OK)
            items = [_to_item(entry) for entry in answer.fields["entries"]]
            item_by_key.update((item.key, item) for item in items)
            if revision is None:
                revision = answer.fields["at"]
            if not answer.fields.get("has_more") or not items:
                return store.Range(revision, item_by_key)
            after = items[-1].key

    def get(self, key):
        """Read one key."""
        answer = self._read("/v1/kv-key", {"key": key})
        if answer.status == _ABSENT:
            return None
        _expect(answer, _OK)
        return _to_item(answer.fields)

    def transact(self, compares, writes):
        """Apply `writes` at once if all `compares` hold."""
        expected = []
        for compare in compares:
            row = self._to_expectation(compare)
            if row is None:
                return store.TransactionResult(False, 0)
            expected.append(row)
        body = {
            "expected_revision": expected,
            "write": [_to_write(put) for put in writes if isinstance(put, store.Put)],
            "remove": [
                delete.key for delete in writes if isinstance(delete, store.Delete)
            ],
        }
        answer = self._write("POST", "/v1/kv-txn", body)
        if answer.status == _CONDITION_FAILED:
            return store.TransactionResult(False, 0)
        if answer.status == _ABSENT:
            raise errors.StoreUnavailableError("the lease of a write has ended")
        _expect(answer, _OK)
        return store.TransactionResult(True, answer.fields["revision"])

    def grant_lease(self, ttl):
        """Create a lease."""
        answer = self._write("POST", "/v1/kv-lease", {"ttl_ms": ttl // _MILLISECOND})
        _expect(answer, _OK)
        return answer.fields["lease"]

    def keep_alive(self, lease_id):
        """Renew a lease; returns the remaining time."""
        answer = self._write("POST", f"/v1/kv-keep/{lease_id}")
        if answer.status == _ABSENT:
            return datetime.timedelta(0)
        _expect(answer, _OK)
        return answer.fields["ttl_ms"] * _MILLISECOND

    def revoke_lease(self, lease_id):
        """End a lease."""
        answer = self._write("DELETE", f"/v1/kv-lease-end/{lease_id}")
        if answer.status != _ABSENT:
            _expect(answer, _OK)

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
        wait = min(wait, _MAX_WATCH_WAIT)
        query = {"prefix": prefix, "after": after, "wait_ms": wait // _MILLISECOND}
        answer = self._read("/v1/kv-watch", query, wait + WATCH_MARGIN)
        if answer.status == _HISTORY_GONE:
            raise errors.StoreHistoryGoneError(f"no events after revision {after}")
        _expect(answer, _OK)
        events = tuple(_to_event(entry) for entry in answer.fields["events"])
        return events, answer.fields["at"]

    def _read(self, path, query, timeout=_CALL_TIMEOUT):
        try:
            answer = self._client.call("GET", path, timeout, query=query)
        except client.CallError as error:
            raise client.to_store_error(error, writes=False) from None
        self._eras.record(answer.headers.get(eras.HEADER))
        return answer

    def _write(self, method, path, body=None):
        try:
            answer = self._client.call(method, path, _CALL_TIMEOUT, body=body)
        except client.CallError as error:
            raise client.to_store_error(error, writes=True) from None
        self._eras.record(answer.headers.get(eras.HEADER))
        return answer

    def _to_expectation(self, compare):
        """Return the key and the revision of its last change, None if it differs."""
        if compare.target is store.Target.MOD or compare.number == 0:
            return {"key": compare.key, "revision": compare.number}
        item = self.get(compare.key)
        if item is None or item.create_revision != compare.number:
            return None
        return {"key": compare.key, "revision": item.mod_revision}


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


def _expect(answer, status):
    if answer.status == status:
        return
    reason = answer.fields.get("error", "")
    raise errors.StoreUnavailableError(f"status {answer.status} {reason}".strip())


def _to_item(entry):
    return store.KeyValue(
        key=entry["key"],
        value=_decode(entry.get("value", "")),
        # "revision" is that of the last change, "created" that of the first one.
        create_revision=entry.get("created", 0),
        mod_revision=entry["revision"],
        version=0,
        lease_id=entry.get("lease", 0),
    )


def _to_event(entry):
    return store.Event(_to_item(entry), deleted=bool(entry.get("deleted")))


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
