"""Ledger in the platform's store that hands out slices of a budget.

The ledger of a budget records how much was granted in all. A grant is a transaction on
the ledger and on a receipt of the holder, so that a holder whose reply was lost finds
out by reading its receipt whether the grant took effect.
"""

import dataclasses
import threading

import msgspec

from peridothitch import errors
from peridothitch.policy import spending
from peridothitch.ports import store

__all__ = ["Budget", "Grant", "SliceLedger"]

_PREFIX = "/peridothitch/slices/"
_MAX_ATTEMPTS = 12


@dataclasses.dataclass(frozen=True, kw_only=True)
class Budget:
    """A budget with the limit that its revision of the document sets.

    Attributes
    ----------
    name : str
        Identifies the budget; has no slash.
    limit_micros : int
        Maximum that may be granted.
    revision : int
        Revision of the document that set the limit.
    """

    name: str
    limit_micros: int
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class Grant:
    """Outcome of a request for a slice.

    Attributes
    ----------
    amount : int
        Micros granted; 0 when the budget can't cover the needed amount.
    limit_micros : int
        The limit that the ledger enforces.
    """

    amount: int
    limit_micros: int


class _Ledger(msgspec.Struct, frozen=True):
    granted: int = 0
    limit_micros: int = 0
    revision: int = -1


class _Receipt(msgspec.Struct, frozen=True):
    sequence: int = 0
    granted: int = 0


@dataclasses.dataclass(frozen=True)
class _View:
    ledger: _Ledger
    ledger_revision: int
    receipt: _Receipt
    receipt_revision: int


class SliceLedger:
    """Hands out slices of budgets to one holder.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    holder : str
        Name of this holder, never used by another one.
    """

    def __init__(self, service, holder):
        self._store = service
        self._holder = holder
        self._lock = threading.Lock()

    def take(self, budget, needed, wanted, sharers):
        """Request a slice.

        Parameters
        ----------
        budget : Budget
        needed, wanted : int
            Minimum and desired amount, micros.
        sharers : int
            Number of holders that may request slices.

        Returns
        -------
        Grant

        Raises
        ------
        peridothitch.errors.StoreError
            Nothing was granted, or the outcome is unknown and the grant counts as lost.
        """

        def size(ledger):
            remaining = ledger.limit_micros - ledger.granted
            return spending.size_slice(needed, wanted, remaining, sharers)

        return self._change(budget, size)

    def give_back(self, budget, amount):
        """Return `amount`, which the holder has withdrawn from its account.

        Raises
        ------
        peridothitch.errors.StoreError
            The amount is lost to the budget if the call did not take effect.
        """
        self._change(budget, lambda ledger: -amount)

    def granted(self, budget):
        """Return how much of a budget was granted so far, in micros."""
        return self._read(self._ledger_key(budget), _Ledger)[0].granted

    def _change(self, budget, size):
        with self._lock:
            return self._change_locked(budget, size)

    def _change_locked(self, budget, size):
        attempts = []
        for _ in range(_MAX_ATTEMPTS):
            view = self._read_view(budget)
            for receipt, grant in attempts:
                # An attempt whose reply was lost may take effect after it was read
                # back; retrying without this check would apply it twice.
                if view.receipt == receipt:
                    return grant
            ledger = _apply_limit(view.ledger, budget)
            amount = size(ledger)
            grant = Grant(amount, ledger.limit_micros)
            if not amount and ledger.limit_micros == view.ledger.limit_micros:
                return grant
            attempt = _Receipt(view.receipt.sequence + 1, view.receipt.granted + amount)
            attempts.append((attempt, grant))
            if self._commit(budget, view, ledger, attempt, amount):
                return grant
        raise errors.StoreUnavailableError(f"too many holders change {budget.name}")

    def _commit(self, budget, view, ledger, receipt, amount):
        ledger_key = self._ledger_key(budget)
        receipt_key = self._receipt_key(budget)
        changed = msgspec.structs.replace(ledger, granted=ledger.granted + amount)
        compares = [
            store.Compare(ledger_key, store.Target.MOD, view.ledger_revision),
            store.Compare(receipt_key, store.Target.MOD, view.receipt_revision),
        ]
        writes = [
            store.Put(ledger_key, msgspec.json.encode(changed)),
            store.Put(receipt_key, msgspec.json.encode(receipt)),
        ]
        try:
            return self._store.transact(compares, writes).succeeded
        except errors.StoreUnclearError:
            return False

    def _read_view(self, budget):
        ledger, ledger_revision = self._read(self._ledger_key(budget), _Ledger)
        receipt, receipt_revision = self._read(self._receipt_key(budget), _Receipt)
        return _View(ledger, ledger_revision, receipt, receipt_revision)

    def _ledger_key(self, budget):
        return f"{_PREFIX}{budget.name}/ledger"

    def _receipt_key(self, budget):
        return f"{_PREFIX}{budget.name}/receipts/{self._holder}"

    def _read(self, key, kind):
        item = self._store.get(key)
        if item is None:
            return kind(), 0
        return msgspec.json.decode(item.value, type=kind), item.mod_revision


def _apply_limit(ledger, budget):
    """Apply the newest document's limit, also for hosts that lack the document yet."""
    if budget.revision <= ledger.revision:
        return ledger
    return msgspec.structs.replace(
        ledger, limit_micros=budget.limit_micros, revision=budget.revision
    )
