"""Each entry host's copy of the keys below one prefix of the store.

A mirror watches the store itself and adopts the content of other hosts' mirrors when it
is newer. Its revision only grows, so a change that was once applied never reverts,
whether updates arrive from the store or from a host. When the store comes back from an
older copy of itself, `mirror_eras` decides what remains.
"""

import collections
import datetime
import random
import threading

import logbook
import msgspec

from peridothitch import errors
from peridothitch.coordination import mirror_eras, store_contact
from peridothitch.ports import store

__all__ = ["Mirror", "MirrorItem", "MirrorState"]

_MIN_POLL_TIMEOUT = datetime.timedelta(seconds=0.6)
_MAX_POLL_TIMEOUT = datetime.timedelta(seconds=1.4)
"""Timeouts of watch calls are drawn between these.

An answer may be lost without an error, so a host misses changes for the rest of a
timeout. Hosts that watch since the same change don't all miss them for as long.
"""

_IDLE_INTERVAL = datetime.timedelta(milliseconds=500)
"""Interval between checks of whether to watch the store."""

_BATCH_DELAY = datetime.timedelta(milliseconds=300)
"""Delay after changes; they often come in groups, and the later ones share a call."""

_FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=150)
_MAX_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Delay between calls to a store that refuses them; refused calls are billed, too."""

_RETAINED_CHANGES = 64
"""Times of the last changes are kept for hosts that lack several of them."""

_ZERO = datetime.timedelta(0)
_log = logbook.Logger(__name__)


def _always():
    return True


class MirrorItem(msgspec.Struct, frozen=True, array_like=True):
    """One key as hosts send it to each other."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int


class MirrorState(msgspec.Struct, frozen=True, array_like=True):
    """Content of a mirror as hosts send it to each other.

    Attributes
    ----------
    prefix : str
    revision : int
        Store revision up to which all changes are included.
    items : tuple
    """

    prefix: str
    revision: int
    items: tuple[MirrorItem, ...] = ()


class Mirror:
    """Keys below a prefix.

    Parameters
    ----------
    prefix : str
    service : peridothitch.ports.store.Store
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None
    era_rule : peridothitch.coordination.mirror_eras.EraRule or None
        What remains when the store comes back from a copy; None for what it has.

    Attributes
    ----------
    revision : int
        Store revision up to which all changes are included; 0 before the first read.
    contact : peridothitch.coordination.store_contact.StoreContact
    restored_at : datetime.timedelta or None
        Monotonic time at which the store last came back from a copy, as far as known.
    """

    def __init__(
        self, prefix, service, clock, metrics, random_source=None, era_rule=None
    ):
        self.prefix = prefix
        self.revision = 0
        self.contact = store_contact.StoreContact(prefix, clock, metrics)
        self._store = service
        self._clock = clock
        self._metrics = metrics
        self._random = random_source or random.Random()
        self._era_rule = era_rule or mirror_eras.StoreRule()
        self.restored_at = None
        self._lock = threading.RLock()
        self._item_by_key = {}
        self._digest = 0
        self._callbacks = []
        self._should_watch = _always
        self._is_watching = False
        self._failures = 0
        self._dropped_at = 0
        self._changes = collections.deque(maxlen=_RETAINED_CHANGES)

    @property
    def is_loaded(self):
        """Whether the keys have been read or received from another host."""
        return self.revision > 0

    @property
    def era(self):
        """Era of the store in which the keys were read last."""
        return store.era_of(self.revision)

    @property
    def is_watching(self):
        """Whether this host watches the store itself now."""
        return self._is_watching

    @property
    def changed_at(self):
        """Monotonic time of the last change, as far as known; None before the first."""
        with self._lock:
            return self._changes[-1][1] if self._changes else None

    def first_change_after(self, revision):
        """Return the monotonic time of the oldest known change after a revision.

        Returns
        -------
        datetime.timedelta or None
        """
        with self._lock:
            return next(
                (at for changed, at in self._changes if changed > revision), None
            )

    @property
    def version(self):
        """Revision and digest of the content."""
        with self._lock:
            return self.revision, self._digest

    @property
    def has_retained_items(self):
        """Whether keys are held that the store has lost or has older ones of."""
        with self._lock:
            return bool(mirror_eras.retained_items(self._item_by_key, self.era))

    def items(self):
        """Return the keys as a dict of key to `peridothitch.ports.store.KeyValue`."""
        with self._lock:
            return dict(self._item_by_key)

    def subscribe(self, callback):
        """Call ``callback()`` after each change, one call at a time."""
        self._callbacks.append(callback)

    def watch_if(self, should_watch):
        """Watch the store only while ``should_watch()`` is true.

        The content of other hosts is merged regardless.
        """
        self._should_watch = should_watch

    def state(self):
        """Return the content as `MirrorState`."""
        with self._lock:
            items = tuple(
                MirrorItem(
                    item.key, item.value, item.create_revision, item.mod_revision
                )
                for item in self._item_by_key.values()
            )
            return MirrorState(self.prefix, self.revision, items)

    def merge(self, state, changed_at=None):
        """Adopt another host's content if it is newer; returns whether it was.

        Parameters
        ----------
        state : MirrorState
        changed_at : datetime.timedelta or None
            Monotonic time at which the first host knew of the change; None for now.
        """
        item_by_key = {
            item.key: store.KeyValue(
                key=item.key,
                value=item.value,
                create_revision=item.create_revision,
                mod_revision=item.mod_revision,
                version=0,
            )
            for item in state.items
        }
        return self._replace(item_by_key, state.revision, "peer", changed_at)

    def read(self):
        """Read all keys once.

        Raises
        ------
        peridothitch.errors.StoreError
        """
        found = self._store.range(self.prefix)
        self._replace(found.item_by_key, found.revision, "store")
        self.contact.record_answer()

    def run(self, stop):
        """Watch the store until the event `stop` is set."""
        while not stop.is_set():
            if self.is_loaded and not self._should_watch():
                self._is_watching = False
                self._clock.wait(stop, _IDLE_INTERVAL)
                continue
            try:
                self._watch_store(stop)
            except errors.StoreHistoryGoneError:
                _log.info(
                    "store history is no longer available; reading all keys",
                    prefix=self.prefix,
                )
                self._metrics.count("mirror_history_gone", prefix=self.prefix)
                revision = self.revision
                self.try_read()
                self._failures = 0 if self.revision > revision else self._failures + 1
            except errors.StoreError as error:
                self.contact.record_failure(error, self.revision)
                self._failures += 1
            self._clock.wait(stop, self._retry_delay())

    def try_read(self):
        """Read all keys once; returns whether the store answered."""
        try:
            self.read()
        except errors.StoreError as error:
            self.contact.record_failure(error, self.revision)
            return False
        return True

    def _watch_store(self, stop):
        if not self.is_loaded or not self.contact.is_reachable:
            # One call reads all missed changes; a watch from an old revision might
            # replay a long history.
            self.read()
        watch = self._store.watch(self.prefix, self.revision + 1)
        self._is_watching = True
        while not stop.is_set():
            events = watch.poll(
                self._draw_between(_MIN_POLL_TIMEOUT, _MAX_POLL_TIMEOUT)
            )
            self._metrics.count("mirror_polls", prefix=self.prefix)
            self._failures = 0
            self.contact.record_answer()
            self._apply(events, watch.revision)
            if events:
                self._clock.wait(stop, _BATCH_DELAY)
            if self.revision > watch.revision or not self._should_watch():
                return

    def _apply(self, events, revision):
        with self._lock:
            changed = False
            for event in events:
                changed |= self._apply_one(event)
            self.revision = max(self.revision, revision)
            if changed:
                self._notify_subscribers("store", self._clock.monotonic())

    def _apply_one(self, event):
        key = event.item.key
        old = self._item_by_key.get(key)
        if old is not None and old.mod_revision >= event.item.mod_revision:
            return False
        if event.item.mod_revision <= self.revision:
            return False
        era = store.era_of(event.item.mod_revision)
        if event.deleted:
            if old is not None:
                self._era_rule.record_removal(self._item_by_key.pop(key), era)
            return old is not None
        item = event.item
        if old is None and not self._era_rule.admits(item):
            return False
        if old is not None and store.era_of(old.mod_revision) < era:
            item = self._era_rule.choose(old, item, is_written=True)
        self._item_by_key[key] = item
        return item is not old

    def _replace(self, found_by_key, revision, source, changed_at=None):
        with self._lock:
            era = store.era_of(revision)
            if revision <= self.revision:
                self._count_dropped(revision, source)
                return self._adopt_retained(found_by_key, era, source)
            at = self._clock.monotonic() if changed_at is None else changed_at
            if self.is_loaded and era > self.era:
                self._record_restore(revision, at)
            self.revision = revision
            self._join(found_by_key, source, at)
            return True

    def _adopt_retained(self, found_by_key, era, source):
        """Adopt what another host holds though the store has lost it."""
        if era != self.era:
            return False
        retained = mirror_eras.retained_items(found_by_key, era)
        found_by_key = self._item_by_key | retained
        return self._join(found_by_key, source, self._clock.monotonic())

    def _join(self, found_by_key, source, changed_at):
        """Join newer keys with those held; returns whether any has changed."""
        before, era = self._item_by_key, self.era
        self._item_by_key = mirror_eras.join(before, found_by_key, era, self._era_rule)
        has_changes = _revisions(self._item_by_key) != _revisions(before)
        if has_changes or not self._digest:
            self._notify_subscribers(source, changed_at)
        return has_changes

    def _record_restore(self, revision, at):
        """Record that the store has come back from an older copy of itself."""
        self.restored_at = at
        self._metrics.count("mirror_eras", prefix=self.prefix)
        _log.info(
            "store came back from a copy",
            prefix=self.prefix,
            revision=store.to_text(revision),
            held=store.to_text(self.revision),
        )

    def _count_dropped(self, revision, source):
        """Tell of content that is older than what was read before."""
        if revision == self.revision:
            return
        self._metrics.count("mirror_contents_dropped", prefix=self.prefix)
        if self._dropped_at != self.revision:
            self._dropped_at = self.revision
            _log.info(
                "older keys dropped",
                prefix=self.prefix,
                source=source,
                revision=store.to_text(revision),
                held=store.to_text(self.revision),
            )

    def _notify_subscribers(self, source, changed_at):
        self._changes.append((self.revision, changed_at))
        self._digest = mirror_eras.digest(self._item_by_key)
        self._metrics.count("mirror_changes", prefix=self.prefix, source=source)
        _log.info(
            "keys changed",
            prefix=self.prefix,
            source=source,
            revision=store.to_text(self.revision),
            keys=len(self._item_by_key),
        )
        for callback in self._callbacks:
            callback()

    def _retry_delay(self):
        if not self._failures:
            return _ZERO
        doublings = min(self._failures - 1, 8)
        delay = min(_MAX_RETRY_DELAY, _FIRST_RETRY_DELAY * 2**doublings)
        return self._draw_between(delay * 0.7, delay * 1.3)

    def _draw_between(self, least, most):
        return least + (most - least) * self._random.random()


def _revisions(item_by_key):
    return {key: item.mod_revision for key, item in item_by_key.items()}
