"""Shares an upstream's limit on requests among entry hosts.

A limit may be lower than one request a second and a host, so equal shares would either
round up beyond it or leave most of it unused. A few owners, which all hosts choose
alike by rendezvous hashing, may send requests to a limited upstream, each at its share
of the rate; other hosts use other upstreams.
"""

import dataclasses

import xxhash

__all__ = [
    "OWNER_COUNT",
    "Allowance",
    "Terms",
    "choose_owners",
    "cold_owner_count",
    "owner_rate",
]

OWNER_COUNT = 2
"""One owner may be lost; more would each have too small a share."""

_PLANNED_SHARE = 0.9
"""Share of the limit used; the rest covers hosts that disagree about the owners."""

_MIN_RATE = 0.25
"""Requests a second that still show when a limit ends, even one of 0."""

_BURST_SECONDS = 0.5

_COLD_BURST_SECONDS = 0.25
"""The rate of a cold upstream holds in each single second."""

_OWNERS_PER_REQUEST = 0.3
"""Owners beyond the first two, for each request a second of a cold upstream.

Each of them may send one request at once: 0.9 of the rate, 2 and 0.3 of the rate lie
as far below one and a half times the rate and 5 as hosts that disagree need.
"""


@dataclasses.dataclass(frozen=True)
class Terms:
    """How the requests to an upstream are shared.

    Attributes
    ----------
    rate : float
        Requests a second that the upstream takes from all entry hosts together.
    owner_count : int
        Entry hosts that share the rate; all have to come to the same number.
    burst_seconds : float
        Time for which an owner may save up its share.
    least_divisor : int
        Parts that the rate is divided into at least, so that a host that knows too few
        others does not take more than its part.
    """

    rate: float
    owner_count: int = OWNER_COUNT
    burst_seconds: float = _BURST_SECONDS
    least_divisor: int = 1

    @classmethod
    def of_cold(cls, rate, host_count):
        """Return the terms of an upstream that is cold."""
        owner_count = cold_owner_count(rate, host_count)
        return cls(rate, owner_count, _COLD_BURST_SECONDS, owner_count)

    def choose_owners(self, incarnation, host_ids):
        """Return the entry hosts that share the rate, as `choose_owners` does."""
        return choose_owners(incarnation, host_ids, self.owner_count)

    def owner_rate(self, owner_count):
        """Return the requests a second of one of so many owners."""
        return owner_rate(self.rate, max(owner_count, self.least_divisor))


def cold_owner_count(rate, host_count):
    """Return how many entry hosts share a cold upstream's rate.

    All upstreams of a service may be cold at once. So as many hosts as possible may
    send to each, and as few that their bursts stay within what it bears.

    Parameters
    ----------
    rate : float
        Requests a second that the upstream takes while it is cold.
    host_count : int
        Entry hosts.
    """
    most = OWNER_COUNT + int(_OWNERS_PER_REQUEST * rate)
    return max(1, min(host_count, most))


def choose_owners(incarnation, host_ids, count=OWNER_COUNT):
    """Return the entry hosts that may send requests to a limited upstream.

    Parameters
    ----------
    incarnation : str
        Incarnation of the upstream.
    host_ids : iterable of str
        Entry hosts believed live.
    count : int
        Owners to choose.
    """
    ranked = sorted(
        host_ids,
        key=lambda host_id: xxhash.xxh32_intdigest(f"{incarnation}/{host_id}".encode()),
    )
    return frozenset(ranked[:count])


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

    def refill(self, rate, now, burst_seconds=_BURST_SECONDS):
        """Return the allowance at a later time, at a rate of requests a second."""
        burst = max(1.0, rate * burst_seconds)
        level = min(burst, self.level + rate * max(0.0, now - self.at))
        return Allowance(level, now)

    @property
    def is_open(self):
        """Whether a request may be sent now."""
        return self.level >= 1.0

    def spend(self):
        """Return the allowance after one request."""
        return dataclasses.replace(self, level=self.level - 1.0)
