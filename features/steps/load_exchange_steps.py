"""Steps for the exchange of upstreams' loads between entry hosts."""

import collections
import json

import behave
import load_fleet
import load_spread
import msgspec

from peridothitch import errors
from peridothitch.platform import header_codec
from peridothitch.policy import shared_loads
from peridothitch.ports import forwarding

_SETTLED_SECONDS = 4


def _key(host):
    return shared_loads.upstream_key(host.host_id, host.incarnation)


def _place_requests(context):
    """Give each host requests in progress at some of the upstreams."""
    for host in context.fleet.host_by_id.values():
        _place_requests_of(host, context.upstreams)


def _place_requests_of(host, upstreams):
    for _ in range(10):
        chosen = host.fleet.random.choice(upstreams)
        count, tokens = host.use_by_upstream.get(_key(chosen), (0, 0.0))
        host.use_by_upstream[_key(chosen)] = count + 1, tokens + 1600.0


@behave.given(
    "{hosts:d} entry hosts with requests in progress at {upstreams:d} upstreams"
)
def start_fleet(context, hosts, upstreams):
    context.fleet = load_fleet.LoadFleet(hosts)
    context.upstreams = [load_fleet.make_upstream(n) for n in range(upstreams)]
    _place_requests(context)


@behave.given("{hosts:d} entry hosts whose clocks differ by up to {seconds:d} s")
def start_with_clocks(context, hosts, seconds):
    context.fleet = load_fleet.LoadFleet(hosts, offset_seconds=seconds)
    context.upstreams = [load_fleet.make_upstream(n) for n in range(20)]
    _place_requests(context)


@behave.given("{hosts:d} entry hosts of which no service is modelled")
def start_unmodelled(context, hosts):
    start_fleet(context, hosts, 20)
    for host in context.fleet.host_by_id.values():
        host.is_modelled = False


@behave.given("an upstream told a load of {running:d} to one of them")
def tell_load(context, running):
    context.teller = context.fleet.host_by_id["edge-0"]
    context.loaded = context.upstreams[0]
    context.running = running


@behave.given("they exchanged loads for {seconds:d} s")
@behave.when("they exchange loads for {seconds:d} s")
def exchange_loads(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    fleet.calls_by_host.clear()
    fleet.answers_by_host.clear()
    fleet.bytes_by_host.clear()
    teller = getattr(context, "teller", None)
    if teller is not None:
        seen = shared_loads.SeenLoad(
            forwarding.Load(context.running, 0, 32, 1.0),
            teller.clock.monotonic().total_seconds(),
        )
        teller.seen_by_upstream[_key(context.loaded)] = seen
    fleet.run(1)


def _count(hosts, upstream):
    return sum(host.use_by_upstream.get(_key(upstream), (0, 0))[0] for host in hosts)


def _expected(context, host, hosts):
    others = [other for other in hosts if other is not host]
    return {
        upstream.host_id: _count(others, upstream) for upstream in context.upstreams
    }


def _believed(context, host):
    return {
        upstream.host_id: host.in_flight(upstream) for upstream in context.upstreams
    }


@behave.then("each host knows what the others have in progress")
def check_known(context):
    hosts = context.fleet.live_hosts()
    for host in hosts:
        assert _believed(context, host) == _expected(context, host, hosts), host.host_id


@behave.then(
    "a host makes at most {calls:d} calls a second, a relay at most {relay_calls:d}"
    " and answers {answers:d}"
)
def check_calls(context, calls, relay_calls, answers):
    fleet = context.fleet
    relays = shared_loads.relays(next(iter(fleet.host_by_id.values())).members())
    for host_id in fleet.host_by_id:
        bound = relay_calls if host_id in relays else calls
        assert fleet.calls_by_host[host_id] <= bound, fleet.calls_by_host[host_id]
        assert fleet.answers_by_host[host_id] <= answers, fleet.answers_by_host


@behave.then("a host moves at most {count:d} bytes a second")
def check_bytes(context, count):
    fleet = context.fleet
    relays = shared_loads.relays(next(iter(fleet.host_by_id.values())).members())
    moved = {h: n for h, n in fleet.bytes_by_host.items() if h not in relays}
    assert max(moved.values(), default=0) <= count, max(moved.values())


def _lose_relay(context, relay):
    del context.fleet.host_by_id[relay.host_id]


def _cut_relay(context, relay):
    local = [
        host
        for host in context.fleet.host_by_id.values()
        if host is not relay and host.peer.data_centre == relay.peer.data_centre
    ]
    for host in local[::2]:
        context.fleet.cut_pairs.add(frozenset((host.host_id, relay.host_id)))


def _hide_relay(context, relay):
    for host in list(context.fleet.host_by_id.values())[::2]:
        if host is not relay:
            host.unknown_hosts = frozenset({relay.host_id})


def _add_relay(context, relay):
    number = 1000
    while True:
        added = load_fleet.Host(context.fleet, number)
        context.fleet.host_by_id[added.host_id] = added
        if added.host_id in shared_loads.relays(added.members()):
            return
        del context.fleet.host_by_id[added.host_id]
        number += 1


def _age_relay(context, relay):
    relay.is_old_build = True


def _spoil_relay(context, relay):
    for method in relay.handler_by_method:
        relay.handler_by_method[method] = lambda payload: b"\xc1"


def _alternate(context, relay):
    host = next(
        host
        for host in context.fleet.host_by_id.values()
        if host is not relay and host.peer.data_centre == relay.peer.data_centre
    )
    members = host.members

    def members_by_turns():
        hidden = relay.host_id if host.exchange_count % 2 else ""
        return {key: peer for key, peer in members().items() if key != hidden}

    tell = host.exchange.tell

    def tell_and_turn():
        host.exchange_count += 1
        tell()

    host.exchange_count = 0
    host.members = members_by_turns
    host.exchange.tell = tell_and_turn


_FAULTS = {
    "a relay is lost": _lose_relay,
    "a relay is cut off from half of its hosts": _cut_relay,
    "half of the hosts don't know a relay any more": _hide_relay,
    "a new host becomes a relay": _add_relay,
    "a relay turns into an old build": _age_relay,
    "a relay answers with malformed replies": _spoil_relay,
    "a host moves between two relays with each call": _alternate,
}


@behave.when("{fault} and they exchange loads for {seconds:d} s")
def inject(context, fault, seconds):
    fleet = context.fleet
    relay = fleet.relay_of(fleet.host_by_id["edge-0"])
    before = list(fleet.host_by_id.values())
    _FAULTS[fault](context, relay)
    steady = [host for host in before if host is not relay]
    watched = steady[::5]
    context.doubled = []
    context.missed_steps_by_host = collections.Counter()
    upper = {host: _expected(context, host, before) for host in watched}
    lower = {host: _expected(context, host, steady) for host in watched}

    def check():
        for host in watched:
            believed = _believed(context, host)
            if any(believed[key] > upper[host][key] for key in believed):
                context.doubled.append((host.host_id, fleet.seconds))
            if any(believed[key] < lower[host][key] for key in believed):
                context.missed_steps_by_host[host.host_id] += 1

    fleet.run(seconds, check)


@behave.then("no host ever counted a request twice")
def check_doubled(context):
    assert not context.doubled, context.doubled[:5]


@behave.then("no host missed others' requests for more than {seconds:g} s")
def check_missed(context, seconds):
    most = max(context.missed_steps_by_host.values(), default=0)
    assert most * load_fleet.STEP_SECONDS <= seconds, most * load_fleet.STEP_SECONDS


@behave.when("a host falls silent")
def silence(context):
    context.lost = context.fleet.host_by_id["edge-50"]
    context.fleet.silent_hosts.add(context.lost.host_id)


@behave.when("a host is restarted without requests")
def restart(context):
    context.lost = context.fleet.host_by_id["edge-50"]
    context.lost.start()


@behave.then("after {seconds:d} s no host counts its requests")
def check_lost(context, seconds):
    context.fleet.run(seconds)
    hosts = context.fleet.live_hosts()
    for host in hosts:
        assert _believed(context, host) == _expected(context, host, hosts), host.host_id


@behave.then("the silent host counts only its own requests")
def check_silent(context):
    assert set(_believed(context, context.lost).values()) == {0}


@behave.then("each host knows a load of {running:d} that is at most {seconds:d} s old")
def check_load(context, running, seconds):
    for host in context.fleet.live_hosts():
        use = host.exchange.use_of(context.loaded)
        assert use.load is not None, host.host_id
        assert use.load.running == running, use.load
        assert 0 <= use.age_seconds <= seconds, use.age_seconds


@behave.when('one gets the call "{method}" of {message}')
def send_malformed(context, method, message):
    host = context.fleet.host_by_id["edge-0"]
    payload = msgspec.msgpack.encode(json.loads(message))
    context.error = None
    try:
        host.handler_by_method[method](payload)
    except errors.PeerError as error:
        context.error = error


@behave.then("it refuses the call")
def check_refused(context):
    assert context.error is not None


@behave.then("they made no call")
def check_no_call(context):
    assert not context.fleet.calls_by_host, context.fleet.calls_by_host


@behave.when(
    "{hosts:d} entry hosts send {rate:d} requests a second to {upstreams:d} upstreams"
)
def play_spread(context, hosts, rate, upstreams):
    context.ratio_by_exchange, context.wait_by_exchange = {}, {}
    for is_on in (True, False):
        spread = load_spread.LoadSpread(hosts, rate, upstreams, is_on)
        context.ratio_by_exchange[is_on] = spread.play()
        context.wait_by_exchange[is_on] = sum(spread.waits) / len(spread.waits)


@behave.then(
    "with the exchange the busiest upstream has at most {most:g} times the mean"
)
def check_spread(context, most):
    assert context.ratio_by_exchange[True] <= most, context.ratio_by_exchange


@behave.then("without it more than with it, and requests wait twice as long")
def check_spread_without(context):
    ratio = context.ratio_by_exchange
    assert ratio[False] > ratio[True], ratio
    wait = context.wait_by_exchange
    assert wait[False] > 2 * wait[True], wait


@behave.when("{hosts:d} entry hosts choose among upstreams that tell no pace")
def choose_without_pace(context, hosts):
    context.chosen = [
        load_spread.LoadSpread(hosts, 200, 20, is_on, pace=None).chosen_ids()
        for is_on in (True, False)
    ]


@behave.then("they choose as without the exchange")
def check_same(context):
    assert context.chosen[0] == context.chosen[1]


def _read_load(text):
    fields = (("Peridothitch-Replica-Load", text),)
    return header_codec.PlatformHeaderCodec().read_response(fields).load


@behave.then('the load "{text}" is read as {running:d}, {waiting:d}, {slots:d}, {pace}')
def check_load_read(context, text, running, waiting, slots, pace):
    expected = None if pace == "None" else float(pace)
    assert _read_load(text) == forwarding.Load(running, waiting, slots, expected)


@behave.then('the load "{text}" is not read')
def check_load_not_read(context, text):
    assert _read_load(text) is None


@behave.given('the replicas tell a pace of "{pace}"')
@behave.given('the replicas tell a pace of ""')
def set_pace(context, pace=""):
    for replica in context.bench.replica_by_id.values():
        replica.pace = pace


@behave.then("the totals of each entry host contain {count} hosts")
def check_totals(context, count):
    for host in context.bench.hosts:
        body, _ = host.metrics.render("text/plain")
        lines = [
            line
            for line in body.decode().splitlines()
            if line.startswith("peridothitch_load_exchange_hosts ")
        ]
        expected = [] if count == "no" else [float(count)]
        assert [float(line.split()[1]) for line in lines] == expected, lines
