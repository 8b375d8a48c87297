"""Estimates the load of upstream hosts from late and partial reports and own requests.

Reports come with replies and from other entry hosts. Between reports the estimate
follows the requests that this entry host starts and ends; without a report it is
derived from the mean of the other hosts' reports and from this entry host's requests.
"""

import dataclasses
import enum

import msgspec

__all__ = ["LoadBand", "HostLoad", "LoadEstimates", "LoadReport", "Profile", "band_of"]

_REPORT_HALF_LIFE_SECONDS = 5.0
_SMOOTHING_WEIGHT = 0.2
_COMMON_SMOOTHING_WEIGHT = 0.05
_MIN_RATIO = 0.5
_MAX_RATIO = 8.0
_RATIO_HALF_LIFE_SECONDS = 30.0
_BUSY_SHARE = 0.8
_LOAD_SPREAD_SHARE = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Profile:
    """Speed of one replica on a machine class.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Prompt tokens computed per second.
    gap_seconds : float
        Gap between two tokens of a single stream.
    gap_per_stream_seconds : float
        Increase of the gap by each further stream.
    slots : int
        Streams at which the token gap reaches its target.
    """

    prefill_tokens_per_second: float = 10_000.0
    gap_seconds: float = 0.020
    gap_per_stream_seconds: float = 0.00026
    slots: int = 96


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load that a replica reports.

    Attributes
    ----------
    running : int
        Streams in progress and waiting.
    backlog_tokens : int
        Prompt tokens waiting to be computed.
    """

    running: int
    backlog_tokens: int = 0


class HostLoad(msgspec.Struct, frozen=True):
    """Estimated load of one upstream host.

    Attributes
    ----------
    running : float
        Streams in progress.
    backlog_tokens : float
        Prompt tokens waiting to be computed.
    slowness : float
        Observed time to the first token over the predicted one.
    gap_ratio : float
        Observed token gap over the profile's.
    """

    running: float
    backlog_tokens: float
    slowness: float = 1.0
    gap_ratio: float = 1.0


class LoadBand(enum.IntEnum):
    """Coarse load; only a change of band is reported to other entry hosts."""

    NORMAL = 0
    BUSY = 1
    OVER = 2


def band_of(running, slots):
    """Return the `LoadBand` of a number of streams on a replica with `slots`."""
    if running >= slots:
        return LoadBand.OVER
    return LoadBand.BUSY if running >= _BUSY_SHARE * slots else LoadBand.NORMAL


class _Entry:
    __slots__ = (
        "report",
        "reported_at",
        "own_running",
        "net_since_report",
        "sent_tokens",
        "sent_at",
        "ratio",
        "ratio_at",
        "gap_ratio",
        "gap_ratio_at",
    )

    def __init__(self):
        self.report = None
        self.reported_at = 0.0
        self.own_running = 0
        self.net_since_report = 0
        self.sent_tokens = 0.0
        self.sent_at = 0.0
        self.ratio = 1.0
        self.ratio_at = 0.0
        self.gap_ratio = 1.0
        self.gap_ratio_at = 0.0


class LoadEstimates:
    """Estimated load of upstream hosts.

    All times are monotonic seconds as float.

    Parameters
    ----------
    entry_hosts : int
        Number of entry hosts that share the upstreams.
    """

    def __init__(self, entry_hosts=1):
        self.entry_hosts = entry_hosts
        self._entry_by_host_id = {}
        self._gap_ratio_of_all = 1.0
        self._mean_running = None

    def record_report(self, host_id, report, now):
        """Store a `LoadReport` made at `now`; one older than the last is ignored."""
        entry = self._entry(host_id)
        if entry.report is not None and now < entry.reported_at:
            return
        entry.report = report
        entry.reported_at = now
        if self._mean_running is None:
            self._mean_running = float(report.running)
        self._mean_running += _COMMON_SMOOTHING_WEIGHT * (
            report.running - self._mean_running
        )
        entry.net_since_report = 0
        entry.sent_tokens = 0.0

    def record_start(self, host_id, uncached_tokens, now, rate):
        """Record the start of an attempt by this entry host.

        Parameters
        ----------
        host_id : str
        uncached_tokens : float
            Prompt tokens that the host has to compute.
        now : float
        rate : float
            Prompt tokens that the host computes per second.
        """
        entry = self._entry(host_id)
        entry.own_running += 1
        entry.net_since_report += 1
        drained_tokens = (now - entry.sent_at) * rate
        entry.sent_tokens = (
            max(0.0, entry.sent_tokens - drained_tokens) + uncached_tokens
        )
        entry.sent_at = now

    def record_end(self, host_id):
        """Record the end of an attempt."""
        entry = self._entry(host_id)
        entry.own_running -= 1
        entry.net_since_report -= 1

    def record_first_token_ratio(self, host_id, ratio, now):
        """Record the observed over the predicted time to the first token."""
        entry = self._entry(host_id)
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, ratio))
        entry.ratio += _SMOOTHING_WEIGHT * (ratio - entry.ratio)
        entry.ratio_at = now

    def record_gap(self, host_id, ratio, now):
        """Record the observed over the predicted gap between tokens.

        The prediction includes the ratios estimated so far; the ratio common to all
        hosts and the deviation of each host are estimated separately.
        """
        entry = self._entry(host_id)
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, ratio))
        common = self._gap_ratio_of_all * ratio
        self._gap_ratio_of_all += _COMMON_SMOOTHING_WEIGHT * (
            common - self._gap_ratio_of_all
        )
        own = entry.gap_ratio * ratio
        entry.gap_ratio += _COMMON_SMOOTHING_WEIGHT * (own - entry.gap_ratio)
        entry.gap_ratio_at = now

    def retain(self, host_ids):
        """Drop hosts that are neither in `host_ids` nor in use."""
        for host_id in list(self._entry_by_host_id):
            entry = self._entry_by_host_id[host_id]
            if host_id not in host_ids and not entry.own_running:
                del self._entry_by_host_id[host_id]

    def own_running(self, host_id):
        """Return attempts in progress from this entry host."""
        entry = self._entry_by_host_id.get(host_id)
        return entry.own_running if entry is not None else 0

    def estimate(self, host_id, now, rate):
        """Return the `HostLoad` of a host; `rate` as in `record_start`."""
        entry = self._entry_by_host_id.get(host_id)
        if entry is None:
            return HostLoad(
                self._estimate_unreported(0), 0.0, 1.0, self._gap_ratio_of_all
            )
        running = self._estimate_unreported(entry.own_running)
        backlog = max(0.0, entry.sent_tokens - (now - entry.sent_at) * rate)
        if entry.report is not None:
            age = max(0.0, now - entry.reported_at)
            weight = 0.5 ** (age / _REPORT_HALF_LIFE_SECONDS)
            reported_running = entry.report.running + entry.net_since_report
            running = (
                weight * max(reported_running, entry.own_running)
                + (1.0 - weight) * running
            )
            backlog += max(0.0, entry.report.backlog_tokens - age * rate)
        slowness = _decayed(entry.ratio, now - entry.ratio_at)
        gap_ratio = _decayed(entry.gap_ratio, now - entry.gap_ratio_at)
        return HostLoad(running, backlog, slowness, gap_ratio * self._gap_ratio_of_all)

    def _estimate_unreported(self, own_running):
        """Return the load of a host without a report.

        Own attempts are a sample of all attempts; the more entry hosts there are, the
        less weight the sample has against the mean of the other hosts' reports.
        """
        sampled = float(own_running * self.entry_hosts)
        mean = self._mean_running
        if mean is None:
            return sampled
        spread = (_LOAD_SPREAD_SHARE * mean) ** 2
        weight = spread / (spread + self.entry_hosts * max(1.0, mean))
        return mean + weight * (sampled - mean)

    def _entry(self, host_id):
        entry = self._entry_by_host_id.get(host_id)
        if entry is None:
            entry = self._entry_by_host_id[host_id] = _Entry()
        return entry


def _decayed(ratio, age):
    if ratio == 1.0:
        return 1.0
    return 1.0 + (ratio - 1.0) * 0.5 ** (age / _RATIO_HALF_LIFE_SECONDS)
