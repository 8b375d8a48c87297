"""Calls to the platform that one entry host makes on behalf of all of them."""

import abc
import dataclasses

__all__ = ["CapacityOrder", "DutyAnswer", "PlatformDuties", "UsageReport"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageReport:
    """Number of requests that started to run in one time window.

    Attributes
    ----------
    window : int
        Number of the window, counted from the Unix epoch.
    count_by_customer : dict of str to int
    """

    window: int
    count_by_customer: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class CapacityOrder:
    """Number of upstream hosts that a service should have in a data centre.

    Attributes
    ----------
    service, data_centre : str
    count : int
    reclaimable : bool
        Whether `count` is the number of reclaimable or of on-demand hosts.
    """

    service: str
    data_centre: str
    count: int
    reclaimable: bool


@dataclasses.dataclass(frozen=True)
class DutyAnswer:
    """Result of a call to the platform.

    Attributes
    ----------
    accepted : bool
    superseded : bool
        Whether the platform has seen a higher fencing number.
    detail : str
    """

    accepted: bool
    superseded: bool = False
    detail: str = ""


class PlatformDuties(abc.ABC):
    """Client of the calls that one entry host makes on behalf of all of them.

    Every method raises `peridothitch.errors.CloudError`: CLOUD_UNAVAILABLE when the
    call was not applied and CLOUD_UNCLEAR when it may have been or may still be.
    """

    @abc.abstractmethod
    def report_usage(self, report, fencing_number):
        """Send a `UsageReport`; returns a `DutyAnswer`."""

    @abc.abstractmethod
    def order_capacity(self, order, fencing_number):
        """Send a `CapacityOrder`; returns a `DutyAnswer`."""
