"""Steps for moves that operators order."""

import behave
import move_fleet
import ordered_move_fleet as fleets

from peridothitch.standins import faulty_store

SECOND = move_fleet.SECOND
OBSERVATION_TIME = 10 * SECOND
ROLLBACK_TIME = 5 * SECOND
BAD_ANSWERS = 50
_DOWN = faulty_store.FaultRule(fault=faulty_store.Fault.DOWN)


@behave.given(
    "operators order a move within {window:d} seconds at {rate:d} requests a second"
)
def order_good(context, window, rate):
    order(context, window, rate, "is good")


@behave.given(
    "operators order a move within {window:d} seconds at {rate:d} requests a second "
    "to a version that {fault}"
)
def order(context, window, rate, fault):
    version = move_fleet.VERSION_BY_FAULT.get(fault, move_fleet.Version())
    context.fleet = fleets.OrderedMoveFleet(
        context.seed, version, window * SECOND, float(rate)
    )


@behave.when("the window of the move has passed")
def run_to_end(context):
    fleet = context.fleet
    fleet.run(fleet.ordered_at + fleet.window - fleet.clock.elapsed)
    context.state_at_end = fleet.state
    if fleet.state == "completed":
        fleet.is_old_version_removed = True
    context.exposed = fleet.exposed["v2"]
    context.requests = fleet.requests


def _check_reported(context, *states):
    reported = [state for _, state in context.fleet.reported_states]
    assert reported == list(states), context.fleet.reported_states


@behave.then('the reported state was "{first}" and then "{second}" in time')
def check_reported(context, first, second):
    _check_reported(context, first, second)
    assert context.state_at_end == second, (
        context.state_at_end,
        context.fleet.reported_states,
    )


@behave.then('the reported state was "{first}" and then "{second}" and then "{third}"')
def check_reported_three(context, first, second, third):
    _check_reported(context, "in_progress", first, second, third)


def _check_all_go_to(context, version):
    fleet = context.fleet
    fleet.run(2 * SECOND)
    fleet.exposed.clear()
    fleet.run(OBSERVATION_TIME)
    assert set(fleet.exposed) == {version}, fleet.exposed


@behave.then("every request goes to the new version")
def check_all_new(context):
    _check_all_go_to(context, "v2")


@behave.then("every request goes to the old version")
def check_all_old(context):
    _check_all_go_to(context, "v1")


@behave.then("every request went to the old version")
def check_none_new(context):
    assert set(context.fleet.exposed) == {"v1"}, context.fleet.exposed


@behave.then("at most a tenth of all requests and 50 more went to it")
def check_exposed(context):
    if context.fleet.state == "completed":
        return
    max_exposed = fleets.EXPOSED_SHARE * context.requests + fleets.EXPOSED_ALLOWANCE
    assert context.exposed <= max_exposed, (context.exposed, context.requests)


@behave.then("none went to it later than 5 seconds after its 50th bad answer")
def check_rollback(context):
    fleet = context.fleet
    if len(fleet.bad_answer_times) < BAD_ANSWERS:
        return
    delay = fleet.last_new_version_at - fleet.bad_answer_times[BAD_ANSWERS - 1]
    assert delay <= ROLLBACK_TIME, delay


@behave.when("the deciding host is killed after {seconds:d} seconds")
def kill_decider(context, seconds):
    fleet = context.fleet
    fleet.run(seconds * SECOND)
    fleet.remove_host(fleet.decider())
    fleet.add_host()


@behave.when("all hosts are killed at once after {seconds:d} seconds")
def kill_all(context, seconds):
    fleet = context.fleet
    fleet.run(seconds * SECOND)
    host_ids = list(fleet.host_by_id)
    for host_id in host_ids:
        fleet.remove_host(host_id)
    for _ in host_ids:
        fleet.add_host()


@behave.when("the store is down for {length:d} seconds after {seconds:d} seconds")
def stop_store(context, length, seconds):
    fleet = context.fleet
    fleet.run(seconds * SECOND)
    fleet.store.inject(_DOWN)
    fleet.run(length * SECOND)
    fleet.store.clear()


@behave.given("the store is down")
def take_store_down(context):
    context.fleet.store.inject(_DOWN)


@behave.when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    context.fleet.run(seconds * SECOND)


@behave.when("the version is repaired and operators order it again")
def order_again(context):
    context.fleet.version = move_fleet.Version()
    context.fleet.order("v2")


@behave.when("the hosts of the old version are lost for {seconds:d} seconds")
def lose_old_version(context, seconds):
    fleet = context.fleet
    fleet.is_old_version_removed = True
    fleet.run(seconds * SECOND)
    fleet.is_old_version_removed = False


@behave.then("requests were rejected meanwhile")
def check_rejected(context):
    assert context.fleet.rejected > 0, context.fleet.rejected


@behave.when("the old version is overloaded")
def overload_old_version(context):
    context.fleet.old_slowdown = 4.0


@behave.given(
    "{hosts:d} hosts have served {rate:d} requests a second for {seconds:d} seconds"
)
def set_fleet(context, hosts, rate, seconds):
    context.fleet_options = {
        "rate": float(rate),
        "host_count": hosts,
        "served": seconds * SECOND,
    }


@behave.when(
    "operators order a move within {window:d} seconds to a version that {fault}"
)
def order_after_serving(context, window, fault):
    context.fleet = fleets.OrderedMoveFleet(
        context.seed,
        move_fleet.VERSION_BY_FAULT[fault],
        window * SECOND,
        **context.fleet_options,
    )


@behave.then("the next slow answer of the new version counts as slow at each host")
def check_slow(context):
    for host in context.fleet.host_by_id.values():
        assert host.count_slow_answer(30 * SECOND) == 1, host


@behave.given("a copy of the store was taken {seconds:d} seconds later")
def copy_store(context, seconds):
    context.fleet.run(seconds * SECOND)
    context.copied = context.fleet.copy_store()


@behave.when("the store comes back from the copy and all hosts go on")
def restore_store(context):
    context.fleet.restore_store(context.copied)


@behave.when("the store comes back from the copy and the deciding host is killed")
def restore_store_and_kill(context):
    fleet = context.fleet
    fleet.remove_host(fleet.decider())
    fleet.restore_store(context.copied)
    fleet.add_host()


@behave.then("no request goes to the new version in {seconds:d} seconds")
def check_not_tried(context, seconds):
    fleet = context.fleet
    fleet.exposed.clear()
    fleet.run(seconds * SECOND)
    assert set(fleet.exposed) == {"v1"}, fleet.exposed


@behave.then('the reported state is "{state}" at the end')
def check_state(context, state):
    assert context.fleet.state == state, context.fleet.reported_states
