"""A question that many callers ask, beside prompts that crash replicas."""

import collections
import concurrent.futures
import itertools
import pathlib
import sys
import threading
import time

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent))

import harness_2  # noqa: E402

from peridothitch.standins import replica  # noqa: E402

_HOST_COUNT = 3
_REPLICA_COUNT = 6
_EVENTS = 20
_EVENT_GAP_SECONDS = 0.05
_BACK_SECONDS = 3.0
_LAPSE_SECONDS = 3.6
"""Three heartbeats of silence."""

_CONTACT_SECONDS = 4.0
_RATE = 24.0
_HOT_EACH = 3
"""One sound request in so many is about the hot thing."""

_DEADLY_PERIOD_SECONDS = 1.5
_CALM_SECONDS = 12.0
_PLAY_SECONDS = 60.0
_DEADLINE_MS = 4000
_THREADS = 120
_COUNTED_CRASHES = 5
_MIN_REQUESTS = 20
_HOT_PARTS = "5c1e07a2:340,91bd3f06:230,e4402b7d:1200"
_DEADLY_PART = "dead0bad"


class _Case:
    def __init__(self):
        self.record = harness_2.Record(_FOLDER)
        self.fleet = harness_2.Fleet(_HOST_COUNT)
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._replicas = []
        self._crashed_at = []
        self._attempts = []
        self._deadly_at = []
        self._stop = threading.Event()

    def prepare(self):
        """Start everything; returns whether all entry hosts are ready."""
        for number in range(_REPLICA_COUNT):
            self._add_replica(list(harness_2.ZONES)[number % len(harness_2.ZONES)])
        route = {
            "name": "visit-helper",
            "host": "case.example",
            "prefix": "/visit/",
            "route_type": "streaming",
            "stream_resume": True,
            "service": "neep-models",
            "timeout_ms": _DEADLINE_MS,
            "target_latency_ms": 500,
            "target_gap_ms": 300,
            "max_attempts": 2,
            "priority": 0,
            "session_affinity": True,
        }
        tenants = [{"name": "hule930", "api_keys": ["key-of-the-case"]}]
        self.fleet.configure(1, [route], ["neep-models"], tenants)
        return self.fleet.start()

    def _add_replica(self, zone):
        name = f"i-{next(self._numbers)}"
        each = replica.Replica(name, _EVENTS, _EVENT_GAP_SECONDS)
        each.deadly_parts = frozenset({_DEADLY_PART})
        each.zone = zone
        each.start()
        self.fleet.add_callback(each.close)
        self.fleet.register(each, "neep-models", zone)
        with self._lock:
            self._replicas.append(each)

    def _watch_replicas(self):
        """Record crashes; another replica takes the place of each that crashed."""
        known = set()
        while not self._stop.wait(0.02):
            for each in list(self._replicas):
                if each.is_listening or each.replica_id in known:
                    continue
                known.add(each.replica_id)
                self._crashed_at.append(time.monotonic())
                self.record.write(f"{each.replica_id} has crashed")
                key = f"servers/{each.replica_id}"
                for seconds, call, argument in (
                    (_BACK_SECONDS, self._add_replica, each.zone),
                    (_LAPSE_SECONDS, self.fleet.store.remove, key),
                ):
                    timer = threading.Timer(seconds, call, (argument,))
                    timer.daemon = True
                    timer.start()

    def play(self):
        """Send sound requests, and deadly ones beside them."""
        watcher = threading.Thread(target=self._watch_replicas)
        watcher.start()
        began = time.monotonic()
        next_deadly = _CALM_SECONDS if harness_2.has_trouble() else _PLAY_SECONDS + 1
        with concurrent.futures.ThreadPoolExecutor(_THREADS) as pool:
            for number in range(int(_RATE * _PLAY_SECONDS)):
                time.sleep(max(0.0, began + number / _RATE - time.monotonic()))
                pool.submit(self._send_sound, number)
                if time.monotonic() - began >= next_deadly:
                    next_deadly += _DEADLY_PERIOD_SECONDS
                    pool.submit(self._send_deadly, number)
        self._stop.set()
        watcher.join()

    def _send_sound(self, number):
        is_hot = number % _HOT_EACH == 0
        # Callers who ask the same question send the same bytes.
        path = "/visit/2f" if is_hot else f"/visit/{number:x}"
        body = b"Which paths are accessible?" if is_hot else b"Question %d" % number
        own = f"{number:08x}:340,{number:07x}a:230,{number:07x}b:1200"
        parts = _HOT_PARTS if is_hot else own
        self._send(f"case9-{number}", number, path, body, parts, is_hot)

    def _send_deadly(self, number):
        self._deadly_at.append(time.monotonic())
        parts = f"{_HOT_PARTS.split(',')[0]},{_DEADLY_PART}:230,d{number:07x}:1200"
        body = b"Deadly question %d" % number
        path = f"/visit/d{number:x}"
        self._send(f"case9-deadly-{number}", number, path, body, parts, None)

    def _send(self, request_id, number, path, body, parts, is_hot):
        host = self.fleet.hosts[number // _HOT_EACH % _HOST_COUNT]
        client = harness_2.Client(host.address, "case.example", "key-of-the-case")
        headers = {
            "Peridothitch-Model": "m",
            "Peridothitch-Token-Usage": f"1770,{_EVENTS * 3}",
            "Peridothitch-Prompt-Prefix": parts,
        }
        sent_at = time.monotonic()
        status, _, answer = client.send(
            "POST", path, request_id, _DEADLINE_MS, body, headers
        )
        client.close()
        with self._lock:
            replicas = list(self._replicas)
        runs = [
            each.replica_id
            for each in replicas
            if request_id in each.executed_request_ids
        ]
        self.record.write(
            f"{request_id} to {host.name} {parts}: status {status or 'none'}, begun by "
            f"{runs or 'no replica'} {answer[:120] if status >= 400 else ''}"
        )
        if is_hot is not None:
            with self._lock:
                self._attempts.append((sent_at, is_hot, bool(runs), status))

    def judge(self):
        """Return whether the rule was broken."""
        first = self._deadly_at[0] if self._deadly_at else time.monotonic()
        crashes = sorted(self._crashed_at)[:_COUNTED_CRASHES]
        judged_from = crashes[-1] + 2 * _CONTACT_SECONDS if crashes else first
        judged_to = self._deadly_at[-1] if self._deadly_at else first
        before = [a for a in self._attempts if a[1] and a[0] < first]
        after = [a for a in self._attempts if a[1] and judged_from <= a[0] <= judged_to]
        others = [
            a for a in self._attempts if not a[1] and judged_from <= a[0] <= judged_to
        ]
        for name, found in (("before", before), ("judged", after), ("others", others)):
            begun = sum(attempt[2] for attempt in found)
            statuses = dict(collections.Counter(attempt[3] for attempt in found))
            self.record.write(
                f"{name}: {len(found)} sound requests, {begun} begun, {statuses}",
                show=True,
            )
        self.record.write(f"{len(self._crashed_at)} crashes of replicas", show=True)
        if len(before) < _MIN_REQUESTS or len(after) < _MIN_REQUESTS:
            return False
        share_before = sum(attempt[2] for attempt in before) / len(before)
        share_after = sum(attempt[2] for attempt in after) / len(after)
        return share_after < share_before / 2


def main():
    """Run the case; returns the exit code."""
    case = _Case()
    try:
        if not case.prepare():
            case.record.write("the entry hosts did not become ready", show=True)
            return 2
        time.sleep(3.0)
        case.play()
        return 1 if case.judge() else 0
    finally:
        case.fleet.close()


if __name__ == "__main__":
    harness_2.exit_with(main)
