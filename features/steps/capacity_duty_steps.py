"""Steps for the orders of upstream hosts."""

import collections
import dataclasses
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
        self.maximum = 30
        self.count_by_place = collections.Counter()
        self.new_count_by_data_centre = collections.Counter()
        self.orders = []

    def report_usage(self, report, fencing_number):
        raise NotImplementedError

    def order_capacity(self, order, fencing_number):
        self.orders.append(order)
        data_centre = order.data_centre
        new_count = self.new_count_by_data_centre[data_centre]
        # An order counts the hosts of all versions; those of a move are on-demand.
        others = self.count_by_place[data_centre, not order.reclaimable]
        others += new_count if order.reclaimable else 0
        count = max(0, min(order.count, self.maximum - others))
        if not order.reclaimable:
            self.new_count_by_data_centre[data_centre] = min(new_count, count)
            count = max(0, count - new_count)
        self.count_by_place[data_centre, order.reclaimable] = count
        return duties.DutyAnswer(True)

    def hosts(self):
        """Return the hosts by id."""
        places = [
            ("v1", data_centre, reclaimable, count)
            for (data_centre, reclaimable), count in self.count_by_place.items()
        ]
        places += [
            ("v2", data_centre, False, count)
            for data_centre, count in self.new_count_by_data_centre.items()
        ]
        return {
            host.host_id: host
            for version, data_centre, reclaimable, count in places
            for host in (
                upstream.Host(
                    host_id=f"{version}-{data_centre}-{reclaimable}-{number}",
                    address="127.0.0.1:1",
                    service=_SERVICE,
                    version=version,
                    data_centre=data_centre,
                    reclaimable=reclaimable,
                    slots=12,
                )
                for number in range(count)
            )
        }


class _Moves:
    """The moves between versions as the duty sees them."""

    versions = None
    is_moving = False
    is_unknown = False

    def has_unknown_orders(self):
        return self.is_unknown

    def versions_for_capacity(self, service):
        return self.versions

    def is_open(self, service):
        return self.is_moving


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
    context.service = service
    context.service_by_name = {_SERVICE: service}
    context.busy = {}
    context.moves = _Moves()
    context.limited_host_ids = set()
    context.evacuated = frozenset()
    context.duty = capacity_duty.CapacityDuty(
        context.platform,
        types.SimpleNamespace(permit=lambda: lease.Permit(7, datetime.timedelta.max)),
        types.SimpleNamespace(busy_by_service=lambda: context.busy),
        types.SimpleNamespace(
            table=types.SimpleNamespace(
                service_by_name=context.service_by_name, customer_by_key=customer_by_key
            ),
            is_loaded=True,
            hosts=context.platform.hosts,
        ),
        types.SimpleNamespace(items=lambda: {lease.PREFIX + "fleet": item}),
        context.moves,
        types.SimpleNamespace(
            region_by_data_centre=dict.fromkeys(data_centres, "region"),
            bounds=quota_fleet.BOUNDS,
        ),
        context.clock,
        metrics.Metrics(),
        lambda host: host.host_id in context.limited_host_ids,
        lambda: context.evacuated,
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


@behave.given("at most {count:d} hosts may run in each of them")
def limit(context, count):
    context.platform.maximum = count
    scaling = dataclasses.replace(context.service.scaling, maximum=count)
    context.service_by_name[_SERVICE] = dataclasses.replace(
        context.service, scaling=scaling
    )


@behave.given("a move starts {count:d} hosts of an unproved version in each of them")
def start_move(context, count):
    for data_centre, _ in tuple(context.platform.count_by_place):
        context.platform.new_count_by_data_centre[data_centre] = count
    context.moves.versions = frozenset({"v1"})
    context.moves.is_moving = True


def _counts(context, version):
    hosts = context.platform.hosts().values()
    return collections.Counter(
        host.data_centre for host in hosts if host.version == version
    )


@behave.then("all {count:d} hosts of the old version in each of them remain")
def check_old_version(context, count):
    counts = _counts(context, "v1")
    assert min(counts.values(), default=0) >= count, (counts, context.platform.orders)


@behave.then("the {count:d} hosts of the unproved version in each of them remain")
def check_unproved_version(context, count):
    counts = _counts(context, "v2")
    assert set(counts.values()) == {count}, (counts, context.platform.orders)


@behave.given("the lease holder has not heard of the move")
def hide_move(context):
    context.moves.versions = None
    context.moves.is_moving = False
    context.moves.is_unknown = True


@behave.when("the lease holder hears of the move")
def learn_move(context):
    context.moves.versions = frozenset({"v1"})
    context.moves.is_moving = True
    context.moves.is_unknown = False


@behave.when("the move is over and {seconds:d} seconds pass")
def end_move(context, seconds):
    context.platform.new_count_by_data_centre.clear()
    context.moves.versions = None
    context.moves.is_moving = False
    _run(context, seconds)


@behave.when("the new version takes over and {seconds:d} seconds pass")
def complete_move(context, seconds):
    context.platform.count_by_place.clear()
    context.moves.versions = frozenset({"v2"})
    context.moves.is_moving = False
    context.least_count = min(context.platform.new_count_by_data_centre.values())
    for _ in range(seconds):
        _run(context, 1)
        counts = _counts(context, "v1") + _counts(context, "v2")
        context.least_count = min(
            context.least_count,
            *(counts[name] for name in context.platform.new_count_by_data_centre),
        )


@behave.then("at least {count:d} hosts ran in each of them all the while")
def check_least_count(context, count):
    assert context.least_count >= count, context.platform.orders


@behave.when(
    "{count:d} hosts of one data centre limit their requests for {seconds:d} seconds"
)
def limit_hosts(context, count, seconds):
    context.busy = {_SERVICE: 8.0}
    _run(context, seconds)
    context.count_before = context.platform.count_by_place["dc-0", True]
    found = [h for h in context.platform.hosts().values() if h.data_centre == "dc-0"]
    context.limited_host_ids = {host.host_id for host in found[:count]}
    _run(context, seconds)


@behave.then("{count:d} more hosts run in that data centre")
def check_more_hosts(context, count):
    added = context.platform.count_by_place["dc-0", True] - context.count_before
    assert added == count, added


@behave.when('operators evacuate "{data_centre}" for {seconds:d} seconds')
def evacuate(context, data_centre, seconds):
    context.counts_before = context.platform.count_by_place.copy()
    context.orders_before = len(context.platform.orders)
    context.evacuated = frozenset({data_centre})
    _run(context, seconds)


@behave.then("the others serve {busy:d} busy hosts and nothing is ordered there")
def check_replaced(context, busy):
    orders = context.platform.orders[context.orders_before :]
    assert not {order.data_centre for order in orders} & context.evacuated, orders
    counts = context.platform.count_by_place
    kept = sum(n for (name, _), n in counts.items() if name not in context.evacuated)
    assert kept >= busy / _TARGET_UTILIZATION, counts
    for place, count in context.counts_before.items():
        assert place[0] not in context.evacuated or counts[place] == count, counts
