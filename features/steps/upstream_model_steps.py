"""Steps for what is learnt of upstreams' speed."""

import datetime
import random
import types

import behave
import speed_fleet
import virtual_clock

from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import (
    busy_host_meter,
    upstream_entries,
    upstream_models,
)
from peridothitch.platform import header_codec
from peridothitch.policy import (
    capacity_plan,
    part_owners,
    placement,
    upstream_model,
    upstream_speeds,
)

_SECOND = datetime.timedelta(seconds=1)
_SECONDS_PER_TOKEN = 1 / 30_000
_FIRST_SECONDS = 0.02


@behave.then('the load "{figures}" is read with the pace {pace}')
def check_pace(context, figures, pace):
    fields = (("Peridothitch-Replica-Load", figures),)
    found = header_codec.PlatformHeaderCodec().read_response(fields)
    assert found.has_bad_load == (pace == "bad"), found
    if pace != "bad":
        assert str(found.load.pace).lower() == pace, found


@behave.then(
    "at the assumed rate each choice is the one among all upstreams, as before"
)
def check_unmodelled(context):
    fleet = speed_fleet.SpeedFleet(3, [1.0] * 15, context.seed, has_pace=False)
    pool = fleet.hosts[0]
    for chosen in fleet.upstreams:
        chosen.rate = 0.8 * placement.TOKENS_PER_SECOND
    fleet.play(10, 100, speed_fleet.plain_need)
    busy = pool.models.busy_seconds(speed_fleet.SERVICE, 3000, 50)
    assert busy is None and pool.models.waits(speed_fleet.SERVICE) is None
    assert not pool.is_modelled(speed_fleet.SERVICE)
    live = pool._live_entries(speed_fleet.SERVICE)
    for seed in range(50):
        need = speed_fleet.plain_need(random.Random(seed))
        states = [upstream_entries.make_state(entry, need, fleet.now) for entry in live]
        expected = placement.choose(need, states, random.Random(seed))
        pool._random = random.Random(seed)
        _, found = pool.choose(speed_fleet.SERVICE, need)
        assert found == expected and not found.is_modelled, (found, expected)
        assert found.seconds < 1, found


@behave.then("hosts with {cause} use what they have learnt within {seconds:d} s")
def check_modelled(context, cause, seconds):
    has_pace = cause == "upstreams that tell a pace"
    fleet = speed_fleet.SpeedFleet(84, [1.0] * 45, context.seed, has_pace=has_pace)
    if has_pace:
        for chosen in fleet.upstreams:
            chosen.rate = placement.TOKENS_PER_SECOND
    fleet.play(seconds, 150, speed_fleet.plain_need)
    assert all(pool.is_modelled(speed_fleet.SERVICE) for pool in fleet.hosts[:20])


def _piece(random_source, trouble):
    tokens, shared = random_source.choice(((700, 170), (2300, 560), (9000, 6300)))
    read = tokens
    if trouble == "unseen cache hits" and random_source.random() < 0.6:
        read -= shared
    seconds = _FIRST_SECONDS + read * _SECONDS_PER_TOKEN
    if trouble == "queues" and random_source.random() < 0.5:
        seconds += random_source.expovariate(5)
    if trouble == "one lie in ten" and random_source.random() < 0.1:
        seconds *= random_source.choice((1e-4, 1e3))
    if trouble == "quick failures" and random_source.random() < 0.1:
        seconds = 0.001
    return upstream_speeds.FirstPiece(
        uncached_tokens=tokens,
        uncertain_tokens=shared if trouble == "unseen cache hits" else 0,
        prompt_tokens=tokens,
        seconds=seconds,
    )


@behave.when("a service's answers are disturbed by {trouble}")
def disturb(context, trouble):
    random_source = random.Random(context.seed)
    context.model = upstream_model.ServiceModel()
    for index in range(120):
        key = f"i-{random_source.randrange(40)}", 1
        context.model.record_first_piece(
            key, _piece(random_source, trouble), index / 10
        )


@behave.then("its time per token is within {share:g} of the undisturbed one")
def check_slope(context, share):
    fit = context.model.reads(12.0)
    for tokens in (700, 2300):
        expected = _FIRST_SECONDS + tokens * _SECONDS_PER_TOKEN
        assert abs(fit.at(tokens) / expected - 1) <= share, (fit, tokens)


@behave.when("a host reports absurd measurements")
def report_absurd(context):
    context.metrics = metrics.Metrics()
    clock = virtual_clock.VirtualClock()
    context.models = upstream_models.UpstreamModels(clock, context.metrics)
    absurd = [
        (tokens, seconds)
        for tokens in (-1.0, float("nan"), float("inf"), 1e30)
        for seconds in (0.1, float("nan"))
    ]
    pieces = [("i-1", *figures) for figures in absurd]
    context.models.receive(speed_fleet.make_answers("model", *pieces))


@behave.then("they are ignored and counted")
def check_ignored(context):
    assert context.metrics.value("bad_upstream_measurements") == 8
    assert context.models.shared_speeds()["model"].reads is None


@behave.given(
    "{hosts:d} entry hosts and 45 upstreams with the speeds {a:g}, {b:g} and {c:g}"
)
def make_fleet(context, hosts, a, b, c):
    context.fleet = speed_fleet.SpeedFleet(hosts, [a, b, c] * 15, context.seed)


@behave.given("{hosts:d} entry hosts of which each tenth told load is a lie")
def make_lying_fleet(context, hosts):
    context.fleet = speed_fleet.SpeedFleet(
        hosts, [1.0] * 45, context.seed, liar_share=0.1
    )


@behave.when("they get {rate:d} requests a second for {seconds:d} s")
def play(context, rate, seconds):
    fleet = context.fleet
    fleet.play(10, rate, speed_fleet.plain_need)
    fleet.count = fleet.late_count = 0
    context.since = fleet.now
    fleet.play(seconds, rate, speed_fleet.plain_need)


@behave.then(
    "the fast ones get at least {ratio:g} times as much as the others,"
    " the slow ones least"
)
def check_shares(context, ratio):
    got = context.fleet.tokens_by_speed(context.since)
    assert got[1.6] >= ratio * got[1.0] and got[0.6] < got[1.0], got


@behave.then("at most {late:d} in 100 first pieces are late")
def check_late(context, late):
    fleet = context.fleet
    assert fleet.late_count <= late / 100 * fleet.count, (
        fleet.late_count,
        fleet.count,
    )


@behave.when("an upstream turns {times:d} times slower for {seconds:d} s")
def turn_slow(context, times, seconds):
    fleet = context.fleet
    fleet.play(10, 150, speed_fleet.plain_need)
    context.slow, context.since = fleet.upstreams[7], fleet.now
    context.slow.speed = 1.0 / times
    fleet.play(seconds, 150, speed_fleet.plain_need)
    context.slow.speed = 1.0
    fleet.play(14, 150, speed_fleet.plain_need)


def _share(context, begin, end):
    """Return what the slow upstream got relative to the mean."""
    counts = [
        sum(begin <= at - context.since < end for at, _ in chosen.arrivals)
        for chosen in context.fleet.upstreams
    ]
    slow = sum(begin <= at - context.since < end for at, _ in context.slow.arrivals)
    return slow * len(counts) / sum(counts)


@behave.then(
    "it gets less than half of its share within {soon:d} s, and regains it {late:d} s"
    " later"
)
def check_regain(context, soon, late):
    assert _share(context, soon, 6) < 0.5, _share(context, soon, 6)
    assert _share(context, late, 20) > 0.6, _share(context, late, 20)


def _peak(context, begin, end):
    """Return the most requests that an upstream got in a second."""
    return max(
        sum(second <= at - context.since < second + 1 for at, _ in chosen.arrivals)
        for chosen in context.fleet.upstreams
        for second in range(begin, end)
    )


@behave.then("no upstream gets more in a second than {ratio:g} times as before")
def check_herd(context, ratio):
    before, after = _peak(context, -6, 0), _peak(context, 0, 6)
    assert after <= ratio * before, (before, after)


@behave.when("an upstream known as slow starts again")
def restart(context):
    context.model = upstream_model.ServiceModel()
    for index in range(200):
        number = index % 10
        seconds = 0.1 * (4 if number == 0 else 1)
        piece = upstream_speeds.FirstPiece(
            uncached_tokens=2300, prompt_tokens=2300, seconds=seconds
        )
        context.model.record_first_piece((f"i-{number}", 1), piece, index / 20)
    context.slow = context.model.factor(("i-0", 1), 10.0)
    context.model.retain({(f"i-{n}", 1 + (n == 0)) for n in range(10)})


@behave.then("it is expected to be as fast as its service")
def check_restart(context):
    assert context.slow > 2, context.slow
    assert context.model.factor(("i-0", 2), 10.0) == 1.0
    assert context.model.factor(("i-0", 1), 10.0) == 1.0


@behave.then(
    "hosts with the same view name the same owners, and a lost owner moves its parts"
    " only"
)
def check_owners(context):
    ids = [f"i-{n}" for n in range(20)]
    one, other = part_owners.PartOwners(), part_owners.PartOwners()
    parts = [f"part-{n}" for n in range(100)]
    before = {part: one.owners(part, ids, 0.0) for part in parts}
    assert before == {part: other.owners(part, reversed(ids), 0.0) for part in parts}
    assert len({owners[0] for owners in before.values()}) >= 15
    after = {part: one.owners(part, ids[1:], 0.0) for part in parts}
    moved = [part for part in parts if before[part] != after[part]]
    assert all(before[part][0] == "i-0" for part in moved), moved


@behave.when("84 entry hosts send prompts that share {count:d} long parts for 12 s")
def send_shared(context, count):
    def make_need(random_source):
        if random_source.random() < 0.5:
            return speed_fleet.plain_need(random_source)
        own = f"own-{random_source.getrandbits(60)}", 2900
        parts = ((f"part-{random_source.randrange(count)}", 6300), own)
        return placement.RequestNeed(prompt_tokens=9200, prompt_parts=parts)

    context.fleet = speed_fleet.SpeedFleet(84, [1.0] * 45, context.seed)
    context.fleet.play(10, 100, make_need)
    context.fleet.hits.clear()
    context.fleet.play(12, 100, make_need)


@behave.then("two in three prompts find their shared part where they are sent")
def check_hits(context):
    hits = context.fleet.hits
    assert sum(hits) >= 2 / 3 * len(hits), (sum(hits), len(hits))


@behave.then("a part with half of the work is owned by about half of 20 upstreams")
def check_hot_part(context):
    owners = part_owners.PartOwners()
    for index in range(200):
        owners.record("hot" if index % 2 else f"cold-{index}", 2900.0, index / 20)
    ids = [f"i-{n}" for n in range(20)]
    assert 8 <= len(owners.owners("hot", ids, 10.0)) <= 12
    assert len(owners.owners("cold-198", ids, 10.0)) == 1


@behave.when("a service reads 30,000 tokens a second and requests bring 300,000")
def bring(context):
    clock = virtual_clock.VirtualClock()
    models = upstream_models.UpstreamModels(clock, metrics.Metrics())
    meter = busy_host_meter.BusyHostMeter(clock, models)
    fleet = speed_fleet.SpeedFleet(1, [1.0] * 20, context.seed)
    fleet.play(10, 60, speed_fleet.plain_need)
    learnt = fleet.hosts[0].models
    fleet.clock.advance(_SECOND)
    learnt.receive(
        {
            speed_fleet.SERVICE: speed_fleet.fleet_messages.Answers(
                (), tuple((n, 0.004 + 0.0002 * n) for n in (1.0, 4.0, 16.0) * 5)
            )
        }
    )
    clock.advance(fleet.clock.monotonic())
    models.update([chosen.host for chosen in fleet.upstreams])
    models.record_load(
        fleet.upstreams[0].host, fleet.upstreams[0].load(fleet.now, True)
    )
    models.apply(learnt.shared_speeds())
    job = types.SimpleNamespace(
        service=speed_fleet.SERVICE,
        need=placement.RequestNeed(prompt_tokens=3000),
        metadata=types.SimpleNamespace(expected_tokens=50, output_tokens=100),
    )
    for _ in range(1000):
        meter.record_request(job)
        clock.advance(_SECOND / 100)
    context.busy = meter.busy_by_service()[speed_fleet.SERVICE]


@behave.then("its entry hosts report {least:d} to {most:d} busy upstreams")
def check_busy(context, least, most):
    assert least <= context.busy <= most, context.busy


@behave.then(
    "a prompt of 3,000 tokens occupies an average upstream for {least:d} to {most:d} ms"
)
def check_mean_work(context, least, most):
    models = context.fleet.hosts[3].models
    found = models.busy_seconds(speed_fleet.SERVICE, 3000, 0)
    assert least <= found * 1000 <= most, (found, models.shared_speeds())


@behave.then(
    "the utilization that is aimed at grows with the target and falls with the work"
)
def check_utilization(context):
    targets = [0.1, 0.5, 1.0, 2.0, 8.0]
    for rest in (0.02, 0.1, 0.5):
        found = [capacity_plan.target_utilization(t, 0.02, rest) for t in targets]
        assert found == sorted(found), found
    works = [0.02, 0.1, 0.5]
    found = [capacity_plan.target_utilization(0.5, 0.02, rest) for rest in works]
    assert found == sorted(found, reverse=True) and found[0] > found[-1], found
