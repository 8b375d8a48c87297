"""The platform's cloud API: offers of hosts, starts and stops."""

import abc
import dataclasses
import enum

__all__ = ["Cloud", "Machine", "MachineState", "Offer", "Order"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offer:
    """A kind of host that can be started.

    Attributes
    ----------
    data_centre, region : str
    machine_class : str
    reclaimable : bool
        Whether the platform may reclaim such a host.
    price_per_hour : float
        In the deployment's currency.
    """

    data_centre: str
    region: str = ""
    machine_class: str = ""
    reclaimable: bool = True
    price_per_hour: float = 0.0

    @property
    def name(self):
        """Name that does not depend on the price."""
        kind = "reclaimable" if self.reclaimable else "on-demand"
        return f"{self.data_centre}/{self.machine_class or 'any'}/{kind}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """One start of one host.

    Attributes
    ----------
    order_id : str
        Idempotency key: the cloud starts at most one host per id.
    service, version : str
        Service and version that the host runs.
    offer : Offer
    """

    order_id: str
    service: str
    version: str
    offer: Offer


class MachineState(enum.Enum):
    """State of a started host."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Machine:
    """A host that the cloud runs for this deployment.

    Attributes
    ----------
    host_id : str
    order : Order
        The order that started it.
    state : MachineState
    """

    host_id: str
    order: Order
    state: MachineState = MachineState.STARTING


class Cloud(abc.ABC):
    """Client of the cloud API.

    Every method raises `peridothitch.errors.CloudError`: CLOUD_UNAVAILABLE when the
    call was not applied and CLOUD_UNCLEAR when it may have been.
    """

    @abc.abstractmethod
    def offers(self):
        """Return the current offers as a tuple of `Offer`."""

    @abc.abstractmethod
    def machines(self):
        """Return all machines as a dict of order id to `Machine`."""

    @abc.abstractmethod
    def start(self, order, fencing_number):
        """Start the host of an order unless that was done before.

        Raises
        ------
        peridothitch.errors.CloudError
            START_REFUSED when no such host is available now, or when the order's
            host has terminated; the order can't succeed any more.
        """

    @abc.abstractmethod
    def stop(self, host_id, fencing_number):
        """Drain and stop a host; not an error if it no longer exists."""
