"""Weighted fair queueing of waiting requests between customers, in tokens.

Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): a request starts, in
virtual time, when its customer's earlier tokens divided by the customer's weight are
served. A priority is a bounded head start, so that no customer can starve another one
by marking all its requests as urgent.
"""

import dataclasses
import datetime

from peridothitch.policy import document as documents

__all__ = ["FairQueue", "WaitingRequest"]

HEAD_START_TOKENS = {
    documents.Priority.URGENT: 4096.0,
    documents.Priority.NORMAL: 0.0,
    documents.Priority.BATCH: -4096.0,
}
"""Virtual time, in tokens at weight 1, by which a priority is advanced."""

CREDIT_TOKENS = 1024.0
"""Virtual time, in tokens, that a customer below its share accumulates for a burst."""


@dataclasses.dataclass(frozen=True, eq=False, kw_only=True)
class WaitingRequest:
    """One waiting request.

    Attributes
    ----------
    customer : str
    weight : int
        The customer's weight.
    tokens : int
        Tokens that the request is expected to use.
    priority : peridothitch.policy.document.Priority
    deadline : datetime.timedelta
        Monotonic time at which the request expires.
    """

    customer: str
    weight: int
    tokens: int
    priority: documents.Priority
    deadline: datetime.timedelta


@dataclasses.dataclass
class _QueueEntry:
    request: WaitingRequest
    start: float
    order: int

    def rank(self):
        return self.start - HEAD_START_TOKENS[self.request.priority], self.order


class FairQueue:
    """Order of waiting requests.

    Parameters
    ----------
    capacity : int
        Largest number of waiting requests.
    """

    def __init__(self, capacity):
        self._capacity = capacity
        self._virtual_time = 0.0
        self._virtual_finish_by_customer = {}
        self._entries = []
        self._order = 0

    def __len__(self):
        return len(self._entries)

    def add(self, request):
        """Enqueue a request.

        Returns
        -------
        WaitingRequest or None
            The request that is shed because the queue is full: the newest one of the
            customer with the most waiting tokens relative to its weight.
        """
        start = self._start_of(request.customer)
        self._virtual_finish_by_customer[request.customer] = start + _weighted_tokens(
            request
        )
        self._order += 1
        self._entries.append(_QueueEntry(request, start, self._order))
        if len(self._entries) <= self._capacity:
            return None
        return self._shed()

    def pop_next(self, now, admits=lambda request: True):
        """Remove the next request.

        Parameters
        ----------
        now : datetime.timedelta
            Monotonic time.
        admits : callable
            Takes a `WaitingRequest`, returns whether it may start now; the others stay
            queued.

        Returns
        -------
        tuple of (WaitingRequest or None, tuple of WaitingRequest)
            The next request, and those that were shed because their deadline passed.
        """
        expired_entries = [
            entry for entry in self._entries if entry.request.deadline <= now
        ]
        for entry in expired_entries:
            self._remove(entry)
        expired = tuple(entry.request for entry in expired_entries)
        admissible = [entry for entry in self._entries if admits(entry.request)]
        if not admissible:
            return None, expired
        chosen = min(admissible, key=_QueueEntry.rank)
        self._entries.remove(chosen)
        self._virtual_time = max(self._virtual_time, chosen.start)
        self._drop_idle_customers()
        return chosen.request, expired

    def discard(self, request):
        """Remove a request whose caller disconnected."""
        for entry in self._entries:
            if entry.request is request:
                self._remove(entry)
                return

    def charge_used(self, request, used_tokens):
        """Charge a started request its actual instead of its expected tokens."""
        surplus = (used_tokens - request.tokens) / request.weight
        finish = self._start_of(request.customer) + surplus
        self._virtual_finish_by_customer[request.customer] = finish

    def _start_of(self, customer):
        earliest = self._virtual_time - CREDIT_TOKENS
        return max(earliest, self._virtual_finish_by_customer.get(customer, earliest))

    def _shed(self):
        backlog_by_customer = {}
        for entry in self._entries:
            customer = entry.request.customer
            backlog = backlog_by_customer.get(customer, 0.0) + _weighted_tokens(
                entry.request
            )
            backlog_by_customer[customer] = backlog
        longest = max(backlog_by_customer, key=backlog_by_customer.get)
        newest = max(
            (entry for entry in self._entries if entry.request.customer == longest),
            key=_QueueEntry.rank,
        )
        self._remove(newest)
        return newest.request

    def _remove(self, removed):
        self._entries.remove(removed)
        self._virtual_finish_by_customer[removed.request.customer] -= _weighted_tokens(
            removed.request
        )

    def _drop_idle_customers(self):
        """Drop customers that have accumulated the full credit."""
        if self._entries:
            return
        self._virtual_finish_by_customer = {
            customer: finish
            for customer, finish in self._virtual_finish_by_customer.items()
            if finish > self._virtual_time - CREDIT_TOKENS
        }


def _weighted_tokens(request):
    return request.tokens / request.weight
