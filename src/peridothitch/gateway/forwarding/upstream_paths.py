"""Paths to the upstreams: this host's own, and those through other entry hosts.

A failed connection doesn't tell whether the upstream is gone or this host's path to it
is. Other entry hosts tell: where one of them reaches an upstream that this host does
not, the path is lost, and calls go through that host until connections succeed again.
"""

import collections
import concurrent.futures
import datetime
import random
import threading

import logbook

from peridothitch import errors
from peridothitch.policy import path_health
from peridothitch.ports import raw

__all__ = ["UpstreamPaths"]

_PERIOD = datetime.timedelta(milliseconds=100)
_RECOVERY_PERIOD = datetime.timedelta(milliseconds=500)
_RETURN_TIME = datetime.timedelta(seconds=2)
"""After one path is back, the others are probed together for this time."""

_MIN_PROBE_GAP = datetime.timedelta(seconds=1)
_SILENCE = datetime.timedelta(milliseconds=500)
"""A service that answers nothing for this time, while calls wait, is probed."""

_RECENT_FAILURE = datetime.timedelta(seconds=5)
_RECENTLY_UNREACHED = datetime.timedelta(seconds=1)
_MIN_FAILING = 2
"""One upstream alone that takes no connections has probably failed itself."""

_MAX_PROBES = 4
"""Probes in one period, so that a doubt about many upstreams costs little."""

_PROBE_THREADS = 8

_UNKNOWN = path_health.PathHealth()
_log = logbook.Logger("forwarding")


class UpstreamPaths(raw.RawTransport):
    """Sends calls to upstreams directly or through another entry host.

    Parameters
    ----------
    direct : peridothitch.adapters.raw_transport.HttpRawTransport
    helpers : peridothitch.gateway.forwarding.helper_client.HelperClient
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None
    """

    def __init__(self, direct, helpers, clock, metrics, random_source=None):
        self._direct = direct
        self._helpers = helpers
        self._clock = clock
        self._metrics = metrics
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._host_by_key = {}
        self._health_by_key = {}
        self._probed_at_by_key = {}
        self._heard_at_by_service = {}
        self._waiting_by_key = collections.defaultdict(dict)
        self._next_recovery = clock.monotonic()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _PROBE_THREADS, thread_name_prefix="path-probe"
        )
        direct.observe_connections(self._record_connection)

    def open(self, host, call, on_cancel):
        """Send `call` on the path that works and wait for the head of the response."""
        if self.avoids_direct_path(host):
            return self._open_indirectly(host, call, on_cancel)
        try:
            return self.open_directly(host, call, on_cancel)
        except errors.UpstreamError as error:
            if error.ran is not errors.Ran.NO or not self.avoids_direct_path(host):
                raise
        return self._open_indirectly(host, call, on_cancel)

    def open_directly(self, host, call, on_cancel):
        """Send `call` on this host's own path only."""
        token = object()
        waiting = self._waiting_by_key[_key(host)]
        waiting[token] = self._clock.monotonic()
        try:
            answer = self._direct.open(host, call, on_cancel)
        finally:
            waiting.pop(token, None)
        self._record_heard(host)
        return _WatchedAnswer(answer, host, self._record_heard)

    def _open_indirectly(self, host, call, on_cancel):
        now = self._clock.monotonic()
        if not self._health(host).was_unreached_within(_RECENTLY_UNREACHED, now):
            answer = self._helpers.open(host, call, on_cancel)
            if answer is not None:
                self._record_reached(host)
                self._metrics.count("indirect_calls", service=host.service)
                return answer
            # Hosts outside a call's homes weren't asked and may reach the upstream.
            if call.homes is None and self._clock.monotonic() < call.deadline:
                self._change(host, "after_peers_failed")
        raise errors.UpstreamError(
            errors.Code.UPSTREAM_REFUSED,
            f"{host.host_id}: neither this entry host nor others reach it",
            errors.Ran.NO,
        )

    def avoids_direct_path(self, host):
        """Return whether an upstream is reached through other hosts, if at all."""
        health = self._health(host)
        if health.is_lost:
            return True
        now = self._clock.monotonic()
        return health.has_failed_within(_RECENT_FAILURE, now) and self.is_in_doubt(
            host.service
        )

    def has_lost_path(self, host):
        """Return whether failures at an upstream are those of this host's path.

        Where the paths to some upstreams of a service are lost, another one to which
        connections fail has most likely not failed itself.
        """
        health = self._health(host)
        if health.is_lost:
            return True
        if not health.has_failed_within(_RECENT_FAILURE, self._clock.monotonic()):
            return False
        with self._lock:
            healths = map(self._health_by_key.get, self._keys_of(host.service))
            return any(found is not None and found.is_lost for found in healths)

    def is_in_doubt(self, service):
        """Return whether this host may have lost its path to a service's upstreams."""
        now = self._clock.monotonic()
        with self._lock:
            keys = self._keys_of(service)
            failing_count = sum(
                health.is_lost or health.has_failed_within(_RECENT_FAILURE, now)
                for health in map(self._health_by_key.get, keys)
                if health is not None
            )
        return bool(keys) and failing_count >= min(_MIN_FAILING, len(keys))

    def is_down(self, host):
        """Return whether no entry host reaches an upstream that broke off a call."""
        if not self._direct.is_down(host):
            return False
        reached = self._helpers.can_reach(host)
        if reached:
            self._record_reached(host)
        if reached is None:
            return not self.has_lost_path(host)
        return not reached

    def probe(self, host):
        """Return whether this host can open a connection to an upstream."""
        with self._lock:
            self._probed_at_by_key[_key(host)] = self._clock.monotonic()
        return self._direct.probe(host)

    def retain_connections(self, hosts):
        """Forget all but the given hosts and close the idle connections to them."""
        hosts = list(hosts)
        with self._lock:
            self._host_by_key = {_key(host): host for host in hosts}
            for known in (
                self._health_by_key,
                self._probed_at_by_key,
                self._waiting_by_key,
            ):
                for key in set(known) - set(self._host_by_key):
                    del known[key]
        self._direct.retain_connections(hosts)

    def run(self, stop):
        """Probe paths in doubt and lost ones until the event `stop` is set."""
        while not self._clock.wait(stop, _PERIOD):
            self.check_paths()

    def close(self):
        """End the probes."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def check_paths(self):
        """Probe the upstreams to which the path is in doubt, or lost for a while."""
        due = [*self._find_doubtful()[:_MAX_PROBES], *self._find_lost()]
        list(self._executor.map(self.probe, due))

    def _find_doubtful(self):
        """Return upstreams of services that answer nothing or fail to connect."""
        now = self._clock.monotonic()
        with self._lock:
            services = {host.service for host in self._host_by_key.values()}
        chosen = []
        for service in services:
            silent = self._silent_hosts(service, now)
            if not silent and not self.is_in_doubt(service):
                continue
            others = self._unproved_hosts(service, now)
            others += self._failing_hosts(service, now)
            self._random.shuffle(others)
            chosen += silent + [host for host in others if host not in silent]
        return chosen

    def _silent_hosts(self, service, now):
        """Return upstreams whose calls wait while the whole service is silent."""
        heard_at = self._heard_at_by_service.get(service)
        if heard_at is not None and now - heard_at < _SILENCE:
            return []
        with self._lock:
            return [
                self._host_by_key[key]
                for key in self._keys_of(service)
                if self._may_probe(key, now)
                and any(
                    now - since >= _SILENCE
                    for since in tuple(self._waiting_by_key[key].values())
                )
            ]

    def _unproved_hosts(self, service, now):
        """Return the upstreams that may still be reached, none if one was just now."""
        with self._lock:
            keys = self._keys_of(service)
            healths = [self._health_by_key.get(key, _UNKNOWN) for key in keys]
            if any(h.has_connected_within(_MIN_PROBE_GAP, now) for h in healths):
                return []
            return [
                self._host_by_key[key]
                for key, health in zip(keys, healths, strict=True)
                if not health.is_failing and self._may_probe(key, now)
            ]

    def _failing_hosts(self, service, now):
        """Return upstreams that no connection reaches, and perhaps no other host."""
        with self._lock:
            return [
                self._host_by_key[key]
                for key in self._keys_of(service)
                if self._may_probe(key, now)
                and self._health_by_key.get(key, _UNKNOWN).is_failing
                and not self._health_by_key[key].is_lost
            ]

    def _find_lost(self):
        """Return lost paths to probe: one of a service, or all once one is back."""
        now = self._clock.monotonic()
        if now < self._next_recovery:
            return []
        self._next_recovery = now + _RECOVERY_PERIOD
        lost_by_service = collections.defaultdict(list)
        returning_services = set()
        with self._lock:
            for key, health in self._health_by_key.items():
                host = self._host_by_key[key]
                if health.is_lost:
                    lost_by_service[host.service].append(host)
                if health.has_connected_within(_RETURN_TIME, now):
                    returning_services.add(host.service)
        chosen = []
        for service, lost in lost_by_service.items():
            is_back = service in returning_services
            chosen += lost if is_back else [self._random.choice(lost)]
        return chosen

    def _may_probe(self, key, now):
        probed_at = self._probed_at_by_key.get(key)
        return probed_at is None or now - probed_at >= _MIN_PROBE_GAP

    def _keys_of(self, service):
        return [
            key for key, host in self._host_by_key.items() if host.service == service
        ]

    def _health(self, host):
        return self._health_by_key.get(_key(host), _UNKNOWN)

    def _record_heard(self, host):
        self._heard_at_by_service[host.service] = self._clock.monotonic()

    def _record_connection(self, host, is_open):
        if is_open:
            self._record_heard(host)
        self._change(host, "after_connection" if is_open else "after_failure")

    def _record_reached(self, host):
        self._change(host, "after_peer_reached")

    def _change(self, host, event):
        now = self._clock.monotonic()
        with self._lock:
            before = self._health(host)
            if _key(host) not in self._host_by_key:
                return
            health = getattr(before, event)(now)
            self._health_by_key[_key(host)] = health
            lost_count = sum(
                self._health_by_key[key].is_lost
                for key in self._keys_of(host.service)
                if key in self._health_by_key
            )
        if health.is_lost is before.is_lost:
            return
        self._metrics.set("lost_paths", lost_count, service=host.service)
        _log.info(
            "path lost" if health.is_lost else "path is back",
            host_id=host.host_id,
            service=host.service,
            lost=lost_count,
        )


def _key(host):
    return host.host_id, host.incarnation


class _WatchedAnswer(raw.ResponseWrapper):
    """Answer whose bytes tell that its service is not silent."""

    def __init__(self, answer, host, record_heard):
        super().__init__(answer)
        self._host = host
        self._record_heard = record_heard

    def read_some(self):
        data = super().read_some()
        self._record_heard(self._host)
        return data
