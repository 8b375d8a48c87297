"""Applies customers' load to the quota limiters of a fleet of entry hosts."""

import collections
import datetime
import random

import virtual_clock

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import fleet_messages, fleet_record, quota_limiter
from peridothitch.policy import quota_shares
from peridothitch.ports import entry_settings, forwarding, peers

CUSTOMER = "lanark"
QUOTA = forwarding.Quota(rate=100_000.0, burst=100_000.0, counts_tokens=True)
STEP_SECONDS = 0.05
MEAN_TOKENS = 5000.0
MAX_TOKENS = 20_000.0
SPAN_SECONDS = 8.0
DATA_CENTRES = 6

BOUNDS = entry_settings.OperatingBounds(quota_excess=72_000.0)

TOKEN_LIMIT = (QUOTA.rate * SPAN_SECONDS + QUOTA.burst) * 1.1 + 72_000.0


def span_limit(quota):
    """Return the tokens that a customer may use in any span."""
    return (quota.rate * SPAN_SECONDS + quota.burst) * 1.1 + BOUNDS.quota_excess


class _Peers(peers.Peers):
    def __init__(self, fleet, host_id):
        self.host_id = host_id
        self._fleet = fleet
        self.handler_by_method = {}

    def members(self):
        return self._fleet.peer_by_id

    def register(self, method, handler):
        self.handler_by_method[method] = handler

    def call(self, host_id, method, payload, timeout):
        if not self._fleet.is_connected(self.host_id, host_id):
            raise errors.PeerError(f"{host_id} can't be reached", sent=False)
        self._fleet.call_count += 1
        return self._fleet.host_by_id[host_id].peers.handler_by_method[method](payload)


class _Host:
    def __init__(self, fleet, host_id, incarnation, weight):
        self.host_id = host_id
        self.incarnation = incarnation
        self.weight = weight
        self.peers = _Peers(fleet, host_id)
        self.limiter = quota_limiter.QuotaLimiter(
            BOUNDS,
            lambda: len(fleet.peer_by_id),
            self.peers,
            fleet.clock,
            metrics.Metrics(),
            fleet.random,
        )
        self.limiter.update_table(
            forwarding.RoutingTable(version=1, customer_by_key={"k": fleet.customer})
        )

    def report(self):
        return quota_shares.QuotaReport(
            host_id=self.host_id,
            incarnation=self.incarnation,
            share_by_customer=self.limiter.shares(),
            used_by_customer=self.limiter.used(),
            demand_by_customer=self.limiter.demand(),
            size_by_customer=self.limiter.sizes(),
        )


class QuotaFleet:
    """Entry hosts that report every second to one that grants shares.

    Parameters
    ----------
    count, seed : int
    quota : peridothitch.ports.forwarding.Quota
    mean_tokens : float

    Attributes
    ----------
    admitted : list of (float, float)
        Time in seconds and tokens of each admitted request.
    request_count, refused_count, call_count : int
        Counts of requests, and of calls between hosts for them.
    """

    def __init__(self, count, seed, quota=QUOTA, mean_tokens=MEAN_TOKENS):
        self.random = random.Random(seed)
        self.clock = virtual_clock.VirtualClock()
        self.customer = forwarding.Customer(name=CUSTOMER, quota=quota)
        self._mean_tokens = mean_tokens
        self.peer_by_id = {
            f"edge-{number}": peers.Peer(
                host_id=f"edge-{number}",
                address="",
                data_centre=f"dc-{number % DATA_CENTRES}",
            )
            for number in range(count)
        }
        self._cut_off_ids = set()
        self._weight_by_id = {}
        self.change_weights()
        self.admitted = []
        self.request_count = self.refused_count = self.call_count = 0
        self.refused_count_before = self.request_count_before = 0
        self.start_holder()
        self.host_by_id = {}
        for host_id in self.peer_by_id:
            self.start_host(host_id)

    def change_weights(self):
        """Move the demand from some hosts to others."""
        self._weight_by_id = {
            host_id: self.random.uniform(0.3, 1.7) for host_id in self.peer_by_id
        }

    def start_holder(self):
        """Let a host that knows no shares grant them from now on."""
        self._ledger = quota_shares.QuotaShares()

    def start_host(self, host_id):
        """Start a process that keeps nothing of the one before it."""
        self.host_by_id[host_id] = _Host(
            self, host_id, f"at-{self._now()}", self._weight_by_id[host_id]
        )
        self.host_by_id[host_id].next_report = self._now() + self.random.random()

    def owner_ids(self):
        """Return the hosts whose share is larger than an equal one."""
        even = 1.0 / len(self.peer_by_id)
        return [
            host_id
            for host_id, host in self.host_by_id.items()
            if host.limiter.shares().get(CUSTOMER, 0.0) > 2 * even
        ]

    def cut_off(self, host_ids):
        """Cut hosts off from all others."""
        self._cut_off_ids = set(host_ids)

    def is_connected(self, host_id, other_id):
        """Return whether a host reaches another one."""
        return not {host_id, other_id} & self._cut_off_ids

    def _now(self):
        return self.clock.monotonic().total_seconds()

    def restart(self, recorded_part=None):
        """Restart all processes; they keep no state.

        Parameters
        ----------
        recorded_part : float or None
            Share of the quota that was in demand according to the store; None if the
            store has no record.
        """
        self.start_holder()
        for host_id in self.peer_by_id:
            self.start_host(host_id)
        self.reset_counts()
        if recorded_part is None:
            return
        record = fleet_record.FleetRecord(part_by_customer={CUSTOMER: recorded_part})
        for host in self.host_by_id.values():
            host.limiter.apply_record(record)

    def reset_counts(self):
        """Count refusals from now on."""
        self.refused_count_before = self.refused_count
        self.request_count_before = self.request_count

    def idle(self, seconds):
        """Advance the time without requests."""
        self.play(0, seconds)

    def play(self, multiple, seconds):
        """Send requests at a multiple of the quota's rate, unevenly over the hosts."""
        end = self._now() + seconds
        hosts = list(self.host_by_id.values())
        weights = [host.weight for host in hosts]
        rate = multiple * self.customer.quota.rate
        per_step = rate / self._mean_tokens * STEP_SECONDS
        while self._now() < end:
            self.clock.advance(datetime.timedelta(seconds=STEP_SECONDS))
            for host in hosts:
                if self._now() >= host.next_report:
                    host.next_report += 1.0
                    self._report(host)
            for _ in range(self._draw(per_step)):
                (host,) = self.random.choices(hosts, weights)
                self._ask(host)

    def _draw(self, mean):
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def _ask(self, host):
        tokens = min(MAX_TOKENS, self.random.expovariate(1 / self._mean_tokens)) + 1
        self.request_count += 1
        try:
            host.limiter.reserve(self.customer, tokens)
        except errors.RequestError:
            self.refused_count += 1
        else:
            self.admitted.append((self._now(), tokens))

    def _report(self, host):
        if host.host_id in self._cut_off_ids:
            return
        grant = self._ledger.grant(
            host.report(),
            self.peer_by_id,
            self.clock.monotonic(),
            host.limiter.terms(),
        )
        host.limiter.apply_view(
            fleet_messages.FleetView(
                host_count=len(self.peer_by_id),
                demand_by_customer=self._ledger.demand(),
                share_by_customer=grant.share_by_customer,
                age_seconds=self._ledger.age(self.clock.monotonic()).total_seconds(),
                lenders_by_customer=grant.lenders_by_customer,
            )
        )

    def demand(self):
        """Return the tokens a second that the hosts report as requested."""
        return sum(
            host.limiter.demand().get(CUSTOMER, 0.0)
            for host in self.host_by_id.values()
        )

    def refused_share(self):
        """Return the share of the requests since the last restart that were refused."""
        request_count = self.request_count - self.request_count_before
        return (self.refused_count - self.refused_count_before) / request_count

    def max_tokens_in_span(self):
        """Return the largest number of tokens admitted in any span."""
        window = collections.deque()
        used = max_tokens = 0.0
        for at, tokens in self.admitted:
            window.append((at, tokens))
            used += tokens
            while window[0][0] <= at - SPAN_SECONDS:
                used -= window.popleft()[1]
            max_tokens = max(max_tokens, used)
        return max_tokens

    def admitted_rate(self):
        """Return the tokens admitted a second, over the whole time of the load."""
        duration = self.admitted[-1][0] - self.admitted[0][0]
        return sum(tokens for _, tokens in self.admitted) / duration
