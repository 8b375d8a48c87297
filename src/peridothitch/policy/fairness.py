"""Weighted fair order of waiting requests, in tokens between customers.

Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): a request starts, in
virtual time, when its customer's earlier tokens divided by the customer's weight are
served. A priority is a bounded head start, so that no customer can hold back another
one by asking for everything urgently.
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
"""Virtual time, in tokens at weight 1, that a priority is moved forward by."""

CREDIT_TOKENS = 1024.0
"""Virtual time that a customer below its share saves up for its next burst."""


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
        Monotonic time after which the request is useless.
    """

    customer: str
    weight: int
    tokens: int
    priority: documents.Priority
    deadline: datetime.timedelta


@dataclasses.dataclass
class _Waiting:
    ticket: WaitingRequest
    start: float
    order: int

    def rank(self):
        return self.start - HEAD_START_TOKENS[self.ticket.priority], self.order


class FairQueue:
    """Order of waiting requests.

    Parameters
    ----------
    capacity : int
        Most requests that wait.
    """

    def __init__(self, capacity):
        self._capacity = capacity
        self._virtual_time = 0.0
        self._finish_by_customer = {}
        self._waiting = []
        self._order = 0

    def __len__(self):
        return len(self._waiting)

    def add(self, ticket):
        """Let a request wait.

        Returns
        -------
        Ticket or None
            The request that is shed because the queue is full: the newest one of the
            customer that has most tokens waiting for its weight.
        """
        start = self._start_of(ticket.customer)
        self._finish_by_customer[ticket.customer] = start + _share(ticket)
        self._order += 1
        self._waiting.append(_Waiting(ticket, start, self._order))
        if len(self._waiting) <= self._capacity:
            return None
        return self._shed()

    def pop_next(self, now, admits=lambda ticket: True):
        """Remove the next request.

        Parameters
        ----------
        now : datetime.timedelta
            Monotonic time.
        admits : callable
            Tells whether there is room for a `WaitingRequest`; the others keep waiting.

        Returns
        -------
        tuple of (Ticket or None, tuple of Ticket)
            The next request, and those that were shed since their deadline has passed.
        """
        late = [one for one in self._waiting if one.ticket.deadline <= now]
        for one in late:
            self._remove(one)
        expired = tuple(one.ticket for one in late)
        fitting = [one for one in self._waiting if admits(one.ticket)]
        if not fitting:
            return None, expired
        chosen = min(fitting, key=_Waiting.rank)
        self._waiting.remove(chosen)
        self._virtual_time = max(self._virtual_time, chosen.start)
        self._forget_idle()
        return chosen.ticket, expired

    def discard(self, ticket):
        """Remove a request whose caller is gone."""
        for one in self._waiting:
            if one.ticket is ticket:
                self._remove(one)
                return

    def charge_used(self, ticket, used_tokens):
        """Charge a request that was taken by what it used."""
        surplus = (used_tokens - ticket.tokens) / ticket.weight
        finish = self._start_of(ticket.customer) + surplus
        self._finish_by_customer[ticket.customer] = finish

    def _start_of(self, customer):
        earliest = self._virtual_time - CREDIT_TOKENS
        return max(earliest, self._finish_by_customer.get(customer, earliest))

    def _shed(self):
        backlog_by_customer = {}
        for one in self._waiting:
            customer = one.ticket.customer
            backlog = backlog_by_customer.get(customer, 0.0) + _share(one.ticket)
            backlog_by_customer[customer] = backlog
        longest = max(backlog_by_customer, key=backlog_by_customer.get)
        newest = max(
            (one for one in self._waiting if one.ticket.customer == longest),
            key=_Waiting.rank,
        )
        self._remove(newest)
        return newest.ticket

    def _remove(self, waiting):
        self._waiting.remove(waiting)
        self._finish_by_customer[waiting.ticket.customer] -= _share(waiting.ticket)

    def _forget_idle(self):
        """Drop customers that have saved up all that they can."""
        if self._waiting:
            return
        self._finish_by_customer = {
            customer: finish
            for customer, finish in self._finish_by_customer.items()
            if finish > self._virtual_time - CREDIT_TOKENS
        }


def _share(ticket):
    return ticket.tokens / ticket.weight
