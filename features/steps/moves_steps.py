import datetime

import behave
import move_fleet

from peridothitch import errors
from peridothitch.coordination import move_store
from peridothitch.policy import moves
from peridothitch.standins import faulty_store

SECOND = move_fleet.SECOND
MAX_STOP_DELAY = 3 * SECOND
MAX_RUN_TIME = move_fleet.WINDOW + 120 * SECOND
FAULT_START_SHARES = (0.0, 0.2, 0.45, 0.75, 0.79, 0.85)
FAULT_DURATION = 40 * SECOND
TXN = frozenset({"txn"})


def has_verdict(fleet):
    return fleet.verdict() is not None


def run_to_verdict(fleet):
    assert fleet.run(MAX_RUN_TIME, has_verdict), fleet.stored_records()
    for move_controller in fleet.host_by_id.values():
        assert not move_controller._metrics.value("move_keeper_errors")


@behave.given("a fleet that moves to a version that {fault}")
def start_faulty(context, fault):
    start_faulty_at_rate(context, 20, fault)


@behave.given(
    "a fleet with {rate:d} requests a second that moves to a version that {fault}"
)
def start_faulty_at_rate(context, rate, fault):
    version = move_fleet.VERSION_BY_FAULT[fault]
    context.fleet = move_fleet.Fleet(context.seed, version, rate=float(rate))


@behave.given("a fleet that moves to a good version")
def start_good(context):
    context.fleet = move_fleet.Fleet(context.seed, move_fleet.Version())


@behave.when("the move runs to its verdict")
def run_move(context):
    run_to_verdict(context.fleet)
    context.fleet.run(5 * SECOND)


@behave.then("it is undone because the version was faulty")
def check_faulty(context):
    record = context.fleet.verdict()
    assert record.outcome is moves.Outcome.UNDONE, record
    assert record.reason is errors.Code.MOVE_VERSION_FAULTY, record
    assert record.detail, record


@behave.then("at most 2 in 100 requests went to the version before it was proved")
def check_exposure(context):
    fleet = context.fleet
    assert fleet.exposed_unproved <= 0.02 * fleet.requests, (
        fleet.exposed_unproved,
        fleet.requests,
    )


@behave.then(
    "no request went to it later than 3 seconds after the first condemnation",
)
def check_stop(context):
    fleet = context.fleet
    assert fleet.condemned_at is not None
    assert fleet.last_new_version_at - fleet.condemned_at <= MAX_STOP_DELAY, (
        fleet.last_new_version_at,
        fleet.condemned_at,
    )


@behave.given("fleets that move to a good version with 1, 8 and 20 requests a second")
def start_good_fleets(context):
    context.fleets = [
        move_fleet.Fleet(context.seed, move_fleet.Version(), rate=rate)
        for rate in (1.0, 8.0, 20.0)
    ]


@behave.when("the moves run to their verdicts")
def run_moves(context):
    for fleet in context.fleets:
        run_to_verdict(fleet)


@behave.then("each is done before its deadline")
def check_done_in_time(context):
    for fleet in context.fleets:
        record = fleet.verdict()
        assert record.outcome is moves.Outcome.DONE, record
        assert record.decided_at <= record.finish_by, record


@behave.then("every host sends requests to the new version")
def check_all_new(context):
    for fleet in context.fleets:
        fleet.run(10 * SECOND)
        fleet.exposed.clear()
        fleet.run(20 * SECOND)
        assert set(fleet.exposed) == {"v2"}, fleet.exposed


def kill_decider(fleet):
    fleet.remove_host(fleet.decider())
    fleet.add_host()
    return lambda: None


def pause_decider(fleet):
    paused = {fleet.decider()}
    fleet.paused |= paused
    return lambda: fleet.paused.difference_update(paused)


def race_deciders(fleet):
    for move_controller in fleet.host_by_id.values():
        move_controller._leadership.is_held = lambda: True
    return lambda: [
        move_controller._leadership.__dict__.pop("is_held", None)
        for move_controller in fleet.host_by_id.values()
    ]


def inject(**fields):
    def begin(fleet):
        fleet.store.inject(faulty_store.FaultRule(**fields))
        return fleet.store.clear

    return begin


def lose_facts(fleet):
    fleet.network.loss = 0.5
    return lambda: setattr(fleet.network, "loss", 0.0)


def kill_canary_hosts(fleet):
    canary_hosts = {
        host_id
        for host_id, move_controller in fleet.host_by_id.items()
        for active in move_controller._active_by_service.values()
        if active.is_canary_host
    }
    for host_id in canary_hosts:
        fleet.remove_host(host_id)
        fleet.network.fact_registry_by_host.pop(host_id, None)
        fleet.add_host()
    return lambda: None


def replace_all(fleet):
    for host_id in list(fleet.host_by_id):
        fleet.add_host()
        fleet.remove_host(host_id)
    return lambda: None


START_BY_FAULT = {
    "the decider dies": kill_decider,
    "the decider pauses": pause_decider,
    "two hosts decide": race_deciders,
    "the store is down": inject(fault=faulty_store.Fault.DOWN),
    "the store is slow": inject(
        fault=faulty_store.Fault.SLOW, delay=datetime.timedelta(milliseconds=400)
    ),
    "a reply of the store is lost": inject(
        fault=faulty_store.Fault.REPLY_LOST, methods=TXN, count=2
    ),
    "a request to the store is lost": inject(
        fault=faulty_store.Fault.REQUEST_LOST, methods=TXN, count=2
    ),
    "facts are lost": lose_facts,
    "the canary hosts die with their evidence": kill_canary_hosts,
    "every host is replaced": replace_all,
}


def run_with_fault(seed, version, step, begin):
    fleet = move_fleet.Fleet(seed, version)
    fleet.run(step * move_fleet.WINDOW + SECOND, has_verdict)
    end = begin(fleet)
    fleet.run(FAULT_DURATION)
    end()
    fleet.run(MAX_RUN_TIME, has_verdict)
    fleet.run(10 * SECOND)
    return fleet


@behave.when("a good and a faulty version are moved while {fault} at every step")
def run_matrix(context, fault):
    begin = START_BY_FAULT[fault]
    context.good = [
        run_with_fault(context.seed, move_fleet.Version(), step, begin)
        for step in FAULT_START_SHARES
    ]
    context.faulty = [
        run_with_fault(
            context.seed, move_fleet.Version(failing=0.6, begins=step), step, begin
        )
        for step in FAULT_START_SHARES[:-1]
    ]


@behave.then("every move has exactly one verdict that never changes")
def check_one_verdict(context):
    for fleet in (*context.good, *context.faulty):
        assert fleet.verdict() is not None, fleet.stored_records()


@behave.then("every faulty version is rolled back and every good one is done")
def check_matrix(context):
    good = [fleet.verdict() for fleet in context.good]
    faulty = [fleet.verdict() for fleet in context.faulty]
    wrong = [r for r in good if r.outcome is not moves.Outcome.DONE]
    wrong += [r for r in faulty if r.outcome is not moves.Outcome.UNDONE]
    assert not wrong, wrong
    late = [r for r in good if r.decided_at > r.finish_by]
    assert not late, late


class OverwritingStore(faulty_store.FaultyStore):
    """Writes without comparing, as a decider without compare-and-swap would."""

    def transact(self, compares, writes):
        return super().transact([], writes)


@behave.when("two hosts decide without compare-and-swap")
def run_overwriting(context):
    clock = move_fleet.VirtualClock()
    memory = move_fleet.memory_store.MemoryStore(clock)
    record_store = move_store.MoveStore(OverwritingStore(memory, clock), "entry-0")
    record = moves.open_record("step", move_fleet.make_move(), "v1", clock.now())
    stored = record_store.create(record)
    context.outcomes = []
    for outcome, reason in (
        (moves.Outcome.DONE, errors.Code.MOVE_FINISHED),
        (moves.Outcome.UNDONE, errors.Code.MOVE_NOT_PROVED),
    ):
        decision = moves.Close(outcome, reason)
        record_store.record_verdict(stored, decision, clock.now(), 0, "v1")
        stored_record = record_store.load().move_by_id[record.move_id].record
        context.outcomes.append(stored_record.outcome)


@behave.then("the check finds a verdict that changed")
def check_changed(context):
    assert len(set(context.outcomes)) == 2, context.outcomes


@behave.given(
    "a fleet that moves to a good version while the store is down past the deadline"
)
def start_store_down(context):
    context.fleet = move_fleet.Fleet(context.seed, move_fleet.Version())
    context.fleet.run(0.7 * move_fleet.WINDOW)
    inject(fault=faulty_store.Fault.DOWN)(context.fleet)


@behave.when("the deadline has passed")
def pass_deadline(context):
    context.fleet.run(0.3 * move_fleet.WINDOW + 5 * SECOND)


@behave.then("the status says that the store has not stored the verdict")
def check_status(context):
    for move_controller in context.fleet.host_by_id.values():
        (report,) = move_controller.status()
        assert report["verdict"] is None, report
        assert "store" in report["detail"], report


@behave.then("no request goes to the new version")
def check_none_new(context):
    context.fleet.run(5 * SECOND)
    context.fleet.exposed.clear()
    context.fleet.run(10 * SECOND)
    assert set(context.fleet.exposed) == {"v1"}, context.fleet.exposed


@behave.then("the move is undone once the store is back")
def check_undone_late(context):
    context.fleet.store.clear()
    context.fleet.run(10 * SECOND)
    assert context.fleet.verdict().outcome is moves.Outcome.UNDONE


@behave.when("the store goes down before the fault begins")
def lose_store(context):
    context.fleet.run(0.4 * move_fleet.WINDOW)
    inject(fault=faulty_store.Fault.DOWN)(context.fleet)
    context.fleet.run(0.5 * move_fleet.WINDOW)


@behave.then("no request goes to it later than 3 seconds after the first condemnation")
def check_stop_without_store(context):
    check_stop(context)


@behave.when("all hosts are lost at once after most of the window")
def lose_all(context):
    fleet = context.fleet
    fleet.run(0.78 * move_fleet.WINDOW)
    for host_id in list(fleet.host_by_id):
        fleet.remove_host(host_id)
    for _ in range(7):
        fleet.add_host()
    run_to_verdict(fleet)


@behave.then("the move is undone because it was not proved")
def check_not_proved(context):
    record = context.fleet.verdict()
    assert record.outcome is moves.Outcome.UNDONE, record
    assert record.reason is errors.Code.MOVE_NOT_PROVED, record


@behave.then("the version never received more than the unproved share")
def check_never_proved(context):
    assert context.fleet.verdict().proved_at is None
    check_exposure(context)


@behave.when("the operators remove the move")
def remove_move(context):
    context.fleet.run(0.3 * move_fleet.WINDOW)
    context.fleet.document = move_fleet.make_document({}, revision=2)
    context.fleet.run(5 * SECOND)


@behave.then("the move is undone because it was withdrawn")
def check_withdrawn(context):
    record = context.fleet.verdict()
    assert record.outcome is moves.Outcome.UNDONE, record
    assert record.reason is errors.Code.MOVE_WITHDRAWN, record


@behave.given("a fleet with two moves of one service and one of another")
def start_overlapping(context):
    context.fleet = move_fleet.Fleet(context.seed, move_fleet.Version())
    context.fleet.document = move_fleet.make_document(
        {
            "first": move_fleet.make_move(),
            "second": move_fleet.make_move("v3", starts=5, window=MAX_RUN_TIME),
            "other": move_fleet.make_move(service="ticketing"),
        }
    )


@behave.when("the first move and the other service's move are in progress")
def run_overlapping(context):
    context.fleet.run(0.5 * move_fleet.WINDOW)
    names = {record.name for record in context.fleet.stored_records().values()}
    assert names == {"first", "other"}, names


@behave.then("the second move of the service begins after the first one's verdict")
def check_queue(context):
    context.fleet.run(0.5 * move_fleet.WINDOW)
    record_by_name = {r.name: r for r in context.fleet.stored_records().values()}
    first, second = record_by_name["first"], record_by_name["second"]
    assert first.outcome is moves.Outcome.DONE, first
    assert second.start >= first.decided_at, second
    assert second.from_version == "v2", second
    assert record_by_name["other"].outcome is not None


@behave.then("the new version is in force though the document names the old one")
def check_in_force(context):
    context.fleet.run(5 * SECOND)
    context.fleet.exposed.clear()
    context.fleet.run(5 * SECOND)
    assert set(context.fleet.exposed) == {"v2"}, context.fleet.exposed


@behave.then("an edit of the document's current version puts that one in force")
def check_edit(context):
    fleet = context.fleet
    fleet.document = move_fleet.make_document(
        fleet.document.move_by_name, current="v3", revision=2
    )
    fleet.run(5 * SECOND)
    fleet.exposed.clear()
    fleet.run(5 * SECOND)
    assert set(fleet.exposed) == {"v3"}, fleet.exposed
    keys = fleet.store.range("/peridothitch/moves/in_force/").item_by_key
    assert not keys, keys
