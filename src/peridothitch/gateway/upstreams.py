"""The entry host's view of upstream hosts: state, load and choice of a host."""

import contextlib
import datetime
import random
import threading

from peridothitch import errors
from peridothitch.adapters import http_engine_reports
from peridothitch.coordination import single_host
from peridothitch.gateway import load_facts, needs
from peridothitch.policy import host_choice, host_pool, host_selector
from peridothitch.ports import facts, outcomes, upstream

__all__ = ["LEAVING_KIND", "UpstreamView"]

LEAVING_KIND = "leaving"
"""Kind of the facts that name a leaving upstream host by its id."""

_MIN_TOKENS_FOR_GAP = 8
_REFRESH_INTERVAL = datetime.timedelta(seconds=1)


class UpstreamView(outcomes.AttemptObserver):
    """Stores the last host list read and the state of hosts from attempts and reports.

    Parameters
    ----------
    host_list : peridothitch.ports.upstream.HostList
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    fact_registry : peridothitch.ports.facts.FactRegistry or None
        Facts shared by all entry hosts.
    data_centre : str
        Data centre of this entry host.
    entry_host_count : callable
        Returns the number of entry hosts believed live.
    random_source : random.Random or None
    estimates : peridothitch.policy.host_choice.UpstreamEstimates or None
    """

    def __init__(
        self,
        host_list,
        clock,
        metrics,
        *,
        fact_registry=None,
        data_centre="",
        entry_host_count=lambda: 1,
        random_source=None,
        estimates=None,
    ):
        self._host_list = host_list
        self._clock = clock
        self._metrics = metrics
        self._fact_registry = fact_registry or single_host.LocalFactRegistry()
        self._data_centre = data_centre
        self._entry_host_count = entry_host_count
        self._lock = threading.Lock()
        self._host_by_id = {}
        self._pool_by_service = {}
        self._leaving = frozenset()
        self._in_flight_by_host_id = {}
        self._needs = needs.NeedEstimator()
        self._selector = host_selector.HostSelector(
            estimates or host_choice.UpstreamEstimates(),
            data_centre,
            random_source=random_source or random.Random(),
        )
        self._load_facts = load_facts.LoadFacts(self._fact_registry, clock)
        self._fact_registry.subscribe(LEAVING_KIND, self._record_leaving)
        self._fact_registry.subscribe(load_facts.LOAD_KIND, self._record_load_fact)

    def refresh(self):
        """Read the host list once; the old view stays when it can't be read."""
        try:
            host_by_id = self._host_list.read()
        except errors.UpstreamError:
            self._metrics.count("host_list_failures")
            return
        entry_host_count = self._entry_host_count()
        with self._lock:
            if host_by_id != self._host_by_id:
                self._replace_hosts(host_by_id)
            self._selector.update(host_by_id.values(), entry_host_count)
        for host in host_by_id.values():
            if host.state is upstream.HostState.LEAVING:
                self._fact_registry.publish(facts.Fact(LEAVING_KIND, host.host_id, 1))
        self._metrics.set("upstream_hosts", len(host_by_id))
        self._metrics.set("upstream_hosts_leaving", len(self._leaving))

    def run(self, stop):
        """Refresh until the event `stop` is set."""
        while not self._clock.wait(stop, _REFRESH_INTERVAL):
            self.refresh()

    def hosts(self, service):
        """Return the hosts of `service` as a list."""
        return [host for host in self._host_by_id.values() if host.service == service]

    def is_leaving(self, host_id):
        """Return whether a host is gone, or leaving by the list or by a fact."""
        host = self._host_by_id.get(host_id)
        return host is None or (
            host.state is upstream.HostState.LEAVING or host_id in self._leaving
        )

    def running(self, service):
        """Return the estimated streams in progress at all hosts of a service."""
        with self._lock:
            now = self._now()
            return sum(
                self._selector.estimates.load(host, now).running
                for host in self._pool_by_service.get(service, ())
            )

    def in_flight(self):
        """Return requests in progress by host id."""
        with self._lock:
            return dict(self._in_flight_by_host_id)

    def choose(self, job, version, tried):
        """Return the `Decision` for an attempt of a request.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job
        version : str
        tried : iterable of str
            Host ids of earlier attempts.

        Returns
        -------
        peridothitch.policy.host_choice.Decision or None
            None when no host is left.
        """
        now = self._clock.monotonic()
        need = self._needs.estimate(job, version, tried, now)
        with self._lock:
            pool = self._pool_by_service.get(job.route.service, ())
            decision = self._selector.choose(
                pool, need, now.total_seconds(), self._leaving
            )
            if decision is not None:
                self._selector.prepare(
                    _attempt_id(job.request_id, decision.host.host_id), decision, need
                )
        reason = decision.reason if decision is not None else "none"
        self._metrics.count("choices", service=job.route.service, reason=reason)
        return decision

    @contextlib.contextmanager
    def track(self, host_id, request_id=""):
        """Count a request in progress at `host_id` while the context is open."""
        attempt_id = _attempt_id(request_id, host_id)
        with self._lock:
            self._add_in_flight(host_id, 1)
            self._selector.start(attempt_id, host_id, self._now())
        try:
            yield
        finally:
            with self._lock:
                self._add_in_flight(host_id, -1)
                self._selector.end(host_id)

    def record_headers(self, request_id, host, header_by_name):
        """Record the load and the cached tokens that a reply's headers report."""
        report = http_engine_reports.parse_load(header_by_name)
        cached = http_engine_reports.parse_cached_tokens(header_by_name)
        if cached is not None:
            self._metrics.count("prompt_tokens_cached", cached, service=host.service)
        with self._lock:
            now = self._now()
            if cached is not None:
                attempt_id = _attempt_id(request_id, host.host_id)
                self._selector.record_cached_tokens(attempt_id, cached, now)
        if report is not None:
            self.record_report(host, report)

    def record_report(self, host, report, events=()):
        """Record a host's load report and cache events."""
        with self._lock:
            now = self._now()
            self._selector.record_report(host.host_id, report, now)
            self._selector.estimates.caches.record_events(host.host_id, events, now)
            slots = self._selector.estimates.profile(host).slots
        self._load_facts.publish(host.host_id, report, slots)

    def last_event_sequence(self, host_id):
        """Return the sequence of the last cache event recorded for a host."""
        with self._lock:
            return self._selector.estimates.caches.last_sequence(host_id)

    def observe(self, outcome):
        """Update the estimates from the outcome of an attempt."""
        self._needs.observe(outcome)
        if outcome.first_byte is None:
            return
        attempt_id = _attempt_id(outcome.request_id, outcome.host_id)
        seconds = outcome.first_byte.total_seconds()
        with self._lock:
            self._selector.record_first_token(attempt_id, seconds, self._now())
            if outcome.token_count > _MIN_TOKENS_FOR_GAP:
                streamed = outcome.duration.total_seconds() - seconds
                gap = streamed / (outcome.token_count - 1)
                self._selector.record_gap(attempt_id, gap, self._now())
            self._selector.drop_attempt(attempt_id)

    def _replace_hosts(self, host_by_id):
        now = self._now()
        reclaims = self._selector.estimates.reclaims
        hosts_by_service = {}
        for host in host_by_id.values():
            hosts_by_service.setdefault(host.service, []).append(host)
            if host.state is upstream.HostState.LEAVING:
                reclaims.record_notice(host, now)
            if host.data_centre == self._data_centre:
                self._selector.region = host.region
        self._pool_by_service = {
            service: host_pool.HostPool(hosts, self._pool_by_service.get(service))
            for service, hosts in hosts_by_service.items()
        }
        self._host_by_id = host_by_id
        leaving = self._fact_registry.facts(LEAVING_KIND)
        self._leaving = frozenset(leaving.keys() & host_by_id.keys())

    def _record_leaving(self, fact):
        with self._lock:
            host = self._host_by_id.get(fact.key)
            if host is None:
                return
            self._leaving |= {fact.key}
            self._selector.estimates.reclaims.record_notice(host, self._now())

    def _record_load_fact(self, fact):
        report, age = self._load_facts.parse(fact)
        if report is None:
            return
        with self._lock:
            if fact.key in self._host_by_id:
                self._selector.record_report(fact.key, report, self._now() - age)

    def _now(self):
        return self._clock.monotonic().total_seconds()

    def _add_in_flight(self, host_id, amount):
        count = self._in_flight_by_host_id.get(host_id, 0) + amount
        self._in_flight_by_host_id[host_id] = count
        if not count:
            del self._in_flight_by_host_id[host_id]


def _attempt_id(request_id, host_id):
    return f"{request_id}/{host_id}"
