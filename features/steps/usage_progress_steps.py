"""Steps for usage that is not reported yet."""

import datetime

import behave
import duty_fakes
import quota_fleet
import virtual_clock

from peridothitch import errors
from peridothitch.adapters import memory_store, metrics
from peridothitch.coordination import single_host
from peridothitch.gateway.forwarding import (
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
        self.metrics = metrics.Metrics()
        peer = peers.Peer(host_id=name, address="", data_centre="lothian-a")
        self.reports = fleet_reports.FleetReports(
            single_host.SingleHostPeers(peer),
            lambda: name,
            lambda: fleet_messages.HostReport(name, "p", {}, {}, {}, {}, {}),
            dict,
            context.clock,
            self.metrics,
        )
        self.lease = duty_fakes.Lease(fencing_number)
        self.duty = usage_duty.UsageDuty(
            context.platform,
            context.store,
            self.lease,
            self.reports,
            peer_sync.SharedClock(context.clock),
            quota_fleet.BOUNDS,
            context.clock,
            self.metrics,
        )

    def receive(self, counts):
        self.reports.add_departed(counts)

    def run(self, clock, seconds):
        for _ in range(int(seconds / _STEP.total_seconds())):
            clock.advance(_STEP)
            try:
                self.duty.step(self.lease.permit())
            except errors.CodedError:
                continue


def _process_counts(context):
    return [
        fleet_messages.ProcessCounts(f"edge-{n}", "p", {context.window: _COUNTS})
        for n in range(_HOST_COUNT)
    ]


@behave.given("3 entry hosts that counted requests in a window")
def count_requests(context):
    context.clock = virtual_clock.VirtualClock()
    context.store = memory_store.MemoryStore(context.clock)
    context.platform = duty_fakes.Platform()
    context.holder = _Process(context, "edge-0", 7)
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
    _Process(context, "edge-2", 9).run(context.clock, 10)


@behave.when("the holder is killed and another host takes over the duties")
def kill_holder(context):
    successor = _Process(context, "edge-2", 9)
    successor.receive(_process_counts(context)[1:])
    successor.run(context.clock, 10)


@behave.then("the window is reported once with all its requests")
def check_report(context):
    reports = [r for r in context.platform.reports if r.window == context.window]
    expected = {name: _HOST_COUNT * count for name, count in _COUNTS.items()}
    assert [r.count_by_customer for r in reports] == [expected], reports


@behave.when("the holder is paused, another takes over, and the first one saves again")
def pause_holder(context):
    successor = _Process(context, "edge-2", 9)
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
    context.successor = _Process(context, "edge-2", 9)
    context.successor.receive(_process_counts(context))
    context.successor.run(context.clock, 10)


@behave.then("it counts a damaged record and goes on")
def check_damaged(context):
    assert context.successor.metrics.value("malformed_usage_progress") == 1
    check_report(context)
