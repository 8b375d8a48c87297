"""The platform's settings file."""

import datetime
import pathlib
import tomllib

import msgspec

from peridothitch import errors
from peridothitch.ports import entry_settings

__all__ = ["read"]

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_NO_ADDRESS = ""
_MEGABYTE = 1 << 20


class _Listen(msgspec.Struct, frozen=True):
    frontend: str
    ready: str
    control_plane: str = _NO_ADDRESS


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    # Share and count of retries; the rules allow both together in each window.
    retry_budget_ratio: float = 0.2
    retry_min: float = 50.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.1
    quota_tolerance: float = 0.0
    lease_ms: float = 3000.0
    fencing_enabled: bool = False
    report_window_s: float = 5.0
    usage_late_s: float = 10.0
    # Largest share of requests that a version on trial may get.
    canary_share: float = 0.1


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: float | None = None
    max_fds: float | None = None


class _Address(msgspec.Struct, frozen=True):
    address: str


class _Duties(msgspec.Struct, frozen=True):
    address: str = _NO_ADDRESS
    duties: list[str] = []


class _Settings(msgspec.Struct, frozen=True):
    node_name: str
    zone: str
    region: str
    listen: _Listen
    platform: _Address
    # Maps zones, which the product calls data centres, to their regions.
    zones: dict[str, str] = {}
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    cloud_api: _Duties = _Duties()
    seed_nodes: list[str] = []
    ip: str = ""
    # The first and the last port that are free for calls between entry hosts.
    internal_ports: list[int] = []


def read(path):
    """Read a settings file.

    Parameters
    ----------
    path : str

    Returns
    -------
    peridothitch.ports.entry_settings.EntryHostSettings

    Raises
    ------
    peridothitch.errors.SettingsError
    """
    try:
        fields = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        settings = msgspec.convert(fields, _Settings)
    except (OSError, ValueError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from None
    return entry_settings.EntryHostSettings(
        host_id=settings.node_name,
        data_centre=settings.zone,
        region=settings.region,
        region_by_data_centre=dict(settings.zones),
        callers_address=settings.listen.frontend,
        ready_address=settings.listen.ready,
        peers_address=settings.listen.control_plane,
        seed_addresses=tuple(
            address
            for address in settings.seed_nodes
            if address != settings.listen.control_plane
        ),
        store_address=settings.platform.address,
        duties_address=settings.cloud_api.address,
        reports_usage="usage_report" in settings.cloud_api.duties,
        orders_capacity="autoscale" in settings.cloud_api.duties,
        bounds=_to_bounds(settings.bounds),
        helper_address=_helper_address(settings),
        capacity=_to_capacity(settings.limits),
    )


def _helper_address(settings):
    if not settings.ip or not settings.internal_ports:
        return _NO_ADDRESS
    return f"{settings.ip}:{settings.internal_ports[0]}"


def _to_capacity(limits):
    default = entry_settings.HostCapacity()
    memory_bytes = default.memory_bytes
    if limits.memory_mb is not None:
        memory_bytes = int(limits.memory_mb * _MEGABYTE)
    return entry_settings.HostCapacity(
        memory_bytes=memory_bytes,
        descriptor_count=int(limits.max_fds or default.descriptor_count),
    )


def _to_bounds(bounds):
    return entry_settings.OperatingBounds(
        grace_period=bounds.grace_s * _SECOND,
        retry_share=bounds.retry_budget_ratio,
        retry_allowance=bounds.retry_min,
        quota_window=bounds.quota_window_s * _SECOND,
        quota_excess_share=bounds.quota_overage,
        quota_excess=bounds.quota_tolerance,
        lease_time=bounds.lease_ms * _MILLISECOND,
        orders_are_fenced=bounds.fencing_enabled,
        usage_window=bounds.report_window_s * _SECOND,
        usage_delay=bounds.usage_late_s * _SECOND,
        exposed_share=bounds.canary_share,
    )
