import datetime
import random

import behave
import hypothesis
import move_fleet
from hypothesis import strategies

from peridothitch import errors
from peridothitch.adapters import memory_store
from peridothitch.coordination import move_store
from peridothitch.policy import evidence, evidence_counter, exposure, moves
from peridothitch.ports import outcomes
from peridothitch.standins import faulty_store

MILLISECOND = datetime.timedelta(milliseconds=1)
NOON = datetime.datetime(2026, 3, 2, 12, tzinfo=datetime.UTC)
TICK_COUNT = 300
EXAMPLES = hypothesis.settings(max_examples=60)


def outcome(version, **fields):
    default_by_field = {
        "request_id": "r",
        "service": "assistant",
        "version": version,
        "route": "chat",
        "customer": "",
        "host_id": "engine-0",
        "data_centre": "fife",
        "ended": NOON,
        "first_byte": 100 * MILLISECOND,
        "duration": 200 * MILLISECOND,
        "status": 200,
    }
    return outcomes.AttemptOutcome(**default_by_field | fields)


def lost(version, **fields):
    return outcome(
        version,
        status=0,
        code=errors.Code.STREAM_INTERRUPTED,
        ran=errors.Ran.UNKNOWN,
        **fields,
    )


def make_counter(quarantined=frozenset()):
    return evidence_counter.EvidenceCounter(
        "assistant", "v1", "v2", quarantined.__contains__, NOON
    )


def count_events(generator, trials, rate):
    return sum(generator.random() < rate for _ in range(trials))


def equal_stream(seed):
    """Yield cumulative counts of versions with the same varying failure rate."""
    generator = random.Random(seed)
    base = generator.choice((0.0, 0.002, 0.02, 0.2))
    outage = generator.randrange(TICK_COUNT)
    new, old = evidence.Counts(), evidence.Counts()
    for tick in range(TICK_COUNT):
        rate = base + (0.3 if outage <= tick < outage + 30 else 0.0)
        trials = generator.randrange(2)
        new += evidence.Counts(trials, count_events(generator, trials, rate), trials)
        trials = generator.randrange(12)
        old += evidence.Counts(trials, count_events(generator, trials, rate), trials)
        yield tick, new, old


@behave.when("400 streams of evidence come from versions that are equal to the old one")
def run_equal_streams(context):
    context.findings = context.rate_findings = 0
    stratum = evidence.Stratum("chat", evidence.Measure.FAILED)
    for seed in range(400):
        comparison = evidence.VersionComparison(1)
        is_worse_found = compared = False
        for tick, new, old in equal_stream(context.seed + seed):
            total = {stratum: (new, old)}
            is_worse_found = (
                is_worse_found
                or comparison.update(total, tick / TICK_COUNT) is not None
            )
            is_worse = new.events * old.trials > 2 * old.events * new.trials
            compared = compared or (new.events >= 3 and is_worse)
        context.findings += is_worse_found
        context.rate_findings += compared


@behave.then("at most 1 in 100 of them is found to be worse")
def check_findings(context):
    assert context.findings <= 4, context.findings


@behave.then("more than 1 in 100 of them fail a comparison of rates")
def check_rates(context):
    assert context.rate_findings > 4, context.rate_findings


@behave.then("for any sequence of requests the budget spends at most its share")
def check_budget(context):
    @EXAMPLES
    @hypothesis.given(
        strategies.floats(0.001, 0.1),
        strategies.integers(1, 400),
        strategies.lists(strategies.booleans(), max_size=400),
    )
    def run(cap, host_count, stages):
        canary_hosts = exposure.canary_host_count(host_count, cap)
        budget = exposure.ExposureBudget(cap)
        for number, loaded in enumerate(stages, 1):
            budget.earn(host_count, canary_hosts)
            budget.spend(loaded)
            fleet_requests = number * host_count
            assert budget.spent * canary_hosts <= cap * fleet_requests

    run()


@behave.then("for any split of outcomes over hosts the merged evidence is the same")
def check_merge(context):
    attempts = strategies.tuples(
        strategies.sampled_from(("v1", "v2")),
        strategies.sampled_from(("chat", "booking")),
        strategies.sampled_from((200, 500)),
        strategies.integers(0, 2),
    )

    @EXAMPLES
    @hypothesis.given(strategies.lists(attempts, max_size=60), strategies.randoms())
    def run(events, generator):
        counters = [make_counter() for _ in range(3)]
        for version, route, status, index in events:
            counters[index].observe(outcome(version, route=route, status=status))
        reports = [counter.report() for counter in counters]
        merged = evidence.merge(reports)
        generator.shuffle(reports)
        assert evidence.merge(reports) == merged
        for version, index in (("v2", 0), ("v1", 1)):
            answered = sum(event[0] == version for event in events)
            trials = sum(
                pair[index].trials
                for stratum, pair in merged.items()
                if stratum.measure is evidence.Measure.FAILED
            )
            assert trials == answered

    run()


@behave.then(
    "for any mix of reclaims, broken links and crashing requests nothing is counted"
)
def check_noise(context):
    kinds = strategies.sampled_from(("reclaim", "link", "poison"))

    @EXAMPLES
    @hypothesis.given(strategies.lists(kinds, max_size=40))
    def run(noise):
        counter = make_counter(frozenset({"poison"}))
        for index, kind in enumerate(noise):
            host_id = f"engine-{index}"
            if kind == "reclaim":
                counter.observe(lost("v2", host_id=host_id, host_leaving=True))
            elif kind == "poison":
                counter.observe(lost("v2", host_id=host_id, request_id="poison"))
            else:
                counter.observe(lost("v2", host_id=host_id))
                counter.observe(lost("v1", host_id="old-0"))
        counter.settle(NOON + 5000 * MILLISECOND)
        total = evidence.merge([counter.report()])
        assert all(not pair[0].events for pair in total.values()), total

    run()


@behave.then("for any number of entry hosts the losses of one crash count once")
def check_crash(context):
    @EXAMPLES
    @hypothesis.given(strategies.lists(strategies.integers(1, 80), min_size=1))
    def run(losses_by_host):
        reports = []
        for count in losses_by_host:
            counter = make_counter()
            for index in range(count):
                counter.observe(lost("v2", request_id=f"r{index}"))
            counter.settle(NOON + 5000 * MILLISECOND)
            reports.append(counter.report())
        stratum = evidence.Stratum("", evidence.Measure.LOST)
        assert evidence.merge(reports)[stratum][0].events == 1

    run()


@behave.then(
    "for any members the canary hosts are few and depend only on members and move"
)
def check_canary_hosts(context):
    names = strategies.sets(strategies.integers(0, 10_000), min_size=1, max_size=400)

    @EXAMPLES
    @hypothesis.given(names, strategies.floats(0.001, 0.05), strategies.randoms())
    def run(numbers, cap, generator):
        members = [f"entry-{number}" for number in numbers]
        chosen = exposure.choose_canary_hosts("move", members, cap)
        generator.shuffle(members)
        assert exposure.choose_canary_hosts("move", members, cap) == chosen
        assert 1 <= len(chosen) <= max(2, 2 * cap * len(members) + 1)

    run()


@behave.then("for any interleaving of deciders and lost replies one verdict stands")
def check_verdicts(context):
    faults = strategies.sampled_from(
        (None, faulty_store.Fault.REPLY_LOST, faulty_store.Fault.REQUEST_LOST)
    )
    actions = strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from(("read", "prove", "done", "undone")),
        faults,
    )

    @EXAMPLES
    @hypothesis.given(strategies.lists(actions, max_size=40))
    def run(steps):
        clock = move_fleet.VirtualClock()
        service = faulty_store.FaultyStore(memory_store.MemoryStore(clock), clock)
        stores = [move_store.MoveStore(service, f"entry-{index}") for index in range(3)]
        record = moves.open_record("step", move_fleet.make_move(), "v1", clock.now())
        records = [store.create(record) for store in stores]
        first = None
        for index, action, fault in steps:
            if fault is not None:
                rule = faulty_store.FaultRule(
                    fault=fault, methods=frozenset({"txn"}), count=1
                )
                service.inject(rule)
            try:
                records[index] = act(stores[index], records[index], action, clock.now())
            except errors.StoreError:
                pass
            service.clear()
            state = stores[0].load()
            stored_record = state.move_by_id[record.move_id].record
            first = first or (stored_record if stored_record.outcome else None)
            assert first is None or stored_record == first
            done = stored_record.outcome is moves.Outcome.DONE
            assert done == bool(state.override_by_service)

    run()


def act(store, stored, action, now):
    if action == "read":
        return store.load().move_by_id[stored.record.move_id]
    if action == "prove":
        return store.record_proof(stored, now, 1)
    decision = moves.Close(moves.Outcome(action), errors.Code.MOVE_FINISHED)
    return store.record_verdict(stored, decision, now, 1, "v1")


@behave.given(
    "a move at nine tenths of its time without evidence against the new version"
)
def start_move_record(context):
    start = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
    window = datetime.timedelta(seconds=20)
    context.now = start + 0.9 * window
    context.record = moves.MoveRecord(
        move_id="move",
        name="move",
        service="model",
        from_version="v1",
        to_version="v2",
        start=start,
        finish_by=start + window,
        max_exposed_share=0.1,
    )


def _decide(context, **evidence_fields):
    summary = moves.EvidenceSummary(**evidence_fields)
    return moves.decide(context.record, object(), summary, context.now)


@behave.then("the new version is proved")
def check_proved(context):
    assert _decide(context) == moves.Prove(context.now)


@behave.then("it is not if a route's answers could not be compared by their latency")
def check_not_proved(context):
    assert _decide(context, untimed_routes=("chat",)) is None
