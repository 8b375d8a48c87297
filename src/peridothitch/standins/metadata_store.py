"""Stand-in for the platform's metadata store over HTTP, with injected faults.

Implements the store's published protocol: items with revisions, conditions on an
item's last change, leases, watches by long polling, a history that can be dropped.
"""

import base64
import copy
import dataclasses
import datetime
import json
import threading
import time
import urllib.parse

from peridothitch.adapters import problems

__all__ = ["MetadataStore", "MetadataStoreService", "StoreCopy", "StoreFaults"]

_PAGE_ITEM_COUNT = 500
_MAX_WAIT_SECONDS = 30.0
_EXPIRY_CHECK_SECONDS = 0.05
_READ_ONLY_PREFIXES = ("op/", "servers/")


@dataclasses.dataclass
class StoreFaults:
    """Faults that tests switch on.

    Attributes
    ----------
    refuse_status : int
        Status of every answer, without applying the call; 0 for no fault.
    answers_to_drop : int
        Number of upcoming writes that are applied but not answered.
    delay_seconds : float
        Time that each call takes.
    late_write_seconds : float
        Delay after which writes whose answer is dropped are applied.
    page_item_count : int
        Maximum number of items in one page.
    era_text : str or None
        Sent in place of the store's era; empty for no such header.
    """

    refuse_status: int = 0
    answers_to_drop: int = 0
    delay_seconds: float = 0.0
    late_write_seconds: float = 0.0
    page_item_count: int = _PAGE_ITEM_COUNT
    era_text: str | None = None


class _ConditionFailedError(Exception):
    pass


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """What a copy of the store contains.

    Attributes
    ----------
    item_by_key : dict
    ttl_by_lease : dict of int to int
        Milliseconds of the leases that had not ended.
    last_lease, revision : int
    """

    item_by_key: dict
    ttl_by_lease: dict
    last_lease: int
    revision: int


class MetadataStore:
    """The store's state.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock

    Attributes
    ----------
    revision : int
    era : int
        Number of times that the store has come back from a copy, and 1.
    """

    def __init__(self, clock):
        self._clock = clock
        self._changed = threading.Condition()
        self._item_by_key = {}
        self._history = []
        self._compacted_revision = 0
        self._deadline_by_lease = {}
        self._ttl_by_lease = {}
        # Leases are opaque numbers that may need more than 40 bits.
        self._last_lease = 1 << 50
        self._is_closed = False
        self.revision = 1
        self.era = 1

    def copy(self):
        """Return a `StoreCopy` of the present state."""
        with self._changed:
            self._expire_leases()
            return StoreCopy(
                item_by_key=copy.deepcopy(self._item_by_key),
                ttl_by_lease={
                    lease: self._ttl_by_lease[lease]
                    for lease in self._deadline_by_lease
                },
                last_lease=self._last_lease,
                revision=self.revision,
            )

    def restore(self, store_copy):
        """Come back from a `StoreCopy`; its leases run anew, history is lost."""
        with self._changed:
            self._item_by_key = copy.deepcopy(store_copy.item_by_key)
            self._ttl_by_lease = dict(store_copy.ttl_by_lease)
            self._deadline_by_lease.clear()
            for lease in self._ttl_by_lease:
                self._extend_lease(lease)
            self._last_lease = store_copy.last_lease
            self.revision = self._compacted_revision = store_copy.revision
            self._history.clear()
            self.era += 1
            self._changed.notify_all()

    def put(self, key, value):
        """Write one key as the operator or an upstream does; returns the revision."""
        return self.transact([], [{"key": key, "value": _encode(value)}], [])

    def remove(self, key):
        """Remove one key; returns the revision."""
        return self.transact([], [], [key])

    def read(self, key):
        """Return the value of a key as bytes, None without it."""
        with self._changed:
            self._expire_leases()
            item = self._item_by_key.get(key)
        return base64.b64decode(item["value"]) if item is not None else None

    def compact(self):
        """Drop the history."""
        with self._changed:
            self._history.clear()
            self._compacted_revision = self.revision
            self._changed.notify_all()

    def close(self):
        """End all waits, so that the server of this store can stop."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def get(self, key):
        """Return the fields of an item, or None."""
        with self._changed:
            self._expire_leases()
            return self._item_by_key.get(key)

    def read_page(self, prefix, after, limit):
        """Return one page of items, whether more follow, and the revision."""
        with self._changed:
            self._expire_leases()
            keys = sorted(
                key
                for key in self._item_by_key
                if key.startswith(prefix) and key > after
            )
            items = [self._item_by_key[key] for key in keys[:limit]]
            return items, len(keys) > limit, self.revision

    def wait_for_events(self, prefix, after, wait_seconds):
        """Return the events after a revision, and the current revision.

        Returns None if the history of these events was dropped, or is yet to come.
        """
        deadline = time.monotonic() + min(wait_seconds, _MAX_WAIT_SECONDS)
        with self._changed:
            while True:
                self._expire_leases()
                if not self._compacted_revision <= after <= self.revision:
                    return None
                events = [
                    event
                    for event in self._history
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                remaining_seconds = deadline - time.monotonic()
                if events or remaining_seconds <= 0 or self._is_closed:
                    return events, self.revision
                self._changed.wait(min(remaining_seconds, _EXPIRY_CHECK_SECONDS))

    def transact(self, expected, writes, removes):
        """Apply a change if its conditions hold; returns the revision.

        Raises
        ------
        KeyError
            A write names a lease that has ended.
        """
        with self._changed:
            self._expire_leases()
            for row in expected:
                item = self._item_by_key.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    raise _ConditionFailedError
            for write in writes:
                lease = write.get("lease", 0)
                if lease and lease not in self._deadline_by_lease:
                    raise KeyError(lease)
            self.revision += 1
            for write in writes:
                previous = self._item_by_key.get(write["key"])
                item = {
                    "key": write["key"],
                    "value": write["value"],
                    "revision": self.revision,
                    "created": previous["created"] if previous else self.revision,
                    "lease": write.get("lease", 0),
                }
                self._item_by_key[write["key"]] = item
                self._history.append(item)
            self._remove_items([key for key in removes if key in self._item_by_key])
            self._changed.notify_all()
            return self.revision

    def grant_lease(self, ttl_ms):
        """Create a lease; returns its id."""
        with self._changed:
            self._last_lease += 1
            self._ttl_by_lease[self._last_lease] = ttl_ms
            self._extend_lease(self._last_lease)
            return self._last_lease

    def renew_lease(self, lease):
        """Renew a lease; returns its time in milliseconds, None if it has ended."""
        with self._changed:
            self._expire_leases()
            if lease not in self._deadline_by_lease:
                return None
            self._extend_lease(lease)
            return self._ttl_by_lease[lease]

    def end_lease(self, lease):
        """End a lease; returns whether there was one."""
        with self._changed:
            self._expire_leases()
            found = self._deadline_by_lease.pop(lease, None) is not None
            self._remove_keys_of(lease)
            return found

    def _extend_lease(self, lease):
        ttl = datetime.timedelta(milliseconds=self._ttl_by_lease[lease])
        self._deadline_by_lease[lease] = self._clock.monotonic() + ttl

    def _expire_leases(self):
        now = self._clock.monotonic()
        for lease in [k for k, at in self._deadline_by_lease.items() if at <= now]:
            del self._deadline_by_lease[lease]
            self._remove_keys_of(lease)

    def _remove_keys_of(self, lease):
        keys = [k for k, item in self._item_by_key.items() if item["lease"] == lease]
        if keys and lease:
            self.revision += 1
            self._remove_items(keys)
            self._changed.notify_all()

    def _remove_items(self, keys):
        for key in keys:
            del self._item_by_key[key]
            self._history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )


class MetadataStoreService:
    """WSGI application of the store.

    Parameters
    ----------
    store : MetadataStore
    faults : StoreFaults or None

    Attributes
    ----------
    call_count : int
        Calls that arrived.
    """

    def __init__(self, store, faults=None):
        self.store = store
        self.faults = faults or StoreFaults()
        self.call_count = 0

    def __call__(self, environ, start_response):
        """Answer one call."""
        self.call_count += 1
        if self.faults.delay_seconds:
            time.sleep(self.faults.delay_seconds)
        if self.faults.refuse_status:
            return self._answer(start_response, self.faults.refuse_status, {})
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        if method != "GET" and self.faults.answers_to_drop:
            self.faults.answers_to_drop -= 1
            self._apply_late(method, path, query, body)
            # The body is shorter than announced, so the server closes the connection.
            start_response(problems.status_line(200), [("Content-Length", "1000")])
            return [b""]
        status, fields = self._apply(method, path, query, body)
        return self._answer(start_response, status, fields)

    def _answer(self, start_response, status, fields):
        body = json.dumps(fields).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        era_text = self.faults.era_text
        era_text = str(self.store.era) if era_text is None else era_text
        if era_text:
            headers.append(("Store-Era", era_text))
        start_response(problems.status_line(status), headers)
        return [body]

    def _apply_late(self, method, path, query, body):
        if not self.faults.late_write_seconds:
            self._apply(method, path, query, body)
            return
        timer = threading.Timer(
            self.faults.late_write_seconds, self._apply, (method, path, query, body)
        )
        timer.daemon = True
        timer.start()

    def _apply(self, method, path, query, body):
        name, _, argument = path.removeprefix("/v1/").partition("/")
        answer = getattr(self, "_" + name.replace("-", "_"), None)
        if answer is None:
            return 404, {"error": "no such call"}
        return answer(query, body, argument)

    def _kv_key(self, query, body, argument):
        item = self.store.get(query["key"])
        if item is None:
            return 404, {}
        return 200, item | {"at": self.store.revision}

    def _kv_range(self, query, body, argument):
        items, more, at = self.store.read_page(
            query["prefix"], query.get("after", ""), self.faults.page_item_count
        )
        return 200, {"entries": items, "has_more": more, "at": at}

    def _kv_watch(self, query, body, argument):
        found = self.store.wait_for_events(
            query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000
        )
        if found is None:
            return 410, {"error": "history is gone"}
        events, at = found
        return 200, {"events": events, "at": at}

    def _kv_txn(self, query, body, argument):
        writes = body.get("write", [])
        removes = body.get("remove", [])
        keys = [write["key"] for write in writes] + removes
        if any(key.startswith(_READ_ONLY_PREFIXES) for key in keys):
            return 403, {"error": "these keys belong to others"}
        expected = body.get("expected_revision", [])
        try:
            return 200, {"revision": self.store.transact(expected, writes, removes)}
        except _ConditionFailedError:
            return 412, {"entries": [self.store.get(row["key"]) for row in expected]}
        except KeyError:
            return 404, {"error": "no such lease"}

    def _kv_lease(self, query, body, argument):
        ttl_ms = max(1000, body["ttl_ms"])
        return 200, {"lease": self.store.grant_lease(ttl_ms), "ttl_ms": ttl_ms}

    def _kv_keep(self, query, body, argument):
        ttl_ms = self.store.renew_lease(int(argument))
        return (404, {}) if ttl_ms is None else (200, {"ttl_ms": ttl_ms})

    def _kv_lease_end(self, query, body, argument):
        return (200, {}) if self.store.end_lease(int(argument)) else (404, {})


def _encode(value):
    return base64.b64encode(value).decode()
