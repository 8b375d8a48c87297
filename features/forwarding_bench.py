"""Entry hosts that forward requests, and stand-ins for the whole platform."""

import contextlib
import dataclasses
import datetime
import http.client
import socket
import time

import host_links

from peridothitch.adapters import boot_clock, wsgi_server
from peridothitch.cli import forward
from peridothitch.gateway.forwarding import entry_host
from peridothitch.ports import entry_settings
from peridothitch.standins import (
    metadata_store,
    platform_duties,
    platform_records,
    replica,
)

HOST_NAME = "shop.example"
KEY = "key-of-lanark"
CUSTOMER = "lanark"
REGION_BY_DATA_CENTRE = {"lothian-a": "lothian", "fife-a": "fife"}
TIMEOUT_SECONDS = 20.0

OPERATING_BOUNDS = entry_settings.OperatingBounds(
    grace_period=datetime.timedelta(seconds=0.3)
)

ROUTES = (
    {
        "name": "charge",
        "prefix": "/charge/",
        "route_type": "unsafe",
        "service": "till",
        "max_attempts": 1,
        "timeout_ms": 2000,
        "target_latency_ms": 200,
    },
    {
        "name": "lookup",
        "prefix": "/lookup/",
        "route_type": "safe",
        "service": "till",
        "max_attempts": 2,
        "timeout_ms": 2000,
        "target_latency_ms": 200,
    },
    {
        "name": "helper",
        "prefix": "/helper/",
        "route_type": "streaming",
        "service": "model",
        "max_attempts": 2,
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "target_gap_ms": 300,
        "stream_resume": True,
        "session_affinity": True,
    },
    {
        "name": "planner",
        "prefix": "/planner/",
        "route_type": "streaming",
        "service": "model",
        "max_attempts": 1,
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "target_gap_ms": 300,
        "session_affinity": True,
    },
    {
        "name": "open",
        "prefix": "/lookup/open/",
        "route_type": "safe",
        "service": "till",
        "max_attempts": 1,
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "anonymous": True,
    },
)


def configuration(version=1, routes=ROUTES, tenants=None, limits=None):
    """Return the operators' configuration as an encoded record."""
    if tenants is None:
        tenants = [{"name": CUSTOMER, "api_keys": [KEY]}]
    return platform_records.configuration(
        version,
        [{"host": HOST_NAME, "priority": 1} | route for route in routes],
        [
            {"name": "till", "max_connections": 100},
            {"name": "model", "max_connections": 300, "engine": {"capacity": 48}},
        ],
        tenants,
        limits={
            "max_header_bytes": 4096,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        | (limits or {}),
        a_field_of_tomorrow=True,
    )


def host_record(standin, service, **changes):
    """Return a replica's host record, encoded."""
    return platform_records.host_record(
        standin.address, service, "lothian-a", **changes
    )


@dataclasses.dataclass(frozen=True)
class Response:
    """Response as the caller received it."""

    status: int
    fields: tuple
    body: bytes
    complete: bool = True

    def value(self, name):
        """Return the value of a header, or an empty string without it."""
        for field_name, value in self.fields:
            if field_name.lower() == name.lower():
                return value
        return ""


class ForwardingBench:
    """The platform's stand-ins and the entry hosts that use them."""

    def __init__(self):
        self._stack = contextlib.ExitStack()
        self.store = metadata_store.MetadataStore(boot_clock.BootClock())
        self.store_service = metadata_store.MetadataStoreService(self.store)
        self.duties_service = platform_duties.PlatformDutiesService()
        self._store_server = self._serve(self.store_service)
        self._duties_server = self._serve(self.duties_service)
        self.replica_by_id = {}
        self.hosts = []
        self._stopped = set()
        self.store_by_host_id = {}
        self.request_count = 0

    def _serve(self, application):
        server = wsgi_server.WsgiServer(application, "127.0.0.1:0", threads=32)
        server.start()
        self._stack.callback(server.close)
        return server

    @property
    def store_port(self):
        """Port of the platform's store."""
        return self._store_server.port

    def add_replica(self, replica_id, service, **options):
        """Start a replica and write its record to the store."""
        standin = replica.Replica(replica_id, **options)
        standin.start()
        self._stack.callback(standin.close)
        self.replica_by_id[replica_id] = standin
        self.store.put(f"servers/{replica_id}", host_record(standin, service))
        return standin

    def configure(self, **options):
        """Write the operators' configuration."""
        return self.store.put("op/config", configuration(**options))

    def start_host(
        self,
        host_id="edge-1",
        wait=True,
        bounds=OPERATING_BOUNDS,
        data_centre="lothian-a",
        links=None,
    ):
        """Start an entry host; returns it once it is ready.

        `links`, if given, are its `host_links.HostLinks` to the replicas.
        """
        seeds = tuple(host.peers_address for host in self.hosts)
        settings = entry_settings.EntryHostSettings(
            host_id=host_id,
            data_centre=data_centre,
            region=REGION_BY_DATA_CENTRE[data_centre],
            region_by_data_centre=REGION_BY_DATA_CENTRE,
            callers_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            peers_address="127.0.0.1:0",
            seed_addresses=seeds,
            store_address=f"127.0.0.1:{self._store_server.port}",
            duties_address=f"127.0.0.1:{self._duties_server.port}",
            reports_usage=True,
            orders_capacity=True,
            bounds=bounds,
            helper_address="127.0.0.1:0",
        )
        clock = boot_clock.BootClock()
        platform = forward.make_platform(settings, clock)
        if links is not None:
            platform.record_codec = host_links.LinkedRecordCodec(
                platform.record_codec, links
            )
            self._stack.callback(links.close)
        self.store_by_host_id[host_id] = platform.store
        host = entry_host.ForwardingHost(settings, platform, clock)
        host.start()
        self._stack.callback(self.stop_host, host)
        self.hosts.append(host)
        if wait:
            wait_until(host.is_ready, f"{host_id} is ready")
        return host

    def stop_host(self, host):
        """Stop an entry host unless it was stopped before."""
        if host not in self._stopped:
            self._stopped.add(host)
            host.stop()

    def close(self):
        """Stop everything."""
        self.store.close()
        self._stack.close()

    def request(self, path, method="POST", body=b"", host=None, **headers):
        """Send one request and read its response."""
        with contextlib.closing(self.connect(host)) as sock:
            self.send(sock, path, method, body, **headers)
            return read_response(sock, method)

    def connect(self, host=None):
        """Open a caller's connection."""
        port = (host or self.hosts[0]).port
        return socket.create_connection(("127.0.0.1", port), TIMEOUT_SECONDS)

    def send(self, sock, path, method="POST", body=b"", **headers):
        """Send one request; returns its id."""
        self.request_count += 1
        request_id = headers.pop("request_id", f"request-{self.request_count}")
        fields = platform_records.request_headers(HOST_NAME, KEY, request_id)
        fields["Peridothitch-Deadline-Ms"] = "3000"
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        if path.startswith(("/helper/", "/planner/")):
            fields |= platform_records.stream_headers()
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        sock.sendall(head + body)
        return request_id

    def received_requests(self):
        """Return all requests that reached a replica."""
        return [r for standin in self.replica_by_id.values() for r in standin.received]

    def run_count(self, request_id):
        """Return how often a request was run."""
        return sum(
            standin.executed_request_ids.count(request_id)
            for standin in self.replica_by_id.values()
        )


def read_response(sock, method="POST"):
    """Read one response from a caller's connection."""
    response = http.client.HTTPResponse(sock, method=method)
    response.begin()
    try:
        body, complete = response.read(), True
    except http.client.IncompleteRead as error:
        body, complete = error.partial, False
    except ConnectionResetError:
        body, complete = b"", False
    return Response(response.status, tuple(response.getheaders()), body, complete)


def wait_until(condition, expected):
    """Wait until a condition is met, at most `TIMEOUT_SECONDS`."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"not in time: {expected}"
        time.sleep(0.01)
