"""An entry host before stand-ins of the users' platform, in one process."""

import contextlib
import datetime
import json

from peridothitch.adapters import boot_clock, wsgi_server
from peridothitch.gateway.forwarding import entry
from peridothitch.platform import dialect, directory, duties, store
from peridothitch.ports import site as sites
from peridothitch.standins import metadata_store, platform_duties, replica

__all__ = ["KEY", "PlatformTrial"]

KEY = "trial-key"
_DATA_CENTRE = "lothian-a"
_HOST_NAME = "trial.example"
_SERVICE = "model"
_SECOND = datetime.timedelta(seconds=1)
_CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "trial",
            "host": _HOST_NAME,
            "prefix": "/ask/",
            "route_type": "streaming",
            "service": _SERVICE,
            "max_attempts": 2,
            "stream_resume": True,
            "timeout_ms": 10000,
            "target_latency_ms": 500,
            "target_gap_ms": 300,
        }
    ],
    "services": [{"name": _SERVICE, "max_connections": 100}],
    "tenants": [{"name": "trial", "api_keys": [KEY]}],
}
_PROMISES = sites.Promises(
    grace=3 * _SECOND,
    retry_share=0.2,
    retry_allowance=50.0,
    quota_window=8 * _SECOND,
    quota_excess_share=0.1,
    quota_excess=0.0,
    lease_time=3 * _SECOND,
    orders_are_fenced=True,
    usage_window=5 * _SECOND,
    usage_delay=10 * _SECOND,
)


class PlatformTrial:
    """Store, duties, two replicas and one entry host.

    Parameters
    ----------
    listen : str
        IP number and port for callers; port 0 takes a free one.
    """

    def __init__(self, listen):
        self._stack = contextlib.ExitStack()
        clock = boot_clock.BootClock()
        self._store = metadata_store.MetadataStore(clock)
        store_address = self._serve(metadata_store.MetadataStoreService(self._store))
        duties_address = self._serve(platform_duties.PlatformDutiesService())
        for name in ("i-1", "i-2"):
            self._add_replica(name)
        self._store.put("op/config", json.dumps(_CONFIGURATION).encode())
        regions = {_DATA_CENTRE: "lothian"}
        site = sites.Site(
            host_id="edge-1",
            data_centre=_DATA_CENTRE,
            region="lothian",
            region_by_data_centre=regions,
            callers_address=listen,
            ready_address="127.0.0.1:0",
            peers_address="127.0.0.1:0",
            seed_addresses=(),
            store_address=store_address,
            duties_address=duties_address,
            reports_usage=True,
            orders_capacity=False,
            promises=_PROMISES,
        )
        platform = entry.Platform(
            store.PlatformStore(store_address),
            directory.PlatformDirectory(regions),
            dialect.HeaderDialect(),
            duties.HttpDuties(duties_address, site.host_id),
        )
        self._host = entry.ForwardingHost(site, platform, clock)

    @property
    def port(self):
        """Port that callers connect to."""
        return self._host.port

    @property
    def command(self):
        """Command that asks for a stream."""
        return (
            f"curl -N http://127.0.0.1:{self.port}/ask/anything -H 'Host: {_HOST_NAME}'"
            f" -H 'X-Api-Key: {KEY}' -H 'Peridothitch-Attempt-Id: 1'"
            " -H 'Peridothitch-Token-Usage: 100,50' -d '{}'"
        )

    def start(self):
        """Start the entry host."""
        self._host.start()

    def stop(self):
        """Stop everything."""
        self._host.stop()
        self._stack.close()

    def _serve(self, application):
        server = wsgi_server.WsgiServer(application, "127.0.0.1:0", threads=16)
        server.start()
        self._stack.callback(server.close)
        return f"127.0.0.1:{server.port}"

    def _add_replica(self, name):
        found = replica.Replica(name, event_gap_seconds=0.2)
        found.start()
        self._stack.callback(found.close)
        record = {
            "service": _SERVICE,
            "address": found.address,
            "zone": _DATA_CENTRE,
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "sequence": 1,
        }
        self._store.put(f"servers/{name}", json.dumps(record).encode())
