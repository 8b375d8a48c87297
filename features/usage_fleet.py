"""Entry hosts that report usage to a platform whose store comes back from copies."""

import datetime
import random

import duty_fakes
import msgspec
import quota_fleet
import restorable_store
import virtual_clock

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.coordination import lease, mirror
from peridothitch.gateway.forwarding import (
    duty_runner,
    final_counts,
    fleet_messages,
    fleet_reports,
    peer_sync,
    usage_duty,
)
from peridothitch.policy import usage_windows
from peridothitch.ports import peers

STEP_SECONDS = 0.25
_WINDOW = quota_fleet.BOUNDS.usage_window
_REQUESTS_PER_STEP = 6
_MAX_COUNT_DELAY = 3.0
_MAX_DETECTION_TIME = 3.0
_EARLIER_FIELDS = 13
"""Fields of a report of builds that tell no era of the store, without the number."""


class _Store(restorable_store.RestorableStore):
    """A store that can be away; keys of leases are not in its copies."""

    is_away = False

    def copy(self):
        item_by_key, revision = super().copy()
        lasting = {k: item for k, item in item_by_key.items() if not item.lease_id}
        return lasting, revision

    def _count(self, method):
        if self.is_away:
            raise errors.StoreUnavailableError("the store is away")
        super()._count(method)


class _Peers(peers.Peers):
    def __init__(self, fleet, host_id):
        self.host_id = host_id
        self._fleet = fleet
        self.handler_by_method = {}

    def members(self):
        return self._fleet.members(self.host_id)

    def register(self, method, handler):
        self.handler_by_method[method] = handler

    def call(self, host_id, method, payload, timeout):
        host = self._fleet.host_by_id.get(host_id)
        if host is None or self._fleet.is_cut_off(self.host_id, host_id):
            raise errors.PeerError(f"{host_id} can't be reached", sent=False)
        return host.peers.handler_by_method[method](payload)


class _Host:
    def __init__(self, fleet, host_id, number):
        self.host_id = host_id
        self.is_earlier_build = False
        self._fleet = fleet
        self._incarnation = f"p{number}"
        self._number = 0
        self.peers = _Peers(fleet, host_id)
        counters = metrics.Metrics()
        self.leases = mirror.Mirror(lease.PREFIX, fleet.store, fleet.clock, counters)
        self.known = final_counts.FinalCounts()
        self.usage = usage_windows.UsageWindows(_WINDOW, 8)
        self._lease = lease.FencedLease(
            fleet.store,
            lease.LeaseTerms(
                name=duty_runner.LEASE_NAME,
                ttl=quota_fleet.BOUNDS.lease_time,
                max_order_time=datetime.timedelta(seconds=1.2),
                orders_are_fenced=True,
            ),
            host_id,
            fleet.clock,
        )
        self.reports = fleet_reports.FleetReports(
            self.peers,
            lambda: self.runner.find_holder(),
            self.make_report,
            dict,
            fleet.clock,
            counters,
            self.known,
        )
        duty = usage_duty.UsageDuty(
            fleet.platform,
            fleet.store,
            self._lease,
            self.reports,
            self.known,
            peer_sync.SharedClock(fleet.clock),
            quota_fleet.BOUNDS,
            fleet.clock,
            counters,
        )
        self.runner = duty_runner.DutyRunner(
            self._lease,
            quota_fleet.BOUNDS.lease_time,
            self.leases,
            self.peers,
            [duty],
            fleet.clock,
            counters,
        )
        self.leases.subscribe(
            lambda: self.known.record_holder(self.runner.find_holder_number())
        )

    def make_report(self):
        """Return the host's report."""
        statement = self.known.statement(self.leases.era)
        report = fleet_messages.HostReport(
            self.host_id,
            self._incarnation,
            self.usage.counts(),
            {},
            {},
            {},
            {},
            **fleet_messages.statement_fields(statement),
        )
        return self._as_earlier_build(report) if self.is_earlier_build else report

    def _as_earlier_build(self, report):
        self._number = self._lease.fencing_number or self._number
        fields = msgspec.to_builtins(report)[:_EARLIER_FIELDS]
        return msgspec.convert([*fields, self._number], type=fleet_messages.HostReport)

    @property
    def is_holder(self):
        """Whether the host holds the duties."""
        return self._lease.is_held()

    @property
    def fencing_number(self):
        """Fencing number of the last acquisition."""
        return self._lease.fencing_number

    def step(self, reads, reports):
        """Do what is due."""
        if reads:
            self.leases.try_read()
        self.runner.update_lease()
        if reports:
            self.reports.send()
        self.runner.run_due_duties()


class _Platform(duty_fakes.Platform):
    """Records the reports with their times."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self.accepted_by_window = {}
        self.reported_at = {}

    def report_usage(self, report, fencing_number):
        answer = super().report_usage(report, fencing_number)
        if answer.accepted:
            counts = self.accepted_by_window.setdefault(report.window, [])
            counts.append(report.count_by_customer)
            self.reported_at.setdefault(report.window, self._clock.now())
        return answer


class UsageFleet:
    """Entry hosts on a virtual clock; windows of usage go to a platform.

    Parameters
    ----------
    count, seed : int

    Attributes
    ----------
    platform : _Platform
    """

    def __init__(self, count, seed):
        self.random = random.Random(seed)
        self.clock = virtual_clock.VirtualClock()
        self.store = _Store(self.clock)
        self.store.restore(self.store.copy())
        self.platform = _Platform(self.clock)
        self.host_by_id = {}
        self._lost_by_id = {}
        self._start_by_id = {}
        self._cut_off_ids = set()
        self._copies = []
        self._late_requests = []
        self._started = 0
        for number in range(count):
            self.start_host(f"edge-{number}")
        self._start_by_id.clear()

    @property
    def now(self):
        """Seconds of the monotonic clock."""
        return self.clock.monotonic().total_seconds()

    @property
    def holder(self):
        """The host that holds the duties, None if none does."""
        return next((h for h in self.host_by_id.values() if h.is_holder), None)

    def members(self, host_id):
        """Return the hosts that a host believes live."""
        known = [h for h in self.host_by_id if not self.is_cut_off(host_id, h)]
        if self.now < self._start_by_id.get(host_id, 0.0):
            known = [host_id]
        lost = [h for h, until in self._lost_by_id.items() if self.now < until]
        return {
            name: peers.Peer(host_id=name, address="", data_centre="lothian-a")
            for name in {host_id, *known, *lost}
        }

    def is_cut_off(self, host_id, other_id):
        """Return whether two hosts don't reach each other."""
        return len({host_id, other_id} & self._cut_off_ids) == 1

    def start_host(self, host_id):
        """Start a process; it finds the others within a second."""
        self._started += 1
        self.host_by_id[host_id] = _Host(self, host_id, self._started)
        self._start_by_id[host_id] = self.now + self.random.uniform(0.2, 1.0)
        self._lost_by_id.pop(host_id, None)

    def lose_host(self, host_id):
        """Lose a host; the others notice within some seconds."""
        del self.host_by_id[host_id]
        self._lost_by_id[host_id] = self.now + self.random.uniform(
            1.0, _MAX_DETECTION_TIME
        )

    def cut_off(self, host_ids):
        """Cut hosts off from all others, not from the store."""
        self._cut_off_ids = set(host_ids)

    def restore(self, age, away_seconds):
        """Take the store away and bring it back from a copy of an age in seconds."""
        self.store.is_away = True
        self.play(away_seconds)
        latest = self.now - age
        kept = [copied for at, copied in self._copies if at <= latest]
        self.store.is_away = False
        self.store.restore(kept[-1])

    def play(self, seconds):
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def play_until(self, condition, limit=60.0):
        """Advance the time until a condition holds."""
        end = self.now + limit
        while not condition():
            assert self.now < end, "the condition was not met"
            self.step()

    def step(self):
        """Advance the time by one step."""
        self.clock.advance(datetime.timedelta(seconds=STEP_SECONDS))
        self._count_requests()
        hosts = list(self.host_by_id.values())
        self.random.shuffle(hosts)
        for number, host in enumerate(hosts):
            if host.host_id in self.host_by_id:
                host.step(
                    reads=number < 6 or self.random.random() < 0.5,
                    reports=host.reports.view is None or self.random.random() < 0.25,
                )
        if not self.store.is_away:
            self._copies.append((self.now, self.store.copy()))

    def _count_requests(self):
        now = self.clock.now()
        for _ in range(_REQUESTS_PER_STEP):
            host = self.random.choice(list(self.host_by_id.values()))
            delay = datetime.timedelta(seconds=self.random.uniform(0, _MAX_COUNT_DELAY))
            self._late_requests.append((now + delay, host, now))
        due = [late for late in self._late_requests if late[0] <= now]
        self._late_requests = [late for late in self._late_requests if late[0] > now]
        for _, host, began in due:
            host.usage.add("lanark", began)

    def window(self):
        """Return the number of the window that has begun."""
        return usage_windows.window_of(self.clock.now(), _WINDOW)

    def conflicts(self):
        """Return the windows that the platform accepted with different counts."""
        return [
            window
            for window, counts in self.platform.accepted_by_window.items()
            if any(count != counts[0] for count in counts)
        ]

    def missing(self, first, last):
        """Return the windows of a range that were never reported."""
        accepted = self.platform.accepted_by_window
        return [window for window in range(first, last + 1) if window not in accepted]
