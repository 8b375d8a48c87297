"""Starts and stops upstream hosts while this entry host holds the lease.

Each step reads the records of the store and the list of the cloud and corrects what
differs from the plan. It may be interrupted anywhere: the next step, here or at the
next holder, resumes from the records.
"""

import collections
import dataclasses
import datetime
import math

import logbook

from peridothitch import errors
from peridothitch.coordination import host_orders
from peridothitch.policy import fleet_size, load_forecast
from peridothitch.ports import cloud

__all__ = ["HostProvisioner", "ServiceNeed"]

_STEP_INTERVAL = datetime.timedelta(seconds=5)
_REFUSAL_BACKOFF = datetime.timedelta(minutes=2)
_MAX_MISSING_TIME = datetime.timedelta(seconds=30)
_MAX_ORDERS_PER_STEP = 16
_log = logbook.Logger("peridothitch.provisioning")

State = host_orders.SlotState


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceNeed:
    """What one service needs now.

    Attributes
    ----------
    service, version : str
    streams : float
        Streams in progress over all its hosts.
    streams_per_host : float
        Streams that a host carries within the latency target.
    limits : peridothitch.policy.fleet_size.FleetLimits
    lead : datetime.timedelta
        Time from an order until its host serves.
    """

    service: str
    version: str
    streams: float
    streams_per_host: float
    limits: fleet_size.FleetLimits = fleet_size.FleetLimits()
    lead: datetime.timedelta = datetime.timedelta(minutes=4)


class HostProvisioner:
    """Starts and stops hosts so that each service has those that the plan requires.

    Parameters
    ----------
    orders : peridothitch.coordination.host_orders.HostOrders
    cloud_api : peridothitch.ports.cloud.Cloud
    lease : peridothitch.coordination.lease.FencedLease
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    needs : callable
        Returns an iterable of the current `ServiceNeed`.
    """

    def __init__(self, orders, cloud_api, lease, clock, metrics, needs):
        self._orders = orders
        self._cloud = cloud_api
        self._lease = lease
        self._clock = clock
        self._metrics = metrics
        self._needs = needs
        self._forecast_by_service = {}

    def run(self, stop):
        """Step until the event `stop` is set."""
        while not self._clock.wait(stop, _STEP_INTERVAL):
            self.step()

    run.__qualname__ = "HostKeeper.run"  # value of the metric label "loop"

    def step(self):
        """Observe the load; if the lease is held, correct the hosts once."""
        needs = list(self._needs())
        now = self._clock.monotonic().total_seconds()
        for need in needs:
            forecast = self._forecast_by_service.setdefault(
                need.service, load_forecast.LoadForecast()
            )
            forecast.observe(need.streams, now)
        if not self._lease.is_held():
            return
        try:
            machine_by_order_id = self._cloud.machines()
            slot_by_key = self._reconcile(self._orders.read(), machine_by_order_id)
            offers = self._cloud.offers()
            for need in needs:
                self._apply_plan(need, offers, slot_by_key, machine_by_order_id)
        except errors.CodedError as error:
            # The records are unchanged; the next step reads them again.
            self._metrics.count("provisioning_failures", code=int(error.code))

    def _reconcile(self, slot_by_key, machine_by_order_id):
        """Update slots to what the cloud lists; returns those that remain."""
        remaining = {}
        for key, slot in slot_by_key.items():
            machine = machine_by_order_id.get(slot.order.order_id)
            updated = self._update_slot(slot, machine)
            if updated is not None:
                remaining[key] = updated
        self._stop_orphans(slot_by_key, machine_by_order_id)
        return remaining

    def _update_slot(self, slot, machine):
        age = self._clock.now() - slot.changed
        if machine is not None:
            if slot.state is State.RELEASED:
                self._stop(machine)
                return slot
            if slot.state is not State.SEEN:
                return self._set_state(slot, State.SEEN)
            return slot
        if slot.state is State.ORDERED:
            return self._start_host(slot)
        if slot.state is State.REFUSED and age < _REFUSAL_BACKOFF:
            return slot
        if slot.state is State.SEEN:
            # A gap in the list must not lead to the loss of a host that serves.
            return self._set_state(slot, State.MISSING)
        if slot.state is State.MISSING and age < _MAX_MISSING_TIME:
            return slot
        self._orders.free(slot)
        return None

    def _stop_orphans(self, slot_by_key, machine_by_order_id):
        recorded_ids = {slot.order.order_id for slot in slot_by_key.values()}
        for order_id, machine in machine_by_order_id.items():
            if order_id in recorded_ids or machine.state is cloud.MachineState.LEAVING:
                continue
            self._metrics.count("hosts_without_order")
            self._stop(machine)

    def _start_host(self, slot):
        """Start the host of an order; repeated calls use the same order id."""
        permit = self._lease.permit()
        try:
            self._cloud.start(slot.order, permit.fencing_number)
        except errors.CloudError as error:
            if error.code is not errors.Code.START_REFUSED:
                raise
            self._metrics.count("host_starts_refused", offer=slot.order.offer.name)
            return self._set_state(slot, State.REFUSED)
        self._metrics.count("host_starts", offer=slot.order.offer.name)
        return slot

    def _set_state(self, slot, state):
        updated = self._orders.set_state(slot, state)
        if updated is None:
            raise errors.LeaseError(f"{slot.key} was changed by another holder")
        return updated

    def _stop(self, machine):
        if machine.state is cloud.MachineState.LEAVING:
            return
        permit = self._lease.permit()
        self._cloud.stop(machine.host_id, permit.fencing_number)
        self._metrics.count("host_stops", offer=machine.order.offer.name)

    def _apply_plan(self, need, offers, slot_by_key, machine_by_order_id):
        slots = [
            slot for slot in slot_by_key.values() if slot.order.service == need.service
        ]
        retained = [slot for slot in slots if _is_retained(slot, machine_by_order_id)]
        needed = self._hosts_needed(need)
        refused = {
            slot.order.offer.name for slot in slots if slot.state is State.REFUSED
        }
        count_by_name = collections.Counter(slot.order.offer.name for slot in retained)
        most_by_name = {name: count_by_name[name] for name in refused}
        plan = fleet_size.plan_fleet(needed, offers, need.limits, most_by_name)
        self._metrics.set("hosts_needed", needed, service=need.service)
        self._metrics.set("hosts_short", plan.shortfall, service=need.service)
        self._start_missing(need, plan, count_by_name, slot_by_key, len(retained))
        self._release_surplus(need, needed, plan, retained, machine_by_order_id)

    def _hosts_needed(self, need):
        forecast = self._forecast_by_service[need.service]
        streams = forecast.at(need.lead.total_seconds())
        return math.ceil(streams / need.streams_per_host)

    def _start_missing(self, need, plan, count_by_name, slot_by_key, running):
        remaining_orders = min(need.limits.most_hosts - running, _MAX_ORDERS_PER_STEP)
        for offer, count in plan.count_by_offer.items():
            missing = max(0, count - count_by_name[offer.name])
            for _ in range(min(missing, max(0, remaining_orders))):
                remaining_orders -= 1
                self._lease.permit()
                slot = self._orders.order(
                    need.service, need.version, offer, slot_by_key
                )
                if slot is None:
                    raise errors.LeaseError("another holder ordered a host")
                slot_by_key[slot.key] = slot
                slot_by_key[slot.key] = self._start_host(slot)

    def _release_surplus(self, need, needed, plan, retained, machine_by_order_id):
        """Release one host per step, only if the rest survives a lost data centre."""
        planned_by_name = {
            offer.name: count for offer, count in plan.count_by_offer.items()
        }
        count_by_name = collections.Counter(slot.order.offer.name for slot in retained)
        min_hosts = max(needed, need.limits.least_hosts)
        most_expensive_first = sorted(
            retained, key=lambda slot: -slot.order.offer.price_per_hour
        )
        for slot in most_expensive_first:
            name = slot.order.offer.name
            if count_by_name[name] <= planned_by_name.get(name, 0):
                continue
            others = [
                machine_by_order_id[other.order.order_id]
                for other in retained
                if other is not slot and other.order.order_id in machine_by_order_id
            ]
            if not fleet_size.survives_loss(others, min_hosts):
                continue
            machine = machine_by_order_id.get(slot.order.order_id)
            if machine is None:
                continue
            self._set_state(slot, State.RELEASED)
            self._stop(machine)
            _log.info("released host {} of service {}", machine.host_id, need.service)
            return


def _is_retained(slot, machine_by_order_id):
    if slot.state in (State.REFUSED, State.RELEASED):
        return False
    machine = machine_by_order_id.get(slot.order.order_id)
    return machine is None or machine.state is not cloud.MachineState.LEAVING
