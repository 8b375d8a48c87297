import datetime
import itertools
import os
import subprocess
import sys
import threading

import behave
import fake_network
import processes

from peridothitch import errors
from peridothitch.adapters import memory_store
from peridothitch.coordination import lease, reconciliation
from peridothitch.standins import faulty_store

SECOND = datetime.timedelta(seconds=1)
TERMS = lease.LeaseTerms(name="decider", ttl=10 * SECOND, max_order_time=2 * SECOND)
PAUSES = (3 * SECOND, 9 * SECOND, 11 * SECOND, 25 * SECOND, 60 * SECOND)
ROUNDS = 3
ROUND_TIME = 2 * SECOND
MAX_OPERATIONS = 60


class NoDeadlineLease(lease.FencedLease):
    """Counts as held until the store reports its loss, without a local deadline."""

    def permit(self):
        if not self._lease_id:
            raise errors.LeaseError("not held")
        return lease.Permit(self.fencing_number, self._deadline)

    def _wait_for_last(self, record):
        return datetime.timedelta(0)


class Pauser:
    """Pauses one process before its nth operation."""

    def __init__(self, position, pause):
        self.remaining_operations = position
        self.pause = pause

    def tick(self):
        self.remaining_operations -= 1
        if self.remaining_operations == 0:
            self.pause()


class PausingClock(fake_network.VirtualClock):
    def __init__(self, clock, pauser):
        self._clock = clock
        self._pauser = pauser

    def monotonic(self):
        self._pauser.tick()
        return self._clock.monotonic()


class PausingStore:
    """Pauses before each call and before its result is returned."""

    def __init__(self, service, pauser):
        self._service = service
        self._pauser = pauser

    def __getattr__(self, name):
        def call(*arguments):
            self._pauser.tick()
            answer = getattr(self._service, name)(*arguments)
            self._pauser.tick()
            return answer

        return call


class Engine:
    """Executes orders and records their fencing numbers."""

    def __init__(self, clock, checks):
        self.clock = clock
        self.checks = checks
        self.state = "none"
        self.highest = 0
        self.accepted_numbers = []

    def accept(self, state, permit):
        if self.checks and permit.fencing_number < self.highest:
            raise errors.LeaseError("old fencing number")
        self.highest = max(self.highest, permit.fencing_number)
        self.accepted_numbers.append(permit.fencing_number)
        self.state = state


class Target(reconciliation.OrderTarget):
    """One process's connection to an engine."""

    def __init__(self, engine, pauser, permits):
        self._engine = engine
        self._pauser = pauser
        self._permits = permits

    def read(self):
        self._pauser.tick()
        return self._engine.state

    def order(self, state, permit):
        now = self._engine.clock.monotonic()
        self._permits.append((permit.fencing_number, now, permit.deadline))
        self._pauser.tick()
        self._engine.accept(state, permit)


class LeaseRun:
    """One run of two processes that compete for a lease and give opposite orders."""

    def __init__(self, position, pause, checks, lease_type=lease.FencedLease):
        self.clock = fake_network.VirtualClock()
        inner = memory_store.MemoryStore(self.clock)
        self.store = faulty_store.FaultyStore(inner, self.clock)
        self.engine = Engine(self.clock, checks)
        self.permits = []
        self.paused = False
        self._pause = pause
        pauser = Pauser(position, self.run_other)
        self.second = self._make("second", Pauser(0, None), lease_type)
        self.first = self._make("first", pauser, lease_type)

    def _make(self, name, pauser, lease_type):
        clock = PausingClock(self.clock, pauser)
        service = PausingStore(self.store, pauser)
        part = lease_type(service, TERMS, name, clock)
        return name, part, Target(self.engine, pauser, self.permits)

    def round(self, process):
        name, part, target = process
        try:
            part.step()
        except errors.StoreError:
            pass
        return reconciliation.Reconciler(part).reconcile(target, f"state of {name}")

    def run_other(self):
        """Run the second process while the first one is paused."""
        self.paused = True
        end = self.clock.elapsed + self._pause
        while self.clock.elapsed < end:
            self.round(self.second)
            self.clock.elapsed += SECOND

    def run(self):
        for _ in range(ROUNDS):
            self.round(self.first)
            self.round(self.second)
            self.clock.elapsed += ROUND_TIME
        for _ in range(40):
            self.round(self.second)
            self.round(self.first)
            self.clock.elapsed += SECOND

    def overlaps(self):
        """Return pairs of permits where one was given before another's deadline."""
        return [
            (earlier, later)
            for earlier, later in itertools.combinations(self.permits, 2)
            if earlier[0] != later[0] and later[1] < earlier[2]
        ]


def make_runs(checks, lease_type=lease.FencedLease):
    for pause in PAUSES:
        for position in range(1, MAX_OPERATIONS):
            yield LeaseRun(position, pause, checks, lease_type)


def check_no_overlap(lease_run):
    assert not lease_run.overlaps(), lease_run.overlaps()


@behave.then("for each pause of the holder no two holders may act at the same time")
def check_pauses(context):
    paused = 0
    for checks in (True, False):
        for lease_run in make_runs(checks):
            lease_run.run()
            paused += lease_run.paused
            check_no_overlap(lease_run)
    assert paused > len(PAUSES) * 30, paused


@behave.then("an engine that checks fencing numbers rejects an older holder's orders")
def check_checking_engine(context):
    out_of_order_count = 0
    for checks in (True, False):
        for lease_run in make_runs(checks):
            lease_run.run()
            numbers = lease_run.engine.accepted_numbers
            assert not checks or numbers == sorted(numbers), numbers
            out_of_order_count += numbers != sorted(numbers)
    assert out_of_order_count, "no pause made an old order arrive after a newer one"


@behave.then("an engine that ignores them ends in the newest holder's state")
def check_ignoring_engine(context):
    for lease_run in make_runs(checks=False):
        lease_run.run()
        name, part, _ = max(
            (lease_run.first, lease_run.second),
            key=lambda process: process[1].fencing_number,
        )
        assert lease_run.engine.state == f"state of {name}", (
            lease_run.engine.accepted_numbers
        )


@behave.then(
    "with a lease that trusts its last renewal two holders act at the same time"
)
def check_no_deadline_lease(context):
    found_count = 0
    for lease_run in make_runs(checks=False, lease_type=NoDeadlineLease):
        lease_run.run()
        found_count += bool(lease_run.overlaps())
    assert found_count, "no pause made two holders act at the same time"


@behave.then(
    "for each store fault and each pause no two holders may act at the same time"
)
def check_store_faults(context):
    fault = faulty_store.Fault
    rules = [
        (kind, method, skip)
        for kind in (fault.DOWN, fault.REPLY_LOST, fault.REQUEST_LOST)
        for method in ("txn", "lease_grant", "lease_keepalive", "range")
        for skip in (0, 1)
    ]
    rules += [(fault.LEASE_LAPSED, "lease_keepalive", skip) for skip in (0, 1, 2)]
    for kind, method, skip in rules:
        for pause in (3 * SECOND, 11 * SECOND):
            for position in range(1, 40, 3):
                lease_run = LeaseRun(position, pause, False)
                lease_run.store.inject(
                    faulty_store.FaultRule(
                        fault=kind, methods=frozenset({method}), skip=skip, count=2
                    )
                )
                lease_run.run()
                check_no_overlap(lease_run)
                assert lease_run.permits, (kind, method, skip)


@behave.given("a lease that one process holds")
def hold_lease(context):
    context.clock = fake_network.VirtualClock()
    context.store = memory_store.MemoryStore(context.clock)
    context.first, context.second = (
        lease.FencedLease(context.store, TERMS, name, context.clock)
        for name in ("first", "second")
    )
    assert context.first.step()
    assert context.first.is_held()
    assert not context.second.step()


@behave.when("the holder releases the lease and another process acquires it")
def hand_over(context):
    context.first.release()
    assert context.second.step()


@behave.then("the other process may act at once with a higher fencing number")
def check_handed_over(context):
    assert not context.first.is_held()
    number = context.second.permit().fencing_number
    assert number > context.first.fencing_number > 0


@behave.when("the holder is killed and another process acquires the lease")
def take_over(context):
    context.old_deadline = context.first.permit().deadline
    while not context.second.step():
        context.clock.elapsed += SECOND


@behave.then("the other process acts only after the old deadline and the longest order")
def check_waited(context):
    while not context.second.is_held():
        context.clock.elapsed += SECOND
        context.second.step()
    assert context.clock.elapsed >= context.old_deadline + TERMS.max_order_time


@behave.then('the example "{name}" ends with "{text}"')
def check_example(context, name, text):
    done = subprocess.run(
        [sys.executable, str(processes.ROOT / "examples" / name)],
        capture_output=True,
        text=True,
        timeout=120,
        env=os.environ | {"PYTHONPATH": str(processes.ROOT / "src")},
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.splitlines()[-1].startswith(text), done.stdout


@behave.when("the holder continues without being a candidate")
def run_without_candidacy(context):
    stop = threading.Event()

    def is_candidate():
        stop.set()
        return False

    context.first.run(stop, is_candidate)


@behave.then("another process acquires the lease and may act at once")
def check_taken(context):
    assert not context.first.is_held()
    assert context.second.step()
    assert context.second.is_held()
