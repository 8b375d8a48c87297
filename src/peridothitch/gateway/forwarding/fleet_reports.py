"""What entry hosts tell the one that acts for all, and what it tells them.

Each host sends its counts and its demand to the holder of the duties every second, and
its counts to a deputy besides, so that they outlive the holder. The holder answers with
the demand of all. A host that gets no answer goes on with the last one it got: the
shares of a quota then stay as they were, at both sides of a broken link.
"""

import dataclasses
import datetime
import threading

import logbook
import msgspec

from peridothitch import errors
from peridothitch.coordination import relays

__all__ = ["FleetReports", "FleetView", "HostReport"]

_METHOD = "forwarding.report"
_PERIOD = datetime.timedelta(seconds=1)
_TIMEOUT = datetime.timedelta(milliseconds=500)
_DEMAND_LIFE = datetime.timedelta(seconds=10)
"""A silent host's share of the quotas is kept for it this long."""

_COUNTS_LIFE = datetime.timedelta(seconds=60)
_log = logbook.Logger(__name__)


class HostReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one entry host.

    Attributes
    ----------
    host_id, incarnation : str
        The host, and its process, whose counts begin with 0.
    counts_by_window : dict of int to dict of str to int
        Requests begun by customer, of the last windows.
    demand_by_customer : dict of str to float
        Units of the quotas asked for, a second.
    busy_by_service : dict of str to float
        Upstream hosts kept busy by this host's requests.
    """

    host_id: str
    incarnation: str
    counts_by_window: dict[int, dict[str, int]]
    demand_by_customer: dict[str, float]
    busy_by_service: dict[str, float]


class FleetView(msgspec.Struct, frozen=True, array_like=True):
    """Sums over all entry hosts.

    Attributes
    ----------
    host_count : int
    demand_by_customer : dict of str to float
    """

    host_count: int
    demand_by_customer: dict[str, float]


@dataclasses.dataclass(frozen=True)
class _Received:
    report: HostReport
    at: datetime.timedelta


class FleetReports:
    """Sends this host's reports and keeps those that others send.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    find_holder : callable
        Returns the id of the host that acts for all, empty if there is none.
    make_report : callable
        Returns this host's `HostReport`.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    view : FleetView or None
        The last one that a holder sent.
    """

    def __init__(self, peers, find_holder, make_report, clock, metrics):
        self._peers = peers
        self._find_holder = find_holder
        self._make_report = make_report
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._received_by_process = {}
        self._on_view = []
        self.view = None
        peers.register(_METHOD, self._answer)

    def subscribe(self, callback):
        """Call ``callback(view, report)`` with each new view and own report."""
        self._on_view.append(callback)

    def run(self, stop):
        """Report until the event `stop` is set, and once more then."""
        while not self._clock.wait(stop, _PERIOD):
            self.send()

    def send(self):
        """Send one report to the holder and one to its deputy."""
        report = self._make_report()
        self._keep(report)
        holder = self._find_holder()
        for host_id in self._recipients(holder):
            view = self._call(host_id, report)
            if view is not None and host_id == holder:
                self._take(view, report)
        if holder == self._peers.host_id:
            self._take(self.fleet_view(), report)

    def _recipients(self, holder):
        own = self._peers.host_id
        others = [host_id for host_id in self._peers.members() if host_id != holder]
        deputy = min(others, key=relays.position, default=own)
        return [host_id for host_id in {holder, deputy} if host_id not in ("", own)]

    def _call(self, host_id, report):
        try:
            reply = self._peers.call(
                host_id, _METHOD, msgspec.msgpack.encode(report), _TIMEOUT
            )
            return msgspec.msgpack.decode(reply, type=FleetView)
        except (errors.PeerError, msgspec.MsgspecError) as error:
            self._metrics.count("fleet_report_failures")
            _log.debug("report to {} failed: {}", host_id, error)
            return None

    def _take(self, view, report):
        self.view = view
        for callback in self._on_view:
            callback(view, report)

    def _answer(self, payload):
        try:
            report = msgspec.msgpack.decode(payload, type=HostReport)
        except msgspec.MsgspecError as error:
            raise errors.PeerError(f"malformed report: {error}", True) from None
        self._keep(report)
        return msgspec.msgpack.encode(self.fleet_view())

    def _keep(self, report):
        now = self._clock.monotonic()
        with self._lock:
            received = self._received_by_process
            received[report.host_id, report.incarnation] = _Received(report, now)
            for key in [k for k, r in received.items() if now - r.at > _COUNTS_LIFE]:
                del received[key]

    def _fresh(self):
        """Return the newest report of each host that reported lately."""
        now = self._clock.monotonic()
        newest_by_host = {}
        with self._lock:
            for found in self._received_by_process.values():
                if now - found.at > _DEMAND_LIFE:
                    continue
                known = newest_by_host.get(found.report.host_id)
                if known is None or known.at < found.at:
                    newest_by_host[found.report.host_id] = found
        return [found.report for found in newest_by_host.values()]

    def fleet_view(self):
        """Return the `FleetView` of the reports received here."""
        demand_by_customer = {}
        reports = self._fresh()
        for report in reports:
            for customer, demand in report.demand_by_customer.items():
                known = demand_by_customer.get(customer, 0.0)
                demand_by_customer[customer] = known + demand
        host_count = max(len(reports), len(self._peers.members()))
        return FleetView(host_count, demand_by_customer)

    def busy_by_service(self):
        """Return the upstream hosts kept busy by all entry hosts, by service."""
        busy_by_service = {}
        for report in self._fresh():
            for service, busy in report.busy_by_service.items():
                busy_by_service[service] = busy_by_service.get(service, 0.0) + busy
        return busy_by_service

    def counts_by_process(self):
        """Return the counts by customer by window of each process."""
        with self._lock:
            return {
                f"{host_id}/{incarnation}": found.report.counts_by_window
                for (host_id, incarnation), found in self._received_by_process.items()
            }
