"""Watches the document's head in the store while this host is a relay.

The head is the key that contains the document's revision; relays are the hosts that
read it from the store for their data centre (see `feed`).
"""

import datetime

from peridothitch import errors

__all__ = ["HeadWatcher"]

_POLL_TIMEOUT = datetime.timedelta(seconds=3)
_IDLE_INTERVAL = datetime.timedelta(seconds=1)
_RETRY_DELAY = datetime.timedelta(seconds=1)
_MAX_WATCH_AGE = datetime.timedelta(minutes=5)


class HeadWatcher:
    """Reports new revisions of the stored document to the feed.

    A watch that stops reporting is harmless: the relays' periodic reads find the
    change, and every watch is replaced after `_MAX_WATCH_AGE`.

    Parameters
    ----------
    document_store : peridothitch.coordination.documents.DocumentStore
    feed : peridothitch.coordination.feed.DocumentFeed
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random
    """

    def __init__(self, document_store, feed, clock, metrics, random_source):
        self._document_store = document_store
        self._feed = feed
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._watch = None
        self._opened_at = clock.monotonic()

    def run(self, stop):
        """Watch until the event `stop` is set."""
        while not stop.is_set():
            if not self._feed.is_relay():
                self.close()
                self._clock.wait(stop, _IDLE_INTERVAL)
            elif not self.step(_POLL_TIMEOUT):
                self._clock.wait(stop, _RETRY_DELAY * self._random.uniform(0.5, 1.5))
        self.close()

    def step(self, timeout):
        """Report changes, waiting at most `timeout`; returns False if the store failed.

        Opens a watch if none is open.
        """
        try:
            if self._watch is None:
                revision, self._watch = self._document_store.open_watch()
                self._opened_at = self._clock.monotonic()
                self._feed.record_store_revision(revision)
            for revision in self._document_store.poll_watch(self._watch, timeout):
                self._feed.record_store_revision(revision)
        except errors.StoreError:
            self._metrics.count("watch_failures")
            self.close()
            return False
        if self._clock.monotonic() - self._opened_at > _MAX_WATCH_AGE:
            self.close()
        return True

    def close(self):
        """Close the watch if one is open; the next step opens another."""
        watch, self._watch = self._watch, None
        if watch is not None:
            watch.close()
