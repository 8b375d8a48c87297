"""Reconciles engines with a desired state by orders that may be repeated.

Some engines check the fencing numbers of orders and others ignore them. An order states
the desired end state, so that repeating it is harmless. The state is read back after an
order was sent and again on every later round: an order of an earlier holder that
arrives late at an engine without checks is undone by the next round.
"""

import abc
import enum

from peridothitch import errors

__all__ = ["OrderTarget", "Reconciler", "RoundResult"]


class OrderTarget(abc.ABC):
    """Receiver of orders.

    Both methods raise `peridothitch.errors.UpstreamError` when there was no answer.
    """

    @abc.abstractmethod
    def read(self):
        """Return the current state."""

    @abc.abstractmethod
    def order(self, state, permit):
        """Ask for `state`.

        Parameters
        ----------
        state : object
            The desired end state; compared with ``==``.
        permit : peridothitch.coordination.lease.Permit
            Its fencing number is sent with the order.

        Raises
        ------
        peridothitch.errors.LeaseError
            The target has seen a higher fencing number.
        """


class RoundResult(enum.Enum):
    """Outcome of one round of a reconciliation."""

    DONE = "done"
    UNDONE = "undone"
    NOT_HOLDER = "not_holder"


class Reconciler:
    """Brings targets to their desired state while a lease is held.

    Parameters
    ----------
    lease : peridothitch.coordination.lease.FencedLease
    """

    def __init__(self, lease):
        self._lease = lease

    def reconcile(self, target, desired):
        """Run one round; call it again from time to time, also after DONE.

        Returns
        -------
        Round
        """
        try:
            if target.read() == desired:
                return RoundResult.DONE
            target.order(desired, self._lease.permit())
            return RoundResult.DONE if target.read() == desired else RoundResult.UNDONE
        except errors.LeaseError:
            return RoundResult.NOT_HOLDER
        except errors.UpstreamError:
            return RoundResult.UNDONE
