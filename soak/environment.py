"""Stand-ins of the platform, entry host processes, and injection of planned faults."""

import contextlib
import dataclasses
import random
import threading
import time

from peridothitch.adapters import boot_clock, wsgi_server
from peridothitch.standins import (
    metadata_store,
    platform_duties,
    platform_records,
    replica,
)
from soak import callers, fault_plan, fault_proxy, processes

__all__ = ["DRAIN_SECONDS", "Leaving", "SoakEnvironment"]

CUSTOMER = "lanark"
SERVICES = ("till", "model")
DRAIN_SECONDS = 2.5
"""Time from a host's leaving notice until it gets no new request."""

_UPSTREAMS_PER_SERVICE_COUNT = 3
_CRASH_RECOVERY_SECONDS = 1.0
_REMOVAL_DELAY_SECONDS = 4.0
_STORE_DELAY_SECONDS = 0.4
_STORE_LATE_SECONDS = 1.0
_LOST_REPLY_COUNT = 3
_MISBEHAVIOUR_COUNT = 4
_READY_POLL_SECONDS = 0.3
_STORM_CHANGE_COUNT = 5
_STORE_THREAD_COUNT = 64
_ROUTE_TYPE_BY_NAME = {
    "charge": "unsafe",
    "lookup": "safe",
    "helper": "streaming",
    "planner": "streaming",
}


class Upstream:
    """One replica behind a fault proxy."""

    def __init__(self, host_id, service):
        self.service = service
        self.replica = replica.Replica(host_id, event_count=6, event_gap_seconds=0.02)
        self.replica.start()
        self.proxy = fault_proxy.FaultProxy(self.replica.address)


@dataclasses.dataclass(frozen=True)
class Leaving:
    """An upstream that has announced that it leaves.

    Attributes
    ----------
    replica : peridothitch.standins.replica.Replica
    since : float
        Time of the announcement in monotonic seconds.
    """

    replica: replica.Replica
    since: float


class SoakEnvironment:
    """The platform's stand-ins, the upstreams and the entry hosts of one soak.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings and logs.
    host_count : int
    seed : int

    Attributes
    ----------
    replicas : list of peridothitch.standins.replica.Replica
        All replicas, including those that were removed.
    leaving : list of Leaving
    dropped_routes : set of str
        Prefixes that the newest configuration no longer contains.
    """

    def __init__(self, folder, host_count, seed):
        self._exit_stack = contextlib.ExitStack()
        self._random = random.Random(seed)
        self._lock = threading.RLock()
        self._stop = threading.Event()
        self._threads = []
        self._last_number = 0
        self._version = 0
        self._extra_routes = []
        self._keys = [callers.API_KEY, callers.SPARE_API_KEY]
        self._ready_numbers = []
        self.replicas = []
        self.leaving = []
        self.dropped_routes = set()
        self.dropped_keys = set()
        self._start_platform()
        self.upstreams = []
        for service in SERVICES:
            for _ in range(_UPSTREAMS_PER_SERVICE_COUNT):
                self._add_upstream(service)
        self._publish_configuration()
        self.hosts, self.store_proxies, self.caller_proxies = [], [], []
        for number in range(host_count):
            self._add_host(folder, number)
        addresses = [host.peers_address for host in self.hosts]
        for host in self.hosts:
            host.set_seeds(a for a in addresses if a != host.peers_address)

    def _start_platform(self):
        self.store = metadata_store.MetadataStore(boot_clock.BootClock())
        self.store_service = metadata_store.MetadataStoreService(self.store)
        self.duties = platform_duties.PlatformDutiesService()
        self._store_address = self._serve(self.store_service)
        self._duties_address = self._serve(self.duties)
        self._exit_stack.callback(self.store.close)

    def _serve(self, application):
        server = wsgi_server.WsgiServer(application, "127.0.0.1:0", _STORE_THREAD_COUNT)
        server.start()
        self._exit_stack.callback(server.close)
        return f"127.0.0.1:{server.port}"

    def _add_host(self, folder, number):
        store_proxy = fault_proxy.FaultProxy(self._store_address)
        fields = {
            "data_centre": f"lothian-{'ab'[number % 2]}",
            "grace": processes.GRACE_SECONDS,
            "store": store_proxy.address,
            "duties": self._duties_address,
            "seeds": "",
        }
        host = processes.EntryProcess(f"edge-{number}", folder, fields)
        caller_proxy = fault_proxy.FaultProxy(host.address)
        self._exit_stack.callback(store_proxy.close)
        self._exit_stack.callback(caller_proxy.close)
        self.hosts.append(host)
        self.store_proxies.append(store_proxy)
        self.caller_proxies.append(caller_proxy)

    def _add_upstream(self, service, host_id=None):
        with self._lock:
            self._last_number += 1
            upstream = Upstream(host_id or f"{service}-{self._last_number}", service)
            self.upstreams.append(upstream)
            self.replicas.append(upstream.replica)
        self._exit_stack.callback(upstream.replica.close)
        self._exit_stack.callback(upstream.proxy.close)
        self._register(upstream)
        return upstream

    def _register(self, upstream, **changes):
        record = platform_records.host_record(
            upstream.proxy.address,
            upstream.service,
            "lothian-a",
            born=int(time.time() * 1000),
            **changes,
        )
        self.store.put(f"servers/{upstream.replica.replica_id}", record)

    def _publish_configuration(self):
        routes = [
            _route(name, route.prefix) for name, route in callers.ROUTE_BY_NAME.items()
        ]
        routes += [_route("lookup", prefix, prefix) for prefix in self._extra_routes]
        self._version += self._random.randrange(1, 4)
        value = platform_records.configuration(
            self._version,
            routes,
            [
                {"name": "till", "max_connections": 100},
                {"name": "model", "max_connections": 300, "engine": {"capacity": 48}},
            ],
            [{"name": CUSTOMER, "api_keys": list(self._keys)}],
        )
        self.store.put("op/config", value)

    @property
    def extra_routes(self):
        """Prefixes that were added to the configuration and not removed since."""
        return tuple(self._extra_routes)

    def start(self):
        """Start the entry hosts, their supervision and the readiness checks."""
        for host in self.hosts:
            host.start()
        for run in (self._supervise, self._poll_readiness):
            thread = threading.Thread(target=run, daemon=True)
            thread.start()
            self._threads.append(thread)

    def _supervise(self):
        while not self._stop.wait(0.05):
            for host in self.hosts:
                host.tick()

    def _poll_readiness(self):
        while not self._stop.wait(_READY_POLL_SECONDS):
            self._ready_numbers = [
                number for number, host in enumerate(self.hosts) if host.is_ready()
            ]

    def is_ready(self):
        """Return whether all hosts were ready at the last poll."""
        return len(self._ready_numbers) == len(self.hosts)

    def pick_host(self):
        """Return name and address of a ready host, as the load balancer does."""
        numbers = self._ready_numbers or range(len(self.hosts))
        number = self._random.choice(list(numbers))
        return self.hosts[number].name, self.caller_proxies[number].address

    def close(self):
        """Stop all processes and servers; returns the exit codes of the hosts."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        codes = [host.end(15) for host in self.hosts]
        self._exit_stack.close()
        return codes

    def clear_faults(self):
        """End all active faults."""
        for proxy in (*self.store_proxies, *self.caller_proxies):
            proxy.apply("")
        for upstream in self.upstreams:
            upstream.proxy.apply("")
            upstream.replica.reset_behaviours()
        faults = self.store_service.faults
        faults.refuse_status = faults.answers_to_drop = 0
        faults.delay_seconds = faults.late_write_seconds = 0.0
        self.duties.answers_to_drop = 0

    def start_fault(self, fault, traffic):
        """Start a `Fault`; returns a callable that ends it."""
        host_number = fault.target % len(self.hosts)
        host = self.hosts[host_number]
        seconds = fault.length.total_seconds()
        match fault.kind:
            case fault_plan.Kind.HOST_STOPPED:
                host.stop()
            case fault_plan.Kind.HOST_PAUSED:
                host.pause(seconds)
            case fault_plan.Kind.HOST_KILLED:
                host.kill()
            case fault_plan.Kind.ALL_KILLED:
                for each in self.hosts:
                    each.kill()
            case fault_plan.Kind.SETTINGS_CHANGED:
                host.change_settings(by_signal=fault.target % 2 == 0)
            case fault_plan.Kind.STORE_LINK:
                return self._break_link(self.store_proxies[host_number], fault.variant)
            case fault_plan.Kind.CALLER_LINK:
                return self._break_link(self.caller_proxies[host_number], fault.variant)
            case fault_plan.Kind.UPSTREAM_LINK:
                return self._break_link(self._upstream(fault).proxy, fault.variant)
            case fault_plan.Kind.STORE_FAULT:
                return self._start_store_fault(fault.variant)
            case fault_plan.Kind.DUTIES_LOST:
                self.duties.answers_to_drop = _LOST_REPLY_COUNT
            case fault_plan.Kind.UPSTREAM_CRASHED:
                self._crash(self._upstream(fault), fault.variant)
            case fault_plan.Kind.UPSTREAM_LEAVING:
                self._start_leaving(self._upstream(fault), fault.variant)
            case fault_plan.Kind.UPSTREAM_FAULT:
                faulty_replica = self._upstream(fault).replica
                faulty_replica.queue_behaviours(*[fault.variant] * _MISBEHAVIOUR_COUNT)
            case fault_plan.Kind.RULES_CHANGED:
                self._change_configuration(fault.variant)
            case fault_plan.Kind.BURST:
                return _start_burst(traffic)
        return _do_nothing

    def _upstream(self, fault):
        return self.upstreams[fault.target % len(self.upstreams)]

    def _break_link(self, proxy, variant):
        proxy.apply(variant)
        return lambda: proxy.apply("")

    def _start_store_fault(self, variant):
        faults = self.store_service.faults
        match variant:
            case "down":
                faults.refuse_status = 503
            case "slow":
                faults.delay_seconds = _STORE_DELAY_SECONDS
            case "answers lost":
                faults.answers_to_drop = _LOST_REPLY_COUNT
            case "done late":
                faults.late_write_seconds = _STORE_LATE_SECONDS
                faults.answers_to_drop = _LOST_REPLY_COUNT
            case "history gone":
                self.store.compact()

        def end():
            faults.refuse_status = 0
            faults.delay_seconds = faults.late_write_seconds = 0.0

        return end

    def _run_later(self, seconds, run):
        timer = threading.Timer(seconds, run)
        timer.daemon = True
        timer.start()

    def _crash(self, upstream, variant):
        with self._lock:
            if upstream not in self.upstreams:
                return
            self.upstreams.remove(upstream)
        upstream.replica.close()
        host_id = upstream.replica.replica_id
        if variant == "same id":
            self._run_later(
                _CRASH_RECOVERY_SECONDS,
                lambda: self._add_upstream(upstream.service, host_id),
            )
            return
        self._add_upstream(upstream.service)
        self._run_later(
            _CRASH_RECOVERY_SECONDS, lambda: self.store.remove(f"servers/{host_id}")
        )

    def _start_leaving(self, upstream, variant):
        with self._lock:
            if upstream not in self.upstreams:
                return
            self.upstreams.remove(upstream)
        self._add_upstream(upstream.service)
        host_id = upstream.replica.replica_id
        if variant == "told":
            self._register(upstream, state="draining")
            self._run_later(
                _REMOVAL_DELAY_SECONDS, lambda: self.store.remove(f"servers/{host_id}")
            )
        else:
            self.store.remove(f"servers/{host_id}")
        self.leaving.append(Leaving(upstream.replica, time.monotonic()))

    def _change_configuration(self, variant):
        match variant:
            case "route added":
                self._add_route()
            case "route dropped" if self._extra_routes:
                self.dropped_routes.add(self._extra_routes.pop(0))
            case "key dropped" if callers.SPARE_API_KEY in self._keys:
                self._keys.remove(callers.SPARE_API_KEY)
                self.dropped_keys.add(callers.SPARE_API_KEY)
            case "storm":
                for _ in range(_STORM_CHANGE_COUNT):
                    self._add_route()
        self._publish_configuration()

    def _add_route(self):
        with self._lock:
            self._last_number += 1
            self._extra_routes.append(f"/extra-{self._last_number}/")
        self._publish_configuration()


def _route(name, prefix, route_name=None):
    return {
        "name": route_name or name,
        "host": callers.HOST_NAME,
        "prefix": prefix,
        "route_type": _ROUTE_TYPE_BY_NAME[name],
        "service": "model" if _ROUTE_TYPE_BY_NAME[name] == "streaming" else "till",
        "max_attempts": 2 if callers.ROUTE_BY_NAME[name].repeatable else 1,
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "target_gap_ms": 300,
        "stream_resume": name == "helper",
        "session_affinity": _ROUTE_TYPE_BY_NAME[name] == "streaming",
        "priority": 1,
    }


def _start_burst(traffic):
    traffic.burst = True

    def end():
        traffic.burst = False

    return end


def _do_nothing():
    """Do nothing; the callable for a fault that ends by itself."""
