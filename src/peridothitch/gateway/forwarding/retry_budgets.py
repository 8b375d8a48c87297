"""Each host's part of the repeats that a service may get from all entry hosts."""

import dataclasses
import threading

from peridothitch.policy import retries

__all__ = ["RetryBudgets"]

_PLANNED_PART = 0.8
"""Part of the permitted repeats that is planned; the rest covers a wrong host count."""


class RetryBudgets:
    """Retry budgets by service.

    Parameters
    ----------
    promises : peridothitch.ports.entry_settings.OperatingBounds
    host_count : callable
        Returns the number of entry hosts believed live.
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    promises : peridothitch.ports.entry_settings.OperatingBounds
        May be replaced at any time.
    """

    def __init__(self, bounds, host_count, metrics):
        self.bounds = bounds
        self._host_count = host_count
        self._metrics = metrics
        self._lock = threading.Lock()
        self._budget_by_service = {}

    def record_request(self, service):
        """Count a caller's request."""
        with self._lock:
            self._budget_by_service[service] = self._budget(service).earn()

    def can_spend(self, service):
        """Return whether a repeat may be spent."""
        with self._lock:
            return self._budget(service).allows()

    def spend(self, service):
        """Spend one repeat; returns whether there was one."""
        with self._lock:
            budget = self._budget(service)
            if budget.allows():
                self._budget_by_service[service] = budget.spend()
                return True
        self._metrics.count("repeats_refused", service=service)
        return False

    def _budget(self, service):
        allowance = _PLANNED_PART * self.bounds.retry_allowance
        capacity = allowance / self._host_count()
        budget = self._budget_by_service.get(service)
        if budget is None:
            ratio = _PLANNED_PART * self.bounds.retry_share
            budget = retries.RetryBudget(ratio=ratio, balance=capacity)
        balance = min(budget.balance, capacity)
        return dataclasses.replace(budget, capacity=capacity, balance=balance)
