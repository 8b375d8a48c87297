"""Runs the exchange between entry hosts on links of limited rate in virtual time.

Every host has a thread; a scheduler runs one of them at a time, in order of virtual
time, so that a run with the same seed repeats.
"""

import dataclasses
import datetime
import heapq
import itertools
import random
import threading

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.coordination import mirror
from peridothitch.gateway.forwarding import peer_sync
from peridothitch.ports import clock, peers, store

START = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
PREFIX = "op/"
KEY = "op/config"
_LATENCY = datetime.timedelta(milliseconds=20)
_POLL_TIMEOUT = datetime.timedelta(seconds=20)
_POLL_PERIOD = datetime.timedelta(milliseconds=100)
_WINDOW_BYTES = 64 << 10


class _Stopped(BaseException):
    """Ends the thread of a host."""


class Scheduler(clock.Clock):
    """Clock of all hosts; a wait lets the others run until its end."""

    def __init__(self):
        self._elapsed = datetime.timedelta(0)
        self._heap = []
        self._numbers = itertools.count()
        self._control = threading.Semaphore(0)
        self._stopped = False
        self._threads = []

    def now(self):
        return START + self._elapsed

    def monotonic(self):
        return self._elapsed

    def wait(self, event, timeout):
        self.sleep_until(self._elapsed + timeout)
        return event.is_set()

    def sleep_until(self, moment):
        """Let the other threads run until a virtual time."""
        turn = threading.Semaphore(0)
        heapq.heappush(self._heap, (moment, next(self._numbers), turn))
        self._control.release()
        turn.acquire()
        if self._stopped:
            raise _Stopped

    def spawn(self, target):
        """Run `target` in a thread that starts with the next call of `run_until`."""

        def run():
            try:
                self.sleep_until(self._elapsed)
                target()
            except _Stopped:
                pass
            finally:
                self._control.release()

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()
        self._control.acquire()

    def run_until(self, moment):
        """Run the threads up to a virtual time."""
        while self._heap and self._heap[0][0] <= moment:
            self._run_next()
        self._elapsed = moment

    def _run_next(self):
        due, _, turn = heapq.heappop(self._heap)
        self._elapsed = max(self._elapsed, due)
        turn.release()
        self._control.acquire()

    def stop(self):
        """End all threads."""
        self._stopped = True
        while self._heap:
            self._run_next()
        for thread in self._threads:
            thread.join()


class _Direction:
    """One direction of a host's link, which carries one chunk after the other."""

    def __init__(self, bits_per_second):
        self._bits_per_second = bits_per_second
        self._free_at = datetime.timedelta(0)

    def carry(self, size, begins_at):
        """Return when a chunk that is sent at a virtual time has been carried."""
        duration = datetime.timedelta(seconds=8 * size / self._bits_per_second)
        self._free_at = max(begins_at, self._free_at) + duration
        return self._free_at


class _Network:
    """Sends messages over the links of two hosts, a window in each round trip."""

    def __init__(self, scheduler, host_ids, bits_per_second):
        self._scheduler = scheduler
        self._out_by_id = {host: _Direction(bits_per_second) for host in host_ids}
        self._in_by_id = {host: _Direction(bits_per_second) for host in host_ids}

    def send(self, size, source, target, timeout):
        """Send a message; returns whether no part of it took longer than `timeout`.

        As with a socket's timeout, each part that arrives starts the wait anew. The
        source may be None, for a sender with a link of any rate.
        """
        while True:
            now = self._scheduler.monotonic()
            part = min(size, _WINDOW_BYTES)
            at = now
            if source is not None:
                at = self._out_by_id[source].carry(part, now)
            at = self._in_by_id[target].carry(part, at + _LATENCY)
            self._scheduler.sleep_until(min(at, now + timeout))
            if at > now + timeout:
                return False
            size -= part
            if size <= 0:
                return True
            self._scheduler.sleep_until(at + _LATENCY)


class _Store(store.Store):
    """Store of one key that only watches read."""

    def __init__(self):
        self.item = store.KeyValue(KEY, b"first", 1, 1, 0)
        self.rejected_host_ids = set()

    def put(self, value):
        revision = self.item.mod_revision + 1
        self.item = store.KeyValue(KEY, value, 1, revision, 0)

    def range(self, prefix):
        return store.Range(self.item.mod_revision, {KEY: self.item})

    def get(self, key):
        raise NotImplementedError

    transact = grant_lease = keep_alive = revoke_lease = watch = get


class Peers(peers.Peers):
    def __init__(self, fleet, host_id):
        self.host_id = host_id
        self._fleet = fleet

    def members(self):
        return self._fleet.peer_by_id

    def register(self, method, handler):
        self._fleet.handler_by_call[self.host_id, method] = handler

    def call(self, host_id, method, payload, timeout):
        scheduler, network = self._fleet.scheduler, self._fleet.network
        ends_at = scheduler.monotonic() + timeout
        if host_id in self._fleet.dead_host_ids:
            scheduler.sleep_until(ends_at)
            raise errors.PeerError(f"{host_id} does not answer", True)
        if network.send(len(payload), self.host_id, host_id, timeout):
            reply = self._fleet.handler_by_call[host_id, method](payload)
            left = ends_at - scheduler.monotonic()
            if network.send(len(reply), host_id, self.host_id, left):
                return reply
        raise errors.PeerError(f"{host_id} did not answer in time", True)


@dataclasses.dataclass(frozen=True)
class Host:
    mirror: mirror.Mirror
    sync: peer_sync.PeerSync


class SyncFleet:
    """Entry hosts that exchange the rules of one store.

    Parameters
    ----------
    host_count, data_centre_count : int
    bits_per_second : float
        Rate of each host's link in either direction.
    seed : int
    """

    def __init__(self, host_count, data_centre_count, bits_per_second, seed):
        self.scheduler = Scheduler()
        self.handler_by_call = {}
        self.dead_host_ids = set()
        self._random = random.Random(seed)
        self._store = _Store()
        self.peer_by_id = {
            f"edge-{number}": peers.Peer(
                host_id=f"edge-{number}",
                address="",
                data_centre=f"dc-{number % data_centre_count}",
            )
            for number in range(host_count)
        }
        self.network = _Network(self.scheduler, self.peer_by_id, bits_per_second)
        self.host_by_id = {
            host_id: self._make_host(host_id) for host_id in self.peer_by_id
        }
        for host_id, host in self.host_by_id.items():
            self.scheduler.spawn(lambda host=host: host.sync.run(threading.Event()))
            self.scheduler.spawn(
                lambda host_id=host_id, host=host: self._follow(host_id, host)
            )

    def _make_host(self, host_id):
        counters = metrics.Metrics()
        host_mirror = mirror.Mirror(PREFIX, self._store, self.scheduler, counters)
        host_mirror.read()
        sync = peer_sync.PeerSync(
            (host_mirror,),
            Peers(self, host_id),
            peer_sync.SharedClock(self.scheduler),
            self.scheduler,
            counters,
            random.Random(self._random.getrandbits(32)),
        )
        return Host(host_mirror, sync)

    def _follow(self, host_id, host):
        while True:
            self.scheduler.wait(threading.Event(), _POLL_PERIOD)
            if host_id in self.dead_host_ids or not host.sync.should_follow_store():
                continue
            item = self._store.item
            if host.mirror.items()[KEY] != item:
                self.network.send(len(item.value), None, host_id, _POLL_TIMEOUT)
                host.mirror.read()

    def run(self, seconds):
        """Let virtual time pass."""
        moment = self.scheduler.monotonic() + datetime.timedelta(seconds=seconds)
        self.scheduler.run_until(moment)

    def change(self, value):
        """Store a new value."""
        self._store.put(value)

    def followers(self):
        """Return the ids of the hosts that follow the store."""
        return [
            host_id
            for host_id, host in self.host_by_id.items()
            if host.sync.should_follow_store()
        ]

    def outdated_host_ids(self):
        """Return the live hosts that lack the store's value."""
        return [
            host_id
            for host_id, host in self.host_by_id.items()
            if host_id not in self.dead_host_ids
            and host.mirror.items()[KEY] != self._store.item
        ]

    def close(self):
        """End the threads of all hosts."""
        self.scheduler.stop()
