"""Steps for the forwarding decisions that need no network."""

import datetime
import math
import random
import string

import behave
import hypothesis
import quota_fleet
from hypothesis import strategies as st

from peridothitch.policy import (
    admission,
    capacity_plan,
    event_stream,
    route_index,
    true_time,
    usage_windows,
)
from peridothitch.ports import forwarding

_SETTINGS = hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
_SEED = 20261204
_SECOND = datetime.timedelta(seconds=1)
_DATA_CENTRES = ("ayrshire-a", "fife-a", "lothian-a")


@behave.when(
    "{count:d} hosts receive requests for {multiple:g} times a quota for"
    " {seconds:d} seconds"
)
def send_to_fleet(context, count, multiple, seconds):
    context.fleet = quota_fleet.QuotaFleet(count, _SEED)
    context.fleet.idle(10)
    context.fleet.play(multiple, seconds)


@behave.when(
    "{count:d} hosts receive requests for {multiple:g} times a quota and all"
    " restart after {seconds:d} seconds"
)
def send_and_restart(context, count, multiple, seconds):
    context.fleet = quota_fleet.QuotaFleet(count, _SEED)
    context.fleet.idle(10)
    context.fleet.play(multiple, seconds)
    context.fleet.restart()
    context.fleet.play(multiple, seconds)


@behave.when(
    "{count:d} hosts receive requests for {multiple:g} times a quota and all are killed"
)
def send_and_kill(context, count, multiple):
    context.fleet = quota_fleet.QuotaFleet(count, _SEED)
    context.fleet.idle(10)
    context.fleet.play(multiple, 20)
    context.fleet.restart(multiple)
    context.multiple = multiple


@behave.then("at most {count:d} in 100 requests of the next 4 seconds are refused")
def check_refused_after_kill(context, count):
    context.fleet.play(context.multiple, 4)
    refused = context.fleet.refused_share()
    assert refused <= count / 100, refused


@behave.when("then for {multiple:g} times a quota for {seconds:d} seconds")
def send_more(context, multiple, seconds):
    context.fleet.play(multiple, seconds)


@behave.then("in every span at most the permitted use is admitted")
def check_span(context):
    maximum = context.fleet.max_tokens_in_span()
    assert maximum <= quota_fleet.TOKEN_LIMIT, (maximum, quota_fleet.TOKEN_LIMIT)


@behave.then("at least nine tenths of the quota are admitted")
def check_nine_tenths(context):
    assert context.fleet.admitted_rate() >= 0.9 * quota_fleet.QUOTA.rate


@behave.then("at least three quarters of the quota are admitted")
def check_three_quarters(context):
    assert context.fleet.admitted_rate() >= 0.75 * quota_fleet.QUOTA.rate


@behave.then("at most {count:d} in 100 requests are refused")
def check_refused(context, count):
    fleet = context.fleet
    assert fleet.refused_count <= count / 100 * fleet.request_count, (
        fleet.refused_count,
        fleet.request_count,
    )


@behave.then("for all routes and paths the route with the longest prefix is found")
def check_routes(context):
    words = st.lists(st.sampled_from(("a", "b", "")), max_size=4)
    prefixes = words.map(lambda parts: "/" + "".join(f"{part}/" for part in parts))
    paths = words.map(lambda parts: "/" + "/".join(parts))

    @_SETTINGS
    @hypothesis.given(st.sets(prefixes, max_size=8), paths)
    def run(found, path):
        routes = [
            forwarding.Route(
                name=prefix, host="h", prefix=prefix, shares=(forwarding.Share("s"),)
            )
            for prefix in found
        ]
        index = route_index.RouteIndex(routes)
        fitting = [prefix for prefix in found if path.startswith(prefix)]
        wanted = max(fitting, key=len, default=None)
        for host in ("h", "H:8080"):
            route = index.find(host, path)
            assert (route.name if route else None) == wanted
        assert index.find("other", path) is None

    run()


@behave.then("every way to split a stream into pieces gives the same events")
def check_events(context):
    stream = b"id: 1\ndata: a\n\nevent: x\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 3"

    @_SETTINGS
    @hypothesis.given(st.lists(st.integers(0, len(stream)), max_size=8))
    def run(cuts):
        bounds = [0, *sorted(cuts), len(stream)]
        splitter = event_stream.EventSplitter()
        events = []
        for begin, end in zip(bounds, bounds[1:], strict=False):
            events += splitter.feed(stream[begin:end])
        assert b"".join(event.content for event in events) == stream[:-5]
        assert [event.event_id for event in events] == ["1", "2", ""]
        assert splitter.pending == b"id: 3"

    run()


@behave.when(
    "a host whose wall clock is {off:d} seconds off receives the time of"
    " {count:d} others"
)
def receive_times(context, off, count):
    context.truth = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
    context.steady = 5 * _SECOND
    context.time = true_time.TrueTime(context.truth + off * _SECOND, context.steady)
    for number in range(count):
        context.time.record_peer_time(f"edge-{number}", context.truth, context.steady)


@behave.then("its true time equals theirs")
def check_true_time(context):
    assert context.time.at(context.steady) == context.truth


@behave.when("later one of the others is {off:d} seconds off")
def jump_one(context, off):
    context.steady += 60 * _SECOND
    context.truth += 60 * _SECOND
    context.time.record_peer_time(
        "edge-0", context.truth + off * _SECOND, context.steady
    )


@behave.then("its true time still equals that of the others")
def check_unchanged_time(context):
    assert context.time.at(context.steady) == context.truth


@behave.then("joined counts are the larger of each, whatever their order")
def check_joined(context):
    counts = st.dictionaries(
        st.integers(0, 3),
        st.dictionaries(st.sampled_from("xy"), st.integers(0, 9), max_size=2),
        max_size=3,
    )

    @_SETTINGS
    @hypothesis.given(counts, counts)
    def run(first, second):
        joined = usage_windows.join_counts(first, second)
        assert joined == usage_windows.join_counts(second, first)
        assert joined == usage_windows.join_counts(joined, second)
        for window in first.keys() | second.keys():
            for name in string.ascii_lowercase[-3:]:
                wanted = max(
                    first.get(window, {}).get(name, 0),
                    second.get(window, {}).get(name, 0),
                )
                assert joined[window].get(name, 0) == wanted

    run()


def _scaling(maximum=4):
    return forwarding.Scaling(
        minimum=1,
        maximum=maximum,
        start_time=4 * _SECOND,
        reclaimable_price=0.22,
        price_by_data_centre=dict.fromkeys(_DATA_CENTRES, 1.0),
    )


@behave.then(
    "for every load the plan without its largest data centre serves it or is at maximum"
)
def check_plan(context):
    @_SETTINGS
    @hypothesis.given(st.floats(0, 100), st.integers(1, 12))
    def run(busy, maximum):
        supply = capacity_plan.Supply(live={})
        plan = capacity_plan.plan(busy, _scaling(maximum), _DATA_CENTRES, supply)
        counts = plan.reclaimable_by_data_centre.values()
        assert not any(plan.on_demand_by_data_centre.values())
        remaining = sum(counts) - max(counts)
        enough = remaining >= capacity_plan.hosts_needed(busy)
        assert enough or all(count == maximum for count in counts)

    run()


def _orders(live, sold_out=frozenset(), is_reclaim_wave=False, busy=3.0):
    scaling = _scaling()
    service = forwarding.Service(name="model", scaling=scaling)
    supply = capacity_plan.Supply(
        live=live, sold_out=sold_out, is_reclaim_wave=is_reclaim_wave
    )
    plan = capacity_plan.plan(busy, scaling, _DATA_CENTRES, supply)
    return {
        (order.data_centre, order.reclaimable): order.count
        for name in _DATA_CENTRES
        for order in capacity_plan.next_orders(service, name, plan, supply)
    }


def _live(reclaimable, on_demand=0):
    live = {(name, False): on_demand for name in _DATA_CENTRES}
    return live | {
        (name, True): count
        for name, count in zip(_DATA_CENTRES, reclaimable, strict=True)
    }


@behave.when("no reclaimable host serves yet")
def none_serves(context):
    context.orders = _orders(_live((0, 0, 0), on_demand=2))


@behave.when("the reclaimable hosts serve")
def all_serve(context):
    context.orders = _orders(_live((2, 2, 2), on_demand=2))


@behave.then("the on-demand hosts are kept")
def check_kept(context):
    assert all(context.orders[name, False] == 2 for name in _DATA_CENTRES)
    assert all(context.orders[name, True] == 2 for name in _DATA_CENTRES)


@behave.then("the on-demand hosts are released")
def check_released(context):
    assert all(context.orders.get((name, False), 0) == 0 for name in _DATA_CENTRES)


@behave.when("a wave of reclaims goes through the data centres")
def start_reclaim_wave(context):
    sold_out = frozenset(_DATA_CENTRES)
    context.first = _orders(_live((0, 3, 3)), sold_out, is_reclaim_wave=True)
    context.second = _orders(_live((0, 0, 3)), sold_out, is_reclaim_wave=True)


@behave.then("on-demand hosts are ordered before the last data centre is lost")
def check_wave(context):
    needed = math.ceil(3.0 / 0.9)
    on_demand = [
        sum(orders.get((name, False), 0) for name in _DATA_CENTRES)
        for orders in (context.first, context.second)
    ]
    assert on_demand[0] >= needed - 3
    assert on_demand[1] >= needed


@behave.when("reclaimable hosts are available again and serve")
def end_reclaim_wave(context):
    context.orders = _orders(_live((3, 3, 3), on_demand=1))


@behave.then("a load that halves for 3 seconds releases no host")
def check_steady(context):
    load = 3.0
    before = capacity_plan.hosts_needed(load)
    for _ in range(12):
        load = capacity_plan.smoothed_load(load, 1.5, 0.25)
    assert capacity_plan.hosts_needed(load) >= before - 1
    assert capacity_plan.smoothed_load(1.0, 2.0, 0.25) == 2.0


_OBJECTIVE = datetime.timedelta(milliseconds=500)
_WORK_SECONDS = 0.05


@behave.when("{count:d} hosts receive {multiple:d} times the load that they can serve")
def overload(context, count, multiple):
    context.admitted, context.refused = _simulate_overload(count, multiple, refuse=True)
    context.all_waits, _ = _simulate_overload(count, multiple, refuse=False)


def _simulate_overload(count, multiple, refuse):
    """Return the waits of admitted requests and the number of refused ones."""
    source = random.Random(_SEED)
    free_at = [0.0] * count
    now, waits, refused = 0.0, [], 0
    for _ in range(2000):
        now += source.expovariate(multiple * count / _WORK_SECONDS)
        index = min(range(count), key=free_at.__getitem__)
        begin = max(now, free_at[index])
        expected = datetime.timedelta(seconds=begin - now + _WORK_SECONDS)
        left = 4 * _SECOND
        if (
            refuse
            and admission.refusal_delay(expected, _OBJECTIVE, left, 1) is not None
        ):
            refused += 1
            continue
        free_at[index] = begin + _WORK_SECONDS
        waits.append(expected)
    return waits, refused


@behave.then("admitted requests are answered within the multiple of their objective")
def check_admitted(context):
    assert max(context.admitted) <= 2.6 * _OBJECTIVE


@behave.then("refused requests were refused without a wait")
def check_refused_at_once(context):
    assert context.refused > 0
    retry_after = admission.refusal_delay(10 * _SECOND, _OBJECTIVE, 4 * _SECOND, 1)
    assert datetime.timedelta(0) < retry_after <= 2 * _SECOND


@behave.then("without refusals nearly all would be late")
def check_without(context):
    late = sum(wait > 2.6 * _OBJECTIVE for wait in context.all_waits)
    assert late > 0.9 * len(context.all_waits)
