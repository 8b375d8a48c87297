"""Two entry hosts that exchange what they hold of a restored store."""

import json
import random

import virtual_clock

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.coordination import mirror, mirror_eras
from peridothitch.gateway.forwarding import peer_sync
from peridothitch.platform import record_codec
from peridothitch.ports import peers, store

KEY = record_codec.PlatformRecordCodec.table_key
_PREFIX = record_codec.PlatformRecordCodec.operator_prefix


class _Peers(peers.Peers):
    def __init__(self, host_id, pair):
        self.host_id = host_id
        self._pair = pair

    def members(self):
        return {
            host_id: peers.Peer(host_id=host_id, address="", data_centre="lothian-a")
            for host_id in ("edge-1", "edge-2")
        }

    def register(self, method, handler):
        self._pair.handler_by_id[self.host_id] = handler

    def call(self, host_id, method, payload, timeout):
        handler = self._pair.handler_by_id.get(host_id)
        if handler is None:
            raise errors.PeerError(f"{host_id} is down", False)
        return handler(payload)


def rules(version, route_count):
    """Return rules with routes of various names."""
    source = random.Random(version)
    routes = [
        {"name": f"r-{source.getrandbits(64):x}", "host": "shop.example"}
        for _ in range(route_count)
    ]
    return json.dumps({"version": version, "routes": routes}).encode()


class EraPair:
    """Two hosts, each with a mirror of the operators' records."""

    def __init__(self):
        self.handler_by_id = {}
        self._clock = virtual_clock.VirtualClock()
        self.mirror_by_id = {}
        self.sync_by_id = {}
        for host_id in ("edge-1", "edge-2"):
            self._add(host_id)

    def _add(self, host_id):
        codec = record_codec.PlatformRecordCodec({})
        counters = metrics.Metrics()
        own_mirror = mirror.Mirror(
            _PREFIX,
            None,
            self._clock,
            counters,
            era_rule=mirror_eras.WriteOrderRule(codec.write_order, True),
        )
        self.mirror_by_id[host_id] = own_mirror
        self.sync_by_id[host_id] = peer_sync.PeerSync(
            (own_mirror,),
            _Peers(host_id, self),
            peer_sync.SharedClock(self._clock),
            self._clock,
            counters,
        )

    def read(self, host_id, era, number, value, value_number):
        """Let a host read the rules that the store has at a revision of an era."""
        revision = store.in_era(era, value_number)
        item = mirror.MirrorItem(KEY, value, revision, revision)
        state = mirror.MirrorState(_PREFIX, store.in_era(era, number), (item,))
        self.mirror_by_id[host_id].merge(state)

    def value(self, host_id):
        """Return the rules that a host holds."""
        return self.mirror_by_id[host_id].items()[KEY].value
