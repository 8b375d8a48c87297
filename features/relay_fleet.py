"""Runs entry hosts of which a few read the store and relay its state to the others."""

import dataclasses
import datetime

import move_fleet

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.coordination import mirror
from peridothitch.gateway.forwarding import peer_sync
from peridothitch.ports import peers

STEP = datetime.timedelta(milliseconds=500)
PREFIX = "op/"


class Contact:
    """Contact with a store that has no outages for all hosts."""

    is_reachable = True
    last_outage = None

    def record_peer_contact(self, at):
        pass


class Mirror:
    """A mirror whose host polls the store once a step."""

    def __init__(self):
        self.prefix = PREFIX
        self.version = (1, 1)
        self.is_loaded = True
        self.is_watching = False
        self.has_retained_items = False
        self.contact = Contact()

    def first_change_after(self, revision):
        return None

    def state(self):
        return mirror.MirrorState(PREFIX, self.version[0])

    def merge(self, state, changed_at=None):
        if state.revision <= self.version[0]:
            return False
        self.version = (state.revision, state.revision)
        return True

    def poll(self, revision, is_served):
        """Read from a store that serves or rejects this host."""
        self.is_watching = True
        self.contact.is_reachable = is_served
        if is_served:
            self.version = (revision, revision)


@dataclasses.dataclass
class Member:
    """One entry host."""

    sync: object
    mirror: Mirror
    handler_by_method: dict


class Peers(peers.Peers):
    """The members of a fleet, as seen by one of them."""

    def __init__(self, fleet, host_id, handler_by_method):
        self.host_id = host_id
        self._fleet = fleet
        self._handler_by_method = handler_by_method

    def members(self):
        return self._fleet.peer_by_id

    def register(self, method, handler):
        self._handler_by_method[method] = handler

    def call(self, host_id, method, payload, timeout):
        member = self._fleet.member_by_id.get(host_id)
        if member is None:
            raise errors.PeerError(f"{host_id} is down", False)
        return member.handler_by_method[method](payload)


class RelayFleet:
    """Entry hosts in several data centres with one store."""

    def __init__(self, host_count, data_centre_count):
        self.clock = move_fleet.VirtualClock()
        self.revision = 1
        self.rejected_host_ids = set()
        self.polls = 0
        self.member_by_id = {}
        self.peer_by_id = {
            f"edge-{number}": peers.Peer(
                host_id=f"edge-{number}",
                address="",
                data_centre=f"dc-{number % data_centre_count}",
            )
            for number in range(host_count)
        }
        for host_id in self.peer_by_id:
            self._add(host_id)

    def _add(self, host_id):
        host_mirror = Mirror()
        handler_by_method = {}
        sync = peer_sync.PeerSync(
            (host_mirror,),
            Peers(self, host_id, handler_by_method),
            peer_sync.SharedClock(self.clock),
            self.clock,
            metrics.Metrics(),
        )
        self.member_by_id[host_id] = Member(sync, host_mirror, handler_by_method)

    def followers(self):
        """Return the ids of the hosts that follow the store."""
        return {
            host_id
            for host_id, member in self.member_by_id.items()
            if member.sync.should_follow_store()
        }

    def run(self, seconds):
        """Advance the time in steps."""
        end = self.clock.elapsed + datetime.timedelta(seconds=seconds)
        while self.clock.elapsed < end:
            self.clock.elapsed += STEP
            followers = self.followers()
            for host_id, member in self.member_by_id.items():
                if host_id not in followers:
                    member.mirror.is_watching = False
                    continue
                self.polls += 1
                member.mirror.poll(self.revision, host_id not in self.rejected_host_ids)
            for member in self.member_by_id.values():
                member.sync.sync_once()

    def up_to_date_count(self):
        """Return how many hosts have the store's newest revision."""
        return sum(
            member.mirror.version[0] == self.revision
            for member in self.member_by_id.values()
        )
