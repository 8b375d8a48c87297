"""Calls to the platform that one entry host makes for all."""

import abc
import dataclasses

__all__ = ["CapacityOrder", "DutyAnswer", "PlatformDuties", "UsageReport"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageReport:
    """Requests that began to run in one window of time.

    Attributes
    ----------
    window : int
        Windows are counted from the Unix epoch.
    count_by_customer : dict of str to int
    """

    window: int
    count_by_customer: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class CapacityOrder:
    """Number of upstream hosts that a service is to have in a data centre.

    Attributes
    ----------
    service, data_centre : str
    count : int
    reclaimable : bool
        The kind of hosts that is counted.
    """

    service: str
    data_centre: str
    count: int
    reclaimable: bool


@dataclasses.dataclass(frozen=True)
class DutyAnswer:
    """How the platform answered a call.

    Attributes
    ----------
    accepted : bool
    superseded : bool
        Whether a higher fencing number was seen.
    detail : str
    """

    accepted: bool
    superseded: bool = False
    detail: str = ""


class PlatformDuties(abc.ABC):
    """Client of the calls that one entry host makes for all.

    Every method raises `peridothitch.errors.CloudError`: CLOUD_UNAVAILABLE when the
    call was not applied and CLOUD_UNCLEAR when it may have been, or may yet be.
    """

    @abc.abstractmethod
    def report_usage(self, report, fencing_number):
        """Send a `UsageReport`; returns a `DutyAnswer`."""

    @abc.abstractmethod
    def order_capacity(self, order, fencing_number):
        """Send a `CapacityOrder`; returns a `DutyAnswer`."""
