"""Enforces customers' quotas over all entry hosts.

Each host admits requests against its own shares of the quotas. What does not fit it
asks other hosts for: they count it against theirs. The sum over all hosts therefore
stays within the quota whether the hosts reach each other or not.
"""

import dataclasses
import datetime
import random
import threading

from peridothitch import errors
from peridothitch.gateway.forwarding import quota_loans
from peridothitch.policy import quota_owners, quota_shares, token_quota

__all__ = ["QuotaLimiter", "Reservation"]

_MAX_RETRY_AFTER = datetime.timedelta(seconds=5)
_EXHAUSTING_DEMAND_FACTOR = 1.3
"""Demand, as a multiple of the permitted use, at which no share has anything left."""

_ASSUMED_TOKENS = 4000.0
"""Tokens of a request until some requests of a customer have been measured."""


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Units of a customer's quota that a request may use.

    Attributes
    ----------
    units : float
    lender_id : str
        Host whose share covers them; empty for this host.
    """

    units: float
    lender_id: str = ""


class QuotaLimiter:
    """Meters and limits the use of all customers at this host.

    Parameters
    ----------
    bounds : peridothitch.ports.entry_settings.OperatingBounds
    host_count : callable
        Returns the number of entry hosts believed live.
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None

    Attributes
    ----------
    bounds : peridothitch.ports.entry_settings.OperatingBounds
        May be replaced at any time.
    """

    def __init__(self, bounds, host_count, peers, clock, metrics, random_source=None):
        self.bounds = bounds
        self._host_count = host_count
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._customer_by_name = {}
        self._meter_by_name = {}
        self._fleet_limit_by_name = {}
        self._share_by_name = {}
        self._lenders_by_name = {}
        self._lenders_digest = 0
        self._random = random_source or random.Random()
        self._started_at = clock.monotonic()
        self._granted_at = None
        self._is_settled = False
        self._total_demand_by_name = {}
        self._is_corrected_from_demand = False
        self._recorded_part_by_name = None
        self._loans = quota_loans.Loans(peers, self._lend, clock, metrics)

    def update_table(self, table):
        """Create the meters for a `peridothitch.ports.forwarding.RoutingTable`.

        The use that a former process on this host admitted is not known, so a new
        meter assumes that it used the host's whole share. A meter that is created
        before the first request has already expired some of this use by then.
        """
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            self._customer_by_name = {
                customer.name: customer
                for customer in table.customer_by_key.values()
                if customer.quota is not None
            }
            for customer in self._customer_by_name.values():
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
        Reservation
            To be released if the request does not run.

        Raises
        ------
        peridothitch.errors.RequestError
            The request does not fit into the quota; the code is QUOTA_REACHED.
        """
        quota = customer.quota
        if quota is None:
            return Reservation(0.0)
        units = 1.0
        if quota.counts_tokens:
            units = float(tokens or quota.default_tokens)
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            meter = self._updated_meter(customer, now)
            owns_share = bool(meter.limit)
            recorded_limit = self._recorded_limit(customer)
            may_admit = owns_share or recorded_limit
            if may_admit and meter.admit(units, now, recorded_limit):
                return Reservation(units)
            wait_seconds = meter.wait_seconds(units, now)
            lender_ids = self._find_lenders(customer, owns_share)
        request = quota_loans.LoanRequest(customer.name, units, not owns_share)
        for lender_id, reply in self._loans.ask(lender_ids, request):
            if reply.is_lent:
                return Reservation(units, lender_id)
            wait_seconds = min(wait_seconds, reply.wait_seconds)
        wait = datetime.timedelta(seconds=wait_seconds)
        self._metrics.count("quota_refusals", customer=customer.name)
        raise errors.RequestError(
            errors.Code.QUOTA_REACHED,
            f"customer {customer.name} may use {quota.rate:.0f} a second; here "
            f"{meter.limit:.0f} in a span, asked for {meter.demand(now):.0f} a second, "
            f"wanted {units:.0f}",
            retry_after=min(wait, _MAX_RETRY_AFTER),
        )

    def _find_lenders(self, customer, owns_share):
        """Return the hosts to ask for a request that this host can't admit."""
        lender_ids = self._lenders_by_name.get(customer.name, ())
        if not self._is_settled:
            lender_ids = (*lender_ids, *self._draw_lenders())
        total_demand = self._total_demand_by_name.get(customer.name, 0.0)
        window = self.bounds.quota_window.total_seconds()
        permitted = self._fleet_limit_by_name[customer.name] / window
        if total_demand >= _EXHAUSTING_DEMAND_FACTOR * permitted:
            # The other shares are used up as well.
            lender_ids = () if owns_share else lender_ids[:1]
        return lender_ids

    def _draw_lenders(self):
        """Return random hosts to ask while owners have not been granted shares."""
        own_id = self._peers.host_id
        others = [host_id for host_id in self._peers.members() if host_id != own_id]
        count = min(quota_owners.LENDER_COUNT, len(others))
        return tuple(self._random.sample(others, count))

    def _lend(self, request):
        """Return the reply to another host's request for a loan, None if it can't be.

        Parameters
        ----------
        request : peridothitch.gateway.forwarding.quota_loans.LoanRequest
        """
        now = self._clock.monotonic().total_seconds()
        units = request.units
        with self._lock:
            customer = self._customer_by_name.get(request.customer)
            if customer is None:
                return None
            meter = self._updated_meter(customer, now)
            if request.is_return:
                meter.refund(units)
                return quota_loans.LoanReply(True)
            recorded_limit = self._recorded_limit(customer)
            if meter.lend(units, now, request.adds_demand, recorded_limit):
                return quota_loans.LoanReply(True)
            return quota_loans.LoanReply(False, meter.wait_seconds(units, now))

    def _recorded_limit(self, customer):
        age = self._clock.monotonic() - self._started_at
        if (
            self._is_settled
            or self._recorded_part_by_name is None
            or age > self.bounds.quota_window
        ):
            return 0.0
        return token_quota.recorded_limit(
            self._recorded_part_by_name.get(customer.name, 0.0),
            self._fleet_limit_by_name[customer.name],
            self._share(customer.name),
        )

    def release(self, customer, reservation):
        """Release the units of a request that did not run."""
        if not reservation.units:
            return
        if reservation.lender_id:
            self._loans.give_back(
                reservation.lender_id, customer.name, reservation.units
            )
            return
        with self._lock:
            meter = self._meter_by_name.get(customer.name)
            if meter is not None:
                meter.refund(reservation.units)

    def close(self):
        """End the thread that returns loans."""
        self._loans.close()

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
            parts = {
                name: round(meter.used(now) / self._fleet_limit_by_name[name], 4)
                for name, meter in self._meter_by_name.items()
            }
        return {name: part for name, part in parts.items() if part}

    def terms(self):
        """Return a `peridothitch.policy.quota_shares.QuotaTerms` by customer."""
        with self._lock:
            return {
                name: quota_shares.QuotaTerms(
                    limit=self._fleet_limit_by_name[name],
                    assumed_units=_ASSUMED_TOKENS
                    if customer.quota.counts_tokens
                    else 1,
                )
                for name, customer in self._customer_by_name.items()
            }

    @property
    def lenders_digest(self):
        """Digest of the lenders that this host knows, 0 if it knows none."""
        return self._lenders_digest

    def apply_view(self, view):
        """Apply a `peridothitch.gateway.forwarding.fleet_messages.FleetView`."""
        with self._lock:
            self._share_by_name = dict(view.share_by_customer)
            self._granted_at = self._clock.monotonic()
            if view.lenders_by_customer is not None:
                self._lenders_by_name = dict(view.lenders_by_customer)
                self._lenders_digest = view.lenders_digest
            if view.age_seconds >= quota_shares.SETTLED_AGE.total_seconds():
                self._is_settled = True
                self._total_demand_by_name = dict(view.demand_by_customer)
            # A holder that has just started has not received all of the demand yet.
            window = self.bounds.quota_window.total_seconds()
            if view.age_seconds >= window and not self._is_corrected_from_demand:
                self._is_corrected_from_demand = True
                self._correct_from_demand(view.demand_by_customer)

    def _correct_from_demand(self, demand_by_customer):
        window = self.bounds.quota_window.total_seconds()
        for name, meter in self._meter_by_name.items():
            used_units = demand_by_customer.get(name, 0.0) * window
            meter.scale_assumed_use(used_units / self._fleet_limit_by_name[name])

    def _share(self, name):
        even = 1.0 / self._host_count()
        unknown = 0.0 if name in self._lenders_by_name else even
        share = self._share_by_name.get(name, unknown)
        if self._granted_at is None:
            return share
        age = self._clock.monotonic() - self._granted_at
        return quota_shares.usable_share(share, even, age)

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
        if self._is_owner(customer.name):
            meter.burst_part = token_quota.OWNER_BURST_PART
        return meter

    def _is_owner(self, name):
        return quota_shares.is_large(
            self._share_by_name.get(name, 0.0), 1.0 / self._host_count()
        )
