"""Final counts of usage windows, which the store may lose after they were reported.

A holder of the duties writes a window's counts to the store before it reports them. If
the store comes back from an older copy of itself, the next holder has to report the
same counts again or none. So each host keeps the counts that it wrote as the holder
and tells them in its reports, to the holder and its deputy.

A window of which nobody tells counts may still have been reported, by a holder that is
lost. It was not if the last holder before the copy says so: a host tells the fencing
number under which it held the duties once the store's era has ended, since nothing that
it writes after that is lost with the era. Which holder was the last is known to the
hosts together; each tells the numbers that it has seen.
"""

import contextlib
import dataclasses
import threading

from peridothitch.ports import store

__all__ = ["FinalCounts", "Statement"]

_RETAINED_WINDOWS = 8
_RETAINED_NUMBERS = 16
_RETAINED_ERAS = 4


@dataclasses.dataclass(frozen=True)
class Statement:
    """What one process tells of the counts that it has reported.

    Attributes
    ----------
    counts_by_window : dict of int to dict of str to int
        Final counts that the process found in the store or wrote there.
    ended_number : int
        Fencing number under which it held the duties last, in an era that has ended; 0
        if there is none.
    unknown_window : int
        Last window that may have been reported, under this or an earlier number, with
        counts that it doesn't know; 0 if there is none.
    era : int
        Era of the store that it knows of; 0 while it is writing counts.
    seen_numbers : tuple of int
        Highest fencing number of a holder that it has seen in each of the last eras.
    """

    counts_by_window: dict
    ended_number: int = 0
    unknown_window: int = 0
    era: int = 0
    seen_numbers: tuple = ()

    @property
    def complete_number(self):
        """The ended number if the counts of all windows are known, 0 otherwise."""
        return 0 if self.unknown_window else self.ended_number


class FinalCounts:
    """Final counts of the last windows, as far as this host knows."""

    def __init__(self):
        self._lock = threading.Lock()
        self._own_by_window = {}
        self._received_by_window = {}
        self._unknown_by_ended = {}
        self._seen_number_by_era = {}
        self._held_number = 0
        self._unknown_window = 0
        self._is_writing = False

    def find(self, window):
        """Return a window's final counts by customer, None if they are unknown."""
        with self._lock:
            own = self._own_by_window.get(window)
            return own if own is not None else self._received_by_window.get(window)

    def begin_term(self, number, unknown_window):
        """Record that this process holds the duties under a fencing number.

        Parameters
        ----------
        number : int
        unknown_window : int
            See `Statement`.
        """
        with self._lock:
            if self._held_number:
                self._add_ended(self._held_number, self._unknown_window)
            self._held_number = number
            self._unknown_window = unknown_window
            self._add_seen(number)

    def set_unknown_window(self, window):
        """Record up to which window this holder doesn't know all counts."""
        with self._lock:
            self._unknown_window = window

    @contextlib.contextmanager
    def writing(self):
        """Return a context in which this holder writes counts to the store.

        They may be in an era's store before they are recorded here.
        """
        with self._lock:
            self._is_writing = True
        try:
            yield
        finally:
            with self._lock:
                self._is_writing = False

    def record_own(self, window, count_by_customer):
        """Record the counts that this host found in the store or wrote there."""
        with self._lock:
            _add(self._own_by_window, window, count_by_customer)

    def record_holder(self, number):
        """Record the fencing number of a holder that this host sees; 0 for none."""
        with self._lock:
            self._add_seen(number)

    def receive(self, statement):
        """Add another process's `Statement`; the first counts of a window remain."""
        with self._lock:
            for window, count_by_customer in statement.counts_by_window.items():
                _add(self._received_by_window, window, count_by_customer)
            for number in statement.seen_numbers:
                self._add_seen(number)
            ended = statement.ended_number
            if ended and store.era_of(ended) < statement.era:
                self._add_ended(ended, statement.unknown_window)

    def statement(self, era):
        """Return this process's `Statement`.

        Parameters
        ----------
        era : int
            Era of the store that this host knows of.
        """
        with self._lock:
            may_tell = not self._is_writing and store.era_of(self._held_number) < era
            return Statement(
                counts_by_window=dict(self._own_by_window),
                ended_number=self._held_number if may_tell else 0,
                unknown_window=self._unknown_window,
                era=0 if self._is_writing else era,
                seen_numbers=tuple(self._seen_number_by_era.values()),
            )

    def is_unreported(self, window, era):
        """Return whether no holder before an era has reported a window.

        It has no counts that anybody tells. The last holder of each era is asked in
        turn, since it knows what the era's others have reported. Whether others have
        seen a later holder is known once all of them have reported in the era.
        """
        with self._lock:
            before = [
                number
                for number_era, number in self._seen_number_by_era.items()
                if number_era < era
            ]
            for number in sorted(before, reverse=True):
                unknown_window = self._unknown_by_ended.get(number)
                if unknown_window is None:
                    return False
                if unknown_window < window:
                    return True
            return False

    def _add_ended(self, number, unknown_window):
        self._unknown_by_ended[number] = unknown_window
        while len(self._unknown_by_ended) > _RETAINED_NUMBERS:
            del self._unknown_by_ended[min(self._unknown_by_ended)]

    def _add_seen(self, number):
        if not number:
            return
        era = store.era_of(number)
        known = self._seen_number_by_era.get(era, 0)
        self._seen_number_by_era[era] = max(known, number)
        while len(self._seen_number_by_era) > _RETAINED_ERAS:
            del self._seen_number_by_era[min(self._seen_number_by_era)]


def _add(counts_by_window, window, count_by_customer):
    """Add a window's first counts; the latest windows are kept."""
    counts_by_window.setdefault(window, count_by_customer)
    while len(counts_by_window) > _RETAINED_WINDOWS:
        del counts_by_window[min(counts_by_window)]
