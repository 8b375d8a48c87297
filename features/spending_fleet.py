"""Runs hosts with a shared store and a fake network, for spending scenarios."""

import dataclasses
import datetime
import decimal

import virtual_clock

from peridothitch import errors
from peridothitch.adapters import memory_store, metrics
from peridothitch.coordination import slice_ledger, spending
from peridothitch.policy import document as documents
from peridothitch.policy import spending as spending_policy
from peridothitch.ports import peers, store
from peridothitch.standins import faulty_store

PERIOD = datetime.timedelta(hours=1)


class DelayingStore(store.Store):
    """Applies a transaction only after the caller has read back.

    The caller gets an unclear result, and the transaction reaches the store with the
    `hold_next`-th later call, as a request that is delayed in the network does.
    """

    def __init__(self, inner):
        self._inner = inner
        self._held = []
        self.hold_next = 0

    def _release(self):
        for pending in self._held:
            pending[0] -= 1
        ready = [pending for pending in self._held if pending[0] <= 0]
        self._held = [pending for pending in self._held if pending[0] > 0]
        for _, compares, writes in ready:
            self._inner.transact(compares, writes)

    def range(self, prefix):
        self._release()
        return self._inner.range(prefix)

    def get(self, key):
        self._release()
        return self._inner.get(key)

    def transact(self, compares, writes):
        self._release()
        if not self.hold_next:
            return self._inner.transact(compares, writes)
        self._held.append([self.hold_next, compares, writes])
        self.hold_next = 0
        raise errors.StoreUnclearError("transaction delayed in the network")

    def grant_lease(self, ttl):
        return self._inner.grant_lease(ttl)

    def keep_alive(self, lease_id):
        return self._inner.keep_alive(lease_id)

    def revoke_lease(self, lease_id):
        self._inner.revoke_lease(lease_id)

    def watch(self, prefix, start_revision):
        return self._inner.watch(prefix, start_revision)


class FakePeers(peers.Peers):
    """Calls between the hosts of one fleet."""

    def __init__(self, fleet, host_id):
        self.host_id = host_id
        self._fleet = fleet
        self.handler_by_method = {}

    def members(self):
        return {
            host_id: peers.Peer(host_id=host_id, address="", data_centre="")
            for host_id in self._fleet.believed_live
        }

    def register(self, method, handler):
        self.handler_by_method[method] = handler

    def call(self, host_id, method, payload, timeout):
        target = self._fleet.host_by_id.get(host_id)
        if target is None or self._fleet.is_disconnected(self.host_id, host_id):
            raise errors.PeerError(f"{host_id} is unreachable", sent=False)
        answer = target.peers.handler_by_method[method](payload)
        if self._fleet.lose_replies:
            raise errors.PeerError("the reply was lost", sent=True)
        return answer


@dataclasses.dataclass
class FakeHost:
    """The spending components of one entry host."""

    peers: FakePeers
    store: faulty_store.FaultyStore
    delaying_store: DelayingStore
    limiter: spending.SpendingLimiter
    revision: int = 1
    reservations: list = dataclasses.field(default_factory=list)


class SpendingFleet:
    """Hosts that spend from one limit."""

    def __init__(self, host_count, amount):
        self.clock = virtual_clock.VirtualClock()
        self.memory = memory_store.MemoryStore(self.clock)
        self.host_by_id = {}
        self.believed_live = set()
        self.disconnected_ids = set()
        self.lose_replies = False
        self.limit_by_revision = {1: amount}
        self.revision = 1
        self._created_count = 0
        self.spent_by_period = {}
        for _ in range(host_count):
            self.add_host()

    def add_host(self):
        host_id = f"entry-{self._created_count}"
        self._created_count += 1
        fake_peers = FakePeers(self, host_id)
        delaying_store = DelayingStore(self.memory)
        faulty = faulty_store.FaultyStore(delaying_store, self.clock)
        ledger = slice_ledger.SliceLedger(faulty, host_id)
        limiter = spending.SpendingLimiter(
            ledger, fake_peers, self.clock, metrics.Metrics()
        )
        host = FakeHost(fake_peers, faulty, delaying_store, limiter, self.revision)
        self.host_by_id[host_id] = host
        self.believed_live.add(host_id)
        return host

    def kill(self, host_id):
        """Kill a host; its requests in progress cost their reserved amounts."""
        host = self.host_by_id.pop(host_id)
        for reservation in host.reservations:
            self._add_spent(reservation, reservation.charges[0].amount)

    def is_disconnected(self, *host_ids):
        return any(host_id in self.disconnected_ids for host_id in host_ids)

    def current_period(self):
        return spending_policy.find_period(self.clock.now(), PERIOD)

    def charge(self, host, amount):
        limit = documents.SpendingLimit(
            customer="example",
            amount=decimal.Decimal(self.limit_by_revision[host.revision]) / 1_000_000,
            period=PERIOD,
        )
        return spending.Charge(
            limit_name="daily",
            limit_micros=spending_policy.to_micros(limit.amount),
            revision=host.revision,
            period=self.current_period(),
            amount=amount,
        )

    def reserve(self, host, amount):
        """Reserve at a host; returns the code of the refusal, None if admitted."""
        try:
            reservation = host.limiter.reserve([self.charge(host, amount)])
        except errors.RequestError as error:
            return error.code
        host.reservations.append(reservation)
        return None

    def settle(self, host, share):
        """Settle the oldest request of a host at a share of its reserved amount."""
        if not host.reservations:
            return
        reservation = host.reservations.pop(0)
        actual = int(reservation.charges[0].amount * share)
        host.limiter.settle(reservation, lambda charge: actual)
        self._add_spent(reservation, actual)

    def _add_spent(self, reservation, amount):
        period = reservation.charges[0].period
        self.spent_by_period[period] = self.spent_by_period.get(period, 0) + amount

    def committed(self, period):
        """Return what was spent and what requests in progress may still spend."""
        reserved = sum(
            reservation.charges[0].amount
            for host in self.host_by_id.values()
            for reservation in host.reservations
            if reservation.charges[0].period == period
        )
        return self.spent_by_period.get(period, 0) + reserved
