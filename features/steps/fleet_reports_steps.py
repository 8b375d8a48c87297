"""Steps for the reports between entry hosts."""

import datetime

import behave
import virtual_clock

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import final_counts, fleet_messages, fleet_reports
from peridothitch.ports import peers


class _Peers(peers.Peers):
    """Peers in one registry that call each other directly."""

    def __init__(self, host_id, peers_by_id):
        self.host_id = host_id
        self._peers_by_id = peers_by_id
        self.handler_by_method = {}
        peers_by_id[host_id] = self

    def members(self):
        return {
            host_id: peers.Peer(host_id=host_id, address="", data_centre="")
            for host_id in self._peers_by_id
        }

    def register(self, method, handler):
        self.handler_by_method[method] = handler

    def call(self, host_id, method, payload, timeout):
        if host_id not in self._peers_by_id:
            raise errors.PeerError(f"{host_id} is gone", sent=False)
        return self._peers_by_id[host_id].handler_by_method[method](payload)


@behave.given("three hosts that report to a holder")
def make_hosts(context):
    context.clock = virtual_clock.VirtualClock()
    context.holder = "edge-1"
    context.suspension = datetime.timedelta(0)
    context.peers_by_id = {}
    context.reports_by_id = {}
    for number in (1, 2, 3):
        host_id = f"edge-{number}"
        context.reports_by_id[host_id] = fleet_reports.FleetReports(
            _Peers(host_id, context.peers_by_id),
            lambda: _find_holder(context),
            lambda host_id=host_id, number=number: fleet_messages.HostReport(
                host_id, "p", {100: {"lanark": 10**number}}, {}, {}, {}, {}
            ),
            dict,
            context.clock,
            metrics.Metrics(),
            final_counts.FinalCounts(),
        )
    _send_all(context)


def _find_holder(context):
    context.clock.advance(context.suspension)
    return context.holder


def _send_all(context):
    for host_id in list(context.peers_by_id):
        context.reports_by_id[host_id].send()
    context.clock.advance(datetime.timedelta(seconds=1))


def _remove(context, host_id):
    del context.peers_by_id[host_id]


@behave.when("one host stops and then the holder is killed")
def stop_two(context):
    context.reports_by_id["edge-3"].send(is_final=True)
    _remove(context, "edge-3")
    _remove(context, "edge-1")
    context.holder = "edge-2"
    _send_all(context)


@behave.then("the next holder has the counts of both")
def check_counts(context):
    counts = context.reports_by_id["edge-2"].counts_by_process()
    total = sum(found[100]["lanark"] for found in counts.values())
    assert total == 10 + 100 + 1000, counts


@behave.when("each is suspended while it reports")
def suspend(context):
    context.suspension = datetime.timedelta(seconds=30)
    for reports in context.reports_by_id.values():
        reports.view = None


@behave.then("each host still receives a view")
def check_views(context):
    _send_all(context)
    assert all(reports.view for reports in context.reports_by_id.values())
