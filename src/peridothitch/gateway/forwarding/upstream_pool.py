"""Load, cache and health of the upstreams, and the choice among them."""

import dataclasses
import datetime
import random
import threading

import logbook

from peridothitch import errors
from peridothitch.gateway.forwarding import (
    full_upstreams,
    modelled_choice,
    upstream_entries,
    upstream_notices,
)
from peridothitch.policy import (
    homes,
    placement,
    prompt_cache,
    shared_loads,
    upstream_cooldown,
)
from peridothitch.ports import upstream

__all__ = ["UpstreamPool"]

_WORK_WEIGHT = 0.05
_INITIAL_WORK_SECONDS = 0.025
"""Work per request of a service without prompts until it has been measured."""

_FAILURE_WEIGHT = 0.15

_log = logbook.Logger(__name__)


class UpstreamPool:
    """The upstreams, with load, cache and health as observed by this entry host.

    Parameters
    ----------
    settings : peridothitch.ports.entry_settings.EntryHostSettings
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    limits : peridothitch.gateway.forwarding.upstream_limits.UpstreamLimits
    evacuations : peridothitch.gateway.forwarding.evacuations.Evacuations
    cold : peridothitch.gateway.forwarding.cold_upstreams.ColdUpstreams
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels
    random_source : random.Random or None
    exchange : peridothitch.gateway.forwarding.load_exchange.LoadExchange or None
        Tells what the other entry hosts have in progress; is told what this one has.

    Attributes
    ----------
    revision : int
        Store revision up to which changes of the hosts are applied.
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels
        What has been learnt of their speed.
    """

    def __init__(
        self,
        settings,
        clock,
        metrics,
        limits,
        evacuations,
        cold,
        models,
        random_source=None,
        exchange=None,
    ):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._limits = limits
        self._evacuations = evacuations
        self._cold = cold
        self._random = random_source or random.Random()
        self._modelled = modelled_choice.ModelledChoice(models, exchange, self._random)
        self._notices = upstream_notices.UpstreamNotices(clock, metrics)
        self._full = full_upstreams.FullUpstreams(clock)
        self._lock = threading.Lock()
        self._entry_by_id = {}
        self._work_seconds_by_service = {}
        self.models = models
        self.revision = 0
        if exchange is not None:
            exchange.set_source(self.uses)

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
                    entry = upstream_entries.Entry(
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

    def choose(self, service, need, excluded=frozenset(), versions=None, lent=None):
        """Choose an upstream; the request counts towards a limit that it has named.

        Parameters
        ----------
        service : str
        need : peridothitch.policy.placement.RequestNeed
        excluded : collection of str
            Host ids that were tried before.
        versions : collection of str or None
            Versions that may run the request; None for all.
        lent : peridothitch.ports.upstream.Host or None
            Cold upstream of which another entry host lent its share; the only choice.

        Returns
        -------
        tuple of (peridothitch.ports.upstream.Host, placement.Estimate) or None
        """
        now = self._clock.monotonic()
        seconds = now.total_seconds()
        with self._lock:
            live = [
                entry
                for entry in self._permitted(service, need, excluded, versions)
                if self._cold.may_send(entry.host, lent)
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
                live_ids = [e.host.host_id for e in self._live_entries(service)]
                states = self._modelled.states(available, live_ids, need, seconds)
            else:
                states = [
                    upstream_entries.make_state(entry, need, seconds)
                    for entry in available
                ]
            estimate = placement.choose(need, states, self._random)
            chosen = self._entry_by_id[estimate.host_id].host
            self._limits.spend(chosen)
            if lent is None:
                self._cold.spend(chosen)
            return chosen, estimate

    def is_modelled(self, service):
        """Return whether the speed of a service's upstreams is learnt from answers."""
        return self.models.is_modelled(service)

    def choose_lent(self, service, need, excluded=frozenset(), versions=None):
        """Choose a cold upstream of which another entry host lends its share.

        Parameters and result are those of `choose`. Calls other entry hosts.
        """
        with self._lock:
            permitted = self._permitted(service, need, excluded, versions)
            cold = [e.host for e in permitted if self._cold.is_cold(e.host)]
        lent = self._cold.borrow(cold) if cold else None
        if lent is None:
            return None
        return self.choose(service, need, excluded, versions, lent)

    def _permitted(self, service, need, excluded, versions):
        """Return the upstreams that may get a request unless they are cold."""
        return [
            entry
            for entry in self._live_entries(service, need.homes)
            if entry.host.host_id not in excluded
            and (versions is None or entry.host.version in versions)
            and not self._evacuations.covers(entry.host)
            and self._notices.may_send(entry.host)
            and self._limits.may_send(entry.host)
        ]

    def uses(self):
        """Return what this host has in progress at the upstreams of modelled services.

        Returns
        -------
        tuple of dict or None
            Requests and uncached tokens, and the `shared_loads.SeenLoad`, by
            `shared_loads.upstream_key`; None while no service is modelled.
        """
        with self._lock:
            entries = list(self._entry_by_id.values())
            services = {entry.host.service for entry in entries}
            modelled = {name for name in services if self.is_modelled(name)}
            if not modelled:
                return None
            use_by_upstream, seen_by_upstream = {}, {}
            for entry in entries:
                if entry.host.service not in modelled:
                    continue
                host = entry.host
                key = shared_loads.upstream_key(host.host_id, host.incarnation)
                use_by_upstream[key] = entry.in_flight, entry.backlog_tokens
                if entry.load is not None:
                    seen_by_upstream[key] = shared_loads.SeenLoad(
                        entry.load, entry.load_at
                    )
            return use_by_upstream, seen_by_upstream

    def _live_entries(self, service, home_regions=None):
        return [
            entry
            for entry in self._entry_by_id.values()
            if entry.host.service == service
            and entry.host.state is upstream.HostState.LIVE
            and homes.admits(home_regions, entry.host.region)
        ]

    def find_obstacle(self, service, need):
        """Return the `peridothitch.errors.Code` of what bars upstreams, or None.

        Parameters
        ----------
        service : str
        need : peridothitch.policy.placement.RequestNeed
        """
        with self._lock:
            entries = self._live_entries(service, need.homes)
            if not entries and need.homes is not None:
                return errors.Code.NO_UPSTREAM_AT_HOME
            away = [e for e in entries if self._evacuations.covers(e.host)]
            if away and len(away) == len(entries):
                return errors.Code.UPSTREAMS_EVACUATED
            if any(
                self._limits.is_limited(entry.host) or self._cold.is_cold(entry.host)
                for entry in entries
            ):
                return errors.Code.UPSTREAMS_LIMITED
        return None

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
                or self._evacuations.covers(entry.host)
                or not self._notices.may_send(entry.host)
            ):
                return None
            return entry.host

    def record_notice(self, host, status, metadata):
        """Record what an answer's head says of the upstream, such as that it leaves."""
        self._notices.record(host, status, metadata)
        self._cold.record(host, metadata.cold_time)

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
            self._modelled.record_sent(
                host.service, need.prompt_parts, uncached_tokens, now
            )
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
            entry.record_answer_time(expected_seconds, seconds, now)

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
