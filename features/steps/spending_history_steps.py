import datetime
import itertools

import behave
import hypothesis
import spending_fleet
from hypothesis import strategies

from peridothitch.standins import faulty_store

FAULTS = (
    "down",
    "reply_lost",
    "request_lost",
    "late",
    "cut",
    "peer_reply_lost",
    "dies",
)
STEPS = ("first reserve", "second reserve", "settle", "lowering", "give back")

ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("reserve"),
        strategies.integers(0, 9),
        strategies.integers(1, 120),
    ),
    strategies.tuples(
        strategies.just("settle"),
        strategies.integers(0, 9),
        strategies.sampled_from((0.0, 0.4, 1.0)),
    ),
    strategies.tuples(
        strategies.just("fault"),
        strategies.integers(0, 9),
        strategies.sampled_from(("down", "reply_lost", "request_lost", "late")),
    ),
    strategies.tuples(
        strategies.sampled_from(
            (
                "cut",
                "heal",
                "kill",
                "join",
                "lower",
                "raise",
                "receive_limit",
                "wait",
                "stop",
            )
        ),
        strategies.integers(0, 9),
        strategies.integers(0, 900),
    ),
    strategies.tuples(
        strategies.just("lose_replies"), strategies.just(0), strategies.booleans()
    ),
)


class _History:
    """Applies generated actions and checks the limit after each of them."""

    def __init__(self, amount=900):
        self.fleet = spending_fleet.SpendingFleet(3, amount)
        self.ceiling = amount

    def apply(self, action, number, argument):
        fleet = self.fleet
        names = sorted(fleet.host_by_id)
        host_id = names[number % len(names)]
        host = fleet.host_by_id[host_id]
        getattr(self, "_" + action)(host_id, host, argument)
        self._check()

    def _check(self):
        fleet = self.fleet
        newest = fleet.limit_by_revision[fleet.revision]
        committed = fleet.committed(fleet.current_period())
        if all(host.revision == fleet.revision for host in fleet.host_by_id.values()):
            # All hosts have the newest limit: only the amount that is committed
            # already may exceed it from now on.
            self.ceiling = max(newest, min(self.ceiling, committed))
        else:
            self.ceiling = max(self.ceiling, newest)
        assert committed <= self.ceiling, (committed, self.ceiling)

    def _reserve(self, host_id, host, amount):
        self.fleet.reserve(host, amount)

    def _settle(self, host_id, host, share):
        self.fleet.settle(host, share)

    def _fault(self, host_id, host, fault):
        if fault == "late":
            host.delaying_store.hold_next = 3
        else:
            count = None if fault == "down" else 1
            host.store.inject(
                faulty_store.FaultRule(fault=faulty_store.Fault(fault), count=count)
            )

    def _heal(self, host_id, host, argument):
        self.fleet.disconnected_ids.discard(host_id)
        host.store.clear()

    def _cut(self, host_id, host, argument):
        self.fleet.disconnected_ids.add(host_id)

    def _kill(self, host_id, host, argument):
        if len(self.fleet.host_by_id) > 1:
            self.fleet.kill(host_id)

    def _stop(self, host_id, host, argument):
        host.limiter.close()

    def _join(self, host_id, host, argument):
        if len(self.fleet.host_by_id) < 6:
            self.fleet.add_host()

    def _lower(self, host_id, host, amount):
        fleet = self.fleet
        fleet.limit_by_revision[fleet.revision + 1] = min(
            amount, fleet.limit_by_revision[fleet.revision]
        )
        fleet.revision += 1

    def _raise(self, host_id, host, amount):
        fleet = self.fleet
        fleet.limit_by_revision[fleet.revision + 1] = max(
            amount, fleet.limit_by_revision[fleet.revision]
        )
        fleet.revision += 1

    def _receive_limit(self, host_id, host, argument):
        host.revision = self.fleet.revision

    def _wait(self, host_id, host, seconds):
        self.fleet.clock.advance(datetime.timedelta(seconds=seconds))
        for other in self.fleet.host_by_id.values():
            other.limiter.release_idle()

    def _lose_replies(self, host_id, host, lose):
        self.fleet.lose_replies = lose


@hypothesis.settings(max_examples=400)
@hypothesis.given(strategies.lists(ACTIONS, max_size=60))
def _check_limit(actions):
    history = _History()
    for action in actions:
        history.apply(*action)


@behave.then("no generated history of spending exceeds its limit")
def check_histories(context):
    _check_limit()


def _inject(history, fault, host_id, host):
    if fault == "cut":
        history._cut(host_id, host, 0)
    elif fault == "peer_reply_lost":
        history.fleet.lose_replies = True
    elif fault == "dies":
        history._kill(host_id, host, 0)
    else:
        history._fault(host_id, host, fault)


def _run_step(history, step, host_id):
    host = history.fleet.host_by_id.get(host_id)
    if host is None:
        return
    if step in ("first reserve", "second reserve"):
        history.apply("reserve", 0, 200)
    elif step == "settle":
        history.apply("settle", 0, 0.5)
    elif step == "lowering":
        history.apply("lower", 0, 300)
        for number in range(3):
            history.apply("receive_limit", number, 0)
        history.apply("reserve", 0, 50)
    else:
        history.apply("stop", 0, 0)


@behave.then("every spending fault at every spending step respects the limit")
def check_matrix(context):
    cells = 0
    pairs = [
        (first, second)
        for first in itertools.product(FAULTS, STEPS)
        for second in itertools.product((None, *FAULTS), STEPS)
    ]
    for first, second in pairs:
        history = _History()
        for step in STEPS:
            for fault, fault_step in (first, second):
                names = sorted(history.fleet.host_by_id)
                if fault is not None and fault_step == step:
                    host = history.fleet.host_by_id[names[0]]
                    _inject(history, fault, names[0], host)
            _run_step(history, step, sorted(history.fleet.host_by_id)[0])
        for _ in range(30):
            for number in range(3):
                history.apply("reserve", number, 40)
        cells += 1
    assert cells == len(pairs), cells
