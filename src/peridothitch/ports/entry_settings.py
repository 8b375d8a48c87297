"""Settings that the platform supplies to an entry host."""

import dataclasses
import datetime

__all__ = ["EntryHostSettings", "HostCapacity", "OperatingBounds"]

_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatingBounds:
    """Bounds that operators rely on; defaults are those of the users' first sites.

    Attributes
    ----------
    grace_period : datetime.timedelta
        Time from the stop signal until the process is killed.
    retry_share : float
        Retries allowed per request to a service.
    retry_allowance : float
        Additional retries allowed per service, within some seconds and over all entry
        hosts.
    quota_window : datetime.timedelta
        Time span over which usage is compared with a quota.
    quota_excess_share : float
        Share of a quota by which usage may exceed it.
    quota_excess : float
        Additional units by which usage may exceed a quota.
    lease_time : datetime.timedelta
        Term of the leases on duties.
    orders_are_fenced : bool
        Whether the platform refuses orders with lower fencing numbers.
    usage_window : datetime.timedelta
    usage_delay : datetime.timedelta
        Time from the end of a usage window until its report is due.
    exposed_share : float
        Largest share of a service's requests that an unproved version may get.
    """

    grace_period: datetime.timedelta = 8 * _SECOND
    retry_share: float = 0.2
    retry_allowance: float = 54.0
    quota_window: datetime.timedelta = 8 * _SECOND
    quota_excess_share: float = 0.1
    quota_excess: float = 0.0
    lease_time: datetime.timedelta = 3 * _SECOND
    orders_are_fenced: bool = True
    usage_window: datetime.timedelta = 5 * _SECOND
    usage_delay: datetime.timedelta = 10 * _SECOND
    exposed_share: float = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostCapacity:
    """What the process may use of its host; defaults are those of the smallest one.

    Attributes
    ----------
    memory_bytes : int
    descriptor_count : int
        Open files, sockets and pipes.
    request_memory_bytes : int or None
        Memory for the requests of all callers; by default a share of the whole.
    """

    memory_bytes: int = 200 << 20
    descriptor_count: int = 4100
    request_memory_bytes: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryHostSettings:
    """Location, addresses and bounds of an entry host.

    Attributes
    ----------
    host_id : str
    data_centre, region : str
    region_by_data_centre : dict of str to str
    callers_address : str
        Address on which callers connect.
    ready_address : str
        Address on which the load balancer checks the readiness of this host.
    peers_address : str
        Address on which other entry hosts connect.
    helper_address : str
        Address on which other entry hosts have calls to upstreams passed on; empty
        where none are.
    seed_addresses : tuple of str
        Addresses of a few entry hosts, some of which may be down.
    store_address : str
    duties_address : str
        Empty where there are no duties.
    reports_usage, orders_capacity : bool
        Which duties are enabled.
    bounds : OperatingBounds
    capacity : HostCapacity
    orders_requests : bool
        Whether requests for modelled services are admitted by urgency and by the time
        at which they are expected to end.
    """

    host_id: str
    data_centre: str
    region: str
    region_by_data_centre: dict
    callers_address: str
    ready_address: str
    peers_address: str
    seed_addresses: tuple
    store_address: str
    duties_address: str
    reports_usage: bool
    orders_capacity: bool
    bounds: OperatingBounds
    helper_address: str = ""
    capacity: HostCapacity = HostCapacity()
    orders_requests: bool = False
