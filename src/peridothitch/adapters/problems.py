"""Turns coded errors into problem details (RFC 9457)."""

import datetime
import http.client
import math

import msgspec

from peridothitch import errors
from peridothitch.ports import messages

__all__ = ["status_line", "to_event", "to_reply"]

_CONTENT_TYPE = "application/problem+json"
_SECOND = datetime.timedelta(seconds=1)
_RETRY_AFTER_BY_CODE = {
    errors.Code.REQUEST_IN_PROGRESS: _SECOND,
    errors.Code.OVERLOADED: _SECOND,
    errors.Code.DRAINING: _SECOND,
    errors.Code.NOT_READY: _SECOND,
    errors.Code.NO_UPSTREAM: 2 * _SECOND,
    errors.Code.STORE_UNAVAILABLE: 2 * _SECOND,
    errors.Code.STORE_UNCLEAR: 2 * _SECOND,
}


def status_line(status):
    """Return an HTTP status with its reason, ``"404 Not Found"``."""
    return f"{status} {http.client.responses.get(status, 'Unknown')}"


def _to_fields(error):
    ran = getattr(error, "ran", errors.Ran.NO)
    return {
        "type": f"urn:peridothitch:code:{int(error.code)}",
        "title": error.code.meaning,
        "status": error.code.status,
        "detail": error.detail,
        "code": int(error.code),
        "name": error.code.name.lower(),
        "ran": ran.value,
        # Clients of the OpenAI-compatible API read the message from this field.
        "error": {
            "message": error.detail,
            "type": error.code.name.lower(),
            "code": int(error.code),
        },
    }


def to_reply(error):
    """Return the reply for a `peridothitch.errors.CodedError`."""
    header_by_name = {"content-type": _CONTENT_TYPE}
    retry_after = getattr(error, "retry_after", None)
    if retry_after is None:
        retry_after = _RETRY_AFTER_BY_CODE.get(error.code)
    if retry_after is not None:
        seconds = max(1, math.ceil(retry_after.total_seconds()))
        header_by_name["retry-after"] = str(seconds)
    return messages.Reply(
        status=error.code.status,
        header_by_name=header_by_name,
        chunks=(msgspec.json.encode(_to_fields(error)),),
    )


def to_event(error):
    """Return the server-sent event that ends an interrupted stream, as bytes."""
    payload = msgspec.json.encode({"error": _to_fields(error)})
    return b"event: error\ndata: " + payload + b"\n\n"
