"""Steps for the orders of upstream hosts."""

import collections
import datetime
import types

import behave
import msgspec
import quota_fleet
import virtual_clock

from peridothitch.adapters import metrics
from peridothitch.coordination import lease
from peridothitch.gateway.forwarding import capacity_duty, fleet_record
from peridothitch.policy import placement
from peridothitch.ports import duties, forwarding, store, upstream

_SERVICE = "model"
_HOSTS_PER_DATA_CENTRE = 8
_CUSTOMER_COUNT = 16
_MINIMUM_PER_DATA_CENTRE = 3
_TARGET_UTILIZATION = 0.6
_SECOND = datetime.timedelta(seconds=1)


class _Platform(duties.PlatformDuties):
    """Starts and stops hosts as ordered, immediately."""

    def __init__(self):
        self.count_by_place = collections.Counter()
        self.orders = []

    def report_usage(self, report, fencing_number):
        raise NotImplementedError

    def order_capacity(self, order, fencing_number):
        self.orders.append(order)
        self.count_by_place[order.data_centre, order.reclaimable] = order.count
        return duties.DutyAnswer(True)

    def hosts(self):
        """Return the hosts by id."""
        host_by_id = {}
        for (data_centre, reclaimable), count in self.count_by_place.items():
            for number in range(count):
                host_id = f"{data_centre}-{reclaimable}-{number}"
                host_by_id[host_id] = upstream.Host(
                    host_id=host_id,
                    address="127.0.0.1:1",
                    service=_SERVICE,
                    version="v1",
                    data_centre=data_centre,
                    reclaimable=reclaimable,
                    slots=12,
                )
        return host_by_id


@behave.given(
    "a fleet that keeps {busy:d} upstream hosts busy in {count:d} data centres"
)
def start(context, busy, count):
    start_with(context, count, {_SERVICE: float(busy)}, _HOSTS_PER_DATA_CENTRE, {})


@behave.given(
    "a fleet of {count:d} data centres whose customers may use {millions:d} million "
    "tokens a second"
)
def start_unused(context, count, millions):
    quota = forwarding.Quota(
        rate=millions * 1e6 / _CUSTOMER_COUNT, burst=0.0, counts_tokens=True
    )
    customer_by_key = {
        f"key-{number}": forwarding.Customer(name=f"customer-{number}", quota=quota)
        for number in range(_CUSTOMER_COUNT)
    }
    start_with(context, count, {}, 1, customer_by_key)


def start_with(context, count, busy_by_service, hosts_each, customer_by_key):
    """Make the duty of a lease holder that has just taken over."""
    context.clock = virtual_clock.VirtualClock()
    context.platform = _Platform()
    data_centres = [f"dc-{number}" for number in range(count)]
    for data_centre in data_centres:
        context.platform.count_by_place[data_centre, True] = hosts_each
    service = forwarding.Service(
        name=_SERVICE,
        scaling=forwarding.Scaling(
            minimum=1,
            maximum=30,
            start_time=4 * _SECOND,
            reclaimable_price=0.22,
            price_by_data_centre={},
        ),
    )
    record = fleet_record.FleetRecord(host_count=73, busy_by_service=busy_by_service)
    item = store.KeyValue(
        key="fleet",
        value=msgspec.json.encode(record),
        create_revision=1,
        mod_revision=1,
        version=0,
    )
    context.busy = {}
    context.duty = capacity_duty.CapacityDuty(
        context.platform,
        types.SimpleNamespace(permit=lambda: lease.Permit(7, datetime.timedelta.max)),
        types.SimpleNamespace(busy_by_service=lambda: context.busy),
        types.SimpleNamespace(
            table=types.SimpleNamespace(
                service_by_name={_SERVICE: service}, customer_by_key=customer_by_key
            ),
            is_loaded=True,
            hosts=context.platform.hosts,
        ),
        types.SimpleNamespace(items=lambda: {lease.PREFIX + "fleet": item}),
        types.SimpleNamespace(
            region_by_data_centre=dict.fromkeys(data_centres, "region"),
            bounds=quota_fleet.BOUNDS,
        ),
        context.clock,
        metrics.Metrics(),
    )


def _run(context, seconds):
    for _ in range(seconds):
        context.duty.step(lease.Permit(7, datetime.timedelta.max))
        context.clock.advance(_SECOND)


@behave.when(
    "another host takes over the duties and has reports of only {busy:d} "
    "busy hosts so far"
)
def take_over(context, busy):
    context.busy = {_SERVICE: float(busy)}
    _run(context, 2)


@behave.then("it orders no fewer hosts than there were")
def check_kept(context):
    counts = [order.count for order in context.platform.orders if order.reclaimable]
    assert min(counts) >= _HOSTS_PER_DATA_CENTRE, counts


@behave.when("the load stays that low for {seconds:d} seconds")
def stay_low(context, seconds):
    _run(context, seconds)


@behave.then("it orders fewer hosts")
def check_fewer(context):
    assert context.platform.orders[-1].count < _HOSTS_PER_DATA_CENTRE, (
        context.platform.orders[-1]
    )


@behave.when("no request has arrived for {seconds:d} seconds")
def wait_idle(context, seconds):
    _run(context, seconds)


@behave.then("as many hosts as serve {millions:g} million tokens a second are ordered")
def check_expected(context, millions):
    counts = context.platform.count_by_place
    needed = millions * 1e6 / placement.TOKENS_PER_SECOND / _TARGET_UTILIZATION
    assert sum(counts.values()) >= needed, counts


@behave.when("requests keep {busy:d} hosts busy for {seconds:d} seconds")
def keep_busy(context, busy, seconds):
    context.busy = {_SERVICE: float(busy)}
    _run(context, seconds)


@behave.then("it orders the minimum number of hosts")
def check_fewest(context):
    last = context.platform.orders[-1]
    assert last.count == _MINIMUM_PER_DATA_CENTRE, last
