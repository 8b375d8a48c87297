"""Where slices come from: a budget's owner among the hosts, or the ledger itself.

The owner only saves calls of the store. It is found by hashing, is a hint, and hands
out parts of what the ledger granted to it; the ledger alone keeps the limit.
"""

import datetime

import msgspec
import xxhash

from peridothitch import errors
from peridothitch.coordination import local_budgets as _holdings
from peridothitch.policy import spending

__all__ = ["SliceSource", "find_owner"]

TAKE_METHOD = "spending.take"
GIVE_BACK_METHOD = "spending.give_back"
OWNER_TIMEOUT = datetime.timedelta(milliseconds=500)


class _TakeRequest(msgspec.Struct, frozen=True):
    allotment: _holdings.Allotment
    needed: int
    wanted: int


class _TakeReply(msgspec.Struct, frozen=True):
    amount: int


class _GiveBackRequest(msgspec.Struct, frozen=True):
    allotment: _holdings.Allotment
    amount: int


def find_owner(budget_name, host_ids):
    """Return the host that hands out a budget's slices, by rendezvous hashing."""

    def score(host_id):
        return xxhash.xxh64_intdigest(f"{budget_name}|{host_id}".encode())

    return max(host_ids, key=score)


class SliceSource:
    """Refills holdings and takes back what they don't need.

    Parameters
    ----------
    holdings : peridothitch.coordination.local_budgets.LocalBudgets
    ledger : peridothitch.coordination.slice_ledger.SliceLedger
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, holdings, ledger, peers, clock, metrics):
        self._holdings = holdings
        self._ledger = ledger
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        peers.register(TAKE_METHOD, self._answer_take)
        peers.register(GIVE_BACK_METHOD, self._answer_give_back)

    def update_limit(self, holding, allotment):
        """Let a holding follow a newer document's limit."""
        self.return_to_ledger(holding, holding.update_limit(allotment))

    def refill(self, holding, needed):
        """Add a slice of at least `needed` micros to a holding if there is one.

        Raises
        ------
        peridothitch.errors.StoreError
            Neither the owner nor the store could be asked.
        """
        allotment = holding.allotment
        wanted = max(needed, holding.expected_demand())
        amount = self._take_from_owner(holding, allotment, needed, wanted)
        if not amount:
            amount = self._take_from_ledger(holding, needed, wanted)
        self._deposit(holding, amount, allotment.revision)

    def give_back(self, holding):
        """Give back what a holding has available, to the owner or the ledger."""
        allotment = holding.allotment
        amount = holding.withdraw(lambda available: available)
        if amount and not self._give_to_owner(holding, allotment, amount):
            self.return_to_ledger(holding, amount)

    def return_to_ledger(self, holding, amount):
        """Give `amount` that is in no account any more back to the ledger."""
        if not amount:
            return
        try:
            self._ledger.give_back(holding.budget, amount)
        except errors.StoreError:
            self._metrics.count("slices_lost")

    def _deposit(self, holding, amount, revision):
        self.return_to_ledger(holding, holding.deposit(amount, revision))

    def _owner(self, allotment):
        members = self._peers.members() or (self._peers.host_id,)
        return find_owner(_holdings.budget_name(allotment), members)

    def _take_from_ledger(self, holding, needed, wanted):
        self._metrics.count("slices_from_ledger")
        sharers = max(1, len(self._peers.members()))
        return self._ledger.take(holding.budget, needed, wanted, sharers).amount

    def _take_from_owner(self, holding, allotment, needed, wanted):
        owner = self._owner(allotment)
        if owner == self._peers.host_id:
            return 0
        payload = msgspec.msgpack.encode(_TakeRequest(allotment, needed, wanted))
        try:
            answer = self._peers.call(owner, TAKE_METHOD, payload, OWNER_TIMEOUT)
            reply = msgspec.msgpack.decode(answer, type=_TakeReply)
        except (errors.PeerError, msgspec.DecodeError):
            # A slice whose reply was lost stays granted and is never spent.
            self._metrics.count("slice_owner_failures")
            return 0
        self._metrics.count("slices_from_owner")
        return reply.amount

    def _give_to_owner(self, holding, allotment, amount):
        owner = self._owner(allotment)
        if owner == self._peers.host_id:
            return False
        payload = msgspec.msgpack.encode(_GiveBackRequest(allotment, amount))
        try:
            self._peers.call(owner, GIVE_BACK_METHOD, payload, OWNER_TIMEOUT)
        except errors.PeerError as error:
            # The owner may have what was sent: giving it back again would double it.
            return error.sent
        return True

    def _answer_take(self, payload):
        request = msgspec.msgpack.decode(payload, type=_TakeRequest)
        holding = self._holdings.get_or_create(request.allotment)
        self.update_limit(holding, request.allotment)
        amount = 0
        if request.allotment.revision == holding.allotment.revision:
            amount = self._hand_out(holding, request)
        return msgspec.msgpack.encode(_TakeReply(amount))

    def _hand_out(self, holding, request):
        holding.record_demand(request.needed, self._clock.monotonic())

        def size(available):
            sharers = len(self._peers.members())
            return spending.size_slice(
                request.needed, request.wanted, available, sharers
            )

        with holding.refill_lock:
            amount = holding.withdraw(size)
            if amount:
                return amount
            wanted = max(request.wanted, holding.expected_demand())
            revision = holding.allotment.revision
            try:
                granted = self._take_from_ledger(holding, request.needed, wanted)
            except errors.StoreError:
                return 0
            self._deposit(holding, granted, revision)
            return holding.withdraw(size)

    def _answer_give_back(self, payload):
        request = msgspec.msgpack.decode(payload, type=_GiveBackRequest)
        holding = self._holdings.get_or_create(request.allotment)
        self.update_limit(holding, request.allotment)
        self._deposit(holding, request.amount, request.allotment.revision)
        return b""
