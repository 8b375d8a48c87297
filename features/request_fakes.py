"""Fakes at the interfaces around request handlers, on a virtual clock."""

import dataclasses
import datetime
import io

from peridothitch import errors
from peridothitch.ports import clock as clocks
from peridothitch.ports import peers, store, upstream
from peridothitch.standins import faults

SECOND = datetime.timedelta(seconds=1)
START = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
CLAIMS = "/peridothitch/claims/"


class HostDied(BaseException):
    """Ends all code of an entry host at once, as the death of its process does."""


class VirtualClock(clocks.Clock):
    """A clock that advances only in waits; runs scheduled actions when they are due."""

    def __init__(self):
        self._elapsed = datetime.timedelta(0)
        self._scheduled = []

    def now(self):
        return START + self._elapsed

    def monotonic(self):
        return self._elapsed

    def wait(self, event, timeout):
        if not event.is_set():
            self.advance(timeout)
        return event.is_set()

    def schedule(self, delay, action):
        self._scheduled.append((self._elapsed + delay, action))

    def advance(self, duration):
        self._elapsed += duration
        due = [item for item in self._scheduled if item[0] <= self._elapsed]
        self._scheduled = [item for item in self._scheduled if item not in due]
        for _, action in due:
            action()


@dataclasses.dataclass
class Machine:
    """An upstream and the faults that are injected into it."""

    host: upstream.Host
    application: object
    dead: bool = False
    frozen: bool = False
    refuses: bool = False
    failing: bool = False


class PeerNetwork:
    """Connects entry hosts that are neither dead nor disconnected."""

    def __init__(self):
        self.peer_by_id = {}
        self.answer_by_id = {}
        self.dead = set()
        self.cut = set()
        self.call_count = 0

    def is_open(self, source, target):
        return target not in self.dead and not {source, target} & self.cut


class FakePeers(peers.Peers):
    def __init__(self, network, peer):
        self.host_id = peer.host_id
        self._network = network
        network.peer_by_id[peer.host_id] = peer
        network.answer_by_id[peer.host_id] = {}

    def members(self):
        return {
            host_id: peer
            for host_id, peer in self._network.peer_by_id.items()
            if host_id not in self._network.dead
        }

    def register(self, method, handler):
        self._network.answer_by_id[self.host_id][method] = handler

    def call(self, host_id, method, payload, timeout):
        if self.host_id in self._network.dead:
            raise HostDied
        self._network.call_count += 1
        if host_id != self.host_id and not self._network.is_open(self.host_id, host_id):
            raise errors.PeerError(f"{host_id} does not answer", sent=True)
        handler = self._network.answer_by_id.get(host_id, {}).get(method)
        if handler is None:
            raise errors.PeerError(f"{host_id} has no {method}", sent=False)
        return handler(payload)


class HookedStore(store.Store):
    """Reports written claims and records to the bench; fails once its host is dead."""

    def __init__(self, inner, bench, host_id):
        self._inner = inner
        self._bench = bench
        self._host_id = host_id

    def transact(self, compares, writes):
        self._check()
        result = self._inner.transact(compares, writes)
        if any(write.key.startswith(CLAIMS) for write in writes):
            created = any(item.target is store.Target.CREATE for item in compares)
            puts = any(isinstance(write, store.Put) for write in writes)
            is_claim = created and any(item.number == 0 for item in compares)
            if puts:
                # Faults are injected later, after the writer has released its locks.
                self._bench.reached.append("claimed" if is_claim else "recorded")
        return result

    def _check(self):
        if self._host_id in self._bench.network.dead:
            raise HostDied

    def range(self, prefix):
        self._check()
        return self._inner.range(prefix)

    def get(self, key):
        self._check()
        return self._inner.get(key)

    def grant_lease(self, ttl):
        self._check()
        return self._inner.grant_lease(ttl)

    def keep_alive(self, lease_id):
        self._check()
        return self._inner.keep_alive(lease_id)

    def revoke_lease(self, lease_id):
        self._check()
        return self._inner.revoke_lease(lease_id)

    def watch(self, prefix, start_revision):
        self._check()
        return self._inner.watch(prefix, start_revision)


@dataclasses.dataclass
class Connection:
    """The faults of one fake connection."""

    machine: Machine
    cut: bool = False
    silent: bool = False
    duplicate: bool = False
    reorder: bool = False
    stale: bool = False


class WsgiTransport(upstream.Transport):
    """Calls WSGI applications in the same process, with faults of the connection."""

    def __init__(self, bench, host_id):
        self._bench = bench
        self._host_id = host_id

    def open(self, host, call):
        bench = self._bench
        bench.inject_reached()
        if self._host_id in bench.network.dead:
            raise HostDied
        machine = bench.machine_by_id[host.host_id]
        if machine.dead:
            raise errors.UpstreamError(
                errors.Code.UPSTREAM_REFUSED, "connection refused", errors.Ran.NO
            )
        connection = Connection(machine)
        bench.connection = connection
        bench.reach_step("connected")
        if machine.dead or connection.cut:
            raise errors.UpstreamError(
                errors.Code.UPSTREAM_REFUSED, "connection lost", errors.Ran.NO
            )
        bench.reach_step("sent")
        self._check(connection, call.first_byte_timeout)
        return _Exchange(bench, connection, call)

    def _check(self, connection, timeout):
        check_connection(self._bench, connection, timeout, errors.Code.OUTCOME_UNKNOWN)

    def probe(self, host, timeout):
        machine = self._bench.machine_by_id[host.host_id]
        if machine.frozen:
            self._bench.clock.advance(timeout)
        return not machine.dead and not machine.frozen


def check_connection(bench, connection, timeout, code):
    if connection.machine.dead or connection.cut:
        raise errors.UpstreamError(code, "connection lost", errors.Ran.UNKNOWN)
    if connection.machine.frozen or connection.silent:
        bench.clock.advance(timeout)
        silent = getattr(errors.Code, "UPSTREAM_SILENT", code)
        raise errors.UpstreamError(silent, "timed out", errors.Ran.UNKNOWN)


class _Exchange(upstream.Exchange):
    def __init__(self, bench, connection, call):
        self._bench = bench
        self._connection = connection
        self._call = call
        self._iterator = None
        self._open()

    def _open(self):
        machine = self._connection.machine
        if self._call.path == self._bench.refused_path:
            self.status, self.header_by_name = 404, {}
            self._iterator = iter(())
            return
        if machine.refuses or machine.failing:
            self.status = 503 if machine.refuses else 500
            self.header_by_name = {"content-type": "application/json"}
            self._iterator = iter((b'{"error": "failing"}',))
            return
        environ = self._environ()
        heads = []
        try:
            body = machine.application(environ, lambda *head: heads.append(head))
        except faults.CrashedError:
            machine.dead = True
            body, heads = (), [("200 OK", [])]
        self._iterator = iter(body)
        self._bench.reach_step("first byte")
        self._check(self._call.first_byte_timeout, errors.Code.OUTCOME_UNKNOWN)
        self.status = int(heads[0][0].split()[0])
        self.header_by_name = dict(heads[0][1])
        if self._connection.stale:
            self.header_by_name["x-request-id"] = "another-request"
            self._iterator = iter((b'{"key":"another-key"}',))

    def _environ(self):
        path, _, query = self._call.path.partition("?")
        environ = {
            "REQUEST_METHOD": self._call.method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "wsgi.input": io.BytesIO(self._call.body),
        }
        for name, value in self._call.header_by_name.items():
            environ["HTTP_" + name.upper().replace("-", "_")] = value
        return environ

    def _check(self, timeout, code=errors.Code.STREAM_INTERRUPTED):
        check_connection(self._bench, self._connection, timeout, code)

    def read(self):
        self._check(self._call.gap_timeout)
        try:
            body = b"".join(self._iterator)
        except faults.CrashedError:
            self._connection.machine.dead = True
            self._check(self._call.gap_timeout)
        self._bench.reach_step("mid-stream")
        self._check(self._call.gap_timeout)
        self._bench.reach_step("answered")
        return body

    def events(self):
        delayed_event = None
        count = 0
        while True:
            self._check(self._call.gap_timeout)
            try:
                event = next(self._iterator, None)
            except faults.CrashedError:
                self._connection.machine.dead = True
                continue
            if event is None:
                break
            count += 1
            if (
                self._connection.reorder
                and delayed_event is None
                and b"[DONE]" not in event
            ):
                delayed_event = event
                continue
            yield event
            if delayed_event is not None:
                yield delayed_event
                delayed_event, self._connection.reorder = None, False
            if self._connection.duplicate:
                yield event
            if count == self._bench.mid_stream_events:
                self._bench.reach_step("mid-stream")
                self._check(self._call.gap_timeout)
        self._bench.reach_step("answered")

    def cancel(self):
        close = getattr(self._iterator, "close", None)
        if close is not None:
            close()
