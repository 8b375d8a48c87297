"""Load, cache and health of the upstreams, and the choice among them."""

import dataclasses
import datetime
import math
import random
import threading

import logbook

from peridothitch.gateway.forwarding import full_upstreams, upstream_notices
from peridothitch.policy import (
    part_owners,
    placement,
    prompt_cache,
    upstream_cooldown,
)
from peridothitch.ports import upstream

__all__ = ["UpstreamPool"]

_MAX_REPORT_AGE_SECONDS = 1.5
"""Age beyond which a load report is ignored."""

_SLOWNESS_HALF_LIFE_SECONDS = 2.0
_SLOWNESS_WEIGHT = 0.3
_MAX_SLOWNESS = 8.0
_WORK_WEIGHT = 0.05
_INITIAL_WORK_SECONDS = 0.025
"""Work per request of a service without prompts until it has been measured."""

_FAILURE_WEIGHT = 0.15
_FAILURE_SLOWNESS = 3.0
"""Slowness added for an upstream that fails all its requests."""

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
    cooldown: upstream_cooldown.Cooldown = upstream_cooldown.Cooldown()


class UpstreamPool:
    """The upstreams, with load, cache and health as observed by this entry host.

    Parameters
    ----------
    settings : peridothitch.ports.entry_settings.EntryHostSettings
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    limits : peridothitch.gateway.forwarding.upstream_limits.UpstreamLimits
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels
    random_source : random.Random or None

    Attributes
    ----------
    revision : int
        Store revision up to which changes of the hosts are applied.
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels
        What has been learnt of their speed.
    """

    def __init__(self, settings, clock, metrics, limits, models, random_source=None):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._limits = limits
        self._random = random_source or random.Random()
        self._notices = upstream_notices.UpstreamNotices(clock, metrics)
        self._full = full_upstreams.FullUpstreams(clock)
        self._lock = threading.Lock()
        self._entry_by_id = {}
        self._work_seconds_by_service = {}
        self._owners_by_service = {}
        self.models = models
        self.revision = 0

    def update(self, host_by_id, revision=0):
        """Replace the upstream hosts.

        Parameters
        ----------
        host_by_id : dict of str to peridothitch.ports.upstream.Host
        revision : int
            Store revision up to which changes are included.
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
        self.models.update(host_by_id.values())

    def _nearness(self, host):
        if host.data_centre == self._settings.data_centre:
            return 0
        return 1 if host.region == self._settings.region else 2

    def choose(self, service, need, excluded=frozenset(), versions=None):
        """Choose an upstream; the request counts towards a limit that it has named.

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
                for entry in self._live_entries(service)
                if entry.host.host_id not in excluded
                and (versions is None or entry.host.version in versions)
                and self._notices.may_send(entry.host)
                and self._limits.may_send(entry.host)
            ]
            available = [
                entry for entry in live if not entry.cooldown.is_active(now)
            ] or live
            available = [
                entry for entry in available if self._full.has_room(entry.host)
            ] or available
            if not available:
                return None
            if not need.prompt_tokens:
                work = self._work_seconds_by_service.get(service, _INITIAL_WORK_SECONDS)
                need = dataclasses.replace(need, work_seconds=work)
            if self.models.is_modelled(service):
                states = self._modelled_states(available, need, seconds)
            else:
                states = [self._state(entry, need, seconds) for entry in available]
            estimate = placement.choose(need, states, self._random)
            chosen = self._entry_by_id[estimate.host_id].host
            self._limits.spend(chosen)
            return chosen, estimate

    def _modelled_states(self, available, need, seconds):
        """Return the states of the upstreams to compare."""
        shared = need.prompt_parts[:-1]
        preferred_ids = ()
        if shared:
            preferred_ids = self._owners(available[0].host.service, shared, seconds)
        preferred, others_by_nearness = [], {}
        for entry in available:
            if entry.host.host_id in preferred_ids:
                preferred.append(entry)
            others_by_nearness.setdefault(entry.nearness, []).append(entry)
        shared_tokens = sum(tokens for _, tokens in shared)
        states = []
        for entry in placement.draw(
            others_by_nearness,
            preferred,
            lambda entry: self.models.factor(entry.host),
            self._random,
        ):
            state = self._state(entry, need, seconds)
            factor = 1.0 if need.prompt_tokens else self.models.factor(entry.host)
            failures = 1.0 + _FAILURE_SLOWNESS * entry.failure_rate
            states.append(
                dataclasses.replace(
                    state,
                    speed=self.models.speed(entry.host),
                    slowness=factor * failures,
                    uncertain_tokens=max(0.0, shared_tokens - state.cached_tokens),
                    is_preferred=entry.host.host_id in preferred_ids,
                )
            )
        return states

    def _owners(self, service, shared, seconds):
        """Return the ids of the upstreams where shared parts are expected."""
        owners = self._owners_by_service.setdefault(service, part_owners.PartOwners())
        live_ids = [entry.host.host_id for entry in self._live_entries(service)]
        return owners.owners(shared[-1][0], live_ids, seconds)

    def is_modelled(self, service):
        """Return whether the speed of a service's upstreams is learnt from answers."""
        return self.models.is_modelled(service)

    def _live_entries(self, service):
        return [
            entry
            for entry in self._entry_by_id.values()
            if entry.host.service == service
            and entry.host.state is upstream.HostState.LIVE
        ]

    def is_limited(self, service):
        """Return whether a live upstream of a service has named a limit."""
        with self._lock:
            return any(
                self._limits.is_limited(entry.host)
                for entry in self._live_entries(service)
            )

    def _state(self, entry, need, now):
        reported = waiting = 0
        load_age = now - entry.load_at if entry.load is not None else None
        if entry.load is not None and now - entry.load_at < _MAX_REPORT_AGE_SECONDS:
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
            slowness=self._slowness(entry, now)
            + _FAILURE_SLOWNESS * entry.failure_rate,
        )

    def _slowness(self, entry, now):
        age = max(0.0, now - entry.slowness_at)
        decay = 0.5 ** (age / _SLOWNESS_HALF_LIFE_SECONDS)
        return 1.0 + (entry.slowness - 1.0) * decay

    def is_live(self, host):
        """Return whether an upstream still accepts requests."""
        with self._lock:
            entry = self._find_entry(host)
            if entry is None or self._notices.is_leaving(host):
                return False
            return entry.host.state is upstream.HostState.LIVE

    def find_usable(self, host_id, incarnation):
        """Return the live upstream of an id and incarnation that takes requests.

        Returns
        -------
        peridothitch.ports.upstream.Host or None
        """
        with self._lock:
            entry = self._entry_by_id.get(host_id)
            if (
                entry is None
                or entry.host.incarnation != incarnation
                or entry.host.state is not upstream.HostState.LIVE
                or not self._notices.may_send(entry.host)
            ):
                return None
            return entry.host

    def record_notice(self, host, status, metadata):
        """Record what an answer's head says of the upstream, such as that it leaves."""
        self._notices.record(host, status, metadata)

    def record_full(self, host):
        """Record that an upstream refused a request for want of room."""
        self._full.record(host)

    def begin_request(self, host, need):
        """Record that a request is sent; returns the uncached tokens of its prompt."""
        now = self._now_seconds()
        with self._lock:
            entry = self._find_entry(host)
            if entry is None:
                return 0.0
            cached = entry.cache.cached_tokens(need.prompt_parts, now)
            entry.cache.record_sent(need.prompt_parts, now)
            uncached_tokens = max(0.0, need.prompt_tokens - cached)
            owners = self._owners_by_service.get(host.service)
            if owners is not None and need.prompt_parts:
                last_shared = need.prompt_parts[-2:-1]
                part_id = last_shared[0][0] if last_shared else ""
                owners.record(part_id, uncached_tokens, now)
            entry.in_flight += 1
            entry.backlog_tokens += uncached_tokens
            return uncached_tokens

    def record_first_byte(self, host, uncached_tokens, expected_seconds, seconds):
        """Record an answer's first byte and the time until it, in seconds."""
        now = self._now_seconds()
        with self._lock:
            entry = self._find_entry(host)
            if entry is None:
                return
            entry.backlog_tokens = max(0.0, entry.backlog_tokens - uncached_tokens)
            entry.cooldown = upstream_cooldown.Cooldown()
            ratio = min(_MAX_SLOWNESS, seconds / max(expected_seconds, 0.001))
            # The estimate already includes the slowness so far.
            current = self._slowness(entry, now)
            target = min(_MAX_SLOWNESS, max(1.0, current * ratio))
            entry.slowness = current + _SLOWNESS_WEIGHT * (target - current)
            entry.slowness_at = now

    def record_work(self, service, seconds):
        """Record how long a service without prompts worked on a request."""
        with self._lock:
            average = self._work_seconds_by_service.get(service, _INITIAL_WORK_SECONDS)
            self._work_seconds_by_service[service] = average + _WORK_WEIGHT * (
                seconds - average
            )

    def record_load(self, host, load):
        """Store the `peridothitch.ports.forwarding.Load` that an upstream reported."""
        now = self._now_seconds()
        with self._lock:
            entry = self._find_entry(host)
            if entry is not None:
                entry.load = load
                entry.load_at = now
        self.models.record_load(host, load)

    def record_result(self, host, failed):
        """Record whether an answer that was read was a failure."""
        with self._lock:
            entry = self._find_entry(host)
            if entry is not None:
                change = _FAILURE_WEIGHT * (float(failed) - entry.failure_rate)
                entry.failure_rate += change

    def suspend(self, host, reason):
        """Exclude for a while an upstream that did not answer."""
        now = self._clock.monotonic()
        with self._lock:
            entry = self._find_entry(host)
            if entry is None:
                return
            entry.cooldown = entry.cooldown.after_failure(now)
            duration = (entry.cooldown.until - now) / datetime.timedelta(milliseconds=1)
            live = self._live_entries(host.service)
            resting_count = sum(other.cooldown.is_active(now) for other in live)
        self._metrics.count("upstream_rests", service=host.service, reason=reason)
        _log.info(
            "upstream rests",
            host_id=host.host_id,
            reason=reason,
            ms=int(duration),
            resting=resting_count,
            live=len(live),
        )

    def end_request(self, host, uncached_tokens, has_begun):
        """Record that a request has ended."""
        with self._lock:
            entry = self._find_entry(host)
            if entry is None:
                return
            entry.in_flight = max(0, entry.in_flight - 1)
            if not has_begun:
                entry.backlog_tokens = max(0.0, entry.backlog_tokens - uncached_tokens)

    def _find_entry(self, host):
        entry = self._entry_by_id.get(host.host_id)
        if entry is None or entry.host.incarnation != host.incarnation:
            return None
        return entry

    def _now_seconds(self):
        return self._clock.monotonic().total_seconds()
