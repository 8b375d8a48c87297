"""Wires an entry host to its peers: transport, gossip, membership and their threads."""

import concurrent.futures
import dataclasses
import datetime
import random

from peridothitch.adapters import thrift_transport
from peridothitch.coordination import (
    feed,
    gossip,
    member_keys,
    member_records,
    membership,
    single_host,
)
from peridothitch.gateway.forwarding import part_guard, upstream_limits
from peridothitch.ports import peers

__all__ = ["FleetLink", "FleetSettings", "SingleHostLink", "make_link"]

_PROBE_THREAD_COUNT = 8
_PUSH_INTERVAL = datetime.timedelta(milliseconds=250)
_LIFETIME_BY_KIND = {
    feed.CONFIRMED_KIND: datetime.timedelta(minutes=10),
    feed.REVISION_KIND: datetime.timedelta(days=30),
    part_guard.ANSWER_KIND: datetime.timedelta(minutes=10),
    part_guard.CRASH_KIND: datetime.timedelta(minutes=10),
    upstream_limits.LIMIT_KIND: datetime.timedelta(hours=1),
    member_records.MEMBER_KIND: datetime.timedelta(hours=2),
}
_URGENT_KINDS = (
    "condemned",
    "quarantine",
    feed.REVISION_KIND,
    part_guard.ANSWER_KIND,
    part_guard.CRASH_KIND,
    upstream_limits.LIMIT_KIND,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetSettings:
    """Settings for the calls between entry hosts.

    Attributes
    ----------
    listen : str
        IP number and port for peers; empty for a fleet of one host.
    seeds : tuple of str
        Addresses of other hosts to join through while the store is down.
    tls : peridothitch.adapters.thrift_transport.TlsFiles or None
    helper_address : str
        Where this host passes on other hosts' calls to upstreams; empty for none.
    """

    listen: str = ""
    seeds: tuple = ()
    tls: thrift_transport.TlsFiles | None = None
    helper_address: str = ""


class SingleHostLink:
    """A fleet of one host.

    Attributes
    ----------
    peers : peridothitch.ports.peers.Peers
    facts : peridothitch.ports.facts.FactRegistry
    """

    def __init__(self, host_id, data_centre):
        peer = peers.Peer(host_id=host_id, address="", data_centre=data_centre)
        self.peers = single_host.SingleHostPeers(peer)
        self.facts = single_host.LocalFactRegistry()

    def start(self, runner):
        """Start nothing."""

    def set_addresses(self, addresses):
        """Ignore the addresses."""

    def leave(self):
        """Do nothing, there are no peers."""

    def close(self):
        """Close nothing."""


class FleetLink:
    """Connects one host to its peers.

    Parameters
    ----------
    host_id : str
    data_centre : str
    settings : FleetSettings
    store : peridothitch.ports.store.Store
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    peers : peridothitch.coordination.membership.Membership
    facts : peridothitch.coordination.gossip.Gossip
    """

    def __init__(self, host_id, data_centre, settings, store, clock, metrics):
        self._clock = clock
        self._transport = thrift_transport.ThriftTransport(
            host_id, settings.listen, metrics, settings.tls
        )
        peer = peers.Peer(
            host_id=host_id,
            address=self._transport.address,
            data_centre=data_centre,
            helper_address=settings.helper_address,
        )
        self._probe_executor = concurrent.futures.ThreadPoolExecutor(
            _PROBE_THREAD_COUNT, thread_name_prefix="peer-probe"
        )
        self.facts = gossip.Gossip(
            clock, metrics, _LIFETIME_BY_KIND, urgent_kinds=_URGENT_KINDS
        )
        random_source = random.SystemRandom()
        self.peers = membership.Membership(
            peer,
            self._transport,
            self.facts,
            clock,
            metrics,
            random_source=random_source,
            executor=self._probe_executor,
            seeds=settings.seeds,
        )
        self._keys = member_keys.MemberKeys(
            store, peer, self.peers, clock, metrics, random_source
        )

    @property
    def address(self):
        """IP number and port that peers connect to."""
        return self._transport.address

    def start(self, runner):
        """Join the fleet; `runner` runs the parts until the host stops."""
        self._transport.start()
        runner.start(self._join)
        runner.start(self._keys.run)
        runner.start(self._push_urgent)

    def set_addresses(self, addresses):
        """Set the peer addresses of entry hosts that the platform lists."""
        self.peers.set_addresses("host list", addresses)

    def leave(self):
        """Inform the peers that this host leaves."""
        self.peers.leave()

    def close(self):
        """Close all connections."""
        self._transport.close()
        self._probe_executor.shutdown()

    def _join(self, stop):
        # Runs in its own thread: a store that doesn't answer must not delay the start.
        self._keys.refresh()
        self.peers.tick()
        self.peers.run(stop)

    def _push_urgent(self, stop):
        while not stop.is_set():
            if not self._clock.wait(self.facts.urgent, _PUSH_INTERVAL):
                continue
            self.facts.urgent.clear()
            self.peers.push()
            self._clock.wait(stop, _PUSH_INTERVAL)


def make_link(host_id, data_centre, settings, store, clock, metrics):
    """Return a `FleetLink`, or a `SingleHostLink` without an address for peers."""
    if not settings.listen:
        return SingleHostLink(host_id, data_centre)
    return FleetLink(host_id, data_centre, settings, store, clock, metrics)
