"""Settings of an entry host that the platform gives."""

import dataclasses
import datetime

__all__ = ["OperatingBounds", "EntryHostSettings"]

_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatingBounds:
    """Bounds that the operators rely on; by default those of the users' first sites.

    Attributes
    ----------
    grace : datetime.timedelta
        From the stop signal until the process is killed.
    retry_share : float
        Repeats allowed for each request to a service.
    retry_allowance : float
        Repeats of a service allowed besides, in some seconds over all entry hosts.
    quota_window : datetime.timedelta
        Span in which use is held against a quota.
    quota_excess_share : float
        Share of a quota by which use may exceed it.
    quota_excess : float
        Units by which use may exceed a quota besides.
    lease_time : datetime.timedelta
        Term of the leases on duties.
    orders_are_fenced : bool
        Whether the platform refuses orders with lower fencing numbers.
    usage_window : datetime.timedelta
    usage_delay : datetime.timedelta
        From a usage window's end until its report is due.
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
class EntryHostSettings:
    """Where an entry host is and whom it talks to.

    Attributes
    ----------
    host_id : str
    data_centre, region : str
    region_by_data_centre : dict of str to str
    callers_address : str
        Where callers connect.
    ready_address : str
        Where the balancer asks whether this host takes requests.
    peers_address : str
        Where other entry hosts connect.
    seed_addresses : tuple of str
        Addresses of a few entry hosts, some of which may be down.
    store_address : str
    duties_address : str
        Empty where there are no duties.
    reports_usage, orders_capacity : bool
        The duties.
    promises : Promises
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
