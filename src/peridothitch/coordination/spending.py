"""Spending limits at one host: reserves before a request runs, settles after it."""

import dataclasses
import datetime

from peridothitch import errors
from peridothitch.coordination import local_budgets, slice_source
from peridothitch.policy import spending

__all__ = ["Charge", "Reservation", "SpendingLimiter"]

IDLE_TIME = datetime.timedelta(seconds=30)
"""Slices that were not used for this long are returned."""

RELEASE_IDLE_INTERVAL = datetime.timedelta(seconds=5)
RETRY_AFTER_STORE_FAILURE = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Charge:
    """One limit that a request counts against.

    Attributes
    ----------
    limit_name : str
        Name in the document.
    limit_micros : int
        Maximum to be spent in the period.
    revision : int
        Revision of the document.
    period : peridothitch.policy.spending.Period
    amount : int
        Maximum cost of the request, in micros.
    """

    limit_name: str
    limit_micros: int
    revision: int
    period: spending.Period
    amount: int

    def to_allotment(self):
        """Return the `peridothitch.coordination.local_budgets.Allotment`."""
        return local_budgets.Allotment(
            limit_name=self.limit_name,
            start=self.period.start,
            end=self.period.end,
            limit_micros=self.limit_micros,
            revision=self.revision,
        )


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Amounts reserved for one request.

    Attributes
    ----------
    charges : tuple of Charge
    """

    charges: tuple


class SpendingLimiter:
    """Reserves and settles against slices; safe for use by many threads.

    Parameters
    ----------
    ledger : peridothitch.coordination.slice_ledger.SliceLedger
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, ledger, peers, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._budgets = local_budgets.LocalBudgets(clock)
        self._source = slice_source.SliceSource(
            self._budgets, ledger, peers, clock, metrics
        )

    def reserve(self, charges):
        """Reserve the maximum cost for each limit, or for none.

        Parameters
        ----------
        charges : sequence of Charge

        Returns
        -------
        Reservation

        Raises
        ------
        peridothitch.errors.RequestError
            A limit is reached, or the store can't confirm that it is not.
        """
        reserved = []
        try:
            for charge in charges:
                self._reserve_one(charge)
                reserved.append(charge)
        except errors.RequestError:
            self.settle(Reservation(tuple(reserved)), lambda charge: 0)
            raise
        return Reservation(tuple(reserved))

    def settle(self, reservation, cost):
        """Replace a reservation by what the request cost.

        Parameters
        ----------
        reservation : Reservation
        cost : callable
            Returns the cost in micros for a `Charge`.

        Returns
        -------
        int
            Micros charged, the largest of all limits.
        """
        max_charged = 0
        for charge in reservation.charges:
            local_budget = self._budgets.get_or_create(charge.to_allotment())
            charged, surplus = local_budget.settle(
                charge.amount, cost(charge), charge.revision
            )
            self._source.return_to_ledger(local_budget, surplus)
            self._metrics.count("spent_micros", charged, limit=charge.limit_name)
            max_charged = max(max_charged, charged)
        return max_charged

    def budget_statuses(self):
        """Return a `BudgetStatus` for each budget of this host, by its name."""
        return self._budgets.budget_statuses()

    def release_idle(self):
        """Return slices that are idle; remove budgets whose period has ended."""
        self._budgets.drop_ended()
        oldest = self._clock.monotonic() - IDLE_TIME
        for local_budget in self._budgets.by_name().values():
            if local_budget.last_used <= oldest:
                self._source.give_back(local_budget)

    def close(self):
        """Return everything that is not reserved."""
        for local_budget in self._budgets.by_name().values():
            self._source.give_back(local_budget)

    def run(self, stop):
        """Return idle slices until the event `stop` is set."""
        while not self._clock.wait(stop, RELEASE_IDLE_INTERVAL):
            self.release_idle()

    run.__qualname__ = "SpendingBook.run"  # value of the metric label "loop"

    def _reserve_one(self, charge):
        allotment = charge.to_allotment()
        local_budget = self._budgets.get_or_create(allotment)
        self._source.update_limit(local_budget, allotment)
        local_budget.record_demand(charge.amount, self._clock.monotonic())
        if local_budget.reserve(charge.amount):
            return
        with local_budget.refill_lock:
            if local_budget.reserve(charge.amount):
                return
            self._refill(local_budget, charge)
            if local_budget.reserve(charge.amount):
                return
        self._metrics.count("limits_reached", limit=charge.limit_name)
        raise errors.RequestError(
            errors.Code.LIMIT_REACHED,
            f"limit {charge.limit_name} renews at {charge.period.end.isoformat()}",
            retry_after=charge.period.end - self._clock.now(),
        )

    def _refill(self, local_budget, charge):
        try:
            self._source.refill(local_budget, charge.amount)
        except errors.StoreError as error:
            self._metrics.count("limits_unconfirmed", limit=charge.limit_name)
            raise errors.RequestError(
                errors.Code.LIMIT_UNCONFIRMED,
                error.detail,
                retry_after=RETRY_AFTER_STORE_FAILURE,
            ) from None
