"""Stand-in for the key-value service: the etcd v3 JSON gateway over another store.

``POST /control/faults`` injects a fault, ``DELETE /control/faults`` ends all of them,
``POST /control/leases/lapse`` ends all leases and ``GET /control/calls`` returns the
number of calls by method.
"""

import base64
import datetime

import msgspec

from peridothitch import errors
from peridothitch.ports import store
from peridothitch.standins import faulty_store

__all__ = ["StoreService"]

_JSON_HEADERS = [("content-type", "application/json")]
_MISSING_BYTE_COUNT = 1
_WATCH_POLL_TIMEOUT = datetime.timedelta(seconds=1)
_TARGET_BY_FIELD = {
    "version": store.Target.VERSION,
    "create_revision": store.Target.CREATE,
    "mod_revision": store.Target.MOD,
}


class StoreService:
    """WSGI application of the key-value service.

    Parameters
    ----------
    faulty : peridothitch.standins.faulty_store.FaultyStore
    """

    def __init__(self, faulty):
        self._store = faulty
        self._handler_by_path = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._transact,
            "/v3/lease/grant": self._grant_lease,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke_lease,
        }
        self._handler_by_control_call = {
            ("POST", "/control/faults"): self._inject,
            ("DELETE", "/control/faults"): self._clear,
            ("POST", "/control/leases/lapse"): self._lapse_leases,
            ("GET", "/control/calls"): self._count_calls,
        }

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        path = environ["PATH_INFO"]
        body = msgspec.json.decode(environ["wsgi.input"].read() or b"{}")
        handler = self._handler_by_control_call.get((environ["REQUEST_METHOD"], path))
        if handler is not None:
            start_response("200 OK", _JSON_HEADERS)
            return [msgspec.json.encode(handler(body))]
        try:
            return self._answer(environ, body, start_response)
        except errors.StoreUnclearError:
            # The reply is truncated: the connection ends before the announced length.
            content_length = ("content-length", str(_MISSING_BYTE_COUNT))
            start_response("200 OK", [*_JSON_HEADERS, content_length])
            return []
        except errors.StoreUnavailableError as error:
            start_response("503 Service Unavailable", _JSON_HEADERS)
            return [msgspec.json.encode({"code": 14, "message": error.detail})]

    def _answer(self, environ, body, start_response):
        path = environ["PATH_INFO"]
        if path == "/v3/watch":
            watch = self._open_watch(body["create_request"])
            start_response("200 OK", _JSON_HEADERS)
            return self._watch(watch, environ["waitress.client_disconnected"])
        handler = self._handler_by_path.get(path)
        if handler is None:
            start_response("404 Not Found", _JSON_HEADERS)
            return [b"{}"]
        reply = handler(body)
        reply["header"] = {"revision": str(self._store.revision)}
        start_response("200 OK", _JSON_HEADERS)
        return [msgspec.json.encode(reply)]

    def _range(self, body):
        key = _decode(body["key"])
        if "range_end" in body:
            items = self._store.range(key).item_by_key.values()
        else:
            item = self._store.get(key)
            items = [item] if item is not None else []
        return {"kvs": [_to_json(item) for item in items], "count": str(len(items))}

    def _transact(self, body):
        compares = [_to_compare(compare) for compare in body.get("compare", ())]
        writes = [_to_write(operation) for operation in body.get("success", ())]
        return {"succeeded": self._store.transact(compares, writes).succeeded}

    def _grant_lease(self, body):
        ttl = datetime.timedelta(seconds=int(body["TTL"]))
        return {"ID": str(self._store.grant_lease(ttl)), "TTL": body["TTL"]}

    def _keep_alive(self, body):
        remaining = self._store.keep_alive(int(body["ID"]))
        seconds = int(remaining.total_seconds())
        return {"result": {"ID": body["ID"], "TTL": str(seconds)}}

    def _revoke_lease(self, body):
        self._store.revoke_lease(int(body["ID"]))
        return {}

    def _inject(self, body):
        self._store.inject(msgspec.convert(body, faulty_store.FaultRule, strict=False))
        return {}

    def _clear(self, body):
        self._store.clear()
        return {}

    def _lapse_leases(self, body):
        self._store.lapse_leases()
        return {}

    def _count_calls(self, body):
        return dict(self._store.call_count_by_method)

    def _open_watch(self, create):
        revision = int(create.get("start_revision", 0)) or self._store.revision + 1
        return self._store.watch(_decode(create["key"]), revision)

    def _watch(self, watch, is_disconnected):
        yield self._watch_line({"created": True})
        while not is_disconnected():
            try:
                events = watch.poll(_WATCH_POLL_TIMEOUT)
            except errors.StoreUnavailableError as error:
                canceled = {"canceled": True, "cancel_reason": error.detail}
                yield self._watch_line(canceled)
                return
            if watch.silent:
                continue
            encoded = [_to_json_event(event) for event in events]
            yield self._watch_line({"events": encoded})

    def _watch_line(self, result):
        header = {"revision": str(self._store.revision)}
        return msgspec.json.encode({"result": {"header": header, **result}}) + b"\n"


def _decode(encoded):
    return base64.b64decode(encoded).decode()


def _encode(raw):
    return base64.b64encode(raw).decode()


def _to_json(item):
    return {
        "key": _encode(item.key.encode()),
        "value": _encode(item.value),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
        "lease": str(item.lease_id),
    }


def _to_json_event(event):
    return {"type": "DELETE" if event.deleted else "PUT", "kv": _to_json(event.item)}


def _to_compare(compare):
    for field, target in _TARGET_BY_FIELD.items():
        if field in compare:
            return store.Compare(_decode(compare["key"]), target, int(compare[field]))
    raise errors.StoreUnavailableError("unsupported comparison")


def _to_write(operation):
    if "request_delete_range" in operation:
        return store.Delete(_decode(operation["request_delete_range"]["key"]))
    put = operation["request_put"]
    value = base64.b64decode(put.get("value", ""))
    return store.Put(_decode(put["key"]), value, int(put.get("lease", 0)))
