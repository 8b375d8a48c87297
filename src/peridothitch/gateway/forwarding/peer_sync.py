"""Synchronizes the mirrors of the store and the clocks between entry hosts.

Hosts that are refused by the store receive its content from their peers. Every host
periodically sends a peer the revisions of its mirrored prefixes, and receives the
content of those for which the peer has a newer one, in parts. The replies also contain
the peer's estimate of true time.
"""

import datetime
import random
import threading

import logbook
import msgspec

from peridothitch import errors
from peridothitch.coordination import mirror, mirror_parts, relays
from peridothitch.policy import true_time
from peridothitch.ports import clock as clocks
from peridothitch.ports import store

__all__ = ["PeerSync", "SharedClock"]

_METHOD = "forwarding.sync"
_PERIOD = datetime.timedelta(milliseconds=500)
"""Changes arrive in the time allowed for them even after two calls have failed."""

_TIMEOUT = datetime.timedelta(milliseconds=400)
_MAX_ANSWER_AGE = datetime.timedelta(seconds=2)
"""A host that no peer has answered for this time follows the store itself."""

_START_TIME = datetime.timedelta(seconds=1)
"""Time for a new host to find its peers; it reads the store once meanwhile."""

_MAX_CONTACT_AGE = datetime.timedelta(seconds=3)
"""The last contact with the store is older only if its relays have lost it."""

_STANDBY_DELAY = datetime.timedelta(milliseconds=300)
"""Between one host that starts to follow the store for the relays and the next."""

_MAX_AGE = datetime.timedelta(days=365)
_ZERO = datetime.timedelta(0)
_log = logbook.Logger(__name__)


class _SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """The requesting host's revisions and digests, and its downloads, by prefix.

    Hosts of versions that do not download parts send no `progress_by_prefix`.
    """

    version_by_prefix: dict[str, tuple[int, int]]
    progress_by_prefix: dict[str, mirror_parts.Progress] | None = None


class _SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """Newer content, true time, and the host that last had contact with the store.

    Attributes
    ----------
    states : tuple of peridothitch.coordination.mirror.MirrorState
        Whole contents, for hosts that do not download parts.
    now : float
        Unix seconds.
    source : str
        Host that had contact with the store most recently, empty if unknown.
    source_age : float
        Seconds since that contact.
    parts : tuple of peridothitch.coordination.mirror_parts.MirrorPart
    change_age_by_prefix : dict of str to float
        Seconds since the oldest of the changes that the requesting host lacks.
    outage_age, outage_seconds : float
        Seconds since the end of the store's last outage, and its length; 0 if there
        was none.
    """

    states: tuple[mirror.MirrorState, ...]
    now: float
    source: str = ""
    source_age: float = 0.0
    parts: tuple[mirror_parts.MirrorPart, ...] = ()
    change_age_by_prefix: dict[str, float] = {}
    outage_age: float = 0.0
    outage_seconds: float = 0.0


class SharedClock(clocks.Clock):
    """Clock that returns the true time that the entry hosts agree on.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._true_time = true_time.TrueTime(clock.now(), clock.monotonic())

    def now(self):
        """Return true time as an aware `datetime`."""
        with self._lock:
            return self._true_time.at(self._clock.monotonic())

    def monotonic(self):
        """Return the monotonic time of the underlying clock."""
        return self._clock.monotonic()

    def wait(self, event, timeout):
        """Wait with the underlying clock."""
        return self._clock.wait(event, timeout)

    def record_peer_time(self, witness, moment, steady):
        """Record a peer's time as `peridothitch.policy.true_time.TrueTime` does."""
        with self._lock:
            self._true_time.record_peer_time(witness, moment, steady)


class PeerSync:
    """Exchanges mirrored content with peers.

    Parameters
    ----------
    mirrors : sequence of peridothitch.coordination.mirror.Mirror
    peers : peridothitch.ports.peers.Peers
    shared_clock : SharedClock
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None
    """

    def __init__(
        self, mirrors, peers, shared_clock, clock, metrics, random_source=None
    ):
        self._mirror_by_prefix = {
            own_mirror.prefix: own_mirror for own_mirror in mirrors
        }
        self._download_by_prefix = {
            prefix: mirror_parts.Download() for prefix in self._mirror_by_prefix
        }
        self._source_by_prefix = {
            own_mirror.prefix: mirror_parts.PartSource(own_mirror)
            for own_mirror in mirrors
        }
        self._peers = peers
        self._shared_clock = shared_clock
        self._clock = clock
        self._metrics = metrics
        self._random = random_source or random.Random()
        self._started_at = clock.monotonic()
        self._answered_at = None
        self._source = ""
        self._source_at = self._started_at
        self._asks_parent = False
        peers.register(_METHOD, self._answer)

    def should_follow_store(self):
        """Return whether this host should watch the store instead of asking peers.

        A few relays watch it for the others. When all relays have lost it, a growing
        number of the other hosts watches it.
        """
        now = self._clock.monotonic()
        if self._answered_at is None:
            return now - self._started_at > _START_TIME
        if now - self._answered_at > _MAX_ANSWER_AGE:
            return True
        members, own = self._peers.members(), self._peers.host_id
        if relays.is_relay(members, own):
            return True
        overdue = now - self._source_at - _MAX_CONTACT_AGE
        if overdue < _ZERO:
            return False
        return overdue >= relays.standby_rank(members, own) * _STANDBY_DELAY

    def _last_contact(self):
        """Return which host had contact with the store last, and when."""
        first_mirror = next(iter(self._mirror_by_prefix.values()))
        if first_mirror.contact.is_reachable and first_mirror.is_watching:
            return self._peers.host_id, self._clock.monotonic()
        return self._source, self._source_at

    def _record_source(self, sync_reply, began):
        at = began - datetime.timedelta(seconds=sync_reply.source_age)
        # A contact of this host that peers report back is not a new one.
        if sync_reply.source not in ("", self._peers.host_id) and at > self._source_at:
            self._source, self._source_at = sync_reply.source, at
            for own_mirror in self._mirror_by_prefix.values():
                own_mirror.contact.record_peer_contact(at)

    def _record_outage(self, sync_reply, began):
        if not sync_reply.outage_seconds:
            return
        ended_at = began - datetime.timedelta(seconds=sync_reply.outage_age)
        length = datetime.timedelta(seconds=sync_reply.outage_seconds)
        for own_mirror in self._mirror_by_prefix.values():
            own_mirror.contact.record_outage(ended_at, length)

    def _last_outage(self):
        """Return the end and the length of the store's last outage, None if none."""
        outages = [
            own_mirror.contact.last_outage
            for own_mirror in self._mirror_by_prefix.values()
            if own_mirror.contact.last_outage is not None
        ]
        return max(outages, default=None)

    def _choose_peer(self):
        """Return the peer to ask: alternately one towards a relay and a random one."""
        members = self._peers.members()
        own = self._peers.host_id
        others = [host_id for host_id in members if host_id != own]
        if not others:
            return None
        self._asks_parent = not self._asks_parent
        parents = relays.ancestors(members, own) if self._asks_parent else []
        return parents[0] if parents else self._random.choice(others)

    def run(self, stop):
        """Ask peers periodically until the event `stop` is set."""
        while not self._clock.wait(stop, _PERIOD * self._random.uniform(0.8, 1.2)):
            self.sync_once()

    def sync_once(self):
        """Request changes from one peer; returns whether there were any."""
        host_id = self._choose_peer()
        if host_id is None:
            return False
        has_changes = False
        began = self._clock.monotonic()
        while (sync_reply := self._call(host_id)) is not None:
            try:
                states = [self._add_part(part) for part in sync_reply.parts]
            except ValueError as error:
                self._record_failure(host_id, error)
                break
            complete = (state for state in states if state is not None)
            for state in (*sync_reply.states, *complete):
                has_changes |= self._merge(state, sync_reply, began)
            if None not in states:
                break
        return has_changes

    def _call(self, host_id):
        """Send a peer what this host has; returns the reply, None if there is none."""
        request = _SyncRequest(
            {
                prefix: own_mirror.version
                for prefix, own_mirror in self._mirror_by_prefix.items()
            },
            {
                prefix: download.progress
                for prefix, download in self._download_by_prefix.items()
            },
        )
        began = self._clock.monotonic()
        try:
            reply = self._peers.call(
                host_id, _METHOD, msgspec.msgpack.encode(request), _TIMEOUT
            )
            sync_reply = msgspec.msgpack.decode(reply, type=_SyncReply)
            _check_ages(sync_reply)
            moment = datetime.datetime.fromtimestamp(sync_reply.now, datetime.UTC)
        except (
            errors.PeerError,
            msgspec.MsgspecError,
            ValueError,
            OverflowError,
            OSError,
        ) as error:
            self._record_failure(host_id, error)
            return None
        ended = self._answered_at = self._clock.monotonic()
        self._shared_clock.record_peer_time(
            host_id, moment, began + (ended - began) / 2
        )
        self._record_source(sync_reply, began)
        self._record_outage(sync_reply, began)
        for received in (*sync_reply.states, *sync_reply.parts):
            _log.info(
                "keys received",
                peer=host_id,
                prefix=received.prefix,
                revision=store.to_text(received.revision),
                bytes=len(reply),
                ms=_to_milliseconds(ended - began),
            )
        return sync_reply

    def _record_failure(self, host_id, error):
        self._metrics.count("peer_sync_failures")
        _log.info("peer sync failed", peer=host_id, reason=str(error))

    def _add_part(self, part):
        """Add a part to its download; returns the state if it was the last part."""
        download = self._download_by_prefix.get(part.prefix)
        if download is None:
            raise ValueError(f"keys below {part.prefix!r} were not requested")
        return download.add(part)

    def _merge(self, state, sync_reply, began):
        own_mirror = self._mirror_by_prefix.get(state.prefix)
        if own_mirror is None:
            return False
        age = sync_reply.change_age_by_prefix.get(state.prefix, 0.0)
        if not own_mirror.merge(state, began - datetime.timedelta(seconds=age)):
            return False
        self._metrics.count("peer_sync_news", prefix=state.prefix)
        return True

    def _answer(self, payload):
        try:
            request = msgspec.msgpack.decode(payload, type=_SyncRequest)
        except msgspec.MsgspecError as error:
            raise errors.PeerError(f"malformed question: {error}", True) from None
        now = self._clock.monotonic()
        states, parts, change_age_by_prefix = [], [], {}
        for prefix, (revision, digest) in request.version_by_prefix.items():
            own_mirror = self._mirror_by_prefix.get(prefix)
            if own_mirror is None or not own_mirror.is_loaded:
                continue
            own_revision, own_digest = own_mirror.version
            if own_digest == digest:
                continue
            # A host that has read more may have the older content of a copy.
            if own_revision <= revision and not own_mirror.has_retained_items:
                continue
            changed_at = own_mirror.first_change_after(revision)
            if changed_at is not None:
                change_age_by_prefix[prefix] = _seconds_since(changed_at, now)
            if request.progress_by_prefix is None:
                states.append(own_mirror.state())
                continue
            progress = request.progress_by_prefix.get(prefix, mirror_parts.Progress())
            parts.append(self._source_by_prefix[prefix].next_part(revision, progress))
        source, at = self._last_contact()
        outage_ended_at, outage = self._last_outage() or (now, _ZERO)
        sync_reply = _SyncReply(
            tuple(states),
            self._shared_clock.now().timestamp(),
            source,
            _seconds_since(at, now),
            tuple(parts),
            change_age_by_prefix,
            _seconds_since(outage_ended_at, now),
            outage.total_seconds(),
        )
        return msgspec.msgpack.encode(sync_reply)


def _check_ages(sync_reply):
    """Raise a `ValueError` if an age in a reply can't be one."""
    ages = (
        sync_reply.source_age,
        sync_reply.outage_age,
        sync_reply.outage_seconds,
        *sync_reply.change_age_by_prefix.values(),
    )
    for age in ages:
        if not 0.0 <= age <= _MAX_AGE.total_seconds():
            raise ValueError(f"age of {age} s is out of range")


def _seconds_since(moment, now):
    return min(max(_ZERO, now - moment), _MAX_AGE).total_seconds()


def _to_milliseconds(duration):
    return int(duration / datetime.timedelta(milliseconds=1))
