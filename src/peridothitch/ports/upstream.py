"""Calls to upstreams: model engines and plain services."""

import abc
import dataclasses
import datetime
import enum

__all__ = ["Call", "Exchange", "Host", "HostList", "HostState", "Transport"]


class HostState(enum.Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Host:
    """One upstream host as the platform lists it.

    Attributes
    ----------
    host_id : str
        Unique name of the host.
    address : str
        IP address and port, ``"127.0.0.1:9001"``.
    service : str
        Name of the service that the host runs.
    version : str
        Version of the service.
    data_centre : str
        Data centre of the host.
    region : str
        Region of the data centre.
    machine_class : str
        Class that determines the price.
    reclaimable : bool
        Whether the platform may reclaim the host.
    price_per_hour : float
        Current price in the deployment's currency.
    state : HostState
        Live or leaving.
    adapters : tuple of str
        Model adapters that the host has loaded.
    slots : int
        Requests that the host processes concurrently; 0 if not known.
    incarnation : int
        Distinguishes successive starts of a host under the same id.
    cold_time : datetime.timedelta
        Time for which the host stays cold, from its list entry on.
    """

    host_id: str
    address: str
    service: str
    version: str
    data_centre: str
    region: str = ""
    machine_class: str = ""
    reclaimable: bool = True
    price_per_hour: float = 0.0
    state: HostState = HostState.LIVE
    adapters: tuple[str, ...] = ()
    slots: int = 0
    incarnation: int = 0
    cold_time: datetime.timedelta = dataclasses.field(
        default=datetime.timedelta(0), compare=False
    )


class HostList(abc.ABC):
    """The platform's list of live and leaving hosts."""

    @abc.abstractmethod
    def read(self):
        """Return the hosts as a dict of host id to `Host`.

        Raises
        ------
        peridothitch.errors.UpstreamError
            The list could not be read.
        """


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One request as it is sent to an upstream.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path with query.
    header_by_name : dict of str to str
        Headers to send.
    body : bytes
        Whole body.
    streamed : bool
        Whether the response is a stream of server-sent events.
    first_byte_timeout : datetime.timedelta
        Bound on the wait for the first byte of the response.
    gap_timeout : datetime.timedelta
        Bound on the gap between two parts of the response.
    """

    method: str
    path: str
    header_by_name: dict
    body: bytes = b""
    streamed: bool = False
    first_byte_timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    gap_timeout: datetime.timedelta = datetime.timedelta(seconds=5)


class Exchange(abc.ABC):
    """Response of one upstream to one call.

    Attributes
    ----------
    status : int
        HTTP status.
    header_by_name : dict of str to str
        Response headers with lower-case names.
    """

    status: int
    header_by_name: dict

    @abc.abstractmethod
    def read(self):
        """Return the whole body as bytes."""

    @abc.abstractmethod
    def events(self):
        """Yield the stream's events as bytes, each ending in a blank line."""

    @abc.abstractmethod
    def cancel(self):
        """Cancel the call unless its response was read to the end.

        The connection of a cancelled call is closed and never reused.
        """


class Transport(abc.ABC):
    """Sends calls to upstreams."""

    @abc.abstractmethod
    def open(self, host, call):
        """Send `call` to `host` and wait for the head of the response.

        Parameters
        ----------
        host : Host
        call : Call

        Returns
        -------
        Exchange

        Raises
        ------
        peridothitch.errors.UpstreamError
            With ``ran`` NO when no byte of the call left this process.
        """

    def probe(self, host, timeout):
        """Return whether `host` responds on a new connection within `timeout`.

        Parameters
        ----------
        host : Host
        timeout : datetime.timedelta

        Returns
        -------
        bool
            True where the transport can't determine it.
        """
        return True
