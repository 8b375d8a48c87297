"""Wires an entry host to the operators' document: store, feed, watch and status."""

import concurrent.futures
import datetime
import random

import msgspec

from peridothitch.adapters import yaml_codec
from peridothitch.coordination import documents, feed, fleet_status, head_watcher

__all__ = ["DocumentLink", "ENTRY_SERVICE"]

ENTRY_SERVICE = "peridothitch"
"""Service under which the platform lists entry hosts, with their peer addresses."""

_LEARN_PERIOD = datetime.timedelta(seconds=5)
_STATUS_THREADS = 16


class DocumentLink:
    """Keeps a host's document current and reports on the fleet's.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    fleet : peridothitch.gateway.peer_links.FleetLink
    view : peridothitch.gateway.upstreams.UpstreamView
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    feed : peridothitch.coordination.feed.DocumentFeed
    """

    def __init__(self, service, fleet, view, clock, metrics):
        self._fleet = fleet
        self._view = view
        self._clock = clock
        random_source = random.SystemRandom()
        codec = yaml_codec.YamlCodec()
        document_store = documents.DocumentStore(service, codec)
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
        self._askers = concurrent.futures.ThreadPoolExecutor(
            _STATUS_THREADS, thread_name_prefix="status"
        )
        self._status = fleet_status.FleetStatus(
            self.feed, fleet.peers, self._askers, clock, self._listed_ids
        )

    def start(self, runner):
        """Join the fleet and take the newest document."""
        self._learn()
        self._fleet.start(runner)
        self.feed.refresh()

    def loops(self):
        """Return what runs in the background until the host stops."""
        return self.feed.run, self._watcher.run, self._follow_host_list

    def read_status(self):
        """Return what is done and undone, as plain data."""
        return msgspec.to_builtins(self._status.collect())

    def close(self):
        """End what `start` began; its pool has ended."""
        self._askers.shutdown()

    def _listed_ids(self):
        return [host.host_id for host in self._view.hosts(ENTRY_SERVICE)]

    def _learn(self):
        self._fleet.set_addresses(
            host.address for host in self._view.hosts(ENTRY_SERVICE)
        )

    def _follow_host_list(self, stop):
        while not self._clock.wait(stop, _LEARN_PERIOD):
            self._learn()
