"""Reports of entry hosts to the holder of the duties, and its replies.

The holder is the host that has the lease on the platform's duties. Each host sends its
counts and its demand to it every second, and also to a deputy, so that the counts
survive a failure of the holder. The deputy is the first of the other hosts in the order
of `relays.position`. The holder replies with the demand of all hosts. A host that gets
no reply continues to use the last one: the shares of a quota then stay unchanged on
both sides of a network partition until the grant expires (see
`quota_shares.GRANT_LIFETIME`).
"""

import concurrent.futures
import dataclasses
import datetime
import random
import threading

import logbook
import msgspec
import xxhash

from peridothitch import errors
from peridothitch.coordination import relays
from peridothitch.gateway.forwarding import final_counts, fleet_messages
from peridothitch.policy import quota_shares, usage_windows

__all__ = ["FleetReports"]

_METHOD = "forwarding.report"
_PERIOD = datetime.timedelta(seconds=1)
_FIRST_PERIOD = datetime.timedelta(milliseconds=200)
"""Period until a holder has replied for the first time."""

_TIMEOUT = datetime.timedelta(milliseconds=500)
_MAX_LOAD_AGE = datetime.timedelta(seconds=5)
"""Age beyond which the load in a report is ignored."""

_MAX_COUNTS_AGE = datetime.timedelta(seconds=60)
"""Age of a process's last report after which its counts are discarded."""

_RECENT_AGE = datetime.timedelta(seconds=30)
"""Time for which a host that is no longer live counts as live lately."""

_DEPARTED_AGE = datetime.timedelta(seconds=2.5)
"""Age of a process's last report after which other hosts forward its counts."""

_MAX_DEPARTED = 32
"""Largest number of processes whose counts one report forwards."""

_EXTRA_RECIPIENTS = 4
"""Number of further hosts that receive the last report of a stopping process."""

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True)
class _Received:
    counts: fleet_messages.ProcessCounts
    at: datetime.timedelta
    report: fleet_messages.HostReport | None = None


class FleetReports:
    """Sends this host's reports and stores those that others send.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    find_holder : callable
        Returns the id of the host that holds the duties, empty if there is none.
    make_report : callable
        Returns this host's `HostReport`.
    find_terms : callable
        Returns a `peridothitch.policy.quota_shares.QuotaTerms` by customer.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    known_counts : peridothitch.gateway.forwarding.final_counts.FinalCounts
        Receives what other hosts have reported to the platform.
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels or None
        Learns from what all hosts have measured.

    Attributes
    ----------
    view : FleetView or None
        The last view that a holder sent.
    """

    def __init__(
        self,
        peers,
        find_holder,
        make_report,
        find_terms,
        clock,
        metrics,
        known_counts,
        models=None,
    ):
        self._peers = peers
        self._final_counts = known_counts
        self._models = models
        self._find_holder = find_holder
        self._make_report = make_report
        self._find_terms = find_terms
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._received_by_process = {}
        self._live_at_by_host = {}
        self._shares = quota_shares.QuotaShares()
        self._view_callbacks = []
        self.view = None
        self._view_at = None
        peers.register(_METHOD, self._handle_report)

    def subscribe(self, callback):
        """Call ``callback(view)`` with each new `FleetView`."""
        self._view_callbacks.append(callback)

    def run(self, stop):
        """Send reports periodically until the event `stop` is set."""
        while not self._clock.wait(stop, _PERIOD if self.view else _FIRST_PERIOD):
            self.send()

    def send(self, is_final=False):
        """Send one report to the holder and one to its deputy.

        Parameters
        ----------
        is_final : bool
            Whether the process is stopping; a few further hosts get the report, too.
        """
        report = msgspec.structs.replace(
            self._make_report(),
            settled_seconds=self._settled_seconds(),
            departed=self._departed(),
            is_final=is_final,
        )
        self._store_report(report)
        self._record_live_hosts()
        holder = self._find_holder()
        recipients = self._recipients(holder, is_final)
        if is_final:
            # Calls in sequence to hosts that are also stopping would delay the stop.
            with concurrent.futures.ThreadPoolExecutor(len(recipients) or 1) as pool:
                pool.map(lambda host_id: self._call(host_id, report), recipients)
            return
        for host_id in recipients:
            view = self._call(host_id, report)
            if view is not None and host_id == holder:
                self._apply_view(view)
        if holder == self._peers.host_id:
            self._apply_view(self._view_for(report))

    def _record_live_hosts(self):
        now = self._clock.monotonic()
        with self._lock:
            live_at = self._live_at_by_host
            live_at.update(dict.fromkeys(self._peers.members(), now))
            for host_id in [h for h, at in live_at.items() if now - at > _RECENT_AGE]:
                del live_at[host_id]

    def _recipients(self, holder, is_final):
        own = self._peers.host_id
        others = [host_id for host_id in self._peers.members() if host_id != holder]
        deputy = min(others, key=relays.position, default=own)
        chosen = {holder, deputy}
        if is_final:
            chosen.update(random.sample(others, min(_EXTRA_RECIPIENTS, len(others))))
        return [host_id for host_id in chosen if host_id not in ("", own)]

    def _call(self, host_id, report):
        try:
            reply = self._peers.call(
                host_id, _METHOD, msgspec.msgpack.encode(report), _TIMEOUT
            )
            return msgspec.msgpack.decode(reply, type=fleet_messages.FleetView)
        except (errors.PeerError, msgspec.MsgspecError) as error:
            self._metrics.count("fleet_report_failures")
            _log.debug("report to {} failed: {}", host_id, error)
            return None

    def _settled_seconds(self):
        if self.view is None:
            return 0.0
        elapsed = self._clock.monotonic() - self._view_at
        return self.view.age_seconds + elapsed.total_seconds()

    def _departed(self):
        """Return the counts of processes that have stopped reporting."""
        latest = self._clock.monotonic() - _DEPARTED_AGE
        with self._lock:
            silent = [r for r in self._received_by_process.values() if r.at < latest]
        silent.sort(key=lambda received: received.at, reverse=True)
        return tuple(received.counts for received in silent[:_MAX_DEPARTED])

    def _apply_view(self, view):
        self._view_at = self._clock.monotonic()
        self.view = view
        if self._models is not None:
            self._models.apply(view.speed_by_service)
        for callback in self._view_callbacks:
            callback(view)

    def _handle_report(self, payload):
        try:
            report = msgspec.msgpack.decode(payload, type=fleet_messages.HostReport)
        except msgspec.MsgspecError as error:
            raise errors.PeerError(f"malformed report: {error}", True) from None
        self._store_report(report)
        return msgspec.msgpack.encode(self._view_for(report))

    def _store_report(self, report):
        now = self._clock.monotonic()
        counts = fleet_messages.ProcessCounts(
            report.host_id, report.incarnation, report.counts_by_window
        )
        self._final_counts.receive(_statement(report))
        if self._models is not None:
            self._models.receive(report.answers_by_service)
        # Backdated, so that a stopping process's counts are forwarded at once.
        at = now - _DEPARTED_AGE if report.is_final else now
        with self._lock:
            received = self._received_by_process
            received[report.host_id, report.incarnation] = _Received(counts, at, report)
            for departed in report.departed:
                self._merge_departed(departed, now)
            for key in [k for k, r in received.items() if now - r.at > _MAX_COUNTS_AGE]:
                del received[key]

    def _merge_departed(self, counts, now):
        """Merge forwarded counts of a process into those received; needs the lock."""
        key = counts.host_id, counts.incarnation
        previous = self._received_by_process.get(key)
        if previous is None:
            self._received_by_process[key] = _Received(counts, now - _DEPARTED_AGE)
            return
        newest = usage_windows.join_counts(
            previous.counts.counts_by_window, counts.counts_by_window
        )
        merged = msgspec.structs.replace(previous.counts, counts_by_window=newest)
        self._received_by_process[key] = dataclasses.replace(previous, counts=merged)

    def _recent_reports(self):
        """Return the newest report of each host that has reported recently."""
        with self._lock:
            return self._recent_reports_locked(self._clock.monotonic())

    def _recent_reports_locked(self, now):
        newest_by_host = {}
        for entry in self._received_by_process.values():
            if entry.report is None or now - entry.at > _MAX_LOAD_AGE:
                continue
            previous = newest_by_host.get(entry.report.host_id)
            if previous is None or previous.at < entry.at:
                newest_by_host[entry.report.host_id] = entry
        return [entry.report for entry in newest_by_host.values()]

    def _view_for(self, report):
        now = self._clock.monotonic()
        members, terms_by_customer = self._peers.members(), self._find_terms()
        with self._lock:
            grant = self._shares.grant(
                _quota_report(report, terms_by_customer),
                members,
                now,
                terms_by_customer,
            )
            host_count = max(len(members), self._shares.host_count)
            ages = [entry.settled_seconds for entry in self._recent_reports_locked(now)]
            age = max([self._shares.age(now).total_seconds(), *ages])
            demand = self._shares.demand()
        lenders = grant.lenders_by_customer
        digest = _digest(lenders)
        return fleet_messages.FleetView(
            host_count,
            demand,
            {
                customer: share
                for customer, share in grant.share_by_customer.items()
                if share
            },
            age,
            lenders if digest != report.lenders_digest else None,
            digest,
            self._models.shared_speeds() if self._models is not None else {},
        )

    def busy_by_service(self):
        """Return the number of busy upstream hosts over all entry hosts, by service."""
        busy_by_service = {}
        for report in self._recent_reports():
            for service, busy in report.busy_by_service.items():
                busy_by_service[service] = busy_by_service.get(service, 0.0) + busy
        return busy_by_service

    def have_all_seen_era(self, era):
        """Return whether all live hosts have reported since an era of the store began.

        A host that has lost the others doesn't know who is live; so more than half of
        those that were live lately have to be among them.
        """
        heard = {r.host_id for r in self._recent_reports() if r.store_era >= era}
        with self._lock:
            recent = set(self._live_at_by_host)
        live = set(self._peers.members())
        return live <= heard and 2 * len(heard & recent) > len(recent)

    def has_seen_holder(self, number):
        """Return whether another host has told that it has seen a fencing number."""
        return any(
            number in report.seen_numbers
            for report in self._recent_reports()
            if report.host_id != self._peers.host_id
        )

    def process_counts(self, oldest_window):
        """Return the `ProcessCounts` of all processes from a window on."""
        with self._lock:
            counts = [entry.counts for entry in self._received_by_process.values()]
        recent = (
            msgspec.structs.replace(
                known,
                counts_by_window={
                    window: count_by_customer
                    for window, count_by_customer in known.counts_by_window.items()
                    if window >= oldest_window and count_by_customer
                },
            )
            for known in counts
        )
        found = [known for known in recent if known.counts_by_window]
        return tuple(
            sorted(found, key=lambda known: (known.host_id, known.incarnation))
        )

    def add_departed(self, counts):
        """Add the `ProcessCounts` of processes that may no longer report."""
        now = self._clock.monotonic()
        with self._lock:
            for known in counts:
                self._merge_departed(known, now)

    def counts_by_process(self):
        """Return each process's counts by window and customer."""
        with self._lock:
            return {
                f"{host_id}/{incarnation}": entry.counts.counts_by_window
                for (host_id, incarnation), entry in self._received_by_process.items()
            }


def _statement(report):
    return final_counts.Statement(
        counts_by_window=report.final_counts_by_window,
        ended_number=report.ended_number,
        unknown_window=report.unknown_window,
        era=report.store_era,
        seen_numbers=report.seen_numbers,
    )


def _digest(lenders_by_customer):
    text = repr(sorted(lenders_by_customer.items()))
    return xxhash.xxh32_intdigest(text.encode()) or 1


def _quota_report(report, terms_by_customer):
    shares = report.share_by_customer
    if report.lenders_digest:
        # A host that knows its lenders uses no share that it doesn't report.
        shares = dict.fromkeys(terms_by_customer, 0.0) | shares
    return quota_shares.QuotaReport(
        host_id=report.host_id,
        incarnation=report.incarnation,
        share_by_customer=shares,
        used_by_customer=report.used_by_customer,
        demand_by_customer=report.demand_by_customer,
        size_by_customer=report.size_by_customer,
    )
