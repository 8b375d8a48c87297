"""Steps for limits that upstreams name on requests."""

import concurrent.futures
import time

import behave
import forwarding_bench as benches
import limit_fleet

from peridothitch.platform import header_codec


@behave.given("{count:d} further entry hosts")
def start_hosts(context, count):
    for number in range(count):
        context.bench.start_host(f"edge-{number + 2}")
    hosts = context.bench.hosts
    benches.wait_until(
        lambda: all(len(host.members()) == len(hosts) for host in hosts),
        "the hosts know each other",
    )


@behave.given('the replica "{replica_id}" names a limit of {limit} requests a second')
def set_limit(context, replica_id, limit):
    context.bench.replica_by_id[replica_id].limit = limit


@behave.when(
    "callers send {rate:d} requests a second to each entry host for {seconds:d} s"
)
def send_requests(context, rate, seconds):
    context.began = time.monotonic()

    def send(host):
        statuses = []
        for number in range(rate * seconds):
            time.sleep(max(0.0, context.began + number / rate - time.monotonic()))
            response = context.bench.request(f"/lookup/{number}", "GET", host=host)
            statuses.append(response.status)
        return statuses

    with concurrent.futures.ThreadPoolExecutor() as pool:
        results = pool.map(send, context.bench.hosts)
        context.statuses = [status for result in results for status in result]


@behave.then(
    'from {grace:d} s on "{replica_id}" got at most {count:d} requests in any'
    " {span:d} s"
)
def check_windows(context, grace, replica_id, count, span):
    received = context.bench.replica_by_id[replica_id].received
    times = [r.received_at for r in received if r.received_at > context.began + grace]
    most = max(
        sum(begin <= moment < begin + span for moment in times) for begin in times
    )
    assert most <= count, most


@behave.then("the callers got 200 each time")
def check_statuses(context):
    assert set(context.statuses) == {200}, set(context.statuses)


_SEEDS = 5
_DAY_SECONDS = 30.0
_CONTACT_SECONDS = 4.0


@behave.when(
    "{count:d} entry hosts send requests to an upstream with a limit of {limit:g}"
)
def play_limit(context, count, limit):
    _play(context, count, limit, kills=False)


@behave.when(
    "{count:d} entry hosts, one replaced every 2 s, send requests to an upstream with a"
    " limit of {limit:g}"
)
def play_limit_with_kills(context, count, limit):
    _play(context, count, limit, kills=True)


def _play(context, count, limit, kills):
    seeds = _SEEDS if count < 100 else 1
    context.fleets = [
        limit_fleet.LimitFleet(count, limit, context.seed + seed, kills)
        for seed in range(seeds)
    ]
    for fleet in context.fleets:
        fleet.play(_DAY_SECONDS)


@behave.then(
    "it gets at most one and a half times the limit and 5 requests in any {span:d} s"
)
def check_limit(context, span):
    for fleet in context.fleets:
        allowed = 1.5 * span * fleet.limit + 5
        most = fleet.most_sends(_CONTACT_SECONDS, span)
        assert most <= allowed, (most, allowed)


@behave.then("it gets at least half of its limit")
def check_use(context):
    for fleet in context.fleets:
        sent = fleet.sent(_CONTACT_SECONDS)
        expected = fleet.limit * (_DAY_SECONDS - _CONTACT_SECONDS) / 2
        assert sent >= expected, (sent, expected)


@behave.given("{count:d} entry hosts that keep the limit of {limit:g} of an upstream")
def keep_limit(context, count, limit):
    context.fleet = limit_fleet.LimitFleet(count, limit, context.seed, kills=False)
    context.fleet.play(10.0)


@behave.when("the upstream names {limit} instead")
def change_limit(context, limit):
    context.fleet.limit = float(limit)
    context.fleet.play(5.0)
    context.changed_at = context.fleet.clock.seconds
    context.fleet.play(20.0)


@behave.then("it gets {fewest:d} to {most:d} requests in 20 s")
def check_changed(context, fewest, most):
    sent = context.fleet.sent(context.changed_at)
    assert fewest <= sent <= most, sent


@behave.then('the header value "{text}" is read as {limit}')
def check_reading(context, text, limit):
    _check_reading(text, limit)


@behave.then('the header value "" is read as {limit}')
def check_empty(context, limit):
    _check_reading("", limit)


def _check_reading(text, limit):
    fields = () if text == "not named" else (("Server-Limit", text),)
    found = header_codec.PlatformHeaderCodec().read_response(fields).request_limit
    assert str(found) == str(float(limit)), found
