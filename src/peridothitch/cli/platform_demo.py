"""An entry host with stand-ins for the users' platform, in one process."""

import contextlib
import datetime

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

__all__ = ["KEY", "PlatformDemo"]

KEY = "trial-key"
_DATA_CENTRE = "lothian-a"
_HOST_NAME = "trial.example"
_SERVICE = "model"
_BOUNDS = entry_settings.OperatingBounds(grace_period=datetime.timedelta(seconds=3))


class PlatformDemo:
    """Store, duties service, two replicas and one entry host.

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
        route = platform_records.stream_route("trial", _HOST_NAME, "/ask/", _SERVICE)
        configuration = platform_records.configuration(
            1,
            [route],
            [{"name": _SERVICE}],
            [platform_records.customer("trial", KEY)],
        )
        self._store.put(platform_records.CONFIGURATION_KEY, configuration)
        settings = entry_settings.EntryHostSettings(
            host_id="edge-1",
            data_centre=_DATA_CENTRE,
            region="lothian",
            region_by_data_centre={_DATA_CENTRE: "lothian"},
            callers_address=listen,
            ready_address="127.0.0.1:0",
            peers_address="127.0.0.1:0",
            seed_addresses=(),
            store_address=store_address,
            duties_address=duties_address,
            reports_usage=True,
            orders_capacity=False,
            bounds=_BOUNDS,
        )
        self._host = entry_host.ForwardingHost(
            settings, forward.make_platform(settings, clock), clock
        )

    @property
    def port(self):
        """Port that callers connect to."""
        return self._host.port

    @property
    def command(self):
        """Shell command that requests a stream."""
        headers = platform_records.request_headers(_HOST_NAME, KEY, "1")
        headers |= platform_records.stream_headers()
        options = " ".join(f"-H '{name}: {value}'" for name, value in headers.items())
        return f"curl -N http://127.0.0.1:{self.port}/ask/anything {options} -d '{{}}'"

    def start(self):
        """Start the entry host."""
        self._host.start()

    def stop(self):
        """Stop everything."""
        self._host.stop()
        self._store.close()
        self._stack.close()

    def _serve(self, application):
        server = wsgi_server.WsgiServer(application, "127.0.0.1:0", threads=16)
        server.start()
        self._stack.callback(server.close)
        return f"127.0.0.1:{server.port}"

    def _add_replica(self, name):
        new_replica = replica.Replica(name, event_gap_seconds=0.2)
        new_replica.start()
        self._stack.callback(new_replica.close)
        record = platform_records.host_record(
            new_replica.address, _SERVICE, _DATA_CENTRE
        )
        self._store.put(platform_records.host_key(name), record)
