"""Orders the upstream hosts that the load requires."""

import collections
import datetime

import logbook

from peridothitch import errors
from peridothitch.gateway.forwarding import fleet_record
from peridothitch.policy import capacity_plan
from peridothitch.ports import upstream

__all__ = ["CapacityDuty"]

_REPEAT_PERIOD = datetime.timedelta(seconds=4)
"""Orders are repeated so that reclaimed hosts are replaced."""

_REFUSED_PERIOD = datetime.timedelta(seconds=1.5)
_SOLD_OUT_TIME = datetime.timedelta(seconds=4)
"""How long an offer counts as sold out after a refusal; covers the next retries."""

_RECLAIM_WAVE_TIME = datetime.timedelta(seconds=8)
"""Time after a reclaim in which the next data centre is likely to be affected."""

_MAX_CHECK_AGE = datetime.timedelta(milliseconds=100)
"""Age of the look for new moves in the store up to which hosts are ordered."""

_log = logbook.Logger(__name__)


class CapacityDuty:
    """Sends orders while this host holds the duties.

    Parameters
    ----------
    client : peridothitch.ports.duties.PlatformDuties
    fenced_lease : peridothitch.coordination.lease.FencedLease
    reports : peridothitch.gateway.forwarding.fleet_reports.FleetReports
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    leases : peridothitch.coordination.mirror.Mirror
        Contains the fleet record, whose load is used until the current one is known.
    version_moves : peridothitch.gateway.forwarding.version_moves.VersionMoves
    settings : peridothitch.ports.entry_settings.EntryHostSettings
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    is_limited : callable
        Returns whether a `peridothitch.ports.upstream.Host` limits its requests.
    evacuated : callable
        Returns the names of the data centres whose hosts are no capacity now.
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels or None
    """

    def __init__(
        self,
        client,
        fenced_lease,
        reports,
        catalogue,
        leases,
        version_moves,
        settings,
        clock,
        metrics,
        is_limited,
        evacuated=frozenset,
        models=None,
    ):
        self._client = client
        self._models = models
        self._is_limited = is_limited
        self._evacuated = evacuated
        self._lease = fenced_lease
        self._reports = reports
        self._catalogue = catalogue
        self._leases = leases
        self._moves = version_moves
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._due_by_order = {}
        self._sold_out_until = {}
        self._load_by_service = {}
        self._reclaimable_by_service = {}
        self._last_loss_by_service = {}
        self._fencing_number = 0
        self._has_load = False

    def step(self, permit):
        """Send the orders that are due."""
        if permit.fencing_number != self._fencing_number:
            self._fencing_number = permit.fencing_number
            self._due_by_order.clear()
            self._load_record()
        table = self._catalogue.table
        if table is None or not self._catalogue.is_loaded:
            return
        busy_by_service = self._reports.busy_by_service()
        scaled = [s for s in table.service_by_name.values() if s.scaling is not None]
        for service in scaled:
            busy = busy_by_service.get(service.name, 0.0)
            if not busy and not self._has_load:
                busy = self._expected_load(table) / len(scaled)
            self._has_load |= bool(busy_by_service)
            self._order_hosts(service, self._smooth_load(service.name, busy))

    def _expected_load(self, table):
        quota_by_name = {
            customer.name: customer.quota
            for customer in table.customer_by_key.values()
            if customer.quota is not None
        }
        return capacity_plan.expected_load(
            quota_by_name.values(), len(self._settings.region_by_data_centre)
        )

    def _load_record(self):
        """Start from the load that the former holder recorded.

        A new holder has not yet received the reports of all hosts.
        """
        now = self._clock.monotonic()
        recorded = fleet_record.read_record(self._leases).busy_by_service
        self._has_load |= bool(recorded)
        for service, busy in recorded.items():
            self._load_by_service[service] = self._smooth_load(service, busy), now

    def _smooth_load(self, service, busy):
        now = self._clock.monotonic()
        before, at = self._load_by_service.get(service, (0.0, now))
        elapsed_seconds = (now - at).total_seconds()
        smoothed = capacity_plan.smoothed_load(before, busy, elapsed_seconds)
        self._load_by_service[service] = smoothed, now
        return round(smoothed, 2)

    def _order_hosts(self, service, busy):
        # Hosts in evacuated data centres are left as they are until the return.
        evacuated = self._evacuated()
        data_centres = sorted(set(self._settings.region_by_data_centre) - evacuated)
        if not data_centres:
            return
        supply = self._supply(service.name)
        wanted = capacity_plan.plan(
            busy,
            service.scaling,
            data_centres,
            supply,
            **self._utilization(service.name),
        )
        orders = [
            order
            for data_centre in data_centres
            for order in capacity_plan.next_orders(service, data_centre, wanted, supply)
        ]
        due_orders = [
            (order, present)
            for order in orders
            if self._is_due(order, present := _count_present(order, supply))
        ]
        checked_at = None
        for order, present in due_orders:
            now = self._clock.monotonic()
            # The platform starts a new version's hosts when a move is ordered.
            if checked_at is None or now - checked_at >= _MAX_CHECK_AGE:
                if self._moves.has_unknown_orders():
                    return
                checked_at = self._clock.monotonic()
            self._order(order, present, busy)

    def _utilization(self, service):
        """Return the argument of a plan for a service whose speed is known."""
        waits = self._models.waits(service) if self._models is not None else None
        if waits is None:
            return {}
        objectives = [
            route.latency_objective.total_seconds()
            for route in self._catalogue.table.routes
            if any(share.service == service for share in route.shares)
        ]
        if not objectives:
            return {}
        utilization = capacity_plan.target_utilization(min(objectives), *waits)
        self._metrics.set("target_utilization", utilization, service=service)
        return {"target_utilization": utilization}

    def _is_due(self, order, present):
        now = self._clock.monotonic()
        count, due = self._due_by_order.get(_order_key(order), (None, now))
        return count != order.count or (present != order.count and now >= due)

    def _supply(self, service):
        versions = self._moves.versions_for_capacity(service)
        live, unused = collections.Counter(), collections.Counter()
        for host in self._catalogue.hosts().values():
            if host.service != service or host.state is not upstream.HostState.LIVE:
                continue
            is_proved = versions is None or host.version in versions
            counter = live if is_proved and not self._is_limited(host) else unused
            counter[host.data_centre, host.reclaimable] += 1
        now = self._clock.monotonic()
        reclaimable = sum(
            count for (_, is_reclaimable), count in live.items() if is_reclaimable
        )
        if reclaimable < self._reclaimable_by_service.get(service, 0):
            self._last_loss_by_service[service] = now
        self._reclaimable_by_service[service] = reclaimable
        last_loss = self._last_loss_by_service.get(service)
        sold_out = frozenset(
            data_centre
            for (name, data_centre), until in self._sold_out_until.items()
            if name == service and now < until
        )
        return capacity_plan.Supply(
            live=live,
            unused=unused,
            is_moving=self._moves.is_open(service),
            sold_out=sold_out,
            is_reclaim_wave=last_loss is not None
            and now - last_loss < _RECLAIM_WAVE_TIME,
        )

    def _order(self, order, present, busy):
        now = self._clock.monotonic()
        order_key = _order_key(order)
        permit = self._lease.permit()
        try:
            answer = self._client.order_capacity(order, permit.fencing_number)
        except errors.CloudError:
            self._due_by_order[order_key] = order.count, now + _REFUSED_PERIOD
            raise
        if answer.superseded:
            self._lease.abandon()
            raise errors.LeaseError(
                "a capacity order was refused because of its fencing number"
            )
        period = _REPEAT_PERIOD if answer.accepted else _REFUSED_PERIOD
        self._due_by_order[order_key] = order.count, now + period
        if order.reclaimable:
            offer = order.service, order.data_centre
            until = now if answer.accepted else now + _SOLD_OUT_TIME
            self._sold_out_until[offer] = until
        self._metrics.count("capacity_orders", accepted=int(answer.accepted))
        _log.info(
            "hosts ordered",
            service=order.service,
            data_centre=order.data_centre,
            count=order.count,
            present=present,
            busy_hosts=busy,
            reclaimable=order.reclaimable,
            fencing_number=permit.fencing_number,
            accepted=answer.accepted,
            detail=answer.detail,
        )


def _order_key(order):
    return order.service, order.data_centre, order.reclaimable


def _count_present(order, supply):
    place = order.data_centre, order.reclaimable
    return supply.live[place] + supply.unused[place]
