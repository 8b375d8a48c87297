"""Leadership of one entry host over the fleet."""

import abc

__all__ = ["Leadership"]


class Leadership(abc.ABC):
    """One host's view of a lease that at most one host should hold.

    The lease saves store calls; compare-and-swap ensures that what must happen once
    happens only once.

    Attributes
    ----------
    fencing_number : int
        Increases with every new holder; sent with orders.
    """

    fencing_number: int

    @abc.abstractmethod
    def is_held(self):
        """Return whether this host holds the lease by its own monotonic clock."""
