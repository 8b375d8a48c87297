"""Wires an entry host to the operators' document and to the status of the fleet."""

import concurrent.futures
import datetime
import random

import msgspec

from peridothitch.adapters import yaml_codec
from peridothitch.coordination import documents, feed, fleet_status, head_watcher

__all__ = ["DocumentLink", "ENTRY_SERVICE"]

ENTRY_SERVICE = "peridothitch"
"""Service under which the platform lists entry hosts, with their peer addresses."""

_HOST_LIST_INTERVAL = datetime.timedelta(seconds=5)
_STATUS_THREAD_COUNT = 16


class DocumentLink:
    """Keeps a host's document up to date and reports the fleet's status.

    Parameters
    ----------
    store : peridothitch.ports.store.Store
    fleet : peridothitch.gateway.peer_links.FleetLink
    view : peridothitch.gateway.upstreams.UpstreamView
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    feed : peridothitch.coordination.feed.DocumentFeed
    """

    def __init__(self, store, fleet, view, clock, metrics):
        self._fleet = fleet
        self._view = view
        self._clock = clock
        random_source = random.SystemRandom()
        codec = yaml_codec.YamlCodec()
        document_store = documents.DocumentStore(store, codec)
        self.feed = feed.DocumentFeed(
            document_store,
            codec,
            clock,
            metrics,
            fleet.peers,
            fleet.facts,
            random_source,
        )
        self._watcher = head_watcher.HeadWatcher(
            document_store, self.feed, clock, metrics, random_source
        )
        self._status_executor = concurrent.futures.ThreadPoolExecutor(
            _STATUS_THREAD_COUNT, thread_name_prefix="status"
        )
        self._status = fleet_status.FleetStatus(
            self.feed, fleet.peers, self._status_executor, clock, self._listed_host_ids
        )

    def start(self, runner):
        """Join the fleet and fetch the newest document; `runner` runs its threads."""
        self._update_peer_addresses()
        self._fleet.start(runner)
        self.feed.refresh()

    def loops(self):
        """Return the background loops, which run until the host stops."""
        return self.feed.run, self._watcher.run, self._follow_host_list

    def read_status(self):
        """Return the fleet's status as plain data."""
        return msgspec.to_builtins(self._status.collect())

    def close(self):
        """Shut down the threads for status; the runner's pool must have ended."""
        self._status_executor.shutdown()

    def _listed_host_ids(self):
        return [host.host_id for host in self._view.hosts(ENTRY_SERVICE)]

    def _update_peer_addresses(self):
        self._fleet.set_addresses(
            host.address for host in self._view.hosts(ENTRY_SERVICE)
        )

    def _follow_host_list(self, stop):
        while not self._clock.wait(stop, _HOST_LIST_INTERVAL):
            self._update_peer_addresses()
