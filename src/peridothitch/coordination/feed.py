"""The newest document that a host has received, from the store or from its peers.

A few relays for each data centre watch the store and publish a new revision as a fact;
the other hosts fetch the changed sections from a peer. Every host falls back to reading
the store itself when no host has confirmed the revision for some time. The revision of
a host never decreases.
"""

import datetime
import threading

import logbook
import msgspec

import peridothitch
from peridothitch import errors
from peridothitch.coordination import document_messages as wire
from peridothitch.coordination import relays
from peridothitch.policy import document as documents
from peridothitch.ports import facts

__all__ = ["CONFIRMED_KIND", "DocumentFeed", "REVISION_KIND"]

REVISION_KIND = "revision"
"""Kind of the fact that contains the newest revision."""

CONFIRMED_KIND = "confirmed"
"""Kind of the fact that contains the revision last read from the store."""

_KEY = "head"
_RELAY_READ_PERIOD = datetime.timedelta(seconds=4)
_FALLBACK_READ_PERIOD = datetime.timedelta(seconds=20)
_MAX_RELAY_BACKOFF = datetime.timedelta(seconds=4)
_MAX_FALLBACK_BACKOFF = datetime.timedelta(seconds=60)
_FIRST_BACKOFF = datetime.timedelta(seconds=1)
_FETCH_INTERVAL = datetime.timedelta(milliseconds=150)
_FETCH_TIMEOUT = datetime.timedelta(seconds=1)
_IDLE_WAIT = datetime.timedelta(milliseconds=500)
_FETCH_ATTEMPTS_BEFORE_STORE = 12
_MAX_CACHED_TEXTS = 12
_log = logbook.Logger("peridothitch.feed")


class DocumentFeed:
    """Keeps a host's copy of the document up to date.

    Parameters
    ----------
    document_store : peridothitch.coordination.documents.DocumentStore
    codec : peridothitch.ports.document_codec.DocumentCodec
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    peers : peridothitch.ports.peers.Peers
    fact_registry : peridothitch.ports.facts.FactRegistry
    random_source : random.Random
    """

    def __init__(
        self, document_store, codec, clock, metrics, peers, fact_registry, random_source
    ):
        self._document_store = document_store
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._peers = peers
        self._fact_registry = fact_registry
        self._random = random_source
        self._lock = threading.RLock()
        self._wake = threading.Event()
        self._snapshot = None
        self._document = None
        self._items_by_digest = {}
        self._text_by_digest = {}
        self._reported_revision = 0
        self._store_revision = 0
        self._rejected_revision = 0
        self._fetch_attempts = 0
        self._read_failures = 0
        self._started = clock.monotonic()
        self._next_read = self._started
        self._confirmed_at = None
        fact_registry.subscribe(REVISION_KIND, self._on_revision_fact)
        fact_registry.subscribe(CONFIRMED_KIND, self._on_confirmation_fact)
        peers.register(wire.FETCH, self._handle_fetch)
        peers.register(wire.REPORT, self._handle_report)

    def current(self):
        """Return the newest document, None before the first was read."""
        return self._document

    @property
    def revision(self):
        """Revision in force here, 0 before a document was read."""
        snapshot = self._snapshot
        return snapshot.head.revision if snapshot is not None else 0

    @property
    def newest_known_revision(self):
        """Newest revision that this host has received or that was reported to it."""
        return max(self._reported_revision, self._store_revision, self.revision)

    def confirmed_age(self):
        """Return the time since the revision was last confirmed to be the newest."""
        since = self._confirmed_at
        return self._clock.monotonic() - (self._started if since is None else since)

    def report(self):
        """Return the `document_messages.Report` of this host."""
        return wire.Report(
            self._peers.host_id,
            self.revision,
            self.confirmed_age().total_seconds(),
            peridothitch.__version__,
            self._rejected_revision,
        )

    def refresh(self):
        """Update once to the highest revision of the store and the peers."""
        self._confirm()
        newest = self._fact_registry.facts(REVISION_KIND).get(_KEY)
        if newest is not None:
            self._on_revision_fact(newest)
        for _ in range(_FETCH_ATTEMPTS_BEFORE_STORE):
            if not self._is_behind() and self._snapshot is not None:
                return
            if not self._fetch():
                return

    def apply_if_newer(self, snapshot):
        """Put a document in force if it is newer; returns whether it was.

        Parameters
        ----------
        snapshot : peridothitch.coordination.documents.Snapshot
        """
        with self._lock:
            revision = snapshot.head.revision
            if revision <= max(self.revision, self._rejected_revision):
                return False
            try:
                document = self._parse(snapshot)
            except errors.DocumentError as error:
                self._rejected_revision = revision
                self._metrics.count("documents_rejected")
                _log.error("rejected document revision {}: {}", revision, error)
                return False
            self._cache_texts(snapshot)
            self._snapshot = snapshot
            self._document = document
            self._fetch_attempts = 0
        self._metrics.set("document_revision", revision)
        self._metrics.set(
            "document_taken_timestamp_seconds", self._clock.now().timestamp()
        )
        self._fact_registry.publish(facts.Fact(REVISION_KIND, _KEY, revision))
        return True

    def record_store_revision(self, revision):
        """Record that the store has `revision`."""
        self._store_revision = max(self._store_revision, revision)
        self._wake.set()

    def run(self, stop):
        """Keep the document current until the event `stop` is set."""
        while not stop.is_set():
            self._clock.wait(self._wake, self._wait_time())
            self._wake.clear()
            try:
                self.step()
            except Exception:
                self._metrics.count("document_failures")
                _log.exception("document feed step failed")

    def step(self):
        """Run the reads and fetches that are due."""
        if self._store_revision > self._newest_processed():
            self._read_store()
        if self._is_behind():
            self._fetch()
        if self._clock.monotonic() >= self._next_read:
            self._confirm()
        self._metrics.set(
            "document_confirmed_age_seconds", self.confirmed_age().total_seconds()
        )

    def is_relay(self):
        """Return whether this host watches the store for its data centre."""
        return relays.is_relay(self._peers.members(), self._peers.host_id)

    def _wait_time(self):
        if self._is_behind() or self._store_revision > self._newest_processed():
            return _FETCH_INTERVAL
        due = self._next_read - self._clock.monotonic()
        return max(datetime.timedelta(0), min(due, _IDLE_WAIT))

    def _newest_processed(self):
        return max(self.revision, self._rejected_revision)

    def _is_behind(self):
        if self._reported_revision > self._newest_processed():
            return True
        return self._snapshot is None and len(self._peers.members()) > 1

    def _confirm(self):
        if self._read_store():
            self._read_failures = 0
            previous = self._fact_registry.facts(CONFIRMED_KIND).get(_KEY)
            sequence = previous.sequence + 1 if previous is not None else 1
            value = msgspec.msgpack.encode(self._store_revision)
            self._fact_registry.publish(
                facts.Fact(CONFIRMED_KIND, _KEY, sequence, value)
            )
            self._schedule_read(
                _RELAY_READ_PERIOD if self.is_relay() else _FALLBACK_READ_PERIOD
            )
            return
        longest = _MAX_RELAY_BACKOFF if self.is_relay() else _MAX_FALLBACK_BACKOFF
        self._schedule_read(
            min(longest, _FIRST_BACKOFF * 2 ** min(self._read_failures, 10))
        )
        self._read_failures += 1

    def _schedule_read(self, period):
        now = self._clock.monotonic()
        self._next_read = now + period * self._random.uniform(0.8, 1.6)

    def _read_store(self):
        try:
            snapshot, revision = self._document_store.read_newer(self._snapshot)
        except errors.StoreError:
            self._metrics.count("document_failures")
            # The revision that was reported is fetched from peers instead.
            self._reported_revision = max(self._reported_revision, self._store_revision)
            self._store_revision = 0
            return False
        self._store_revision = revision
        if snapshot is not None:
            self.apply_if_newer(snapshot)
        self._metrics.set("document_store_lag", revision - self.revision)
        self._mark_confirmed(revision)
        return True

    def _mark_confirmed(self, revision):
        if self.revision >= revision:
            self._confirmed_at = self._clock.monotonic()

    def _on_revision_fact(self, fact):
        if fact.key != _KEY:
            return
        self._reported_revision = max(self._reported_revision, fact.sequence)
        self._wake.set()

    def _on_confirmation_fact(self, fact):
        try:
            revision = msgspec.msgpack.decode(fact.value, type=int)
        except msgspec.MsgspecError:
            return
        self._reported_revision = max(self._reported_revision, revision)
        self._mark_confirmed(revision)
        self._schedule_read(
            _RELAY_READ_PERIOD if self.is_relay() else _FALLBACK_READ_PERIOD
        )
        if revision > self.revision:
            self._wake.set()

    def _sources(self):
        members = self._peers.members()
        own_id = self._peers.host_id
        chain = relays.ancestors(members, own_id)
        others = sorted(set(members) - {own_id})
        self._random.shuffle(others)
        return chain[:1] + chain + others[:3]

    def _fetch(self):
        sources = self._sources()
        if not sources:
            return False
        source = sources[self._fetch_attempts % len(sources)]
        self._fetch_attempts += 1
        if self._fetch_attempts >= _FETCH_ATTEMPTS_BEFORE_STORE:
            self._fetch_attempts = 0
            self._next_read = self._clock.monotonic()
        base = self._snapshot
        digests = {}
        if base is not None:
            marks = base.head.mark_by_section
            digests = {name: mark.digest for name, mark in marks.items()}
        request = msgspec.msgpack.encode(wire.Fetch(self.revision, digests))
        try:
            payload = self._peers.call(source, wire.FETCH, request, _FETCH_TIMEOUT)
            reply = msgspec.msgpack.decode(payload, type=wire.FetchReply)
        except (errors.PeerError, msgspec.MsgspecError):
            self._metrics.count("document_fetch_failures")
            return True
        if reply.head is None:
            return True
        snapshot = wire.apply_reply(base, reply)
        if snapshot is not None and self.apply_if_newer(snapshot):
            self._metrics.count("document_fetches")
            self._metrics.count("document_fetch_bytes", len(payload))
        return True

    def _handle_fetch(self, payload):
        try:
            request = msgspec.msgpack.decode(payload, type=wire.Fetch)
        except msgspec.MsgspecError as error:
            raise errors.PeerError(f"malformed message: {error}", sent=True) from None
        with self._lock:
            reply = wire.answer_fetch(request, self._snapshot, self._text_by_digest)
        return msgspec.msgpack.encode(reply)

    def _handle_report(self, payload):
        return msgspec.msgpack.encode(self.report())

    def _parse(self, snapshot):
        items_by_section = {}
        items_by_digest = {}
        for name, mark in snapshot.head.mark_by_section.items():
            key = name, mark.digest
            items = self._items_by_digest.get(key)
            if items is None:
                items = self._codec.parse_section(name, snapshot.text_by_section[name])
            items_by_digest[key] = items_by_section[name] = items
        document = self._codec.build_document(items_by_section, snapshot.head.revision)
        documents.check_references(document)
        self._items_by_digest = items_by_digest
        return document

    def _cache_texts(self, snapshot):
        for name, mark in snapshot.head.mark_by_section.items():
            self._text_by_digest.pop(mark.digest, None)
            self._text_by_digest[mark.digest] = snapshot.text_by_section[name]
        while len(self._text_by_digest) > _MAX_CACHED_TEXTS:
            self._text_by_digest.pop(next(iter(self._text_by_digest)))
