"""When the store answered the calls for one prefix, and its outages."""

import datetime
import threading

import logbook

from peridothitch.ports import store

__all__ = ["StoreContact"]

_ZERO = datetime.timedelta(0)
_log = logbook.Logger(__name__)


class StoreContact:
    """Contact of one host with the store, and the outages that others tell it of.

    Parameters
    ----------
    prefix : str
        Prefix of the keys that are read.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, prefix, clock, metrics):
        self._prefix = prefix
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._lost_at = None
        self._answered_at = clock.monotonic()
        self._outage_began_at = None
        self._last_outage = None

    @property
    def is_reachable(self):
        """Whether the store answered the last call."""
        return self._lost_at is None

    @property
    def last_outage(self):
        """End of the store's last outage as monotonic time and its length, or None."""
        return self._last_outage

    def current_outage(self, now):
        """Return how long no host is known to have reached the store, zero if one has.

        Parameters
        ----------
        now : datetime.timedelta
            Monotonic time.
        """
        began_at = self._outage_began_at
        return max(_ZERO, now - began_at) if began_at is not None else _ZERO

    def record_peer_contact(self, at):
        """Record that another host reached the store at a monotonic time.

        While a store rejects this host alone, no records lapse.
        """
        with self._lock:
            if self._outage_began_at is not None:
                self._outage_began_at = max(self._outage_began_at, at)

    def record_outage(self, ended_at, length):
        """Record an outage of the store that another host has observed.

        Parameters
        ----------
        ended_at : datetime.timedelta
            Monotonic time.
        length : datetime.timedelta
        """
        with self._lock:
            if self._last_outage is None or ended_at > self._last_outage[0]:
                self._last_outage = ended_at, length

    def record_answer(self):
        """Record that the store has answered this host."""
        now = self._answered_at = self._clock.monotonic()
        self._metrics.set(
            "mirror_answer_time", self._clock.now().timestamp(), prefix=self._prefix
        )
        if self._lost_at is None:
            return
        lost_at = self._lost_at
        self.record_outage(now, self.current_outage(now))
        self._lost_at = self._outage_began_at = None
        _log.info(
            "store regained",
            prefix=self._prefix,
            after_ms=_to_milliseconds(now - lost_at),
        )

    def record_failure(self, error, revision):
        """Record that a call of this host has failed.

        Parameters
        ----------
        error : peridothitch.errors.StoreError
        revision : int
            Store revision up to which the host knows the keys.
        """
        self._metrics.count("mirror_failures", prefix=self._prefix)
        if self._lost_at is None:
            now = self._lost_at = self._outage_began_at = self._clock.monotonic()
            _log.info(
                "store lost",
                prefix=self._prefix,
                revision=store.to_text(revision),
                unanswered_ms=_to_milliseconds(now - self._answered_at),
                reason=error.detail,
            )


def _to_milliseconds(duration):
    return int(duration / datetime.timedelta(milliseconds=1))
