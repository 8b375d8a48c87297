"""Steps for duties and mirrors."""

import datetime
import threading

import behave
import duty_fakes
import hypothesis
import quota_fleet
import virtual_clock
from hypothesis import strategies as st

from peridothitch import errors
from peridothitch.adapters import memory_store, metrics
from peridothitch.coordination import mirror
from peridothitch.gateway.forwarding import final_counts, peer_sync, usage_duty
from peridothitch.ports import store as stores

_WINDOW_PREFIX = "/peridothitch/usage-windows/"
_SETTINGS = hypothesis.settings(max_examples=100, deadline=None, derandomize=True)


class _FaultyStore:
    """Forwards calls; can refuse a write of a window's counts or lose its reply."""

    def __init__(self, service):
        self._service = service
        self.fault = ""

    def __getattr__(self, name):
        return getattr(self._service, name)

    def transact(self, compares, writes):
        if not any(write.key.startswith(_WINDOW_PREFIX) for write in writes):
            return self._service.transact(compares, writes)
        fault, self.fault = self.fault, ""
        if fault == "refuse":
            raise errors.StoreUnavailableError("refused")
        result = self._service.transact(compares, writes)
        if fault == "lose":
            raise errors.StoreUnclearError("lost")
        return result


class _Reports:
    def __init__(self):
        self.counts = {}

    def counts_by_process(self):
        return {"edge-1/a": self.counts}

    def has_seen_holder(self, number):
        return False

    def have_all_seen_era(self, era):
        return False

    def process_counts(self, oldest_window):
        return ()

    def add_departed(self, counts):
        assert not counts


def _make_duty(context, number):
    held = duty_fakes.Lease(number)
    duty = usage_duty.UsageDuty(
        context.platform,
        context.store,
        held,
        context.reports,
        final_counts.FinalCounts(),
        peer_sync.SharedClock(context.clock),
        quota_fleet.BOUNDS,
        context.clock,
        metrics.Metrics(),
    )
    return duty, held


@behave.given("the usage of a window is due")
def make_due(context):
    context.clock = virtual_clock.VirtualClock()
    context.store = _FaultyStore(memory_store.MemoryStore(context.clock))
    context.platform = duty_fakes.Platform()
    context.reports = _Reports()
    context.duty, context.held = _make_duty(context, 7)
    _run(context.duty, context.held, context.clock)
    context.platform.reports.clear()
    seconds = datetime.timedelta(seconds=1)
    context.window = int(context.clock.now().timestamp()) // 5
    context.reports.counts = {context.window: {"lanark": 41}}
    context.clock.advance(7.5 * seconds)


def _run(duty, held, clock, steps=24):
    for _ in range(steps):
        clock.advance(datetime.timedelta(milliseconds=250))
        try:
            duty.step(held.permit())
        except errors.CodedError:
            continue


_INJECT_BY_FAULT = {
    "nothing is wrong": lambda context: None,
    "the platform's answer is lost": lambda context: setattr(
        context.platform, "lose_next", True
    ),
    "the answer to the write is lost": lambda context: setattr(
        context.store, "fault", "lose"
    ),
    "the write to the store is refused": lambda context: setattr(
        context.store, "fault", "refuse"
    ),
}


@behave.when("the report is sent while {fault}")
def send_report(context, fault):
    _INJECT_BY_FAULT[fault](context)
    _run(context.duty, context.held, context.clock, steps=8)


@behave.when("a successor reports it again after more counts have arrived")
def report_as_successor(context):
    context.reports.counts = {context.window: {"lanark": 44}}
    duty, held = _make_duty(context, 9)
    _run(duty, held, context.clock, steps=4)


@behave.then("every report of the window had the same counts")
def check_same(context):
    counts = [
        r.count_by_customer
        for r in context.platform.reports
        if r.window == context.window
    ]
    assert counts and all(found == {"lanark": 41} for found in counts), counts


@behave.when("another host has reported with a higher number")
def supersede(context):
    context.platform.highest = 99
    _run(context.duty, context.held, context.clock, steps=8)


@behave.then("the holder gives up its lease")
def check_abandoned(context):
    assert context.held.abandoned


@behave.given("the duties have just been taken over")
def take_over(context):
    context.duty, context.held = _make_duty(context, 11)


@behave.then("nothing is reported before the hosts had time to report")
def check_waits(context):
    first = len(context.platform.reports)
    _run(context.duty, context.held, context.clock, steps=4)
    own = [r.window for r in context.platform.reports[first:]]
    assert context.window not in own, own
    _run(context.duty, context.held, context.clock, steps=8)
    own = [r.window for r in context.platform.reports[first:]]
    assert context.window in own, own


@behave.given("a mirror of a prefix")
def make_mirror(context):
    context.clock = virtual_clock.VirtualClock()
    context.store = memory_store.MemoryStore(context.clock)
    context.mirror = mirror.Mirror(
        "op/", context.store, context.clock, metrics.Metrics()
    )


def _state(revision, values):
    items = tuple((key, value, rev, rev) for key, (value, rev) in values.items())
    return mirror.MirrorState(
        "op/", revision, tuple(mirror.MirrorItem(*i) for i in items)
    )


@behave.when("peers and the store send it changes in any order")
def send_changes(context):
    context.checked = False

    @_SETTINGS
    @hypothesis.given(st.permutations(range(1, 9)), st.lists(st.integers(1, 8)))
    def run(order, repeats):
        found = mirror.Mirror("op/", None, context.clock, metrics.Metrics())
        seen = 0
        for revision in [*order, *repeats]:
            values = {"op/config": (b"%d" % revision, revision)}
            news = found.merge(_state(revision, values))
            assert news == (revision > seen)
            seen = max(seen, revision)
            assert found.revision == seen
            assert found.items()["op/config"].value == b"%d" % seen
        context.checked = True

    run()


@behave.then("its revision only grows and its content is that of the revision")
def check_no_revert(context):
    assert context.checked


@behave.when("the history is compacted while it is not watching")
def compact_history(context):
    service = context.store
    service.transact([], [stores.Put("op/config", b"1")])
    context.mirror.read()
    service.transact([], [stores.Put("op/config", b"2"), stores.Put("op/x", b"3")])
    context.stop = threading.Event()

    class _Gone(stores.Watch):
        def poll(self, timeout):
            context.stop.set()
            raise errors.StoreHistoryGoneError("gone")

        def close(self):
            pass

    service.watch = lambda prefix, start: _Gone()
    context.mirror.run(context.stop)


@behave.then("it reads everything again and has the newest content")
def check_newest(context):
    items = context.mirror.items()
    assert items["op/config"].value == b"2"
    assert items["op/x"].value == b"3"
