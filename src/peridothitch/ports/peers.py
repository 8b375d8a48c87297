"""The other entry hosts: the current membership and calls to them."""

import abc
import dataclasses

__all__ = ["Peer", "Peers"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """An entry host as this host's membership view describes it.

    Attributes
    ----------
    host_id, address, data_centre : str
    helper_address : str
        Where the host passes on other hosts' calls to upstreams; empty if it does not.
    """

    host_id: str
    address: str
    data_centre: str
    helper_address: str = ""


class Peers(abc.ABC):
    """Members of the fleet, this host included.

    Attributes
    ----------
    host_id : str
        Id of this host.
    """

    host_id: str

    @abc.abstractmethod
    def members(self):
        """Return the hosts believed live as a dict of host id to `Peer`."""

    @abc.abstractmethod
    def register(self, method, handler):
        """Handle calls of `method` with ``handler(payload)``, bytes to bytes."""

    @abc.abstractmethod
    def call(self, host_id, method, payload, timeout):
        """Call another host.

        Parameters
        ----------
        host_id : str
        method : str
        payload : bytes
            msgpack of a typed message.
        timeout : datetime.timedelta

        Returns
        -------
        bytes

        Raises
        ------
        peridothitch.errors.PeerError
            With ``sent`` False when no byte of the call left this process.
        """
