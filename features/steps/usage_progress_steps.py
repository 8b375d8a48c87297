"""Steps for usage that is not reported yet."""

import datetime

import behave
import duty_fakes
import msgspec
import quota_fleet
import restorable_store
import virtual_clock

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.coordination import single_host
from peridothitch.gateway.forwarding import (
    final_counts,
    fleet_messages,
    fleet_reports,
    peer_sync,
    usage_duty,
    usage_progress,
)
from peridothitch.ports import peers, store

_STEP = datetime.timedelta(milliseconds=250)
_KEY = "/peridothitch/usage-progress"
_COUNTS = {"lanark": 40, "fife": 3}
_HOST_COUNT = 3


class _Process:
    """The reports and the duty of one process of an entry host."""

    def __init__(self, context, name, fencing_number):
        self._context = context
        self.metrics = metrics.Metrics()
        peer = peers.Peer(host_id=name, address="", data_centre="lothian-a")
        self._peers = single_host.SingleHostPeers(peer)
        self._final_counts = final_counts.FinalCounts()
        self.reports = fleet_reports.FleetReports(
            self._peers,
            lambda: name,
            self.make_report,
            dict,
            context.clock,
            self.metrics,
            self._final_counts,
        )
        self.lease = duty_fakes.Lease(fencing_number)
        self.duty = usage_duty.UsageDuty(
            context.platform,
            context.store,
            self.lease,
            self.reports,
            self._final_counts,
            peer_sync.SharedClock(context.clock),
            quota_fleet.BOUNDS,
            context.clock,
            self.metrics,
        )

    def make_report(self):
        era = store.era_of(self._context.store.revision)
        statement = self._final_counts.statement(era)
        return fleet_messages.HostReport(
            self._peers.host_id,
            "own",
            {},
            {},
            {},
            {},
            {},
            **fleet_messages.statement_fields(statement),
        )

    def see_holder(self, fencing_number):
        """See another host's fencing number in the store."""
        self._final_counts.record_holder(fencing_number)

    def receive_report(self, report):
        """Receive another host's report as a call."""
        payload = msgspec.msgpack.encode(report)
        self._peers.call(self._peers.host_id, "forwarding.report", payload, _STEP)

    def take_over(self, fencing_number):
        """Acquire the lease again."""
        self.lease.number = fencing_number

    def receive(self, counts):
        self.reports.add_departed(counts)

    def run(self, clock, seconds):
        for _ in range(int(seconds / _STEP.total_seconds())):
            clock.advance(_STEP)
            self.reports.send()
            try:
                self.duty.step(self.lease.permit())
            except errors.CodedError:
                continue


def _begin_era(context, era):
    """Let the store come back from a copy of all that it has."""
    while store.era_of(context.store.revision) < era:
        context.store.restore(context.store.copy())


def _process_counts(context):
    return [
        fleet_messages.ProcessCounts(f"edge-{n}", "p", {context.window: _COUNTS})
        for n in range(_HOST_COUNT)
    ]


@behave.given("3 entry hosts that counted requests in a window")
def count_requests(context):
    context.clock = virtual_clock.VirtualClock()
    context.store = restorable_store.RestorableStore(context.clock)
    context.platform = duty_fakes.Platform()
    _begin_era(context, 1)
    context.holder = _Process(context, "edge-0", store.in_era(1, 7))
    context.holder.run(context.clock, 4)
    context.window = int(context.clock.now().timestamp()) // 5
    context.holder.receive(_process_counts(context))
    context.holder.run(context.clock, 1)


@behave.given("the window ended {seconds:g} seconds ago")
def end_window(context, seconds):
    end = (context.window + 1) * 5 + seconds
    context.holder.run(context.clock, end - context.clock.now().timestamp())


@behave.when("all of them are killed and the duties are taken over by a new process")
def kill_all(context):
    context.clock.advance(datetime.timedelta(seconds=2))
    _Process(context, "edge-2", store.in_era(1, 9)).run(context.clock, 10)


@behave.when("the holder is killed and another host takes over the duties")
def kill_holder(context):
    successor = _Process(context, "edge-2", store.in_era(1, 9))
    successor.receive(_process_counts(context)[1:])
    successor.run(context.clock, 10)


@behave.then("the window is reported once with all its requests")
def check_report(context):
    reports = [r for r in context.platform.reports if r.window == context.window]
    expected = {name: _HOST_COUNT * count for name, count in _COUNTS.items()}
    assert [r.count_by_customer for r in reports] == [expected], reports


@behave.when("the holder is paused, another takes over, and the first one saves again")
def pause_holder(context):
    successor = _Process(context, "edge-2", store.in_era(1, 9))
    newer = {context.window + 1: {"lanark": 1}}
    successor.receive([fleet_messages.ProcessCounts("edge-2", "q", newer)])
    successor.run(context.clock, 2)
    former = usage_progress.UsageProgress(
        context.store, context.holder.reports, context.clock, context.holder.metrics
    )
    former.restore()
    context.clock.advance(_STEP * 8)
    successor.receive([fleet_messages.ProcessCounts("edge-1", "q", newer)])
    successor.run(context.clock, 2)
    context.saved = context.store.get(_KEY).value
    former.save(context.window)


@behave.then("the saved counts are those of the successor")
def check_saved(context):
    assert context.store.get(_KEY).value == context.saved


@behave.when("the saved counts are damaged and another host takes over the duties")
def damage(context):
    context.store.transact([], [store.Put(_KEY, b"\xc1garbage")])
    context.successor = _Process(context, "edge-2", store.in_era(1, 9))
    context.successor.receive(_process_counts(context))
    context.successor.run(context.clock, 10)


@behave.then("it counts a damaged record and goes on")
def check_damaged(context):
    assert context.successor.metrics.value("malformed_usage_progress") == 1
    check_report(context)


@behave.when(
    "it is reported, the store loses its counts, and more requests become known"
)
def report_and_lose(context):
    _report(context)
    _lose_counts(context)


def _report(context):
    context.holder.run(context.clock, 1)
    assert [r.window for r in context.platform.reports][-1] == context.window


def _lose_counts(context):
    key = f"/peridothitch/usage-windows/{context.window}"
    assert context.store.get(key) is not None
    context.store.transact([], [store.Delete(key), store.Delete(_KEY)])
    context.late_counts = [
        fleet_messages.ProcessCounts("edge-1", "q", {context.window: {"lanark": 2}})
    ]


@behave.when(
    "it is reported, the holder dies, and a successor takes over in the same era"
)
def report_and_die(context):
    _report(context)
    context.holder = _Process(context, "edge-2", store.in_era(1, 9))
    context.holder.see_holder(store.in_era(1, 7))
    context.holder.see_holder(store.in_era(1, 9))
    context.holder.run(context.clock, 0.5)


@behave.when(
    "the store loses its counts, and the successor takes over again in a later era"
)
def lose_and_take_over(context):
    _lose_counts(context)
    _begin_era(context, 2)
    context.holder.receive(context.late_counts)
    context.holder.take_over(store.in_era(2, 8))
    context.holder.run(context.clock, 4)


@behave.when("the same process takes over the duties again")
def take_over_again(context):
    context.holder.receive(context.late_counts)
    context.holder.take_over(store.in_era(1, 9))
    context.holder.run(context.clock, 4)


@behave.when("another host takes over the duties and hears of the first one's counts")
def take_over_elsewhere(context):
    successor = _Process(context, "edge-2", store.in_era(1, 9))
    successor.receive(_process_counts(context) + context.late_counts)
    successor.run(context.clock, 0.5)
    successor.receive_report(context.holder.make_report())
    successor.run(context.clock, 4)


@behave.then("every report of the window has the same counts")
def check_same(context):
    reports = [r for r in context.platform.reports if r.window == context.window]
    counts = [report.count_by_customer for report in reports]
    assert len(reports) >= 1 and all(found == counts[0] for found in counts), counts
    assert context.store.get(f"/peridothitch/usage-windows/{context.window}")


@behave.when("all of them are killed and a new process takes over in a later era")
def kill_all_in_later_era(context):
    _begin_era(context, 2)
    context.holder = _Process(context, "edge-2", store.in_era(2, 6))
    context.holder.see_holder(0)
    other = _Process(context, "edge-1", 0)
    context.holder.receive_report(other.make_report())
    context.holder.receive(context.late_counts)
    context.holder.run(context.clock, 2)


@behave.then("the window was reported once")
def check_reported_once(context):
    reports = [r for r in context.platform.reports if r.window == context.window]
    assert len(reports) == 1, reports


@behave.then("the next window is reported as usual")
def check_next(context):
    counts = {context.window + 1: {"lanark": 3}}
    context.holder.receive([fleet_messages.ProcessCounts("edge-1", "q", counts)])
    end = (context.window + 2) * 5 + 4
    context.holder.run(context.clock, end - context.clock.now().timestamp())
    reports = [r for r in context.platform.reports if r.window == context.window + 1]
    assert [r.count_by_customer for r in reports] == [{"lanark": 3}], reports


@behave.given("the holder has taken over the duties in the first era")
def take_over_in_first_era(context):
    context.holder.take_over(store.in_era(1, 7))
    context.holder.run(context.clock, 0.5)


@behave.when("the store comes back and another host takes over in a later era")
def take_over_in_later_era(context):
    _begin_era(context, 2)
    successor = _Process(context, "edge-2", store.in_era(2, 6))
    successor.see_holder(store.in_era(1, 7))
    context.clock.advance(datetime.timedelta(seconds=2))
    successor.run(context.clock, 0.5)
    successor.receive_report(context.holder.make_report())
    successor.receive(_process_counts(context))
    successor.run(context.clock, 8)


@behave.given("a host that knows the final counts of windows {first:d} to {last:d}")
def know_counts(context, first, last):
    context.final_counts = final_counts.FinalCounts()
    find_counts(context, first, last)


@behave.when("it finds those of windows {first:d} to {last:d} in a copy of the store")
def find_counts(context, first, last):
    for window in range(first, last + 1):
        context.final_counts.record_own(window, {"lanark": window})


@behave.then("it still knows the counts of window {window:d}")
def check_known(context, window):
    assert context.final_counts.find(window) == {"lanark": window}
