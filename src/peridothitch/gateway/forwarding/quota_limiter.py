"""Enforces customers' quotas over all entry hosts."""

import datetime
import random
import threading

from peridothitch import errors
from peridothitch.policy import quota_shares, token_quota

__all__ = ["QuotaLimiter"]

_MAX_RETRY_AFTER = datetime.timedelta(seconds=5)
_MAX_VIEW_AGE = datetime.timedelta(seconds=1.6)
"""Oldest view that counts as current.

Covers the report interval of 1 s, the timeout of a report, 0.5 s, and 0.1 s more.
"""

_SETTLED_AGE_SECONDS = 3.0
"""Age of a view from which its total demand covers all hosts."""

_EXPIRED_SHARE_FACTOR = 0.25
"""Part of an even share that a host may use once its grant has expired.

Other hosts may have been granted its share by then.
"""


class QuotaLimiter:
    """Meters and limits the use of all customers at this host.

    Parameters
    ----------
    bounds : peridothitch.ports.entry_settings.OperatingBounds
    host_count : callable
        Returns the number of entry hosts believed live.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    bounds : peridothitch.ports.entry_settings.OperatingBounds
        May be replaced at any time.
    """

    def __init__(self, bounds, host_count, clock, metrics):
        self.bounds = bounds
        self._host_count = host_count
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._meter_by_name = {}
        self._fleet_limit_by_name = {}
        self._share_by_name = {}
        self._random = random.Random()
        self._started_at = clock.monotonic()
        self._granted_at = None
        self._total_demand_by_name = None
        self._is_corrected_from_demand = False
        self._recorded_part_by_name = None

    def update_table(self, table):
        """Create the meters for a `peridothitch.ports.forwarding.RoutingTable`.

        The use that a former process on this host admitted is not known, so a new
        meter assumes that it used the host's whole share. A meter that is created
        before the first request has already expired some of this use by then.
        """
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            for customer in table.customer_by_key.values():
                if customer.quota is not None:
                    self._updated_meter(customer, now)

    def apply_record(self, record):
        """Apply the first fleet record that is read from the store; ignore later ones.

        Parameters
        ----------
        record : peridothitch.gateway.forwarding.fleet_record.FleetRecord
        """
        with self._lock:
            if self._recorded_part_by_name is None:
                self._recorded_part_by_name = dict(record.part_by_customer)
                for name, meter in self._meter_by_name.items():
                    self._correct_from_record(name, meter)

    def _correct_from_record(self, name, meter):
        """Set the assumed former use of a customer to what the record contains."""
        if self._recorded_part_by_name is None:
            return
        meter.scale_assumed_use(min(1.0, self._recorded_part_by_name.get(name, 0.0)))

    def reserve(self, customer, tokens):
        """Reserve the units that a request requires.

        Parameters
        ----------
        customer : peridothitch.ports.forwarding.Customer
        tokens : int
            Tokens that the request declares, 0 if none.

        Returns
        -------
        float
            Units reserved; to be released if the request does not run.

        Raises
        ------
        peridothitch.errors.RequestError
            The request does not fit into the quota; the code is QUOTA_REACHED.
        """
        quota = customer.quota
        if quota is None:
            return 0.0
        units = 1.0
        if quota.counts_tokens:
            units = float(tokens or quota.default_tokens)
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            meter = self._updated_meter(customer, now)
            if meter.admit(units, now, self._relaxed_limit(customer, now)):
                return units
            wait = datetime.timedelta(seconds=meter.wait_seconds(units, now))
        self._metrics.count("quota_refusals", customer=customer.name)
        raise errors.RequestError(
            errors.Code.QUOTA_REACHED,
            f"customer {customer.name} may use {quota.rate:.0f} a second; here "
            f"{meter.limit:.0f} in a span, asked for {meter.demand(now):.0f} a second, "
            f"wanted {units:.0f}",
            retry_after=min(wait, _MAX_RETRY_AFTER),
        )

    def _relaxed_limit(self, customer, now):
        if self._total_demand_by_name is None:
            return self._recorded_limit(customer)
        if self._clock.monotonic() - self._granted_at > _MAX_VIEW_AGE:
            # A disconnected host does not see demand rise elsewhere.
            return 0.0
        name, host_count = customer.name, self._host_count()
        total = self._total_demand_by_name.get(name, 0.0)
        demand = self._meter_by_name[name].demand(now)
        share = token_quota.share_of(demand, total, host_count)
        return token_quota.relaxed_limit(
            total,
            customer.quota,
            self._fleet_limit_by_name[name],
            max(share, self._share(name)),
            host_count,
        )

    def _recorded_limit(self, customer):
        age = self._clock.monotonic() - self._started_at
        if self._recorded_part_by_name is None or age > self.bounds.quota_window:
            return 0.0
        return token_quota.recorded_limit(
            self._recorded_part_by_name.get(customer.name, 0.0),
            self._fleet_limit_by_name[customer.name],
            self._share(customer.name),
            self._host_count(),
        )

    def release(self, customer, units):
        """Release the units of a request that did not run."""
        with self._lock:
            meter = self._meter_by_name.get(customer.name)
            if meter is not None and units:
                meter.refund(units)

    def demand(self):
        """Return the demand at this host in units per second, by customer."""
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            demands = {
                name: round(meter.demand(now), 1)
                for name, meter in self._meter_by_name.items()
            }
        return {name: demand for name, demand in demands.items() if demand >= 1.0}

    def sizes(self):
        """Return the mean units of a request at this host, by customer."""
        with self._lock:
            return {
                name: round(meter.mean_units, 1)
                for name, meter in self._meter_by_name.items()
                if meter.mean_units
            }

    def shares(self):
        """Return the shares that this host uses, by customer."""
        with self._lock:
            return dict(self._share_by_name)

    def used(self):
        """Return the shares of whole quotas used in the last window, by customer."""
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            return {
                name: round(meter.used(now) / self._fleet_limit_by_name[name], 4)
                for name, meter in self._meter_by_name.items()
            }

    def apply_view(self, view):
        """Apply a `peridothitch.gateway.forwarding.fleet_reports.FleetView`."""
        with self._lock:
            self._share_by_name = dict(view.share_by_customer)
            self._granted_at = self._clock.monotonic()
            if view.age_seconds >= _SETTLED_AGE_SECONDS:
                self._total_demand_by_name = dict(view.demand_by_customer)
            # A holder that has just started has not received all of the demand yet.
            window = self.bounds.quota_window.total_seconds()
            if view.age_seconds >= window and not self._is_corrected_from_demand:
                self._is_corrected_from_demand = True
                self._correct_from_demand(view.demand_by_customer)

    def _correct_from_demand(self, demand_by_customer):
        window = self.bounds.quota_window.total_seconds()
        host_count = self._host_count()
        for name, meter in self._meter_by_name.items():
            used_units = demand_by_customer.get(name, 0.0) * window / host_count
            meter.scale_assumed_use(used_units / meter.limit if meter.limit else 1.0)

    def _share(self, name):
        even = 1.0 / self._host_count()
        share = self._share_by_name.get(name, even)
        if self._granted_at is None:
            return share
        age = self._clock.monotonic() - self._granted_at
        if age > quota_shares.GRANT_LIFETIME:
            return min(share, _EXPIRED_SHARE_FACTOR * even)
        return share

    def _updated_meter(self, customer, now):
        fleet_limit = token_quota.window_limit(customer.quota, self.bounds)
        self._fleet_limit_by_name[customer.name] = fleet_limit
        limit = self._share(customer.name) * fleet_limit
        meter = self._meter_by_name.get(customer.name)
        if meter is None:
            window = self.bounds.quota_window.total_seconds()
            meter = token_quota.CustomerMeter(window, limit, now, self._random)
            self._meter_by_name[customer.name] = meter
            self._correct_from_record(customer.name, meter)
        meter.limit = limit
        return meter
