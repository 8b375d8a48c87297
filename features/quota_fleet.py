"""Applies customers' load to the quota shares and meters of a fleet of entry hosts."""

import collections
import datetime
import random

from peridothitch.policy import quota_shares, token_quota
from peridothitch.ports import entry_settings, forwarding

CUSTOMER = "lanark"
QUOTA = forwarding.Quota(rate=100_000.0, burst=100_000.0, counts_tokens=True)
STEP_SECONDS = 0.05
MEAN_TOKENS = 5000.0
SPAN_SECONDS = 8.0
SETTLED_SECONDS = 3.0

BOUNDS = entry_settings.OperatingBounds(quota_excess=72_000.0)

TOKEN_LIMIT = (QUOTA.rate * SPAN_SECONDS + QUOTA.burst) * 1.1 + 72_000.0


class _Host:
    def __init__(self, name, incarnation, weight, whole, now, source, count):
        self.name = name
        self.incarnation = incarnation
        self.weight = weight
        self.share = 1.0 / count
        self.meter = token_quota.CustomerMeter(
            SPAN_SECONDS, self.share * whole, now, source
        )

    def report(self, whole, now):
        return quota_shares.QuotaReport(
            host_id=self.name,
            incarnation=self.incarnation,
            share_by_customer={CUSTOMER: self.share},
            used_by_customer={CUSTOMER: self.meter.used(now) / whole},
            demand_by_customer={CUSTOMER: self.meter.demand(now)},
            size_by_customer={CUSTOMER: self.meter.mean_units}
            if self.meter.mean_units
            else {},
        )


class QuotaFleet:
    """Entry hosts that report every second to one that grants shares.

    Attributes
    ----------
    admitted : list of (float, float)
        Time in seconds and tokens of each admitted request.
    request_count, refused_count : int
        Counts of requests.
    """

    def __init__(self, count, seed):
        self._random = random.Random(seed)
        self._count = count
        self._full_limit = token_quota.window_limit(QUOTA, BOUNDS)
        self._now = 0.0
        self._hosts = []
        self.admitted = []
        self.request_count = self.refused_count = 0
        self._recorded_part = None
        self.refused_count_before = self.request_count_before = 0
        self._start("first")

    def _start(self, incarnation):
        self._ledger = quota_shares.QuotaShares()
        self._total = 0.0
        self._began = self._now
        self._hosts = [
            _Host(
                f"edge-{number}",
                incarnation,
                self._random.uniform(0.3, 1.7),
                self._full_limit,
                self._now,
                self._random,
                self._count,
            )
            for number in range(self._count)
        ]

    def restart(self, recorded_part=None):
        """Restart all processes; they keep no state.

        Parameters
        ----------
        recorded_part : float or None
            Share of the quota that was in demand according to the store; None if the
            store has no record.
        """
        self._start(f"after-{self._now}")
        self.refused_count_before = self.refused_count
        self.request_count_before = self.request_count
        self._recorded_part = recorded_part
        if recorded_part is None:
            return
        for host in self._hosts:
            host.meter.scale_assumed_use(min(1.0, recorded_part))

    def idle(self, seconds):
        """Advance the time without requests."""
        for _ in range(seconds):
            self._now += 1.0
            self._report()

    def play(self, multiple, seconds):
        """Send requests at a multiple of the quota's rate, unevenly over the hosts."""
        end = self._now + seconds
        next_report = self._now
        weights = [host.weight for host in self._hosts]
        per_step = multiple * QUOTA.rate / MEAN_TOKENS * STEP_SECONDS
        while self._now < end:
            self._now += STEP_SECONDS
            if self._now >= next_report:
                next_report += 1.0
                self._report()
            for _ in range(self._draw(per_step)):
                (host,) = self._random.choices(self._hosts, weights)
                self._ask(host)

    def _draw(self, mean):
        whole = int(mean)
        return whole + (self._random.random() < mean - whole)

    def _ask(self, host):
        tokens = min(20_000.0, self._random.expovariate(1 / MEAN_TOKENS))
        self.request_count += 1
        limit = 0.0
        if self._now - self._began > SETTLED_SECONDS:
            demand = host.meter.demand(self._now)
            share = token_quota.share_of(demand, self._total, self._count)
            limit = token_quota.relaxed_limit(
                self._total,
                QUOTA,
                self._full_limit,
                max(share, host.share),
                self._count,
            )
        elif self._recorded_part is not None:
            limit = token_quota.recorded_limit(
                self._recorded_part, self._full_limit, host.share, self._count
            )
        if host.meter.admit(tokens, self._now, limit):
            self.admitted.append((self._now, tokens))
        else:
            self.refused_count += 1

    def _report(self):
        now = datetime.timedelta(seconds=self._now)
        for host in self._hosts:
            report = host.report(self._full_limit, self._now)
            shares = self._ledger.grant(report, self._count, now)
            host.share = shares.get(CUSTOMER, 1.0 / self._count)
            host.meter.limit = host.share * self._full_limit
        self._total = self._ledger.demand().get(CUSTOMER, 0.0)

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
