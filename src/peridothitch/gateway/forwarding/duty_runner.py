"""Holds the lease on the platform's duties and carries them out while it is held."""

import datetime

import logbook

from peridothitch import errors
from peridothitch.coordination import lease, relays

__all__ = ["LEASE_NAME", "DutyRunner"]

LEASE_NAME = "forwarding-duties"
"""Name of the lease."""

_PERIOD = datetime.timedelta(milliseconds=250)
_RENEWALS_PER_TERM = 3
_TURN = datetime.timedelta(milliseconds=350)
"""Head start of each host over the next one in taking a free lease."""

_log = logbook.Logger(__name__)


class DutyRunner:
    """Part of one host in the duties.

    Parameters
    ----------
    fenced_lease : peridothitch.coordination.lease.FencedLease
    term : datetime.timedelta
        Of the lease.
    leases : peridothitch.coordination.mirror.Mirror
        Mirror of the leases.
    peers : peridothitch.ports.peers.Peers
    duties : sequence
        Their ``step(permit)`` is called again and again while the lease is held; it
        raises `peridothitch.errors.LeaseError` once another holder has acted.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, fenced_lease, term, leases, peers, duties, clock, metrics):
        self._lease = fenced_lease
        self._renewal_period = term / _RENEWALS_PER_TERM
        self._leases = leases
        self._peers = peers
        self._duties = tuple(duties)
        self._clock = clock
        self._metrics = metrics
        self._key = lease.PREFIX + LEASE_NAME
        self._free_since = None
        self._next_renewal = clock.monotonic()
        self._was_held = False
        self._is_retired = False

    def find_holder(self):
        """Return the id of the host that holds the lease, empty if none does."""
        item = self._leases.items().get(self._key)
        return lease.read_holder(item.value) if item is not None else ""

    def run(self, stop):
        """Keep the lease until the event `stop` is set."""
        while not self._clock.wait(stop, _PERIOD):
            self.update_lease()

    def run_duties(self, stop):
        """Do the duties until the event `stop` is set.

        Calls that wait for a slow platform must not hold up the lease's renewal.
        """
        while not self._clock.wait(stop, _PERIOD):
            self.run_due_duties()

    def update_lease(self):
        """Renew or try to take the lease."""
        try:
            self._keep_lease()
        except errors.StoreError as error:
            self._metrics.count("lease_failures")
            _log.debug("lease: {}", error.detail)
        self._note_change()

    def run_due_duties(self):
        """Do what is due if the lease is held."""
        for duty in self._duties:
            try:
                duty.step(self._lease.permit())
            except errors.LeaseError as error:
                _log.debug("duty: {}", error.detail)
                return
            except errors.CodedError as error:
                self._metrics.count("duty_failures")
                _log.info("duty failed", duty=type(duty).__name__, reason=error.detail)

    def resign(self):
        """Give the lease back and take it no more."""
        self._is_retired = True
        try:
            self._lease.release()
        except errors.StoreError as error:
            _log.info("lease not given back", reason=error.detail)

    def _keep_lease(self):
        now = self._clock.monotonic()
        if self._lease.is_held():
            self._free_since = None
            if now >= self._next_renewal:
                self._next_renewal = now + self._renewal_period
                self._lease.step()
            return
        if not self._is_my_turn(now):
            return
        self._next_renewal = now + self._renewal_period
        self._lease.step()

    def _is_my_turn(self, now):
        if self._is_retired or not self._leases.is_loaded or self.find_holder():
            self._free_since = None
            return False
        if self._free_since is None:
            self._free_since = now
        order = sorted(self._peers.members(), key=relays.position)
        rank = order.index(self._peers.host_id) if self._peers.host_id in order else 0
        if now - self._free_since < rank * _TURN:
            return False
        # The next try comes after all others have had their turn.
        self._free_since = now
        return True

    def _note_change(self):
        held = self._lease.is_held()
        if held != self._was_held:
            self._was_held = held
            _log.info(
                "duties taken" if held else "duties lost",
                fencing_number=self._lease.fencing_number,
            )
        self._metrics.set("holds_duties", int(held))
