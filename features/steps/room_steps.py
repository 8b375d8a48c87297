"""Steps for requests that ask for room at upstreams that tell their pace."""

import datetime
import random
import types

import behave
import room_service
import virtual_clock

from peridothitch.gateway.forwarding import full_upstreams
from peridothitch.policy import request_kinds, return_times, room

_SECOND = datetime.timedelta(seconds=1)
_PLAY_SECONDS = 15
_KIND_NAMES = [kind.name for kind in room_service.KINDS]


def _play(context, seed, prepare):
    """Play the same calls with the former decision and with this one."""
    context.results_by_decision = {}
    for decides in ("former", "room"):
        service = room_service.RoomService(decides, seed)
        prepare(service)
        context.results_by_decision[decides] = service.run()
    context.service = service
    context.results = context.results_by_decision["room"]


@behave.when(
    "callers ask an overloaded service for {load:g} times what it can do, seed {seed:d}"
)
def play_load(context, load, seed):
    _play(context, seed, lambda service: service.offer(load, 0, _PLAY_SECONDS))


@behave.when("a flood of digests comes beside chat, seed {seed:d}")
def play_flood(context, seed):
    def prepare(service):
        service.offer(0.5, 0, _PLAY_SECONDS)
        service.offer(1.5, 3, _PLAY_SECONDS, {"chat": 0, "draft": 0, "digest": 1})

    _play(context, seed, prepare)


@behave.when(
    "callers ask for twice what a service can do for {seconds:d} seconds, seed {seed:d}"
)
def play_burst(context, seconds, seed):
    def prepare(service):
        service.offer(0.6, 0, _PLAY_SECONDS)
        service.offer(1.4, 5, 5 + seconds)

    _play(context, seed, prepare)


@behave.when(
    "one of {count:d} customers asks for {multiple:g} times its usual, seed {seed:d}"
)
def play_hot(context, count, multiple, seed):
    others = {f"c{number}": 1 for number in range(1, count)}

    def prepare(service):
        service.offer(0.9 * (count - 1) / count, 0, _PLAY_SECONDS, customers=others)
        service.offer(0.9 / count, 0, 5, customers={"hot": 1})
        hot = multiple * 0.9 / count
        service.offer(hot, 5, _PLAY_SECONDS, customers={"hot": 1})

    context.others = others
    _play(context, seed, prepare)


@behave.when("a third of a service's upstreams is lost at once, seed {seed:d}")
def play_loss(context, seed):
    def prepare(service):
        service.offer(1.05, 0, _PLAY_SECONDS)
        service.at(5, lambda now: service.lose(0.34))

    _play(context, seed, prepare)


@behave.then("more calls are in time than by the former decision")
def check_more_in_time(context):
    former = context.results_by_decision["former"].share("all", "in time")
    assert context.results.share("all", "in time") > former, former


@behave.then("urgent calls are in time at least {percent:d} in 100")
def check_urgent(context, percent):
    found = context.results.share("chat", "in time")
    assert found >= percent / 100, found


@behave.then("at most {percent:d} in 100 calls run into their deadline")
def check_cut(context, percent):
    found = context.results.share("all", "failed")
    assert found <= percent / 100, found


def _served(results, name):
    return results.share(name, "in time") + results.share(name, "late")


@behave.then("each kind is served at least {percent:d} in 100")
def check_kinds(context, percent):
    found = {name: _served(context.results, name) for name in _KIND_NAMES}
    assert min(found.values()) >= percent / 100, found


@behave.then(
    "the large calls of each kind are served at least half as often as the kind"
)
def check_large(context):
    for name in _KIND_NAMES:
        large = _served(context.results, f"large {name}")
        assert large >= _served(context.results, name) / 2, (name, large)


@behave.then("no refused call waited longer than an eighth of its target")
def check_waits(context):
    # A wait is looked at again at most one poll after its end.
    assert context.service.longest_refused_wait <= 0.125 + 0.02 / 0.5


@behave.then("nobody asks more than twice")
def check_returns(context):
    results = context.results
    assert results["all", "told no"] <= 2 * results["all", "asked"]


@behave.then("the other customers are in time more often than by the former decision")
def check_others(context):
    means = [
        sum(results.share(name, "in time") for name in context.others)
        for results in context.results_by_decision.values()
    ]
    assert means[1] > means[0], means


@behave.then("the other customers are in time more often than that customer")
def check_hot_yields(context):
    results = context.results
    shares = [results.share(name, "in time") for name in context.others]
    assert sum(shares) / len(shares) > results.share("hot", "in time"), shares


@behave.then("that customer is served at least {percent:d} in 100")
def check_hot_served(context, percent):
    assert _served(context.results, "hot") >= percent / 100


@behave.then("no call was refused and none waited")
def check_untouched(context):
    results = context.results
    assert results["all", "asked"] and not results["all", "told no"]
    assert results["all", "in time"] == results["all", "asked"]
    assert context.service.wait_count == 0


def _prospect(**changes):
    values = dict(
        priority=0,
        target=0.5,
        elapsed=0.0,
        held=0.0,
        left=6.0,
        start=0.6,
        end=1.0,
    )
    return room.Prospect(**(values | changes))


@behave.then(
    "refused callers are told to come back over a span, the urgent ones sooner"
)
def check_return_times(context):
    draws = [number / 50 for number in range(50)]
    means = []
    for priority in range(3):
        prospect = _prospect(priority=priority)
        delays = [return_times.return_delay(prospect, draw) for draw in draws]
        assert max(delays) - min(delays) >= 0.5 * min(delays), delays
        assert max(delays) <= prospect.left / 3
        means.append(sum(delays))
    assert means == sorted(means) and means[0] < means[2], means
    again = return_times.return_delay(_prospect(has_returned=True), 0.5)
    assert again > return_times.return_delay(_prospect(), 0.5)


@behave.then("only callers that waited after a refusal count as having returned")
def check_returned(context):
    kind = request_kinds.RequestKind()
    for _ in range(20):
        assert kind.elapsed_before(5.0) == 0.0
    assert not kind.has_returned(kind.elapsed_before(4.97))
    assert not kind.has_returned(kind.elapsed_before(4.95))
    assert kind.has_returned(kind.elapsed_before(4.5))
    differing = request_kinds.RequestKind()
    source = random.Random(1)
    before = [differing.elapsed_before(source.uniform(1, 9)) for _ in range(200)]
    assert sum(map(bool, before)) <= 4, "callers' own deadlines were taken for returns"


@behave.when("an upstream of two refuses a request because it is full")
def fill(context):
    context.clock = virtual_clock.VirtualClock()
    context.full = full_upstreams.FullUpstreams(context.clock)
    context.hosts = [
        types.SimpleNamespace(host_id=name, incarnation="1") for name in "ab"
    ]
    context.full.record(context.hosts[0])


@behave.then("the other one is chosen until the time is over")
def check_full(context):
    assert [context.full.has_room(host) for host in context.hosts] == [False, True]
    context.clock.advance(0.2 * _SECOND)
    assert [context.full.has_room(host) for host in context.hosts] == [True, True]
