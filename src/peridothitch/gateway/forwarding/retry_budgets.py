"""One entry host's share of the retries that a service may get from all of them."""

import dataclasses
import threading

from peridothitch.policy import retries

__all__ = ["RetryBudgets"]

_PLANNED_SHARE = 0.8
"""Share of the permitted retries used; the rest covers a wrong count of hosts."""


class RetryBudgets:
    """Retry budgets by service.

    Parameters
    ----------
    bounds : peridothitch.ports.entry_settings.OperatingBounds
    host_count : callable
        Returns the number of entry hosts believed live.
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    bounds : peridothitch.ports.entry_settings.OperatingBounds
        May be replaced at any time.
    """

    def __init__(self, bounds, host_count, metrics):
        self.bounds = bounds
        self._host_count = host_count
        self._metrics = metrics
        self._lock = threading.Lock()
        self._budget_by_service = {}

    def record_request(self, service):
        """Add a caller's request to the budget of its service."""
        with self._lock:
            self._budget_by_service[service] = self._budget(service).earn()

    def can_spend(self, service):
        """Return whether the budget allows a retry."""
        with self._lock:
            return self._budget(service).allows()

    def spend(self, service):
        """Take one retry from the budget; returns whether there was one."""
        with self._lock:
            budget = self._budget(service)
            if budget.allows():
                self._budget_by_service[service] = budget.spend()
                return True
        self._metrics.count("repeats_refused", service=service)
        return False

    def _budget(self, service):
        allowance = _PLANNED_SHARE * self.bounds.retry_allowance
        capacity = allowance / self._host_count()
        budget = self._budget_by_service.get(service)
        if budget is None:
            ratio = _PLANNED_SHARE * self.bounds.retry_share
            budget = retries.RetryBudget(ratio=ratio, balance=capacity)
        balance = min(budget.balance, capacity)
        return dataclasses.replace(budget, capacity=capacity, balance=balance)
