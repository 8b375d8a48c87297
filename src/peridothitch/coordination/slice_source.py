"""Obtains and returns slices, the parts of a spending budget that hosts are granted.

A host requests a slice from the budget's owner, which is one of the hosts, selected by
rendezvous hashing, and else from the ledger in the store. The owner only saves calls to
the store: it hands out parts of what the ledger granted to it, so hosts may disagree
about the owner, and the ledger alone enforces the limit.
"""

import datetime

import msgspec
import xxhash

from peridothitch import errors
from peridothitch.coordination import local_budgets
from peridothitch.policy import spending

__all__ = ["SliceSource", "find_owner"]

TAKE_METHOD = "spending.take"
GIVE_BACK_METHOD = "spending.give_back"
OWNER_TIMEOUT = datetime.timedelta(milliseconds=500)


class _TakeRequest(msgspec.Struct, frozen=True):
    """Request to the owner for a slice; minimum and desired amount in micros."""

    allotment: local_budgets.Allotment
    needed: int
    wanted: int


class _TakeReply(msgspec.Struct, frozen=True):
    """Reply with the slice's amount in micros, 0 for none."""

    amount: int


class _GiveBackRequest(msgspec.Struct, frozen=True):
    """Return of an unused amount in micros to the owner."""

    allotment: local_budgets.Allotment
    amount: int


def find_owner(budget_name, host_ids):
    """Return the host that hands out a budget's slices, by rendezvous hashing."""

    def score(host_id):
        return xxhash.xxh64_intdigest(f"{budget_name}|{host_id}".encode())

    return max(host_ids, key=score)


class SliceSource:
    """Refills a host's budgets and returns unused amounts.

    Parameters
    ----------
    budgets : peridothitch.coordination.local_budgets.LocalBudgets
    ledger : peridothitch.coordination.slice_ledger.SliceLedger
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, budgets, ledger, peers, clock, metrics):
        self._budgets = budgets
        self._ledger = ledger
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        peers.register(TAKE_METHOD, self._handle_take)
        peers.register(GIVE_BACK_METHOD, self._handle_give_back)

    def update_limit(self, local_budget, allotment):
        """Apply a newer document's limit to a local budget.

        The amount that a lowered limit withdraws is returned to the ledger.
        """
        self.return_to_ledger(local_budget, local_budget.update_limit(allotment))

    def refill(self, local_budget, needed):
        """Add a slice of at least `needed` micros to a budget if one is available.

        Raises
        ------
        peridothitch.errors.StoreError
            The owner provided no slice and the call to the store failed.
        """
        allotment = local_budget.allotment
        wanted = max(needed, local_budget.expected_demand())
        amount = self._take_from_owner(local_budget, allotment, needed, wanted)
        if not amount:
            amount = self._take_from_ledger(local_budget, needed, wanted)
        self._deposit(local_budget, amount, allotment.revision)

    def give_back(self, local_budget):
        """Return the available amount of a budget to the owner or the ledger."""
        allotment = local_budget.allotment
        amount = local_budget.withdraw(lambda available: available)
        if amount and not self._give_to_owner(local_budget, allotment, amount):
            self.return_to_ledger(local_budget, amount)

    def return_to_ledger(self, local_budget, amount):
        """Return `amount`, which was withdrawn from the local budget, to the ledger.

        When the store fails, the amount is lost to the budget and only counted.
        """
        if not amount:
            return
        try:
            self._ledger.give_back(local_budget.budget, amount)
        except errors.StoreError:
            self._metrics.count("slices_lost")

    def _deposit(self, local_budget, amount, revision):
        """Add a slice; returns to the ledger what a limit lowered since excludes."""
        self.return_to_ledger(local_budget, local_budget.deposit(amount, revision))

    def _owner(self, allotment):
        members = self._peers.members() or (self._peers.host_id,)
        return find_owner(local_budgets.budget_name(allotment), members)

    def _take_from_ledger(self, local_budget, needed, wanted):
        self._metrics.count("slices_from_ledger")
        sharers = max(1, len(self._peers.members()))
        return self._ledger.take(local_budget.budget, needed, wanted, sharers).amount

    def _take_from_owner(self, local_budget, allotment, needed, wanted):
        owner = self._owner(allotment)
        if owner == self._peers.host_id:
            return 0
        payload = msgspec.msgpack.encode(_TakeRequest(allotment, needed, wanted))
        try:
            answer = self._peers.call(owner, TAKE_METHOD, payload, OWNER_TIMEOUT)
            reply = msgspec.msgpack.decode(answer, type=_TakeReply)
        except (errors.PeerError, msgspec.DecodeError):
            # A slice whose reply was lost remains granted and is never spent.
            self._metrics.count("slice_owner_failures")
            return 0
        self._metrics.count("slices_from_owner")
        return reply.amount

    def _give_to_owner(self, local_budget, allotment, amount):
        """Return `amount` to the owner; False if it certainly didn't receive it."""
        owner = self._owner(allotment)
        if owner == self._peers.host_id:
            return False
        payload = msgspec.msgpack.encode(_GiveBackRequest(allotment, amount))
        try:
            self._peers.call(owner, GIVE_BACK_METHOD, payload, OWNER_TIMEOUT)
        except errors.PeerError as error:
            # After a call that was sent, the owner may have the amount; returning it to
            # the ledger as well would credit it twice.
            return error.sent
        return True

    def _handle_take(self, payload):
        request = msgspec.msgpack.decode(payload, type=_TakeRequest)
        local_budget = self._budgets.get_or_create(request.allotment)
        self.update_limit(local_budget, request.allotment)
        amount = 0
        if request.allotment.revision == local_budget.allotment.revision:
            amount = self._hand_out(local_budget, request)
        return msgspec.msgpack.encode(_TakeReply(amount))

    def _hand_out(self, local_budget, request):
        local_budget.record_demand(request.needed, self._clock.monotonic())

        def size(available):
            sharers = len(self._peers.members())
            return spending.size_slice(
                request.needed, request.wanted, available, sharers
            )

        with local_budget.refill_lock:
            amount = local_budget.withdraw(size)
            if amount:
                return amount
            wanted = max(request.wanted, local_budget.expected_demand())
            revision = local_budget.allotment.revision
            try:
                granted = self._take_from_ledger(local_budget, request.needed, wanted)
            except errors.StoreError:
                return 0
            self._deposit(local_budget, granted, revision)
            return local_budget.withdraw(size)

    def _handle_give_back(self, payload):
        request = msgspec.msgpack.decode(payload, type=_GiveBackRequest)
        local_budget = self._budgets.get_or_create(request.allotment)
        self.update_limit(local_budget, request.allotment)
        self._deposit(local_budget, request.amount, request.allotment.revision)
        return b""
