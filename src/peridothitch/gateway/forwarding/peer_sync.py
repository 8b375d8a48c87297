"""Hosts that the store turns away learn from their peers what it holds.

Every host asks a peer now and then which revisions of the mirrored prefixes it
has seen, and gets the content of those that it lacks. The answers also carry the
peer's idea of true time.
"""

import datetime
import random
import threading

import logbook
import msgspec

from peridothitch import errors
from peridothitch.coordination import mirror, relays
from peridothitch.policy import true_time
from peridothitch.ports import clock as clocks

__all__ = ["PeerSync", "SharedClock"]

_METHOD = "forwarding.sync"
_PERIOD = datetime.timedelta(milliseconds=500)
"""News reach a host that asks two peers in vain well within the time for changes."""

_TIMEOUT = datetime.timedelta(milliseconds=400)
_FRESH_TIME = datetime.timedelta(seconds=2)
"""A host that no peer has answered for so long follows the store itself."""

_START_TIME = datetime.timedelta(seconds=1)
"""Until a host that has started knows its peers; it reads the store once meanwhile."""

_SOURCE_TIME = datetime.timedelta(seconds=3)
"""News of the store are older than that only when its relays have lost it."""

_STAND_IN_STEP = datetime.timedelta(milliseconds=300)
"""Between one host that follows the store for the relays and the next one."""

_NO_TIME = datetime.timedelta(0)
_log = logbook.Logger(__name__)


class _Ask(msgspec.Struct, frozen=True, array_like=True):
    """Which revision and digest the asking host has, by prefix."""

    version_by_prefix: dict[str, tuple[int, int]]


class _Tell(msgspec.Struct, frozen=True, array_like=True):
    """What the asking host lacks, true time, and who was in touch with the store.

    Attributes
    ----------
    states : tuple of peridothitch.coordination.mirror.MirrorState
    now : float
        Unix seconds.
    source : str
        Host that was in touch with the store most recently, empty if none is known.
    source_age : float
        Seconds since then.
    """

    states: tuple[mirror.MirrorState, ...]
    now: float
    source: str = ""
    source_age: float = 0.0


class SharedClock(clocks.Clock):
    """Clock with the true time that the entry hosts agree on.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._time = true_time.TrueTime(clock.now(), clock.monotonic())

    def now(self):
        """Return true time as an aware `datetime`."""
        with self._lock:
            return self._time.at(self._clock.monotonic())

    def monotonic(self):
        """Return the given clock's monotonic time."""
        return self._clock.monotonic()

    def wait(self, event, timeout):
        """Wait as the given clock does."""
        return self._clock.wait(event, timeout)

    def record_peer_time(self, witness, moment, steady):
        """Take in a peer's time; see `TrueTime.record_peer_time`."""
        with self._lock:
            self._time.record_peer_time(witness, moment, steady)


class PeerSync:
    """Exchanges mirrored content with peers.

    Parameters
    ----------
    mirrors : sequence of peridothitch.coordination.mirror.Mirror
    peers : peridothitch.ports.peers.Peers
    shared_clock : SharedClock
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, mirrors, peers, shared_clock, clock, metrics):
        self._mirror_by_prefix = {found.prefix: found for found in mirrors}
        self._peers = peers
        self._time = shared_clock
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._began = clock.monotonic()
        self._answered_at = None
        self._source = ""
        self._source_at = self._began
        self._asks_parent = False
        peers.register(_METHOD, self._answer)

    def should_follow_store(self):
        """Return whether this host should watch the store instead of asking peers.

        A few hosts watch it for the others. When all of these have lost it, more and
        more of the others do.
        """
        now = self._clock.monotonic()
        if self._answered_at is None:
            return now - self._began > _START_TIME
        if now - self._answered_at > _FRESH_TIME:
            return True
        members, own = self._peers.members(), self._peers.host_id
        if relays.is_relay(members, own):
            return True
        overdue = now - self._source_at - _SOURCE_TIME
        if overdue < _NO_TIME:
            return False
        return overdue >= relays.standby_rank(members, own) * _STAND_IN_STEP

    def _last_contact(self):
        """Return which host was in touch with the store last, and when."""
        followed = next(iter(self._mirror_by_prefix.values()))
        if followed.is_store_reachable and followed.is_watching:
            return self._peers.host_id, self._clock.monotonic()
        return self._source, self._source_at

    def _note_source(self, tell):
        at = self._clock.monotonic() - datetime.timedelta(seconds=tell.source_age)
        # What others have heard from this host says nothing new.
        if tell.source not in ("", self._peers.host_id) and at > self._source_at:
            self._source, self._source_at = tell.source, at

    def _choose(self):
        """Return the peer to ask: the next one towards a relay and others in turn."""
        members = self._peers.members()
        own = self._peers.host_id
        others = [host_id for host_id in members if host_id != own]
        if not others:
            return None
        self._asks_parent = not self._asks_parent
        parents = relays.ancestors(members, own) if self._asks_parent else []
        return parents[0] if parents else self._random.choice(others)

    def run(self, stop):
        """Ask peers until the event `stop` is set."""
        while not self._clock.wait(stop, _PERIOD * self._random.uniform(0.8, 1.2)):
            self.sync_once()

    def sync_once(self):
        """Ask one peer; returns whether anything was new."""
        host_id = self._choose()
        if host_id is None:
            return False
        ask = _Ask(
            {prefix: found.version for prefix, found in self._mirror_by_prefix.items()}
        )
        began = self._clock.monotonic()
        try:
            reply = self._peers.call(
                host_id, _METHOD, msgspec.msgpack.encode(ask), _TIMEOUT
            )
            tell = msgspec.msgpack.decode(reply, type=_Tell)
        except (errors.PeerError, msgspec.MsgspecError) as error:
            self._metrics.count("peer_sync_failures")
            _log.debug("peer {} did not answer: {}", host_id, error)
            return False
        ended = self._answered_at = self._clock.monotonic()
        moment = datetime.datetime.fromtimestamp(tell.now, datetime.UTC)
        self._time.record_peer_time(host_id, moment, began + (ended - began) / 2)
        self._note_source(tell)
        return self._merge(tell)

    def _merge(self, tell):
        news = False
        for state in tell.states:
            found = self._mirror_by_prefix.get(state.prefix)
            if found is not None and found.merge(state):
                news = True
                self._metrics.count("peer_sync_news", prefix=state.prefix)
        return news

    def _answer(self, payload):
        try:
            ask = msgspec.msgpack.decode(payload, type=_Ask)
        except msgspec.MsgspecError as error:
            raise errors.PeerError(f"malformed question: {error}", True) from None
        states = []
        for prefix, (revision, digest) in ask.version_by_prefix.items():
            found = self._mirror_by_prefix.get(prefix)
            if found is None or not found.is_loaded:
                continue
            own_revision, own_digest = found.version
            if own_revision > revision and own_digest != digest:
                states.append(found.state())
        source, at = self._last_contact()
        tell = _Tell(
            tuple(states),
            self._time.now().timestamp(),
            source,
            (self._clock.monotonic() - at).total_seconds(),
        )
        return msgspec.msgpack.encode(tell)
