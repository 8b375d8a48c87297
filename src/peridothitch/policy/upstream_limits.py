"""Shares an upstream's limit on requests among entry hosts.

A limit may be lower than one request a second and a host, so equal shares would either
round up beyond it or leave most of it unused. A few owners, which all hosts choose
alike by rendezvous hashing, may send requests to a limited upstream, each at its share
of the rate; other hosts use other upstreams.
"""

import dataclasses

import xxhash

__all__ = ["OWNER_COUNT", "Allowance", "choose_owners", "owner_rate"]

OWNER_COUNT = 2
"""One owner may be lost; more would each have too small a share."""

_PLANNED_SHARE = 0.9
"""Share of the limit used; the rest covers hosts that disagree about the owners."""

_MIN_RATE = 0.25
"""Requests a second that still show when a limit ends, even one of 0."""

_BURST_SECONDS = 0.5


def choose_owners(incarnation, host_ids):
    """Return the entry hosts that may send requests to a limited upstream.

    Parameters
    ----------
    incarnation : str
        Incarnation of the upstream.
    host_ids : iterable of str
        Entry hosts believed live.
    """
    ranked = sorted(
        host_ids,
        key=lambda host_id: xxhash.xxh32_intdigest(f"{incarnation}/{host_id}".encode()),
    )
    return frozenset(ranked[:OWNER_COUNT])


def owner_rate(limit, owner_count):
    """Return the requests a second that one of the owners may send.

    Parameters
    ----------
    limit : float
        Requests a second that the upstream takes from all hosts together.
    owner_count : int
    """
    return max(_MIN_RATE, limit * _PLANNED_SHARE) / owner_count


@dataclasses.dataclass(frozen=True)
class Allowance:
    """Requests that one owner may send now; a new owner starts with none.

    Attributes
    ----------
    level : float
        At least 1 is needed for a request.
    at : float
        Monotonic seconds for which the level holds.
    """

    level: float
    at: float

    def refill(self, rate, now):
        """Return the allowance at a later time, at a rate of requests a second."""
        burst = max(1.0, rate * _BURST_SECONDS)
        level = min(burst, self.level + rate * max(0.0, now - self.at))
        return Allowance(level, now)

    @property
    def is_open(self):
        """Whether a request may be sent now."""
        return self.level >= 1.0

    def spend(self):
        """Return the allowance after one request."""
        return dataclasses.replace(self, level=self.level - 1.0)
