"""Client of a key-value service with the API of the etcd v3 JSON gateway."""

import base64
import datetime
import http.client
import threading

import msgspec

from peridothitch import bounded_reader, errors
from peridothitch.adapters import boot_clock
from peridothitch.ports import store

__all__ = ["EtcdStore", "prefix_end"]

_PATH_BY_METHOD = {
    "range": "/v3/kv/range",
    "txn": "/v3/kv/txn",
    "lease_grant": "/v3/lease/grant",
    "lease_keepalive": "/v3/lease/keepalive",
    "lease_revoke": "/v3/lease/revoke",
    "watch": "/v3/watch",
}
_COMPARE_FIELD_BY_TARGET = {
    store.Target.VERSION: "version",
    store.Target.CREATE: "create_revision",
    store.Target.MOD: "mod_revision",
}
_JSON_HEADERS = {"content-type": "application/json"}
_MAX_ANSWER_BYTES = 64 << 20
_MAX_TRANSFER_TIME = datetime.timedelta(seconds=30)
"""Time for the rest of an answer whose first byte has arrived."""


class _Item(msgspec.Struct):
    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class _Header(msgspec.Struct):
    revision: int


class _Range(msgspec.Struct):
    header: _Header
    kvs: list[_Item] = []


class _Transaction(msgspec.Struct):
    header: _Header
    succeeded: bool = False


class _Lease(msgspec.Struct):
    ID: int
    TTL: int = 0


class _Renewal(msgspec.Struct):
    result: _Lease


class _Event(msgspec.Struct):
    kv: _Item
    type: str = "PUT"


class _Change(msgspec.Struct):
    events: list[_Event] = []
    canceled: bool = False
    cancel_reason: str = ""


class _WatchLine(msgspec.Struct):
    result: _Change


def _encode(text):
    return base64.b64encode(text.encode()).decode()


def prefix_end(prefix):
    """Return the first key after all keys that start with `prefix`, as bytes."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


class EtcdStore(store.Store):
    """Store that is accessed over HTTP.

    Parameters
    ----------
    address : str
        IP address and port.
    timeout : datetime.timedelta
        Longest wait for an answer, and between parts of it, except polls of watches.
    clock : peridothitch.ports.clock.Clock or None
    """

    def __init__(self, address, timeout=datetime.timedelta(seconds=2), clock=None):
        self._address = address
        self._timeout = timeout
        self._clock = clock or boot_clock.BootClock()
        self._local = threading.local()

    def range(self, prefix):
        """Read all keys that start with `prefix`."""
        end = base64.b64encode(prefix_end(prefix)).decode()
        body = {"key": _encode(prefix), "range_end": end}
        reply = self._call("range", body, _Range)
        items = [_to_item(kv) for kv in reply.kvs]
        return store.Range(reply.header.revision, {item.key: item for item in items})

    def get(self, key):
        """Read one key."""
        reply = self._call("range", {"key": _encode(key)}, _Range)
        return _to_item(reply.kvs[0]) if reply.kvs else None

    def transact(self, compares, writes):
        """Apply `writes` if all `compares` hold."""
        body = {
            "compare": [_to_compare(compare) for compare in compares],
            "success": [_to_operation(write) for write in writes],
        }
        reply = self._call("txn", body, _Transaction)
        return store.TransactionResult(reply.succeeded, reply.header.revision)

    def grant_lease(self, ttl):
        """Create a lease; `ttl` is rounded up to whole seconds."""
        seconds = -(-ttl // datetime.timedelta(seconds=1))
        return self._call("lease_grant", {"TTL": str(seconds), "ID": "0"}, _Lease).ID

    def keep_alive(self, lease_id):
        """Renew a lease."""
        reply = self._call("lease_keepalive", {"ID": str(lease_id)}, _Renewal)
        return datetime.timedelta(seconds=max(0, reply.result.TTL))

    def revoke_lease(self, lease_id):
        """End a lease and remove its keys."""
        self._call("lease_revoke", {"ID": str(lease_id)}, dict)

    def watch(self, prefix, start_revision):
        """Watch `prefix` from `start_revision` on."""
        return _EtcdWatch(
            self._address, self._timeout, self._clock, prefix, start_revision
        )

    def _call(self, method, body, kind):
        is_write = method != "range"
        connection = getattr(self._local, "connection", None)
        self._local.connection = None
        if connection is None:
            connection = _connect(self._address, self._timeout)
        try:
            connection.request(
                "POST",
                _PATH_BY_METHOD[method],
                msgspec.json.encode(body),
                _JSON_HEADERS,
            )
            with bounded_reader.open_response(
                connection,
                self._clock,
                _MAX_ANSWER_BYTES,
                self._timeout,
                self._timeout + _MAX_TRANSFER_TIME,
            ) as response:
                payload = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise _to_error(is_write, f"{method}: {error!r}") from None
        self._local.connection = connection
        return _parse(response.status, payload, method, kind)


class _EtcdWatch(store.Watch):
    def __init__(self, address, timeout, clock, prefix, revision):
        self._connection = _connect(address, timeout)
        self._pending = b""
        create = {
            "key": _encode(prefix),
            "range_end": base64.b64encode(prefix_end(prefix)).decode(),
            "start_revision": str(revision),
        }
        body = msgspec.json.encode({"create_request": create})
        try:
            self._connection.request(
                "POST", _PATH_BY_METHOD["watch"], body, _JSON_HEADERS
            )
            self._reader = bounded_reader.limit_response(
                self._connection, clock, _MAX_ANSWER_BYTES, timeout, timeout
            )
            self._response = self._connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            self._connection.close()
            raise errors.StoreUnavailableError(f"watch: {error!r}") from None
        if self._response.status != http.client.OK:
            self._connection.close()
            raise errors.StoreUnavailableError(f"watch: status {self._response.status}")
        self._reader.deadline = None

    def poll(self, timeout):
        self._reader.max_wait = timeout
        try:
            line = self._read_line()
        except TimeoutError:
            self.close()
            raise errors.StoreUnavailableError("watch: silent") from None
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise errors.StoreUnavailableError(f"watch: {error!r}") from None
        try:
            change = _decode(line, _WatchLine).result
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.StoreUnavailableError(f"watch: {error}") from None
        if change.canceled:
            raise errors.StoreUnavailableError(f"watch: ended: {change.cancel_reason}")
        return tuple(_to_event(event) for event in change.events)

    def _read_line(self):
        self._reader.allow(_MAX_ANSWER_BYTES, bounded_reader.MAX_HEAD_BYTES)
        while b"\n" not in self._pending:
            data = self._response.read1()
            if not data:
                raise http.client.IncompleteRead(self._pending)
            self._pending += data
        line, _, self._pending = self._pending.partition(b"\n")
        return line

    def close(self):
        self._response.close()
        self._connection.close()


def _connect(address, timeout):
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=timeout.total_seconds()
    )
    try:
        connection.connect()
    except OSError as error:
        raise errors.StoreUnavailableError(f"connect: {error}") from None
    return connection


def _to_error(is_write, detail):
    if is_write:
        return errors.StoreUnclearError(detail)
    return errors.StoreUnavailableError(detail)


def _parse(status, payload, method, kind):
    if status == http.client.OK:
        try:
            return _decode(payload, kind)
        except (msgspec.DecodeError, RecursionError) as error:
            raise _to_error(method != "range", f"{method}: {error}") from None
    # The gateway responds with 4xx and 503 before it applies any write.
    if status < 500 or status == http.client.SERVICE_UNAVAILABLE:
        raise errors.StoreUnavailableError(f"{method}: status {status}")
    raise _to_error(method != "range", f"{method}: status {status}")


def _decode(payload, kind):
    # The gateway writes 64-bit integers as strings.
    return msgspec.json.decode(payload, type=kind, strict=False)


def _to_item(kv):
    return store.KeyValue(
        key=kv.key.decode(errors="replace"),
        value=kv.value,
        create_revision=kv.create_revision,
        mod_revision=kv.mod_revision,
        version=kv.version,
        lease_id=kv.lease,
    )


def _to_event(event):
    return store.Event(_to_item(event.kv), event.type == "DELETE")


def _to_compare(compare):
    return {
        "key": _encode(compare.key),
        "result": "EQUAL",
        "target": compare.target.value,
        _COMPARE_FIELD_BY_TARGET[compare.target]: str(compare.number),
    }


def _to_operation(write):
    if isinstance(write, store.Delete):
        return {"request_delete_range": {"key": _encode(write.key)}}
    return {
        "request_put": {
            "key": _encode(write.key),
            "value": base64.b64encode(write.value).decode(),
            "lease": str(write.lease_id),
        }
    }
