"""Entry hosts tell each other what they have in progress at upstreams: the calls.

A host calls the relay of its data centre a few times a second and gets the totals back;
relays exchange their sums (see `peridothitch.policy.shared_loads`). A relay that does
not answer is left alone for a while, and the host calls the next one in the ranking. A
host that gets no reply for a while uses only its own counts.
"""

import concurrent.futures
import dataclasses
import datetime
import math
import random
import secrets
import threading

import logbook
import msgspec

from peridothitch import errors
from peridothitch.gateway.forwarding import load_messages
from peridothitch.policy import shared_loads

__all__ = ["LoadExchange"]

_STATE_METHOD = "forwarding.loads"
_SUM_METHOD = "forwarding.load_sums"
_PERIOD_SECONDS = 0.25
_MAX_PERIOD_SECONDS = 1.0
_MAX_SUM_PERIOD_SECONDS = 0.5
"""Half the time for which a sum counts, so that one may be lost."""

_BYTES_PER_SECOND = 16_000
"""Bytes of calls and replies beyond which a host calls less often."""

_SUM_BYTES_PER_SECOND = 200_000
"""The same for a relay's calls to other relays."""

_TIMEOUT = datetime.timedelta(milliseconds=200)
_FIRST_PAUSE_SECONDS = 0.5
_MAX_PAUSE_SECONDS = 8.0
_MAX_VIEW_AGE_SECONDS = 1.5
"""Age of the last reply beyond which a host uses only its own counts."""

_CACHE_SECONDS = 0.05
_PASSED_LOAD_AGE_SECONDS = 0.5
_TOLD_LOAD_AGE_SECONDS = 1.0
_SUM_CALLS = 4
"""Sums that a relay sends at the same time."""

_KEPT_STATEMENTS = 16
_NO_USE = shared_loads.UpstreamUse()
_log = logbook.Logger("forwarding")


@dataclasses.dataclass(frozen=True)
class _View:
    at: float
    use_by_upstream: dict
    seen_by_upstream: dict


class _Numbers:
    """Numbers of this process's messages; see `shared_loads.HostStatement`."""

    def __init__(self):
        self._last = secrets.randbits(31) << 32

    def next(self):
        self._last += 1
        return self._last


class _Pauses:
    """Hosts that did not answer, and until when they are not called."""

    def __init__(self):
        self._pause_by_host = {}

    def is_paused(self, host_id, now):
        return self._pause_by_host.get(host_id, (0.0, now))[1] > now

    def fail(self, host_id, now):
        former = self._pause_by_host.get(host_id, (_FIRST_PAUSE_SECONDS / 2, 0.0))[0]
        duration = min(_MAX_PAUSE_SECONDS, 2 * former)
        self._pause_by_host[host_id] = duration, now + duration

    def succeed(self, host_id):
        self._pause_by_host.pop(host_id, None)


class LoadExchange:
    """States this host's counts, and relays those of others where it is a relay.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    executor : concurrent.futures.Executor or None
        Runs the calls to other relays.
    random_source : random.Random or None

    Attributes
    ----------
    loops : tuple of callable
        Run in a thread each until the event that they get is set.
    period_seconds : float
        Time between two statements; grows with the size of the replies.
    sum_period_seconds : float
        Time between two rounds of calls to the other relays.
    """

    def __init__(self, peers, clock, metrics, executor=None, random_source=None):
        self._peers = peers
        self._read_uses = lambda: None
        self._clock = clock
        self._metrics = metrics
        self._executor = executor or concurrent.futures.ThreadPoolExecutor(
            _SUM_CALLS, thread_name_prefix="load-sums"
        )
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._book = shared_loads.LoadBook()
        self._statement_numbers = _Numbers()
        self._sum_numbers = _Numbers()
        self._pauses = _Pauses()
        self._sent_by_number = {}
        self._told_at = -math.inf
        self._relay = ""
        self._view = None
        self.period_seconds = _PERIOD_SECONDS
        self.sum_period_seconds = _PERIOD_SECONDS
        self._totals = None
        self._totals_at = -math.inf
        self._called_at_by_relay = {}
        self.loops = (self.run, self.run_sums)
        peers.register(_STATE_METHOD, self._answer_state)
        peers.register(_SUM_METHOD, self._answer_sum)

    def use_of(self, host):
        """Return the `shared_loads.UpstreamUse` of a `ports.upstream.Host`.

        It is empty when no relay has answered lately.
        """
        view = self._view
        now = self._now()
        if not self._is_fresh(view, now):
            return _NO_USE
        key = shared_loads.upstream_key(host.host_id, host.incarnation)
        in_flight, units = view.use_by_upstream.get(key, (0, 0))
        seen = view.seen_by_upstream.get(key)
        return shared_loads.UpstreamUse(
            in_flight,
            units * load_messages.TOKENS_PER_UNIT,
            seen.load if seen is not None else None,
            now - seen.seen_at if seen is not None else math.inf,
        )

    @staticmethod
    def _is_fresh(view, now):
        return view is not None and now - view.at <= _MAX_VIEW_AGE_SECONDS

    def set_source(self, read_uses):
        """Set the callable that returns what this host has in progress.

        Parameters
        ----------
        read_uses : callable
            Returns this host's uses and `shared_loads.SeenLoad`, each by upstream, or
            None while none of its services is modelled.
        """
        self._read_uses = read_uses

    def run(self, stop):
        """State this host's counts until the event `stop` is set."""
        while not self._clock.wait(stop, self._next_wait(self.period_seconds)):
            self.tell()

    def run_sums(self, stop):
        """Exchange sums with other relays until the event `stop` is set."""
        while not self._clock.wait(stop, self._next_wait(self.sum_period_seconds)):
            self.exchange_sums()

    def close(self):
        """End the threads of calls to other relays."""
        self._executor.shutdown(wait=False)

    def _next_wait(self, seconds):
        # Hosts that start at the same time should not call at the same time.
        return datetime.timedelta(seconds=seconds * self._random.uniform(0.9, 1.1))

    def tell(self):
        """State this host's counts once; two relays are tried at most."""
        own = self._read_uses()
        if own is None:
            self._view = None
            return
        use_by_upstream, seen_by_upstream = own
        now = self._now()
        fresh = {u: s for u, s in seen_by_upstream.items() if s.seen_at > self._told_at}
        self._told_at = now
        units_by_upstream = {
            upstream: (in_flight, round(tokens / load_messages.TOKENS_PER_UNIT))
            for upstream, (in_flight, tokens) in use_by_upstream.items()
        }
        message = load_messages.StateCall(
            self._peers.host_id,
            self._statement_numbers.next(),
            load_messages.from_uses(units_by_upstream),
            load_messages.from_loads(fresh, now),
        )
        self._keep_sent(message.number, units_by_upstream)
        order = shared_loads.relay_order(self._peers.members(), self._peers.host_id)
        usable = [relay for relay in order if not self._pauses.is_paused(relay, now)]
        for relay in usable[:2]:
            if self._tell_relay(relay, msgspec.msgpack.encode(message)):
                self._note_relay(relay)
                return

    def _keep_sent(self, number, units_by_upstream):
        self._sent_by_number[number] = units_by_upstream
        while len(self._sent_by_number) > _KEPT_STATEMENTS:
            del self._sent_by_number[next(iter(self._sent_by_number))]

    def _tell_relay(self, relay, payload):
        """Return whether a relay has answered."""
        if relay == self._peers.host_id:
            answer = self._answer_state(payload)
        else:
            answer = self._call(relay, _STATE_METHOD, payload)
        if answer is None:
            return False
        size = len(payload) + len(answer)
        self._metrics.count("load_exchange_bytes", size)
        self.period_seconds = min(
            _MAX_PERIOD_SECONDS, max(_PERIOD_SECONDS, size / _BYTES_PER_SECOND)
        )
        try:
            reply = msgspec.msgpack.decode(answer, type=load_messages.StateReply)
            now = self._now()
            total = load_messages.to_uses(reply.uses)
            seen_by_upstream = load_messages.to_loads(reply.loads, now, False)
        except (msgspec.MsgspecError, ValueError) as error:
            self._fail(relay, f"malformed reply: {error}")
            return False
        if not reply.is_settled and self._is_fresh(self._view, now):
            return True
        own = self._sent_by_number.get(reply.counted, {})
        others = shared_loads.subtract_uses(total, own)
        self._view = _View(now, others, seen_by_upstream)
        self._metrics.set("load_exchange_hosts", reply.host_count)
        return True

    def _note_relay(self, relay):
        if relay != self._relay:
            _log.info("load relay changed", relay=relay, former=self._relay)
            self._relay = relay

    def _call(self, host_id, method, payload):
        """Return the reply, None without one."""
        try:
            reply = self._peers.call(host_id, method, payload, _TIMEOUT)
        except errors.PeerError as error:
            self._fail(host_id, str(error))
            return None
        self._metrics.count("load_exchange_calls", method=method)
        self._pauses.succeed(host_id)
        return reply

    def _fail(self, host_id, reason):
        self._pauses.fail(host_id, self._now())
        self._metrics.count("load_exchange_failures")
        _log.debug("load exchange with {} failed: {}", host_id, reason)

    def _answer_state(self, payload):
        call = self._decode(payload, load_messages.StateCall)
        now = self._now()
        try:
            use_by_upstream = load_messages.to_uses(call.uses)
            seen_by_upstream = load_messages.to_loads(call.loads, now, True)
        except ValueError as error:
            raise self._malformed(error) from None
        key = shared_loads.host_key(call.host_id)
        with self._lock:
            self._book.state(key, call.number, use_by_upstream, now)
            for upstream, seen in seen_by_upstream.items():
                self._book.record_load(upstream, seen)
            if not 0 <= now - self._totals_at < _CACHE_SECONDS:
                self._totals = self._make_totals(now)
                self._totals_at = now
            number_by_host, uses, loads = self._totals
            is_settled = self._book.is_settled(now)
        return msgspec.msgpack.encode(
            (
                number_by_host.get(key, 0),
                len(number_by_host),
                is_settled,
                msgspec.Raw(uses),
                msgspec.Raw(loads),
            )
        )

    def _make_totals(self, now):
        """Return which hosts the totals contain, the totals and the loads, encoded."""
        totals = self._book.totals(now)
        loads = self._book.loads(now, _TOLD_LOAD_AGE_SECONDS)
        return (
            totals.number_by_host,
            msgspec.msgpack.encode(load_messages.from_uses(totals.use_by_upstream)),
            msgspec.msgpack.encode(load_messages.from_loads(loads, now)),
        )

    def exchange_sums(self):
        """Exchange sums with the other relays once, where this host is a relay."""
        now = self._now()
        with self._lock:
            if not self._book.is_relay(now):
                return
            heard = self._book.heard_relays(now)
            called_at_by_relay = dict(self._called_at_by_relay)
        members = self._peers.members()
        ranked = shared_loads.relays(members)
        targets = [
            host_id
            for host_id in members
            if host_id != self._peers.host_id
            and (host_id in ranked or shared_loads.host_key(host_id) in heard)
            and not self._pauses.is_paused(host_id, now)
            # Its call has brought its sum and taken this host's one.
            and now - called_at_by_relay.get(host_id, -math.inf)
            > 0.8 * self.sum_period_seconds
        ]
        payload = self._make_sum(now)
        sizes = self._executor.map(
            lambda host_id: self._exchange_sum(host_id, payload), targets
        )
        seconds = sum(sizes) / _SUM_BYTES_PER_SECOND
        self.sum_period_seconds = min(
            _MAX_SUM_PERIOD_SECONDS, max(_PERIOD_SECONDS, seconds)
        )

    def _exchange_sum(self, host_id, payload):
        """Return the number of bytes that were exchanged."""
        reply = self._call(host_id, _SUM_METHOD, payload)
        if reply is None:
            return 0
        size = len(payload) + len(reply)
        self._metrics.count("load_exchange_bytes", size)
        try:
            self._merge(self._decode(reply, load_messages.SumMessage))
        except errors.PeerError as error:
            self._fail(host_id, str(error))
        return size

    def _answer_sum(self, payload):
        message = self._decode(payload, load_messages.SumMessage)
        self._merge(message)
        now = self._now()
        with self._lock:
            self._called_at_by_relay[message.host_id] = now
            members = self._peers.members()
            for host_id in self._called_at_by_relay.keys() - members.keys():
                del self._called_at_by_relay[host_id]
        return self._make_sum(now)

    def _make_sum(self, now):
        with self._lock:
            known = self._book.sum(self._sum_numbers.next(), now)
            loads = self._book.loads(now, _PASSED_LOAD_AGE_SECONDS, only_direct=True)
        return msgspec.msgpack.encode(
            load_messages.from_sum(
                self._peers.host_id, known, load_messages.from_loads(loads, now)
            )
        )

    def _merge(self, message):
        now = self._now()
        try:
            known = load_messages.to_sum(message, now)
            seen_by_upstream = load_messages.to_loads(message.loads, now, False)
        except ValueError as error:
            raise self._malformed(error) from None
        with self._lock:
            self._book.merge(shared_loads.host_key(message.host_id), known)
            for upstream, seen in seen_by_upstream.items():
                self._book.record_load(upstream, seen)

    def _decode(self, payload, kind):
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except msgspec.MsgspecError as error:
            raise self._malformed(error) from None

    def _malformed(self, error):
        self._metrics.count("load_exchange_malformed")
        return errors.PeerError(f"malformed loads: {error}", True)

    def _now(self):
        return self._clock.monotonic().total_seconds()
