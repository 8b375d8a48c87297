"""Records of operators and upstreams in the platform's store."""

import collections
import datetime
import ipaddress
import typing

import msgspec

from peridothitch import errors
from peridothitch.ports import findings, forwarding, record_codec, upstream

__all__ = ["PlatformRecordCodec"]

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_HOSTS = "servers/"
_MOVES = "op/rollout/"
_EVACUATIONS = "op/evacuate/"
_MOVE_STATUS = "status/rollout/"
_TOKENS = "token_stream"
_STREAMING = "streaming"
_SAFE = "safe"
_HOST_STATE_BY_NAME = {
    "ready": upstream.HostState.LIVE,
    "draining": upstream.HostState.LEAVING,
}
_NAME_BY_MOVE_STATE = {
    record_codec.MoveState.RUNNING: "in_progress",
    record_codec.MoveState.DONE: "completed",
    record_codec.MoveState.ROLLED_BACK: "rolled_back",
}


_Capacity = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
"""Numbers in records of upstreams; entries of other writers may have any."""


_Measure = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
"""Times and rates; entries of other writers may have any number."""


class _Backend(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    # "safe", "unsafe" or "streaming": what may be repeated, and the answer's form.
    route_type: str
    service: str = ""
    backends: list[_Backend] = []
    timeout_ms: float = 30_000.0
    # Time to the answer's first event, not to its end.
    target_latency_ms: float = 1000.0
    max_attempts: int = 1
    priority: int = 1
    anonymous: bool = False
    # Set for routes whose upstreams cache prompts; it assigns no caller to a host.
    session_affinity: bool = False
    stream_resume: bool = False
    # Empty for all.
    allowed_regions: list[str] = []


class _Scaling(msgspec.Struct, frozen=True):
    # Both apply to each zone, not to the whole service.
    min_replicas: int
    max_replicas: int
    boot_time_s: float = 0.0
    # Relative to the price of the other replicas.
    spot_price: float | None = None
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, frozen=True):
    name: str
    scaling: _Scaling | None = None
    # Both 0 where replicas take as much as ever once they have started.
    cold_start_s: _Measure = 0.0
    cold_per_s: _Measure = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # What "rate_per_s" and "burst" count: tokens or, by default, requests.
    unit: str = ""
    uncached_tokens: float = 0.0
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] = []


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _Replica(msgspec.Struct, frozen=True):
    service: str
    # IP number and port.
    address: str
    zone: str
    version: str
    capacity: _Capacity
    state: str
    sequence: _Count
    # Unix milliseconds of the start; distinguishes two starts under the same id.
    born: _Count = 0
    spot_enabled: bool = False
    cold_remaining_ms: _Measure = 0.0


class _Versioned(msgspec.Struct, frozen=True):
    version: int


class _Sequenced(msgspec.Struct, frozen=True):
    # Both grow: the start of the replica, then the reports since.
    sequence: _Count
    born: _Count = 0


class _Rollout(msgspec.Struct, frozen=True):
    service: str
    # The version that requests are to move to.
    target: str
    duration_s: float


_MALFORMED = msgspec.MsgspecError, UnicodeDecodeError, RecursionError
"""Errors of the decoder; it gives up values that are nested too deeply."""


class PlatformRecordCodec(record_codec.RecordCodec):
    """Encodes and decodes the platform's records.

    Parameters
    ----------
    region_by_data_centre : dict of str to str
    """

    operator_prefix = "op/"
    table_key = "op/config"
    move_prefix = _MOVES
    host_prefix = _HOSTS

    def __init__(self, region_by_data_centre):
        self._region_by_data_centre = region_by_data_centre
        self._regions = set(region_by_data_centre.values())

    def decode_table(self, value):
        """Return the `RoutingTable` in an operators' record."""
        record = _decode(value, _Configuration)
        homes = {
            region
            for owner in (*record.routes, *record.tenants)
            for region in owner.allowed_regions
        }
        return forwarding.RoutingTable(
            version=record.version,
            routes=tuple(map(_to_route, record.routes)),
            service_by_name={
                service.name: _to_service(service) for service in record.services
            },
            customer_by_key={
                key: _to_customer(tenant)
                for tenant in record.tenants
                for key in tenant.api_keys
            },
            limits=_to_limits(record.limits),
            unknown_regions=tuple(sorted(homes - self._regions)),
        )

    def find_duplicates(self, value):
        """Yield the entries of an operators' record that another one hides."""
        record = _decode(value, _Configuration)
        for section, entries in (
            ("routes", record.routes),
            ("services", record.services),
            ("customers", record.tenants),
        ):
            names = collections.Counter(entry.name for entry in entries)
            for name, count in names.items():
                if count > 1:
                    yield _hidden(f"{section}/{name}", f"{count} entries of this name")
        yield from _find_shared_keys(record.tenants)

    def decode_host(self, key, value):
        """Return the `Host` in an upstream's record."""
        record = _decode(value, _Replica)
        host_id = key.removeprefix(_HOSTS)
        state = _HOST_STATE_BY_NAME.get(record.state)
        if state is None or not host_id or not record.service:
            raise _invalid(f"{key} is not a valid host record")
        _check_address(record.address)
        return upstream.Host(
            host_id=host_id,
            address=record.address,
            service=record.service,
            version=record.version,
            data_centre=record.zone,
            region=self._region_by_data_centre.get(record.zone, ""),
            reclaimable=record.spot_enabled,
            state=state,
            slots=record.capacity,
            incarnation=record.born,
            cold_time=record.cold_remaining_ms * _MILLISECOND,
        )

    def decode_move(self, key, value):
        """Return the `OrderedMove` in an operators' record."""
        if not key.startswith(_MOVES):
            return None
        record = _decode(value, _Rollout)
        return record_codec.OrderedMove(
            service=record.service,
            version=record.target,
            duration=record.duration_s * _SECOND,
        )

    def decode_evacuation(self, key):
        """Return the data centre that a record evacuates, None for other records."""
        if not key.startswith(_EVACUATIONS):
            return None
        data_centre = key.removeprefix(_EVACUATIONS)
        if data_centre not in self._region_by_data_centre:
            raise errors.DocumentError(
                errors.Code.DOCUMENT_REFERENCE, f"{data_centre!r} is no data centre"
            )
        return data_centre

    def write_order(self, key, value):
        """Return what orders the writes of a record, None if it doesn't tell."""
        try:
            if key == self.table_key:
                return (msgspec.json.decode(value, type=_Versioned).version,)
            if key.startswith(_HOSTS):
                record = msgspec.json.decode(value, type=_Sequenced)
                return record.born, record.sequence
        except _MALFORMED:
            return None
        return None

    def encode_move_status(self, move, state):
        """Return the key and value of the record with a move's state."""
        fields = {"state": _NAME_BY_MOVE_STATE[state], "target": move.version}
        return _MOVE_STATUS + move.service, msgspec.json.encode(fields)


def _find_shared_keys(tenants):
    name_by_key = {}
    for tenant in tenants:
        if not tenant.api_keys:
            yield _hidden(f"customers/{tenant.name}", "it has no key")
        for key in tenant.api_keys:
            first = name_by_key.setdefault(key, tenant.name)
            if first != tenant.name:
                yield _hidden(f"customers/{first}", f"{tenant.name!r} has its key, too")


def _hidden(path, detail):
    return findings.Finding(findings.Kind.UNREACHABLE, path, detail)


def _decode(value, record_type):
    try:
        return msgspec.json.decode(value, type=record_type)
    except _MALFORMED as error:
        raise _invalid(str(error)) from None


def _invalid(detail):
    return errors.DocumentError(errors.Code.DOCUMENT_SCHEMA, detail)


def _check_address(address):
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_number = port.isascii() and port.isdigit()
        valid = is_number and 0 < int(port) < 1 << 16
    except ValueError:
        valid = False
    if not valid:
        raise _invalid(f"{address!r} is not an IPv4 address with a port")


def _to_route(route):
    streamed = route.route_type == _STREAMING
    if route.route_type == _SAFE:
        retry_policy = forwarding.RetryPolicy.SAFE
    elif streamed and route.stream_resume:
        retry_policy = forwarding.RetryPolicy.RESUMABLE
    else:
        retry_policy = forwarding.RetryPolicy.NEVER
    shares = tuple(
        forwarding.Share(backend.service, backend.weight) for backend in route.backends
    )
    return forwarding.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        shares=shares or (forwarding.Share(route.service),),
        retry_policy=retry_policy,
        streamed=streamed,
        timeout=route.timeout_ms * _MILLISECOND,
        latency_objective=route.target_latency_ms * _MILLISECOND,
        attempts=route.max_attempts,
        priority=route.priority,
        anonymous=route.anonymous,
        caches_prompts=route.session_affinity,
        homes=frozenset(route.allowed_regions),
    )


def _to_service(service):
    scaling = service.scaling
    return forwarding.Service(
        name=service.name,
        scaling=scaling
        and forwarding.Scaling(
            minimum=scaling.min_replicas,
            maximum=scaling.max_replicas,
            start_time=scaling.boot_time_s * _SECOND,
            reclaimable_price=scaling.spot_price,
            price_by_data_centre=dict(scaling.zone_prices),
        ),
        cold_time=service.cold_start_s * _SECOND,
        cold_rate=service.cold_per_s,
    )


def _to_customer(tenant):
    quota = None
    if tenant.rate_per_s > 0:
        quota = forwarding.Quota(
            rate=tenant.rate_per_s,
            burst=tenant.burst,
            counts_tokens=tenant.unit == _TOKENS,
            default_tokens=tenant.uncached_tokens,
        )
    return forwarding.Customer(
        name=tenant.name,
        priority=tenant.priority,
        quota=quota,
        homes=frozenset(tenant.allowed_regions),
    )


def _to_limits(limits):
    return forwarding.CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms * _MILLISECOND,
        idle_timeout=limits.idle_timeout_ms * _MILLISECOND,
    )
