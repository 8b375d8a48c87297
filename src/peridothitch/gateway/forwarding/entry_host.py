"""Entry host that forwards requests unchanged: construction, start and stop."""

import concurrent.futures
import datetime
import secrets
import threading

import logbook

from peridothitch.adapters import metrics, raw_server, status_pages
from peridothitch.coordination import lease, relays
from peridothitch.gateway import loops, peer_links, quarantine
from peridothitch.gateway.forwarding import (
    attempt,
    busy_host_meter,
    catalogue,
    duty_factory,
    duty_runner,
    final_counts,
    fleet_messages,
    fleet_record,
    fleet_reports,
    handler,
    helper_server,
    part_guard,
    part_records,
    path_links,
    peer_sync,
    pool_links,
    quota_limiter,
    retry_budgets,
    room_account,
    store_mirrors,
    upstream_limits,
    upstream_models,
    usage_counter,
    version_moves,
)
from peridothitch.policy import admission, held_bytes, request_room

__all__ = ["ForwardingHost"]

_MAX_THREADS = 192
"""Most requests in progress at once; a stream occupies a thread until it ends."""

_BACKGROUND_THREADS = 24
_INCARNATION_BYTES = 6
_TIDY_PERIOD = datetime.timedelta(milliseconds=100)
_DRAIN_SHARE = 0.86
"""Share of the time until a process is killed in which its requests may end.

The rest is for the final report to its peers: two calls of 0.5 s at most.
"""

_DRAIN_POLL_PERIOD = datetime.timedelta(milliseconds=50)
_MAX_ORDER_TIME = datetime.timedelta(seconds=1.2)
_log = logbook.Logger("entry-host")


class ForwardingHost:
    """One process between callers and upstreams.

    Parameters
    ----------
    settings : peridothitch.ports.entry_settings.EntryHostSettings
    platform : peridothitch.gateway.forwarding.platform_adapters.Platform
    clock : peridothitch.ports.clock.Clock
    metrics_address : str
        IP number and port for scrapers; empty for none.
    """

    def __init__(self, settings, platform, clock, metrics_address=""):
        self._settings, self._platform, self._clock = settings, platform, clock
        self._stop = threading.Event()
        self._ready = self._stopping = False
        self._runner = None
        self.metrics = metrics.Metrics()
        self._incarnation = secrets.token_hex(_INCARNATION_BYTES)
        account = request_room.make_account(settings.capacity)
        self._helper_server = helper_server.HelperServer(
            platform.header_codec, settings.helper_address, clock, self.metrics, account
        )
        self._fleet = peer_links.make_link(
            settings.host_id,
            settings.data_centre,
            peer_links.FleetSettings(
                listen=settings.peers_address,
                seeds=settings.seed_addresses,
                helper_address=self._helper_server.address,
            ),
            platform.store,
            clock,
            self.metrics,
        )
        peers, bounds = self._fleet.peers, settings.bounds
        self._mirrors = store_mirrors.make_mirrors(platform, clock, self.metrics)
        operators, hosts, leases = self._mirrors
        self.catalogue = catalogue.Catalogue(
            platform.record_codec, operators, hosts, clock, self.metrics
        )
        self._shared_clock = peer_sync.SharedClock(clock)
        self._sync = peer_sync.PeerSync(
            self._mirrors, peers, self._shared_clock, clock, self.metrics
        )
        for store_mirror in self._mirrors:
            store_mirror.watch_if(self._sync.should_follow_store)
        shared_clock = self._shared_clock
        self._usage = usage_counter.UsageCounter(bounds.usage_window, shared_clock)
        self._quotas = quota_limiter.QuotaLimiter(
            settings.bounds, self._count_hosts, peers, clock, self.metrics
        )
        self._budgets = retry_budgets.RetryBudgets(
            settings.bounds, self._count_hosts, self.metrics
        )
        self._models = upstream_models.UpstreamModels(clock, self.metrics)
        self._busy = busy_host_meter.BusyHostMeter(clock, self._models)
        self._lease = lease.FencedLease(
            platform.store,
            lease.LeaseTerms(
                name=duty_runner.LEASE_NAME,
                ttl=settings.bounds.lease_time,
                max_order_time=_MAX_ORDER_TIME,
                orders_are_fenced=settings.bounds.orders_are_fenced,
            ),
            settings.host_id,
            clock,
        )
        self._final_counts = final_counts.FinalCounts()
        self._reports = self._make_reports(peers)
        self._reports.subscribe(self._quotas.apply_view)
        self._leases = leases
        leases.subscribe(self._apply_record)
        self._crash_guard = quarantine.CrashGuard(
            self._fleet.facts, (), (), clock, self.metrics
        )
        self._limits = upstream_limits.UpstreamLimits(
            peers, self._fleet.facts, self._shared_clock, self.metrics
        )
        self._move_records, self._moves = version_moves.make_moves(
            self.catalogue,
            platform,
            leases,
            self._fleet,
            self._crash_guard,
            self._shared_clock,
            self.metrics,
        )
        self._duty_runner = duty_runner.DutyRunner(
            self._lease,
            settings.bounds.lease_time,
            leases,
            peers,
            self._make_duties(),
            clock,
            self.metrics,
        )
        self._upstreams, self._loads = pool_links.make_pool(
            settings,
            peers,
            self.catalogue,
            self._limits,
            self._models,
            self._count_hosts,
            clock,
            self.metrics,
        )
        self._paths = path_links.make_paths(
            settings, platform.header_codec, peers, clock, self.metrics
        )
        self._part_guard = part_guard.PartGuard(
            settings.host_id,
            self._fleet.facts,
            part_records.PartRecords(platform.store, leases),
            self._paths.is_down,
            self._shared_clock,
            self.metrics,
            lambda: relays.rank(peers.members(), settings.host_id),
        )
        self._handler = handler.ForwardingHandler(
            self.catalogue, self._attempt_dependencies(), self._quotas, self._busy
        )
        self._server = raw_server.RawServer(
            self._handler.handle_request,
            settings.callers_address,
            clock,
            _MAX_THREADS,
            request_room.connection_limit(settings.capacity),
            self._handler.count_unreadable,
            account,
        )
        self.catalogue.subscribe(self._apply_table, self._apply_hosts)
        pages = status_pages.StatusPages(self.is_ready, self.metrics)
        addresses = filter(None, (settings.ready_address, metrics_address))
        self._status_servers = list(map(pages.make_server, addresses))
        self._background = concurrent.futures.ThreadPoolExecutor(
            _BACKGROUND_THREADS, thread_name_prefix="background"
        )

    def _make_reports(self, peers):
        return fleet_reports.FleetReports(
            peers,
            lambda: self._duty_runner.find_holder(),
            self._make_report,
            self._quotas.terms,
            self._clock,
            self.metrics,
            self._final_counts,
            self._models,
        )

    def _attempt_dependencies(self):
        return attempt.AttemptDependencies(
            upstreams=self._upstreams,
            limits=self._limits,
            transport=self._paths,
            header_codec=self._platform.header_codec,
            budgets=self._budgets,
            crash_guard=self._crash_guard,
            part_guard=self._part_guard,
            record_usage=self._usage.record,
            moves=self._moves,
            held_bytes=held_bytes.HeldBytes(),
            room=room_account.RoomAccount(self._settings.orders_requests),
            clock=self._clock,
            metrics=self.metrics,
        )

    def _make_duties(self):
        return duty_factory.make_duties(
            duty_factory.DutyDependencies(
                settings=self._settings,
                store=self._platform.store,
                client=self._platform.duties,
                fenced_lease=self._lease,
                leases=self._leases,
                reports=self._reports,
                final_counts=self._final_counts,
                catalogue=self.catalogue,
                move_records=self._move_records,
                version_moves=self._moves,
                limits=self._limits,
                models=self._models,
                shared_clock=self._shared_clock,
                clock=self._clock,
                metrics=self.metrics,
            )
        )

    @property
    def port(self):
        """Port that callers connect to."""
        return self._server.port

    @property
    def peers_address(self):
        """IP number and port that other entry hosts connect to."""
        return self._fleet.address

    def members(self):
        """Return the entry hosts believed live, by id."""
        return self._fleet.peers.members()

    def is_ready(self):
        """Return whether the load balancer should send callers to this host."""
        return self._ready and not self._stopping and self.catalogue.is_loaded

    def start(self):
        """Start reading rules and hosts, and serve."""
        runner = loops.LoopRunner(
            self._background, self._stop, self._clock, self.metrics
        )
        self._runner = runner
        runner.start(self._read_store)
        self._server.start()
        for server in self._status_servers:
            server.start()
        # Loops that start at the same time share a slow core for a second or more.
        self._ready = True
        self._fleet.start(runner)
        self._helper_server.start(self._upstreams, self._paths)
        for run in (
            self._sync.run,
            self._reports.run,
            self._duty_runner.run,
            self._duty_runner.run_duties,
            self._moves.run,
            self._paths.run,
            *self._loads.loops,
            self._part_guard.run,
            self._part_guard.run_saves,
            self._tidy,
        ):
            runner.start(run)
        _log.info(
            "started",
            host_id=self._settings.host_id,
            data_centre=self._settings.data_centre,
            incarnation=self._incarnation,
            port=self.port,
        )

    def _read_store(self, stop):
        """Read the mirrored prefixes, then start to follow them.

        One call after the other, on one connection: when all hosts start at the same
        time, the store drops the connections that exceed its queue.
        """
        operators, hosts, leases = self._mirrors
        # Quotas depend on the fleet record, which is stored with the leases.
        for store_mirror in (leases, operators, hosts):
            store_mirror.try_read()
        for store_mirror in self._mirrors:
            self._runner.start(store_mirror.run)

    def stop(self):
        """Stop after the requests in progress, within a share of the grace period."""
        self._stopping = True
        began = self._clock.monotonic()
        _log.info("draining", active=self._handler.active)
        ends_at = began + self._settings.bounds.grace_period * _DRAIN_SHARE
        self._server.drain()
        self._helper_server.drain()
        self._handler.drain(ends_at)
        self._duty_runner.resign()
        while not self._may_stop(began, ends_at):
            self._clock.wait(self._stop, _DRAIN_POLL_PERIOD)
        self._server.close_idle()
        while self._server.pending_request_count and self._clock.monotonic() < ends_at:
            self._clock.wait(self._stop, _DRAIN_POLL_PERIOD)
        self._reports.send(is_final=True)
        self._fleet.leave()
        self._stop.set()
        self._platform.store.close()
        self._server.close()
        self._helper_server.close()
        self._paths.close()
        for server in self._status_servers:
            server.close()
        self._quotas.close()
        self._loads.close()
        self._background.shutdown(wait=False, cancel_futures=True)
        self._fleet.close()
        _log.info("stopped", active=self._handler.active)

    def _may_stop(self, began, ends_at):
        now = self._clock.monotonic()
        return now >= ends_at or admission.may_stop(
            now - began,
            now - self._handler.last_arrival,
            self._handler.active + self._helper_server.active,
        )

    def reload(self, settings):
        """Apply new settings; requests in progress continue.

        Addresses and names remain those of the start.
        """
        self._settings = settings
        self._quotas.bounds = settings.bounds
        self._budgets.bounds = settings.bounds
        _log.info("settings reloaded", host_id=settings.host_id)

    def _tidy(self, stop):
        while not self._clock.wait(stop, _TIDY_PERIOD):
            self.catalogue.remove_lapsed()
            self.metrics.set("request_bytes_held", self._server.request_bytes)

    def _apply_table(self, table):
        self._server.set_limits(table.limits)
        self._helper_server.set_limits(table.limits)
        self._quotas.update_table(table)

    def _apply_hosts(self, host_by_id):
        self._upstreams.update(host_by_id, self.catalogue.hosts_revision)
        self._paths.retain_connections(host_by_id.values())

    def _count_hosts(self):
        """Return the number of entry hosts that share quotas, at least 1."""
        return fleet_record.count_hosts(self._fleet.peers, self._reports, self._leases)

    def _apply_record(self):
        self._final_counts.record_holder(self._duty_runner.find_holder_number())
        self._quotas.apply_record(fleet_record.read_record(self._leases))
        self._part_guard.restore()

    def _make_report(self):
        statement = self._final_counts.statement(self._leases.era)
        return fleet_messages.HostReport(
            host_id=self._settings.host_id,
            incarnation=self._incarnation,
            counts_by_window=self._usage.counts(),
            demand_by_customer=self._quotas.demand(),
            share_by_customer=self._quotas.shares(),
            used_by_customer=self._quotas.used(),
            busy_by_service=self._busy.busy_by_service(),
            size_by_customer=self._quotas.sizes(),
            lenders_digest=self._quotas.lenders_digest,
            answers_by_service=self._models.take_answers(),
            **fleet_messages.statement_fields(statement),
        )
