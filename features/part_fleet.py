"""Entry hosts and upstreams without a network, and prompts that crash upstreams."""

import dataclasses
import datetime
import heapq
import itertools
import random

import msgspec

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import part_guard, part_records
from peridothitch.ports import clock, facts, upstream

CONTACT_SECONDS = 4.0
_TICK_SECONDS = 0.25
_RECOVERY_SECONDS = 3.0
_MAX_GOSSIP_SECONDS = 1.2
_START = datetime.datetime(2026, 1, 30, tzinfo=datetime.UTC)
_SERVICE = "model"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What happens to the fleet; times are seconds, rates a second.

    `bad_share` is the share of the requests that have a bad part, each of them one of
    `bad_parts`; `power_loss_at` is when all entry hosts start anew, `restore_at` when
    the store comes back from a copy without a record.
    """

    bad_parts: tuple = ("bad-1",)
    bad_share: float = 0.05
    rate: float = 24.0
    crash_interval: float | None = None
    crash_count: int = 1
    kill_interval: float | None = None
    cuts: bool = False
    power_loss_at: float | None = None
    restore_at: float | None = None
    has_random_parts: bool = False
    duration: float = 40.0


class VirtualClock(clock.Clock):
    """Clock that the test sets."""

    def __init__(self):
        self.seconds = 0.0

    def now(self):
        return _START + self.monotonic()

    def monotonic(self):
        return datetime.timedelta(seconds=self.seconds)

    def wait(self, event, timeout):
        raise NotImplementedError


class _Facts(facts.FactRegistry):
    """Facts of one host; those of others arrive after a delay."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.fact_by_id = {}
        self._callbacks = {}

    def publish(self, fact):
        if not self.add(fact):
            return False
        self._fleet.spread(self, fact)
        return True

    def add(self, fact):
        known = self.fact_by_id.get((fact.kind, fact.key))
        if known is not None and known.sequence >= fact.sequence:
            return False
        self.fact_by_id[fact.kind, fact.key] = fact
        self._callbacks[fact.kind](fact)
        return True

    def facts(self, kind):
        raise NotImplementedError

    def subscribe(self, kind, callback):
        self._callbacks[kind] = callback


class _Records:
    """The store's record, as one host reads and writes it."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._version = 0
        self._record = part_records.PartRecord()
        self.refresh()

    def refresh(self):
        self._version, self._record = self._fleet.stored

    def read(self):
        return self._record

    def write(self, record):
        if self._fleet.is_cut(self):
            raise errors.StoreUnavailableError("cut off")
        if self._fleet.stored[0] != self._version:
            return False
        self._fleet.stored = (self._version + 1, record)
        self._fleet.write_count += 1
        return True


class _Host:
    def __init__(self, fleet, number):
        self.number = number
        self.in_touch_from = fleet.clock.seconds + CONTACT_SECONDS
        self.facts = _Facts(fleet)
        self.cut_until = 0.0
        fleet.host_by_part[self.facts] = self
        self.records = _Records(fleet)
        fleet.host_by_part[self.records] = self
        self.guard = part_guard.PartGuard(
            f"edge-{number}",
            self.facts,
            self.records,
            fleet.is_down,
            fleet.clock,
            metrics.Metrics(),
        )
        self.guard.restore()


@dataclasses.dataclass
class _Upstream:
    host: upstream.Host
    up_from: float = 0.0
    running: dict = dataclasses.field(default_factory=dict)


class PartFleet:
    """Plays a `Load` with a seed against the guards of all hosts.

    Attributes
    ----------
    late_sends_by_part : dict of str to int
        Sends by hosts in touch later than the contact time after the fifth crash.
    sound_count, refused_count : int
        Sound requests, and those that were refused.
    write_count : int
        Writes to the store.
    """

    def __init__(self, load, seed, host_count=7, upstream_count=9):
        self.clock = VirtualClock()
        self.host_by_part = {}
        self.stored = (0, part_records.PartRecord())
        self.write_count = self.sound_count = self.refused_count = 0
        self.crash_times_by_part = {part: [] for part in load.bad_parts}
        self.late_sends_by_part = dict.fromkeys(load.bad_parts, 0)
        self._load = load
        self._random = random.Random(seed)
        self._number = itertools.count()
        self._events = []
        self._hosts = [_Host(self, number) for number in range(host_count)]
        self._upstreams = [
            _Upstream(self._new_incarnation(number)) for number in range(upstream_count)
        ]

    def _new_incarnation(self, number):
        return upstream.Host(
            host_id=f"i-{number}",
            address="",
            service=_SERVICE,
            version="v1",
            data_centre="fife-a",
            price_per_hour=1.0,
            state=upstream.HostState.LIVE,
            incarnation=next(self._number),
        )

    def guard(self):
        """Return the guard of the first host."""
        return self._hosts[0].guard

    def reported_parts(self):
        """Return the parts in the crash reports that the first host has published."""
        return [
            sorted(msgspec.msgpack.decode(fact.value)[2])
            for fact in self._hosts[0].facts.fact_by_id.values()
            if fact.kind == part_guard.CRASH_KIND
        ]

    def upstream_host(self, number):
        """Return an upstream as it is now."""
        return self._upstreams[number].host

    def crash(self, number):
        """Crash an upstream; returns the host that crashed."""
        crashed = self._upstreams[number].host
        self._crash(self._upstreams[number])
        return crashed

    def _at(self, delay, action, *arguments):
        due = self.clock.seconds + delay
        heapq.heappush(self._events, (due, next(self._number), action, arguments))

    def is_cut(self, part):
        """Return whether the host of a registry or of records is cut off."""
        return self.host_by_part[part].cut_until > self.clock.seconds

    def is_down(self, host):
        """Return whether an upstream refuses connections."""
        found = self._upstreams[int(host.host_id.removeprefix("i-"))]
        return found.host != host or found.up_from > self.clock.seconds

    def spread(self, source, fact):
        """Deliver a fact of one host to the others."""
        for host in self._hosts:
            if host.facts is not source:
                delay = self._random.uniform(0.1, _MAX_GOSSIP_SECONDS)
                self._at(delay, self._deliver, source, host, fact)

    def _deliver(self, source, host, fact):
        if self.is_cut(source) or self.is_cut(host.facts):
            self._at(1.0, self._deliver, source, host, fact)
            return
        host.facts.add(fact)

    def play(self):
        """Play the whole load."""
        load = self._load
        self._at(0.0, self._arrive)
        self._at(0.0, self._tick)
        for interval, action in (
            (load.crash_interval, self._crash_others),
            (load.kill_interval, self._kill_host),
            (5.0 if load.cuts else None, self._cut_host),
        ):
            if interval is not None:
                self._at(interval, self._repeat, interval, action)
        if load.power_loss_at is not None:
            self._at(load.power_loss_at, self._lose_power)
        if load.restore_at is not None:
            self._at(load.restore_at, self._restore_store)
        while self._events and self._events[0][0] <= load.duration:
            self.clock.seconds, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _repeat(self, interval, action):
        action()
        self._at(interval, self._repeat, interval, action)

    def _tick(self):
        for host in self._hosts:
            if not self.is_cut(host.records):
                host.records.refresh()
                host.guard.restore()
            host.guard.report_crashes()
            try:
                host.guard.save()
            except errors.StoreError:
                continue
        self._at(_TICK_SECONDS, self._tick)

    def _arrive(self):
        self._at(self._random.expovariate(self._load.rate), self._arrive)
        bad = self._random.random() < self._load.bad_share
        parts = ["system", f"page-{int(self._random.paretovariate(0.7))}"]
        if bad:
            part = self._random.choice(self._load.bad_parts)
            parts[1:] = [part, f"with-{part}"]
        elif self._load.has_random_parts:
            parts.append(f"random-{next(self._number)}")
        self._send(self._random.choice(self._hosts), tuple(parts), 2)

    def _send(self, host, parts, attempts):
        bad = [part for part in parts if part in self.crash_times_by_part]
        self.sound_count += not bad
        try:
            host.guard.check(_SERVICE, parts)
        except errors.RequestError:
            self.refused_count += not bad
            return
        live = [u for u in self._upstreams if u.up_from <= self.clock.seconds]
        if not live or not attempts:
            return
        for part in bad:
            self._count_send(host, part)
        chosen = self._random.choice(live)
        request = next(self._number)
        sent_at = self.clock.monotonic()
        chosen.running[request] = (host, parts, attempts - 1, sent_at)
        delay = self._random.uniform(0.1, 0.6)
        self._at(delay, self._begin, chosen, request, bad)

    def _count_send(self, host, part):
        crashes = self.crash_times_by_part[part]
        in_touch = self.clock.seconds >= max(host.in_touch_from, host.cut_until)
        if len(crashes) >= 5 and in_touch:
            late = self.clock.seconds > crashes[4] + CONTACT_SECONDS
            self.late_sends_by_part[part] += late

    def _begin(self, chosen, request, bad):
        if request not in chosen.running:
            return
        if bad:
            self.crash_times_by_part[bad[0]].append(self.clock.seconds)
            self._crash(chosen)
            return
        host, parts, _, _ = chosen.running.pop(request)
        host.guard.record_answer(_SERVICE, parts)

    def _crash(self, chosen):
        broken, chosen.running = chosen.running, {}
        crashed = chosen.host
        chosen.host = self._new_incarnation(crashed.host_id.removeprefix("i-"))
        chosen.up_from = self.clock.seconds + _RECOVERY_SECONDS
        for host, parts, attempts, sent_at in broken.values():
            if host not in self._hosts:
                continue
            is_noticed = self._random.random() < 0.8
            host.guard.record_break(crashed, parts, sent_at, is_noticed)
            self._at(0.01, self._send, host, parts, attempts)

    def _crash_others(self):
        live = [u for u in self._upstreams if u.up_from <= self.clock.seconds]
        for chosen in self._random.sample(live, min(len(live), self._load.crash_count)):
            self._crash(chosen)

    def _kill_host(self):
        self._start_anew(self._random.randrange(len(self._hosts)))

    def _start_anew(self, number):
        self._hosts[number] = fresh = _Host(self, number)
        for host in self._hosts:
            for fact in tuple(host.facts.fact_by_id.values()):
                delay = self._random.uniform(0.3, 2.0)
                self._at(delay, self._deliver, host.facts, fresh, fact)

    def _cut_host(self):
        host = self._random.choice(self._hosts)
        host.cut_until = self.clock.seconds + self._random.uniform(1.0, 6.0)
        host.in_touch_from = host.cut_until + CONTACT_SECONDS

    def _restore_store(self):
        self.stored = (self.stored[0] + 1, part_records.PartRecord())

    def _lose_power(self):
        for chosen in self._upstreams:
            chosen.running = {}
        self._hosts.clear()
        for number in range(7):
            self._hosts.append(_Host(self, number))
