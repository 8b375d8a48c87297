"""Membership of the fleet by probes, suspicion and refutation (after SWIM).

Every record of a member is a fact whose sequence is ``4 * incarnation + state``. So
suspicion overrides liveness, death overrides suspicion, and a host that receives a
suspicion of itself refutes it with a higher incarnation. Membership is a hint: it
decides which hosts to call, and never whether an action is allowed.
"""

import math
import threading

import logbook
import msgspec

from peridothitch import errors
from peridothitch.coordination import addresses, relays
from peridothitch.coordination import gossip as gossips
from peridothitch.coordination import member_records as records
from peridothitch.ports import peer_transport, peers

__all__ = ["Membership"]

_EXCHANGE = peer_transport.GOSSIP_PREFIX + "exchange"
_PROBE = peer_transport.GOSSIP_PREFIX + "probe"
_SYNC = peer_transport.GOSSIP_PREFIX + "sync"
_MAX_JOIN_SYNCS = 64
_log = logbook.Logger("peridothitch.membership")


class Membership(peers.Peers):
    """Members of the fleet as this host believes them to be.

    Parameters
    ----------
    peer : peridothitch.ports.peers.Peer
        This host.
    transport : peridothitch.ports.peer_transport.PeerTransport
    gossip : peridothitch.coordination.gossip.Gossip
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random
    executor : concurrent.futures.Executor
        Runs the few probes and pushes that are sent at the same time.
    settings : records.MembershipSettings
    seeds : collection of str
        Addresses to join through.
    """

    def __init__(
        self,
        peer,
        transport,
        gossip,
        clock,
        metrics,
        *,
        random_source,
        executor,
        settings=None,
        seeds=(),
    ):
        self.host_id = peer.host_id
        self._peer = peer
        self._transport = transport
        self._gossip = gossip
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._executor = executor
        self._settings = settings or records.MembershipSettings()
        self._lock = threading.RLock()
        self._peer_by_id = {peer.host_id: peer}
        self._deadline_by_suspect = {}
        self._addresses = addresses.AddressBook(seeds)
        self._incarnation = int(clock.now().timestamp())
        self._leaving = False
        self._ticks = 0
        now = clock.monotonic()
        self._started_at = self._last_tick = self._next_rejoin = self._next_sync = now
        self._next_refresh = now + self._settings.refresh_period
        self._differing_address = None
        gossip.subscribe(records.MEMBER_KIND, self._on_member_record)
        transport.register(_EXCHANGE, self._handle_exchange)
        transport.register(_PROBE, self._handle_probe)
        transport.register(_SYNC, gossip.answer_sync)
        self._publish_self(records.State.ALIVE)

    def members(self):
        """Return the hosts believed live by id."""
        with self._lock:
            return dict(self._peer_by_id)

    def register(self, method, handler):
        """Register the handler of calls of `method`."""
        self._transport.register(method, handler)

    def call(self, host_id, method, payload, timeout):
        """Call another host."""
        with self._lock:
            peer = self._peer_by_id.get(host_id)
        if peer is None:
            raise errors.PeerError(f"{host_id} is not a member", sent=False)
        return self._transport.call(peer.address, method, payload, timeout)

    def set_addresses(self, source, found):
        """Replace the addresses of hosts that a source lists.

        Parameters
        ----------
        source : str
            Such as the store or the platform's host list.
        found : iterable of str
        """
        self._addresses.set_addresses(source, found)

    def is_relay(self):
        """Return whether this host watches the store for its data centre."""
        return relays.is_relay(self.members(), self.host_id)

    def is_alone(self):
        """Return whether no other member is known."""
        return len(self._peer_by_id) == 1

    def leave(self):
        """Announce to the others that this host leaves."""
        with self._lock:
            self._leaving = True
        self._publish_self(records.State.LEFT)
        self.push()

    def run(self, stop):
        """Probe until the event `stop` is set."""
        while not self._clock.wait(stop, self._settings.probe_period(self.is_joining)):
            try:
                self.tick()
            except Exception:
                self._metrics.count("membership_failures")
                _log.exception("membership tick failed")

    @property
    def is_joining(self):
        """Whether this host has started so recently that it still probes faster."""
        return self._clock.monotonic() - self._started_at < self._settings.join_duration

    def tick(self):
        """Run one protocol period."""
        now = self._clock.monotonic()
        self._extend_suspicions_after_pause(now)
        self._gossip.expire()
        self._declare_suspects_dead(now)
        if now >= self._next_refresh:
            self._refresh(now)
        if self.is_alone() or now >= self._next_rejoin:
            self._rejoin(now)
        target = self._next_target()
        if target is not None:
            self._probe_member(target)
        if self._differing_address is not None:
            self._sync_if_due(now)
        self._last_tick = now

    def push(self):
        """Send the pending facts to a few members without delay."""
        others = self._live_others()
        chosen = self._random.sample(others, min(self._settings.fanout, len(others)))
        futures = [self._executor.submit(self._exchange, peer) for peer in chosen]
        if self._leaving:
            for future in futures:
                future.result()

    def _extend_suspicions_after_pause(self, now):
        if now - self._last_tick <= 4 * self._settings.period:
            return
        with self._lock:
            for host_id in self._deadline_by_suspect:
                self._deadline_by_suspect[host_id] = now + self._suspicion_time()

    def _suspicion_time(self):
        growth = max(1.0, math.log2(len(self._peer_by_id) + 1) / 3)
        return self._settings.suspicion_timeout * growth

    def _declare_suspects_dead(self, now):
        with self._lock:
            due = [
                host_id
                for host_id, deadline in self._deadline_by_suspect.items()
                if deadline <= now
            ]
        for host_id in due:
            self._declare(host_id, records.State.DEAD)

    def _refresh(self, now):
        with self._lock:
            self._next_refresh = now + self._settings.refresh_period
            self._incarnation += 1
            recorded = self._gossip.facts(records.MEMBER_KIND)
            for host_id in set(self._peer_by_id) - set(recorded) - {self.host_id}:
                del self._peer_by_id[host_id]
        self._addresses.retain_departed(recorded)
        self._publish_self(records.State.ALIVE)

    def _rejoin(self, now):
        jitter = self._random.uniform(0.5, 1.5)
        self._next_rejoin = now + self._settings.rejoin_period * jitter
        with self._lock:
            live = {peer.address for peer in self._peer_by_id.values()}
        candidates = self._addresses.candidates(live)
        if not candidates:
            return
        address = self._random.choice(candidates)
        was_alone = self.is_alone()
        if self._exchange_with(address) and was_alone:
            for _ in range(_MAX_JOIN_SYNCS):
                if self._sync_with(address):
                    break

    def _next_target(self):
        self._ticks += 1
        others = self._live_others()
        if not others:
            with self._lock:
                others = [
                    self._peer_by_id[host_id] for host_id in self._deadline_by_suspect
                ]
        if not others:
            return None
        if self._ticks % 2:
            return self._random.choice(others)
        own = relays.position(self.host_id)
        return min(
            others, key=lambda peer: (relays.position(peer.host_id) - own) % (1 << 64)
        )

    def _live_others(self):
        with self._lock:
            return [
                peer
                for host_id, peer in self._peer_by_id.items()
                if host_id != self.host_id and host_id not in self._deadline_by_suspect
            ]

    def _probe_member(self, peer):
        if self._exchange(peer):
            return
        others = [
            other for other in self._live_others() if other.host_id != peer.host_id
        ]
        helpers = self._random.sample(
            others, min(self._settings.helper_count, len(others))
        )
        futures = [self._executor.submit(self._exchange, peer, True)]
        futures += [
            self._executor.submit(self._probe_through, helper, peer)
            for helper in helpers
        ]
        if not any([future.result() for future in futures]):
            self._declare(peer.host_id, records.State.SUSPECT)

    def _exchange(self, peer, fresh=False):
        return self._exchange_with(peer.address, peer.host_id, fresh)

    def _exchange_with(self, address, host_id=None, fresh=False):
        first = [self._gossip.to_wire(records.MEMBER_KIND, self.host_id)]
        about = self._gossip.to_wire(records.MEMBER_KIND, host_id) if host_id else None
        if about is not None and not records.is_alive(about):
            first.append(about)
        size = len(self._peer_by_id)
        payload = self._gossip.make_exchange(size, first, self.host_id)
        try:
            reply = self._transport.call(
                address, _EXCHANGE, payload, self._settings.probe_timeout, fresh
            )
            is_equal, _ = self._gossip.merge_exchange(reply)
        except errors.PeerError:
            self._metrics.count("probe_failures")
            return False
        self._differing_address = None if is_equal else address
        return True

    def _handle_exchange(self, payload):
        _, sender = self._gossip.merge_exchange(payload)
        first = []
        about = self._gossip.to_wire(records.MEMBER_KIND, sender)
        if about is not None and not records.is_alive(about):
            first.append(about)
        return self._gossip.make_exchange(len(self._peer_by_id), first)

    def _probe_through(self, helper, peer):
        payload = peer.host_id.encode()
        timeout = 2 * self._settings.probe_timeout
        try:
            self._transport.call(helper.address, _PROBE, payload, timeout)
        except errors.PeerError:
            return False
        return True

    def _handle_probe(self, payload):
        with self._lock:
            peer = self._peer_by_id.get(payload.decode(errors="replace"))
        if peer is None or not self._exchange(peer):
            raise errors.PeerError("no answer", sent=True)
        return b""

    def _sync_if_due(self, now):
        if self.is_joining:
            for _ in range(self._settings.join_syncs):
                if self._sync_with(self._differing_address):
                    return
        elif now >= self._next_sync:
            self._sync(now)

    def _sync(self, now):
        jitter = self._random.uniform(0.5, 1.5)
        self._next_sync = now + self._settings.sync_period * jitter
        self._sync_with(self._differing_address)

    def _sync_with(self, address):
        timeout = self._settings.probe_timeout
        try:
            request = self._gossip.make_sync(self._random.randrange(1 << 16))
            reply = self._transport.call(address, _SYNC, request, timeout)
            missing = self._gossip.merge_sync(reply)
            if missing is not None:
                self._transport.call(address, _EXCHANGE, missing, timeout)
        except errors.PeerError:
            return True
        self._metrics.count("syncs")
        return missing is None and reply == gossips.EMPTY_SYNC_REPLY

    def _declare(self, host_id, state):
        record = self._gossip.get(records.MEMBER_KIND, host_id)
        if record is None:
            return
        incarnation, current = records.split_sequence(record.sequence)
        if current >= state:
            return
        self._gossip.publish(
            records.make_fact(host_id, incarnation, state, record.value)
        )

    def _publish_self(self, state):
        self._gossip.publish(
            records.make_fact(self.host_id, self._incarnation, state, self._record())
        )

    def _record(self):
        return msgspec.msgpack.encode(records.MemberRecord.of(self._peer))

    def _on_member_record(self, fact):
        incarnation, state = records.split_sequence(fact.sequence)
        if fact.key == self.host_id:
            self._refute(incarnation, state, fact.value)
            return
        try:
            record = gossips.decode(fact.value, records.MemberRecord)
        except errors.PeerError:
            self._metrics.count("malformed_member_records")
            return
        with self._lock:
            # A later record may have arrived meanwhile; the table contains the newest.
            if self._gossip.get(records.MEMBER_KIND, fact.key) != fact:
                return
            was_known = fact.key in self._peer_by_id
            if state in (records.State.ALIVE, records.State.SUSPECT):
                self._peer_by_id[fact.key] = record.to_peer(fact.key)
                self._addresses.remove_departed(fact.key)
            else:
                self._peer_by_id.pop(fact.key, None)
                self._addresses.add_departed(fact.key, record.address)
            if state is records.State.SUSPECT:
                deadline = self._clock.monotonic() + self._suspicion_time()
                self._deadline_by_suspect.setdefault(fact.key, deadline)
            else:
                self._deadline_by_suspect.pop(fact.key, None)
            is_known = fact.key in self._peer_by_id
            count = len(self._peer_by_id)
        if state is not records.State.ALIVE:
            # Pushed so that all others start to wait for a refutation at the same time.
            self._gossip.urgent.set()
        self._metrics.set("members", count)
        if was_known != is_known:
            _log.info("member {} is {}", fact.key, state.name.lower())

    def _refute(self, incarnation, state, value):
        with self._lock:
            if self._leaving or incarnation < self._incarnation:
                return
            # An earlier process with this id may have started in the same second.
            is_own = state is records.State.ALIVE and value == self._record()
            if incarnation == self._incarnation and is_own:
                return
            self._incarnation = incarnation + 1
        self._metrics.count("refutations")
        self._publish_self(records.State.ALIVE)
