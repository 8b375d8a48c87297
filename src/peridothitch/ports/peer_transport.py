"""Calls between entry hosts by address, below the membership that knows addresses."""

import abc

__all__ = ["GOSSIP_PREFIX", "PeerTransport"]

GOSSIP_PREFIX = "gossip."
"""Methods with this prefix are answered ahead of all others."""


class PeerTransport(abc.ABC):
    """Sends calls to addresses and answers those that arrive.

    Attributes
    ----------
    address : str
        IP number and port that others reach this host at.
    """

    address: str

    @abc.abstractmethod
    def register(self, method, answer):
        """Answer calls of `method` with ``answer(payload)``, bytes to bytes.

        `answer` may raise a `peridothitch.errors.CodedError`, which the caller gets as
        a `peridothitch.errors.PeerError`.
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
            Bound on the whole call.
        fresh : bool
            Whether the call opens a connection of its own, since an idle one may have
            gone silent.

        Returns
        -------
        bytes

        Raises
        ------
        peridothitch.errors.PeerError
            With ``sent`` False when no byte of the call left this process.
        """
