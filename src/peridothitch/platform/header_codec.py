"""Header fields of requests and answers on the platform."""

import datetime
import math

from peridothitch import errors
from peridothitch.ports import forwarding

__all__ = ["PlatformHeaderCodec"]

_MILLISECOND = datetime.timedelta(milliseconds=1)
_REQUEST_ID = "peridothitch-attempt-id"
_KEY = "x-api-key"
_DEADLINE = "peridothitch-deadline-ms"
# Prompt tokens and the bound on output tokens, not tokens used so far.
_TOKENS = "peridothitch-token-usage"
_PARTS = "peridothitch-prompt-prefix"
_LENGTH = "peridothitch-length-hint"
_LAST_EVENT = "last-event-id"
_EXPECTED_HOST = "peridothitch-expected-replica"
_CUSTOMER = "peridothitch-tenant"
_URGENCY = "peridothitch-request-priority"
_SIGNATURE = "peridothitch-response-signature"
_NOT_EXECUTED = "peridothitch-not-executed"
_HOST_ID = "peridothitch-replica-id"
_LOAD = "peridothitch-replica-load"
_LIMIT = "server-limit"
_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"

_CONNECTION_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Fields that concern one connection only (RFC 9110, section 7.6.1)."""

_FRAMING_FIELDS = frozenset({"content-length", "expect"})
"""Set for each connection by the code that frames the body."""

_ENTRY_HOST_FIELDS = frozenset(
    {
        _KEY,
        _DEADLINE,
        _EXPECTED_HOST,
        _CUSTOMER,
        _URGENCY,
        "peridothitch-expected-version",
        "peridothitch-cache-retention",
        "peridothitch-pin-ms",
        "peridothitch-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
"""Fields that only entry hosts may send to upstreams."""


class PlatformHeaderCodec(forwarding.HeaderCodec):
    """The platform's header fields."""

    def read_request(self, fields):
        """Return the metadata of a caller's request."""
        value_by_name = _value_by_name(fields)
        prompt_tokens, output_tokens = _to_tokens(value_by_name.get(_TOKENS))
        return forwarding.RequestMetadata(
            request_id=value_by_name.get(_REQUEST_ID, ""),
            key=value_by_name.get(_KEY, ""),
            deadline=_to_duration(value_by_name.get(_DEADLINE)),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prompt_parts=_to_parts(value_by_name.get(_PARTS, "")),
            expected_tokens=_to_count(value_by_name.get(_LENGTH)),
            last_event_id=value_by_name.get(_LAST_EVENT, ""),
        )

    def read_response(self, fields):
        """Return the metadata of an upstream's answer."""
        value_by_name = _value_by_name(fields)
        return forwarding.ResponseMetadata(
            request_id=value_by_name.get(_REQUEST_ID, ""),
            signed=bool(value_by_name.get(_SIGNATURE)),
            not_executed=_NOT_EXECUTED in value_by_name,
            host_id=value_by_name.get(_HOST_ID, ""),
            load=_to_load(value_by_name.get(_LOAD)),
            request_limit=_to_limit(value_by_name.get(_LIMIT)),
            leaving=value_by_name.get(_LEAVING, "").strip() == "1",
            retry_after=_to_retry_after(value_by_name.get(_RETRY_AFTER)),
        )

    def to_upstream(self, fields, outbound):
        """Return a caller's fields with those that this host adds or replaces."""
        dropped = _hop_by_hop_fields(fields) | _ENTRY_HOST_FIELDS
        if outbound.last_event_id:
            dropped |= {_LAST_EVENT}
        forwarded = [field for field in fields if field[0].lower() not in dropped]
        left = max(1, outbound.time_left // _MILLISECOND)
        forwarded.append(("Peridothitch-Deadline-Ms", str(left)))
        forwarded.append(("Peridothitch-Expected-Replica", outbound.host_id))
        if outbound.customer:
            forwarded.append(("Peridothitch-Tenant", outbound.customer))
        if outbound.urgency is not None:
            forwarded.append(("Peridothitch-Request-Priority", str(outbound.urgency)))
        if outbound.last_event_id:
            forwarded.append(("Last-Event-Id", outbound.last_event_id))
        return tuple(forwarded)

    def to_caller(self, fields):
        """Return an upstream's fields that concern the caller."""
        dropped = _hop_by_hop_fields(fields)
        return tuple(field for field in fields if field[0].lower() not in dropped)

    def without_signature(self, fields):
        """Return the fields without the upstream's signature."""
        return tuple(field for field in fields if field[0].lower() != _SIGNATURE)


def _value_by_name(fields):
    value_by_name = {}
    for name, value in fields:
        value_by_name.setdefault(name.lower(), value)
    return value_by_name


def _hop_by_hop_fields(fields):
    """Return the names of the fields that are not forwarded."""
    named = {
        option.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for option in value.split(",")
    }
    return _CONNECTION_FIELDS | _FRAMING_FIELDS | named


def _to_duration(text):
    if text is None:
        return None
    try:
        return float(text) * _MILLISECOND
    except (ValueError, OverflowError):
        raise errors.RequestError(
            errors.Code.MALFORMED_REQUEST, "the deadline is not a number"
        ) from None


def _to_count(text):
    try:
        return max(0, int(text or 0))
    except ValueError:
        return 0


def _to_tokens(text):
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    return _to_count(prompt), _to_count(output)


def _to_parts(text):
    """Return part ids and token counts; empty for a malformed list."""
    parts = []
    for entry in filter(None, text.split(",")):
        part_id, _, tokens = entry.strip().rpartition(":")
        if not part_id or not tokens.isdigit():
            return ()
        parts.append((part_id, int(tokens)))
    return tuple(parts)


def _to_load(text):
    numbers = (text or "").split(",")
    if len(numbers) not in (3, 4) or not all(n.strip().isdigit() for n in numbers):
        return None
    running, waiting, slots, *paces = map(int, numbers)
    pace = paces[0] / 100 if paces and paces[0] else None
    return forwarding.Load(running, waiting, slots, pace)


def _to_retry_after(text):
    """Return a time, None if there is none or it can't be read."""
    try:
        return datetime.timedelta(seconds=max(0.0, float(text or "")))
    except (ValueError, OverflowError):
        return None


def _to_limit(text):
    """Return a limit, infinite if there is none and NaN if it can't be read."""
    if text is None:
        return math.inf
    try:
        limit = float(text)
    except ValueError:
        return math.nan
    return limit if limit >= 0 else math.nan
