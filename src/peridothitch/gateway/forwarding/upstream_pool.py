"""What this entry host knows of each upstream, and the choice among them."""

import dataclasses
import datetime
import math
import random
import threading

import logbook

from peridothitch.policy import placement, prompt_cache, upstream_cooldown
from peridothitch.ports import upstream

__all__ = ["UpstreamPool"]

_REPORT_LIFE_SECONDS = 1.5
"""Age at which a load report says nothing any more."""

_SLOWNESS_HALF_LIFE_SECONDS = 2.0
_SLOWNESS_WEIGHT = 0.3
_MOST_SLOWNESS = 8.0
_WORK_WEIGHT = 0.05
_FIRST_WORK_SECONDS = 0.025
"""Work of a plain service until it has been measured."""

_FAILURE_WEIGHT = 0.15
_FAILURE_COST = 3.0
"""Slowness that an upstream which fails all its requests is counted with besides."""

_log = logbook.Logger(__name__)


@dataclasses.dataclass
class _Entry:
    host: upstream.Host
    nearness: int
    cache: prompt_cache.PromptCacheEstimate
    in_flight: int = 0
    backlog_tokens: float = 0.0
    load: object = None
    load_at: float = -math.inf
    slowness: float = 1.0
    slowness_at: float = 0.0
    failure_rate: float = 0.0
    rest: upstream_cooldown.Cooldown = upstream_cooldown.Cooldown()


class UpstreamPool:
    """Loads, caches and health of upstreams as seen from here.

    Parameters
    ----------
    site : peridothitch.ports.entry_settings.EntryHostSettings
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None

    Attributes
    ----------
    revision : int
        Store revision up to which changes of the hosts are known.
    """

    def __init__(self, settings, clock, metrics, random_source=None):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._entry_by_id = {}
        self._work_by_service = {}
        self.revision = 0

    def update(self, host_by_id, revision=0):
        """Take in the upstream hosts by id.

        Parameters
        ----------
        host_by_id : dict of str to peridothitch.ports.upstream.Host
        revision : int
            Store revision up to which changes are in them.
        """
        with self._lock:
            self.revision = revision
            entry_by_id = {}
            for host_id, host in host_by_id.items():
                entry = self._entry_by_id.get(host_id)
                if entry is None or entry.host.incarnation != host.incarnation:
                    entry = _Entry(
                        host, self._nearness(host), prompt_cache.PromptCacheEstimate()
                    )
                entry.host = host
                entry_by_id[host_id] = entry
            self._entry_by_id = entry_by_id

    def _nearness(self, host):
        if host.data_centre == self._settings.data_centre:
            return 0
        return 1 if host.region == self._settings.region else 2

    def choose(self, service, need, excluded=frozenset(), versions=None):
        """Choose an upstream.

        Parameters
        ----------
        service : str
        need : peridothitch.policy.placement.RequestNeed
        excluded : collection of str
            Host ids that were tried before.
        versions : collection of str or None
            Versions that may run the request; None for all.

        Returns
        -------
        tuple of (peridothitch.ports.upstream.Host, placement.Estimate) or None
        """
        now = self._clock.monotonic()
        seconds = now.total_seconds()
        with self._lock:
            live = [
                entry
                for host_id, entry in self._entry_by_id.items()
                if entry.host.service == service
                and entry.host.state is upstream.HostState.LIVE
                and host_id not in excluded
                and (versions is None or entry.host.version in versions)
            ]
            awake = [entry for entry in live if not entry.rest.is_active(now)] or live
            if not awake:
                return None
            if not need.prompt_tokens:
                work = self._work_by_service.get(service, _FIRST_WORK_SECONDS)
                need = dataclasses.replace(need, work_seconds=work)
            states = [self._state(entry, need, seconds) for entry in awake]
            found = placement.choose(need, states, self._random)
            return self._entry_by_id[found.host_id].host, found

    def _state(self, entry, need, now):
        reported = waiting = 0
        load_age = now - entry.load_at if entry.load is not None else None
        if entry.load is not None and now - entry.load_at < _REPORT_LIFE_SECONDS:
            reported = entry.load.running + entry.load.waiting
            waiting = entry.load.waiting
        return placement.UpstreamState(
            host_id=entry.host.host_id,
            nearness=entry.nearness,
            slots=entry.host.slots,
            in_flight=entry.in_flight,
            reported=reported,
            reported_waiting=waiting,
            backlog_tokens=entry.backlog_tokens,
            load_age=load_age,
            cached_tokens=entry.cache.cached_tokens(need.prompt_parts, now),
            slowness=self._slowness(entry, now) + _FAILURE_COST * entry.failure_rate,
        )

    def _slowness(self, entry, now):
        age = max(0.0, now - entry.slowness_at)
        fading = 0.5 ** (age / _SLOWNESS_HALF_LIFE_SECONDS)
        return 1.0 + (entry.slowness - 1.0) * fading

    def is_live(self, host):
        """Return whether an upstream still takes requests."""
        with self._lock:
            entry = self._find(host)
            return entry is not None and entry.host.state is upstream.HostState.LIVE

    def begin_request(self, host, need):
        """Note that a request is sent; returns the uncached tokens of its prompt."""
        now = self._now()
        with self._lock:
            entry = self._find(host)
            if entry is None:
                return 0.0
            cached = entry.cache.cached_tokens(need.prompt_parts, now)
            entry.cache.record_sent(need.prompt_parts, now)
            uncached = max(0.0, need.prompt_tokens - cached)
            entry.in_flight += 1
            entry.backlog_tokens += uncached
            return uncached

    def record_first_byte(self, host, uncached, expected_seconds, seconds):
        """Note an answer's begin and how long it took, in seconds."""
        now = self._now()
        with self._lock:
            entry = self._find(host)
            if entry is None:
                return
            entry.backlog_tokens = max(0.0, entry.backlog_tokens - uncached)
            entry.rest = upstream_cooldown.Cooldown()
            ratio = min(_MOST_SLOWNESS, seconds / max(expected_seconds, 0.001))
            # The estimate holds the slowness of before already.
            current = self._slowness(entry, now)
            target = min(_MOST_SLOWNESS, max(1.0, current * ratio))
            entry.slowness = current + _SLOWNESS_WEIGHT * (target - current)
            entry.slowness_at = now

    def record_work(self, service, seconds):
        """Note how long a plain service worked on a request."""
        with self._lock:
            known = self._work_by_service.get(service, _FIRST_WORK_SECONDS)
            self._work_by_service[service] = known + _WORK_WEIGHT * (seconds - known)

    def record_load(self, host, load):
        """Take in an upstream's own `peridothitch.ports.forwarding.Load`."""
        now = self._now()
        with self._lock:
            entry = self._find(host)
            if entry is not None:
                entry.load = load
                entry.load_at = now

    def record_result(self, host, failed):
        """Note whether an answer that was read was a failure."""
        with self._lock:
            entry = self._find(host)
            if entry is not None:
                change = _FAILURE_WEIGHT * (float(failed) - entry.failure_rate)
                entry.failure_rate += change

    def suspend(self, host, reason):
        """Leave an upstream alone for a while that did not answer."""
        now = self._clock.monotonic()
        with self._lock:
            entry = self._find(host)
            if entry is None:
                return
            entry.rest = entry.rest.after_failure(now)
            length = (entry.rest.until - now) / datetime.timedelta(milliseconds=1)
        self._metrics.count("upstream_rests", service=host.service)
        _log.info("upstream rests", host_id=host.host_id, reason=reason, ms=int(length))

    def end_request(self, host, uncached, has_begun):
        """Note that a request has ended."""
        with self._lock:
            entry = self._find(host)
            if entry is None:
                return
            entry.in_flight = max(0, entry.in_flight - 1)
            if not has_begun:
                entry.backlog_tokens = max(0.0, entry.backlog_tokens - uncached)

    def _find(self, host):
        entry = self._entry_by_id.get(host.host_id)
        if entry is None or entry.host.incarnation != host.incarnation:
            return None
        return entry

    def _now(self):
        return self._clock.monotonic().total_seconds()
