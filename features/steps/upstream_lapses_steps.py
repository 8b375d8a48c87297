"""Steps for records of upstreams that vanish together."""

import math

import behave
import lapse_fleet

_UPSTREAM_COUNT = 9
_SEEDS = range(10)


@behave.given(
    "{hosts:d} entry hosts in {data_centres:d} data centres that know 9 upstreams"
)
def start(context, hosts, data_centres):
    seeds = _SEEDS if hosts < 20 else _SEEDS[:1]
    context.fleets = [
        lapse_fleet.LapseFleet(hosts, data_centres, _UPSTREAM_COUNT, seed)
        for seed in seeds
    ]
    for fleet in context.fleets:
        fleet.run(3)


@behave.when("{count:d} upstreams leave at the same moment")
def leave(context, count):
    for fleet in context.fleets:
        fleet.remove(count)
    context.left_ids = [f"i-{number}" for number in range(count)]


@behave.then("no host uses them later than {seconds:g} seconds after that")
def check_unused(context, seconds):
    for fleet in context.fleets:
        fleet.run(seconds)
        users = fleet.users_of(context.left_ids)
        assert not users, users[:5]


@behave.when(
    "the store is down for {seconds:g} seconds and all records lapse meanwhile"
)
def lapse(context, seconds):
    context.least_known = _UPSTREAM_COUNT
    context.item_by_key = dict(context.fleets[0].store.item_by_key)
    for fleet in context.fleets:
        fleet.store.is_up = False
        _run_watched(context, fleet, seconds)
        fleet.remove(_UPSTREAM_COUNT)
        fleet.store.is_up = True


@behave.when("the upstreams write them again {seconds:g} seconds later")
def restore(context, seconds):
    for fleet in context.fleets:
        _run_watched(context, fleet, seconds)
        fleet.restore(context.item_by_key)
        _run_watched(context, fleet, 4)


def _run_watched(context, fleet, seconds):
    for _ in range(int(seconds * 10)):
        fleet.run(0.1)
        context.least_known = min(context.least_known, fleet.least_known())


@behave.then("every host knew 9 upstreams all the time")
def check_known(context):
    assert context.least_known == _UPSTREAM_COUNT, context.least_known


@behave.when("a peer reports the age of a change as not a number")
def report_absurd_age(context):
    context.fleet = context.fleets[0]
    context.fleet.remove(4)
    context.asking_id, context.version = context.fleet.ask_for_change(math.nan)


@behave.then("the report is counted as a failure and changes nothing")
def check_rejected(context):
    member = context.fleet.member_by_id[context.asking_id]
    assert member.mirror.version == context.version
    assert context.fleet.failure_count(context.asking_id) == 1
