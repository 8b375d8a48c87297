"""Parts of the spending budgets that one host has available, reserved and spent."""

import dataclasses
import datetime
import threading

import msgspec

from peridothitch.coordination import slice_ledger
from peridothitch.policy import spending

__all__ = ["Allotment", "LocalBudget", "LocalBudgets", "BudgetStatus", "budget_name"]

SLICE_DURATION = datetime.timedelta(seconds=10)
"""Time for which one slice should suffice."""

_RATE_SMOOTHING_FACTOR = 0.3


class Allotment(msgspec.Struct, frozen=True, kw_only=True):
    """A limit in one period, as hosts send it to each other.

    Attributes
    ----------
    limit_name : str
        Name in the document.
    start, end : datetime.datetime
        The period.
    limit_micros : int
        Maximum to be spent in the period.
    revision : int
        Revision of the document.
    """

    limit_name: str
    start: datetime.datetime
    end: datetime.datetime
    limit_micros: int
    revision: int


def budget_name(allotment):
    """Return the name of the ledger's budget for an `Allotment`."""
    period = spending.Period(allotment.start, allotment.end)
    return f"{allotment.limit_name}:{period.name}".replace("/", ":")


class LocalBudget:
    """Account of one budget with the state of its refills; guarded by its `lock`.

    Parameters
    ----------
    allotment : Allotment
    now : datetime.timedelta
        Monotonic time.
    """

    def __init__(self, allotment, now):
        self.lock = threading.Lock()
        self.refill_lock = threading.Lock()
        self.account = spending.Account(allotment.limit_micros)
        self.last_used = now
        self._rate_per_second = 0.0
        self._rate_period_start = now
        self._requested_micros = 0
        self._lowered_revision = 0
        self._apply(allotment)

    def _apply(self, allotment):
        self.allotment = allotment
        self.account.limit_micros = allotment.limit_micros
        self.budget = slice_ledger.Budget(
            name=budget_name(allotment),
            limit_micros=allotment.limit_micros,
            revision=allotment.revision,
        )

    def update_limit(self, allotment):
        """Apply the limit of a newer document.

        Returns
        -------
        int
            Micros withdrawn from the account because the limit was lowered: the sum of
            all grants may exceed it, so they have to be returned to the ledger.
        """
        with self.lock:
            if allotment.revision <= self.allotment.revision:
                return 0
            lowered = allotment.limit_micros < self.account.limit_micros
            self._apply(allotment)
            if not lowered:
                return 0
            self._lowered_revision = allotment.revision
            return self.account.withdraw(self.account.available)

    def reserve(self, amount):
        """Reserve `amount`; returns whether enough was available."""
        with self.lock:
            return self.account.reserve(amount)

    def deposit(self, amount, revision):
        """Add a slice that was requested at `revision`.

        Returns
        -------
        int
            Micros that could not be added because the limit was lowered since.
        """
        with self.lock:
            if revision < self._lowered_revision:
                return amount
            self.account.deposit(amount)
            return 0

    def settle(self, reserved, actual, revision):
        """Settle a reservation that was made at `revision`.

        Returns
        -------
        tuple of (int, int)
            Micros charged, and micros to be returned to the ledger because the limit
            was lowered since.
        """
        with self.lock:
            charged = self.account.settle(reserved, actual)
            if revision >= self._lowered_revision:
                return charged, 0
            return charged, self.account.withdraw(reserved - charged)

    def withdraw(self, size):
        """Withdraw ``size(available)`` micros; returns the amount withdrawn."""
        with self.lock:
            return self.account.withdraw(size(self.account.available))

    def record_demand(self, amount, now):
        """Update the rate at which amounts of the budget are requested."""
        with self.lock:
            self.last_used = now
            self._requested_micros += amount
            elapsed = now - self._rate_period_start
            if elapsed < SLICE_DURATION / 4:
                return
            rate = self._requested_micros / elapsed.total_seconds()
            self._rate_per_second += _RATE_SMOOTHING_FACTOR * (
                rate - self._rate_per_second
            )
            self._requested_micros = 0
            self._rate_period_start = now

    def expected_demand(self):
        """Return the expected demand until the next slice, in micros."""
        return int(self._rate_per_second * SLICE_DURATION.total_seconds())


@dataclasses.dataclass(frozen=True, kw_only=True)
class BudgetStatus:
    """State of one budget at this host, in micros."""

    limit_name: str
    period: spending.Period
    limit_micros: int
    available: int
    reserved: int
    spent: int


class LocalBudgets:
    """The budgets of one host.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._budget_by_name = {}

    def by_name(self):
        """Return each `LocalBudget` by the name of its budget."""
        with self._lock:
            return dict(self._budget_by_name)

    def get_or_create(self, allotment):
        """Return the `LocalBudget` for an `Allotment`; a new one is empty."""
        name = budget_name(allotment)
        with self._lock:
            local_budget = self._budget_by_name.get(name)
            if local_budget is None:
                local_budget = LocalBudget(allotment, self._clock.monotonic())
                self._budget_by_name[name] = local_budget
            return local_budget

    def drop_ended(self):
        """Remove budgets whose period has ended and that have no reservations."""
        now = self._clock.now()
        with self._lock:
            for name, local_budget in list(self._budget_by_name.items()):
                if (
                    local_budget.allotment.end <= now
                    and not local_budget.account.reserved
                ):
                    del self._budget_by_name[name]

    def budget_statuses(self):
        """Return a `BudgetStatus` for each budget, by its name."""
        return {
            name: BudgetStatus(
                limit_name=local_budget.allotment.limit_name,
                period=spending.Period(
                    local_budget.allotment.start, local_budget.allotment.end
                ),
                limit_micros=local_budget.account.limit_micros,
                available=local_budget.account.available,
                reserved=local_budget.account.reserved,
                spent=local_budget.account.spent,
            )
            for name, local_budget in self.by_name().items()
        }
