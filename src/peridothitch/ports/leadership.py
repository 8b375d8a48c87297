"""Which entry host decides for the fleet."""

import abc

__all__ = ["Leadership"]


class Leadership(abc.ABC):
    """Part of one host in a lease that at most one host should hold.

    It saves calls of the store; what must happen once is kept by compare-and-swap.

    Attributes
    ----------
    fencing_number : int
        Grows with every new holder; sent with orders.
    """

    fencing_number: int

    @abc.abstractmethod
    def is_held(self):
        """Return whether this host holds the lease by its own monotonic clock."""
