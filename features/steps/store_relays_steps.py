"""Steps for hosts that follow the store on behalf of others."""

import json
import random

import behave
import relay_fleet
import sync_fleet

_MEGABIT = 1_000_000


def _make_rules(route_count, seed):
    """Return rules of the size and variety that operators write."""
    source = random.Random(seed)
    routes = [
        {
            "name": f"r-{source.getrandbits(40):x}",
            "host": f"{source.getrandbits(24):x}.example",
            "prefix": f"/{source.getrandbits(36):x}/",
            "route_type": source.choice(["safe", "unsafe", "streaming"]),
            "backends": [{"service": f"{source.getrandbits(20):x}", "weight": 1.0}],
            "timeout_ms": source.randrange(1000, 9000),
            "target_latency_ms": source.randrange(100, 900),
            "max_attempts": 2,
            "priority": 1,
        }
        for _ in range(route_count)
    ]
    return json.dumps({"version": seed, "routes": routes}).encode()


@behave.given("{hosts:d} hosts in {data_centres:d} data centres")
def start_fleet(context, hosts, data_centres):
    context.fleet = relay_fleet.RelayFleet(hosts, data_centres)


@behave.when("{seconds:d} seconds pass for them")
def let_pass(context, seconds):
    context.fleet.run(seconds)


@behave.then("{count:d} hosts follow the store")
def check_followers(context, count):
    followers = context.fleet.followers()
    assert len(followers) == count, followers


@behave.then("at most {count:d} hosts follow the store")
def check_most_followers(context, count):
    followers = context.fleet.followers()
    assert len(followers) <= count, followers


@behave.when("the store changes and {seconds:d} seconds pass")
def change(context, seconds):
    context.fleet.revision += 1
    context.fleet.run(seconds)


@behave.then("all hosts have the change")
def check_informed(context):
    up_to_date_count = context.fleet.up_to_date_count()
    assert up_to_date_count == len(context.fleet.member_by_id), up_to_date_count


@behave.when("the store rejects its followers")
def reject_followers(context):
    context.fleet.rejected_host_ids = context.fleet.followers()


@behave.when("the store rejects all hosts and {seconds:d} seconds pass")
def reject_all(context, seconds):
    context.fleet.rejected_host_ids = set(context.fleet.member_by_id)
    context.fleet.run(seconds)


@behave.when("the store serves all hosts and {seconds:d} seconds pass")
def serve_all(context, seconds):
    context.fleet.rejected_host_ids = set()
    context.fleet.run(seconds)


@behave.given(
    "{hosts:d} hosts in {data_centres:d} data centres with links of {rate:d} Mbit/s"
)
def start_sync_fleet(context, hosts, data_centres, rate):
    fleet = sync_fleet.SyncFleet(hosts, data_centres, rate * _MEGABIT, context.seed)
    context.add_cleanup(fleet.close)
    context.sync_fleet = fleet
    fleet.run(5)


@behave.when("the store gets rules with {routes:d} routes and {seconds:d} seconds pass")
def change_rules(context, routes, seconds):
    context.sync_fleet.change(_make_rules(routes, context.seed))
    context.sync_fleet.run(seconds)


@behave.then("all hosts have the rules")
def check_rules(context):
    outdated = context.sync_fleet.outdated_host_ids()
    assert not outdated, f"{len(outdated)} hosts have old rules: {outdated[:5]}"
