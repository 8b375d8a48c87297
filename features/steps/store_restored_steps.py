"""Steps for a store that comes back from an older copy of itself."""

import dataclasses
import datetime
import json
import time

import behave
import forwarding_bench

from peridothitch.ports import store as stores
from peridothitch.ports import upstream
from peridothitch.standins import platform_records

_BOUNDS = dataclasses.replace(
    forwarding_bench.OPERATING_BOUNDS,
    usage_window=datetime.timedelta(seconds=1),
    orders_are_fenced=True,
)
_CHECK_PERIOD = 0.05
_LOST_WRITE_COUNT = 20
"""Writes of others between the copy and the changes of a scenario."""

_ADDED_ROUTE = forwarding_bench.ROUTES[1] | {"name": "added", "prefix": "/added/"}
_OTHER_ROUTE = forwarding_bench.ROUTES[1] | {"name": "other", "prefix": "/other/"}


def _versions(context):
    return [host.catalogue.table.version for host in context.bench.hosts]


def _watch_for(seconds):
    """Yield until some seconds have passed."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        yield
        time.sleep(_CHECK_PERIOD)


def _wait_for(condition, seconds, expected):
    for _ in _watch_for(seconds):
        if condition():
            return
    assert condition(), f"not in {seconds} s: {expected()}"


def _knows_live(host, host_id):
    known = host.catalogue.hosts().get(host_id)
    return known is not None and known.state is upstream.HostState.LIVE


@behave.given("two entry hosts and a store of which a copy was taken")
def start(context):
    context.bench = forwarding_bench.ForwardingBench()
    context.add_cleanup(context.bench.close)
    for replica_id in ("i-1", "i-2"):
        context.bench.add_replica(replica_id, "till")
    context.bench.configure()
    for host_id in ("edge-1", "edge-2"):
        context.bench.start_host(host_id, bounds=_BOUNDS)
    duties = context.bench.duties_service
    forwarding_bench.wait_until(lambda: duties.counts_by_window, "usage is reported")
    context.copy = context.bench.store.copy()
    for number in range(_LOST_WRITE_COUNT):
        context.bench.store.put(f"status/{number}", b"{}")


def _restore(context):
    duties = context.bench.duties_service
    context.highest_number = max(duties.holder_by_number)
    context.bench.store.restore(context.copy)
    context.restored_at = time.monotonic()
    context.calls_before = context.bench.store_service.call_count


@behave.when("operators add a route and the store comes back from the copy")
def add_route_and_restore(context):
    _add_route(context)
    _restore(context)


def _add_route(context):
    context.bench.configure(version=2, routes=(*forwarding_bench.ROUTES, _ADDED_ROUTE))
    forwarding_bench.wait_until(
        lambda: _versions(context) == [2, 2], "both hosts have the route"
    )


@behave.when("operators write their rules again and add another route")
def write_again_and_add(context):
    routes = (*forwarding_bench.ROUTES, _ADDED_ROUTE)
    context.bench.configure(version=2, routes=routes)
    context.bench.configure(version=3, routes=(*routes, _OTHER_ROUTE))
    context.newest_version = 3


@behave.when("operators add a route")
def add_route(context):
    context.bench.configure(version=2, routes=(*forwarding_bench.ROUTES, _ADDED_ROUTE))
    context.newest_version = 2


@behave.when("operators write the older rules again and then the newer ones")
def write_both_again(context):
    context.bench.configure()
    time.sleep(0.5)
    context.bench.configure(version=2, routes=(*forwarding_bench.ROUTES, _ADDED_ROUTE))


@behave.then("both hosts have the newest rules within {seconds:g} seconds")
def check_newest(context, seconds):
    _wait_for(
        lambda: _versions(context) == [context.newest_version] * 2,
        seconds,
        lambda: f"versions are {_versions(context)}",
    )


@behave.then("the hosts call the store at most {count:d} times a second")
def check_calls(context, count):
    time.sleep(1)
    calls = context.bench.store_service.call_count - context.calls_before
    elapsed = time.monotonic() - context.restored_at
    assert calls <= count * elapsed, f"{calls} calls in {elapsed} s"


@behave.then("no host goes back to the older rules in {seconds:g} seconds")
@behave.then("no host goes back to the older rules in {seconds:g} second")
def check_no_older(context, seconds):
    for _ in _watch_for(seconds):
        assert set(_versions(context)) == {2}, _versions(context)


@behave.when("the store comes back from the copy")
def restore(context):
    time.sleep(2)
    _restore(context)


@behave.when("the store comes back from the copy twice")
def restore_twice(context):
    time.sleep(2)
    _restore(context)
    time.sleep(1)
    _restore(context)


@behave.then(
    "usage is reported again within {seconds:d} seconds with a higher fencing number"
)
def check_reports(context, seconds):
    duties = context.bench.duties_service
    _wait_for(
        lambda: max(duties.holder_by_number) > context.highest_number,
        seconds,
        lambda: f"numbers are {sorted(duties.holder_by_number)}",
    )
    count = len(duties.counts_by_window)
    _wait_for(
        lambda: len(duties.counts_by_window) > count,
        5,
        lambda: f"windows are {sorted(duties.counts_by_window)}",
    )
    assert not duties.conflicting_windows, duties.conflicting_windows


@behave.then("no number is used by two holders")
def check_numbers(context):
    reused = context.bench.duties_service.reused_fencing_numbers
    assert not reused, reused


@behave.when("an upstream leaves and the store comes back from the copy")
def leave_and_restore(context):
    context.upstream_id = "i-1"
    context.bench.store.remove(platform_records.host_key("i-1"))
    _wait_until_not_live(context)
    _restore(context)


@behave.when("an upstream begins to leave and the store comes back from the copy")
def drain_and_restore(context):
    context.upstream_id = "i-1"
    standin = context.bench.replica_by_id["i-1"]
    record = forwarding_bench.host_record(standin, "till", state="draining", sequence=9)
    context.bench.store.put(platform_records.host_key("i-1"), record)
    _wait_until_not_live(context)
    _restore(context)


def _wait_until_not_live(context):
    forwarding_bench.wait_until(
        lambda: not any(_knows_live(host, "i-1") for host in context.bench.hosts),
        "no host knows i-1 as live",
    )


@behave.then("no host knows that upstream as live in {seconds:d} seconds")
def check_not_live(context, seconds):
    for _ in _watch_for(seconds):
        for host in context.bench.hosts:
            assert not _knows_live(host, context.upstream_id), host


@behave.when("an upstream comes and the store comes back from the copy")
def come_and_restore(context):
    context.upstream_id = "i-3"
    context.bench.add_replica("i-3", "till")
    forwarding_bench.wait_until(
        lambda: all(_knows_live(host, "i-3") for host in context.bench.hosts),
        "both hosts know i-3",
    )
    _restore(context)
    context.was_known = True


def _check_known(context, seconds):
    for _ in _watch_for(seconds):
        known = [_knows_live(host, "i-3") for host in context.bench.hosts]
        context.was_known = context.was_known and all(known)


@behave.when("that upstream writes its record again after {seconds:g} seconds")
def write_record_again(context, seconds):
    _check_known(context, seconds)
    standin = context.bench.replica_by_id["i-3"]
    record = forwarding_bench.host_record(standin, "till", sequence=9)
    context.bench.store.put(platform_records.host_key("i-3"), record)


@behave.then("all hosts have known it all the time")
def check_known(context):
    _check_known(context, 4)
    assert context.was_known


@behave.then("no host knows that upstream after {seconds:d} seconds")
def check_forgotten(context, seconds):
    time.sleep(seconds)
    known = [_knows_live(host, "i-3") for host in context.bench.hosts]
    assert not any(known), known


@behave.when("a third host starts")
def start_third(context):
    _wait_for(
        lambda: all(_has_seen_era(host) for host in context.bench.hosts),
        5,
        lambda: "the hosts have not seen that the store came back",
    )
    context.bench.start_host("edge-3", bounds=_BOUNDS)


def _has_seen_era(host):
    return stores.era_of(host.catalogue.operators_revision) == 2


@behave.then("all hosts have the added route within {seconds:g} seconds")
def check_added_route(context, seconds):
    _wait_for(
        lambda: set(_versions(context)) == {2},
        seconds,
        lambda: f"versions are {_versions(context)}",
    )


def _orders(context):
    return [host.catalogue.move_by_service.get("till") for host in context.bench.hosts]


@behave.when(
    "operators order a move {moment} the copy and the store comes back from it"
)
def order_and_restore(context, moment):
    order = json.dumps({"service": "till", "target": "v2", "duration_s": 60}).encode()
    context.order = "op/rollout/till", order
    context.bench.store.put(*context.order)
    forwarding_bench.wait_until(
        lambda: all(_orders(context)), "both hosts know the order"
    )
    if moment == "before":
        context.copy = context.bench.store.copy()
        context.bench.store.put("status/x", b"{}")
    context.orders = _orders(context)
    _restore(context)


@behave.when("operators write the order again if it is lost")
def write_order_again(context):
    for _ in _watch_for(2):
        assert all(_orders(context)), _orders(context)
    key, order = context.order
    if context.bench.store.read(key) is None:
        context.bench.store.put(key, order)


@behave.then("both hosts still know the same order")
def check_order(context):
    for _ in _watch_for(2):
        assert _orders(context) == context.orders, _orders(context)
