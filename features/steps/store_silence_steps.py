"""Steps for a store that answers nothing for a short time."""

import behave
import silence_fleet

_SETTLING_SECONDS = 5
_SEED_COUNT = 10
"""Seeds that a small fleet is played with; large ones are played with one."""


@behave.given("{hosts:d} hosts in {data_centres:d} data centres that watch the store")
def start(context, hosts, data_centres):
    seed_count = _SEED_COUNT if hosts < 20 else 1
    context.fleets = []
    for seed in range(context.seed, context.seed + seed_count):
        fleet = silence_fleet.SilenceFleet(hosts, data_centres, seed)
        context.add_cleanup(fleet.close)
        fleet.run(_SETTLING_SECONDS)
        context.fleets.append(fleet)


@behave.when(
    "the store changes and is silent for {seconds:g} seconds from {after:g} seconds"
    " later"
)
def change_and_fall_silent(context, seconds, after):
    for fleet in context.fleets:
        fleet.change(b"before the silence")
        fleet.fall_silent(after, seconds)
        fleet.run(after + seconds)


@behave.when("the store is silent to its followers for {seconds:g} seconds")
def fall_silent_to_followers(context, seconds):
    for fleet in context.fleets:
        fleet.fall_silent(0, seconds, frozenset(fleet.followers()))


@behave.when("the store changes once more")
def change(context):
    for fleet in context.fleets:
        fleet.change(b"newest")


@behave.when("{seconds:g} seconds pass for the fleet")
def let_pass(context, seconds):
    context.polls_before = [fleet.poll_count for fleet in context.fleets]
    for fleet in context.fleets:
        fleet.run(seconds)


@behave.then("its watches have made at most {calls:d} calls in these seconds")
def check_calls(context, calls):
    counts = [
        fleet.poll_count - before
        for fleet, before in zip(context.fleets, context.polls_before, strict=True)
    ]
    assert max(counts) <= calls, counts


@behave.then("all hosts of the fleet have the rules")
def check_rules(context):
    outdated = [fleet.outdated_host_ids() for fleet in context.fleets]
    assert not any(outdated), [len(host_ids) for host_ids in outdated]


@behave.when("the store is silent for {seconds:g} seconds {count:d} times in a row")
def fall_silent_often(context, seconds, count):
    for fleet in context.fleets:
        for _ in range(count):
            fleet.change(b"before a silence")
            fleet.fall_silent(0.1, seconds)
            fleet.run(seconds + _SETTLING_SECONDS)
