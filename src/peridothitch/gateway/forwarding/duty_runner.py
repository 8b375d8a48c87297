"""Acquires the lease on the platform's duties and runs them while it is held."""

import datetime

import logbook

from peridothitch import errors
from peridothitch.coordination import lease, relays

__all__ = ["LEASE_NAME", "DutyRunner"]

LEASE_NAME = "forwarding-duties"
"""Name of the lease."""

_PERIOD = datetime.timedelta(milliseconds=250)
_RENEWALS_PER_TERM = 3
_RANK_DELAY = datetime.timedelta(milliseconds=350)
"""Delay of each host after the one ranked before it in acquiring a free lease."""

_log = logbook.Logger(__name__)


class DutyRunner:
    """Competes for the lease of the duties and runs them while this host holds it.

    Parameters
    ----------
    fenced_lease : peridothitch.coordination.lease.FencedLease
    term : datetime.timedelta
        Term of the lease.
    leases : peridothitch.coordination.mirror.Mirror
        Mirror of the leases.
    peers : peridothitch.ports.peers.Peers
    duties : sequence
        Their ``step(permit)`` is called periodically while the lease is held; it
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
        self._has_resigned = False

    def find_holder(self):
        """Return the id of the host that holds the lease, empty if none does."""
        item = self._leases.items().get(self._key)
        return lease.read_holder(item.value) if item is not None else ""

    def find_holder_number(self):
        """Return the fencing number of the host that holds the lease, 0 if none."""
        item = self._leases.items().get(self._key)
        return item.create_revision if item is not None else 0

    def run(self, stop):
        """Renew or acquire the lease periodically until the event `stop` is set."""
        while not self._clock.wait(stop, _PERIOD):
            self.update_lease()

    run.__qualname__ = "DutyKeeper.run"  # value of the metric label "loop"

    def run_duties(self, stop):
        """Run the duties periodically until the event `stop` is set.

        Separate from `run`, because calls to a slow platform must not delay the
        renewal of the lease.
        """
        while not self._clock.wait(stop, _PERIOD):
            self.run_due_duties()

    # The value of the metric label "loop".
    run_duties.__qualname__ = "DutyKeeper.run_duties"

    def update_lease(self):
        """Renew the lease or try to acquire it, if due."""
        try:
            self._renew_or_acquire()
        except errors.StoreError as error:
            self._metrics.count("lease_failures")
            _log.debug("lease not renewed or acquired: {}", error.detail)
        self._report_change()

    def run_due_duties(self):
        """Run each duty once if the lease is held."""
        for duty in self._duties:
            try:
                duty.step(self._lease.permit())
            except errors.LeaseError as error:
                _log.debug("duties stopped, lease not held: {}", error.detail)
                return
            except errors.CodedError as error:
                self._metrics.count("duty_failures")
                _log.info("duty failed", duty=type(duty).__name__, reason=error.detail)

    def resign(self):
        """Release the lease and do not acquire it again."""
        self._has_resigned = True
        try:
            self._lease.release()
        except errors.StoreError as error:
            _log.info("lease not released", reason=error.detail)

    def _renew_or_acquire(self):
        now = self._clock.monotonic()
        if self._lease.is_held():
            self._free_since = None
            if now >= self._next_renewal:
                self._next_renewal = now + self._renewal_period
                self._lease.step()
            return
        if not self._may_acquire(now):
            return
        self._next_renewal = now + self._renewal_period
        self._lease.step()

    def _may_acquire(self, now):
        if self._has_resigned or not self._leases.is_loaded or self.find_holder():
            self._free_since = None
            return False
        if self._free_since is None:
            self._free_since = now
        rank = relays.rank(self._peers.members(), self._peers.host_id)
        if now - self._free_since < rank * _RANK_DELAY:
            return False
        # The next attempt comes after all other hosts have had theirs.
        self._free_since = now
        return True

    def _report_change(self):
        held = self._lease.is_held()
        if held != self._was_held:
            self._was_held = held
            _log.info(
                "duties taken" if held else "duties lost",
                fencing_number=self._lease.fencing_number,
            )
        self._metrics.set("holds_duties", int(held))
