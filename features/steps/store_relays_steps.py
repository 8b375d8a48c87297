"""Steps for hosts that follow the store on behalf of others."""

import json
import random

import behave
import msgspec
import relay_fleet
import sync_fleet

from peridothitch.coordination import mirror_parts

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


@behave.given("two hosts with the same rules of {routes:d} routes")
def start_two_hosts(context, routes):
    fleet = sync_fleet.SyncFleet(2, 1, _MEGABIT, context.seed)
    context.add_cleanup(fleet.close)
    fleet.change(_make_rules(routes, context.seed))
    context.mirrors = [host.mirror for host in fleet.host_by_id.values()]
    for mirror in context.mirrors:
        mirror.read()


def _download(download, sources, edit=lambda part: part):
    """Download from the sources in turn, the last one to the end."""
    for count in range(1, 100):
        source = sources[min(count, len(sources)) - 1]
        part = edit(source.next_part(0, download.progress))
        if (state := download.add(part)) is not None:
            return state, count
    raise AssertionError("the download does not end")


@behave.when("a host downloads a part from one and the others from the second")
def download_from_both(context):
    sources = [mirror_parts.PartSource(mirror) for mirror in context.mirrors]
    context.from_one = _download(mirror_parts.Download(), sources[:1])
    context.from_both = _download(mirror_parts.Download(), sources)


@behave.then("it has the rules after as many parts as from one host")
def check_download(context):
    assert context.from_both == context.from_one
    state, count = context.from_both
    assert state == context.mirrors[0].state()
    assert count > 2, count


@behave.when("a host downloads the rules and one part is damaged")
def download_damaged(context):
    def damage(part):
        return msgspec.structs.replace(part, data=part.data[:-1] + b"?")

    source = mirror_parts.PartSource(context.mirrors[0])
    context.download = mirror_parts.Download()
    context.error = None
    try:
        _download(context.download, [source], damage)
    except ValueError as error:
        context.error = error


@behave.then("the download is rejected and begins again")
def check_rejected(context):
    assert "another digest" in str(context.error), context.error
    assert context.download.progress == mirror_parts.Progress()


@behave.when("a host of an earlier version asks for rules with {routes:d} routes")
def ask_as_earlier_version(context, routes):
    fleet = context.sync_fleet
    fleet.change(_make_rules(routes, context.seed))
    fleet.run(4)
    handler = fleet.handler_by_call["edge-0", "forwarding.sync"]
    reply = handler(msgspec.msgpack.encode([{sync_fleet.PREFIX: (1, 1)}]))
    context.reply = msgspec.msgpack.decode(reply)


@behave.then("it is sent the whole content and no parts")
def check_whole_content(context):
    states, parts = context.reply[0], context.reply[4]
    assert len(states) == 1 and not parts, context.reply
