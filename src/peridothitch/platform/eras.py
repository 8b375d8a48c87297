"""Eras of the platform's store, which it may leave by coming back from an older copy.

All answers of the store tell its era, a number that rises by one each time.
"""

import threading

import logbook

__all__ = ["HEADER", "EraTracker"]

HEADER = "store-era"
_MAX_ERA = (1 << 22) - 1
"""Largest era taken for one; revisions of a later one would exceed 63 bits."""

_log = logbook.Logger(__name__)


class EraTracker:
    """The store's era, according to its answers.

    Attributes
    ----------
    current : int
        The highest era of an answer, 0 if none has told one.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._rejected_text = None
        self.current = 0

    def record(self, text):
        """Record an answer's header.

        Parameters
        ----------
        text : str or None

        Returns
        -------
        int
            Era of the answer: the current one if the header is missing or malformed.
        """
        era = _parse(text)
        with self._lock:
            if era is None:
                self._log_rejected(text)
                return self.current
            if era > self.current:
                _log.info("store era", era=era, before=self.current)
                self.current = era
            return era

    def _log_rejected(self, text):
        if text is None or text == self._rejected_text:
            return
        self._rejected_text = text
        _log.error("store era is malformed", text=text[:40], current=self.current)


def _parse(text):
    """Return the era in a header, None if there is none."""
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > 9:
        return None
    era = int(text)
    return era if era <= _MAX_ERA else None
