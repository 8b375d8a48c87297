"""Concurrency limits of upstreams and retry budgets of routes, shared by threads."""

import threading

from peridothitch.policy import concurrency, retries, upstream_cooldown

__all__ = ["RetryBudgets", "UpstreamHealth", "UpstreamLimits"]


class UpstreamLimits:
    """The concurrency limit of each upstream host.

    Parameters
    ----------
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._lock = threading.Lock()
        self._limit_by_host_id = {}

    def allows(self, host_id, in_flight, priority):
        """Return whether one more request of a priority fits at a host."""
        return self._limit(host_id).allows(in_flight, priority)

    def capacity(self, host_ids, priority):
        """Return how many requests fit at all of the given hosts together."""
        return sum(
            int(self._limit(host_id).limit_for(priority)) for host_id in host_ids
        )

    def record_answer(self, job, host_id, first_byte, in_flight_by_host_id):
        """Update a host's limit from the time to the first byte of an answer.

        An unstreamed chat answer starts only when it is complete, so its first byte
        says nothing about load; it is ignored.
        """
        if job.chat is not None and not job.streamed:
            return
        in_flight = in_flight_by_host_id.get(host_id, 0)
        with self._lock:
            limit = self._limit(host_id).after_answer(first_byte, in_flight)
            self._limit_by_host_id[host_id] = limit

    def record_refusal(self, host_id):
        """Update a host's limit after a refusal for load."""
        with self._lock:
            self._limit_by_host_id[host_id] = self._limit(host_id).after_refusal()
        self._metrics.count("upstream_refusals")

    def _limit(self, host_id):
        return self._limit_by_host_id.get(host_id) or concurrency.ConcurrencyLimit()


class UpstreamHealth:
    """The cooldown of each upstream host after failed attempts.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._cooldown_by_host_id = {}

    def record_failure(self, host_id):
        """Extend a host's cooldown after a failed attempt."""
        now = self._clock.monotonic()
        with self._lock:
            cooldown = self._cooldown_by_host_id.get(
                host_id, upstream_cooldown.Cooldown()
            )
            self._cooldown_by_host_id[host_id] = cooldown.after_failure(now)

    def record_answer(self, host_id):
        """End a host's cooldown after an answer has started."""
        with self._lock:
            self._cooldown_by_host_id.pop(host_id, None)

    def prefer(self, hosts):
        """Return the hosts that are not cooling down, or all when all are."""
        now = self._clock.monotonic()
        with self._lock:
            cooling_down = {
                host_id
                for host_id, cooldown in self._cooldown_by_host_id.items()
                if cooldown.is_active(now)
            }
        return [host for host in hosts if host.host_id not in cooling_down] or hosts


class RetryBudgets:
    """The retry budget of each route.

    Parameters
    ----------
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._lock = threading.Lock()
        self._budget_by_route = {}

    def record_request(self, route_name):
        """Credit a route's budget for a first attempt."""
        with self._lock:
            self._budget_by_route[route_name] = self._budget(route_name).earn()

    def spend(self, route_name):
        """Spend one retry; returns whether the budget allowed it."""
        with self._lock:
            budget = self._budget(route_name)
            if budget.allows():
                self._budget_by_route[route_name] = budget.spend()
                self._metrics.count("retries", route=route_name)
                return True
        self._metrics.count("retries_refused", route=route_name)
        return False

    def _budget(self, route_name):
        return self._budget_by_route.get(route_name) or retries.RetryBudget()
