"""Calls between entry hosts by address; the layer below the membership."""

import abc

__all__ = ["GOSSIP_PREFIX", "PeerTransport"]

GOSSIP_PREFIX = "gossip."
"""Methods with this prefix are handled before all others."""


class PeerTransport(abc.ABC):
    """Sends calls to addresses and handles incoming calls.

    Attributes
    ----------
    address : str
        IP address and port at which other hosts reach this one.
    """

    address: str

    @abc.abstractmethod
    def register(self, method, handler):
        """Handle calls of `method` with ``handler(payload)``, bytes to bytes.

        `handler` may raise a `peridothitch.errors.CodedError`, which the caller
        receives as a `peridothitch.errors.PeerError`.
        """

    @abc.abstractmethod
    def call(self, address, method, payload, timeout, fresh=False):
        """Call the host at `address`.

        Parameters
        ----------
        address : str
        method : str
        payload : bytes
        timeout : datetime.timedelta
            Limit on the duration of the whole call.
        fresh : bool
            Whether the call opens a connection of its own, since an idle one may no
            longer reach the host.

        Returns
        -------
        bytes

        Raises
        ------
        peridothitch.errors.PeerError
            With ``sent`` False when no byte of the call left this process.
        """
