"""The holder of the duties is lost after a usage report; then the store is restored.

The store comes back from a copy that is older than the record of the window's counts.
With ``TROUBLE=0`` no host is lost and the store is not restored.
"""

import json
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

from peridothitch.standins import platform_duties  # noqa: E402

HOST_COUNT = 3
REQUESTS_PER_SECOND = 12
WORK_SECONDS = 2.4
TIMEOUT_MS = 4000
COPY_PERIOD_SECONDS = 0.25
REPORTS_BEFORE_KILL = 3
MIN_WINDOW_COUNT = 120
KILL_DELAY_SECONDS = 0.02
DRILL_DELAY_SECONDS = 1.0
AWAY_SECONDS = 0.3
COPY_AGE_SECONDS = 3.0
MAX_WAIT_SECONDS = 50.0
PLAY_SECONDS = 12.0
_WINDOW_KEY = "/peridothitch/usage-windows/%d"


class RecordingDuties(platform_duties.PlatformDutiesService):
    """The platform's API; notes each usage report that is accepted."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.reports = []
        self.on_report = None

    def _apply(self, path, body, number):
        status, text = super()._apply(path, body, number)
        if path == "/usage":
            holder = self.holder_by_number[number]
            self._record(f"usage {body} from {holder} under {number}: {status}")
            if status == 200:
                self.reports.append((holder, body["window_id"], body["counts"]))
                if self.on_report is not None:
                    self.on_report(holder, body["window_id"], body["counts"])
        return status, text


def _pay(address, record):
    request_id = harness.new_id()
    try:
        with socket.create_connection(address, timeout=1) as sock:
            sock.sendall(harness.request_bytes("/pay/1", request_id, TIMEOUT_MS))
            sock.settimeout(TIMEOUT_MS / 1000 + 1)
            status = sock.recv(1 << 16)[9:12].decode()
    except OSError as error:
        status = type(error).__name__
    record(f"payment {request_id} at {address[0]}: {status}")


def _load(deployment, stop, record):
    while not stop.wait(1 / REQUESTS_PER_SECOND):
        for host in deployment.hosts:
            threading.Thread(target=_pay, args=(host.address, record)).start()


class Drill:
    """Kills the holder after a report, and restores the store from an older copy."""

    def __init__(self, deployment, record):
        self._deployment = deployment
        self._record = record
        self._copies = []
        self._count_by_holder = {}
        self.window = None
        self.begun = threading.Event()
        self.ended = threading.Event()

    def make_copies(self, stop):
        """Copy the store periodically."""
        while not stop.wait(COPY_PERIOD_SECONDS):
            if not self.begun.is_set():
                self._copies.append((time.monotonic(), self._deployment.store.copy()))

    def on_report(self, holder, window, counts):
        """Begin after some reports of one holder, the last one of a full window."""
        if self.begun.is_set():
            return
        self._count_by_holder[holder] = self._count_by_holder.get(holder, 0) + 1
        if self._count_by_holder[holder] <= REPORTS_BEFORE_KILL:
            return
        if sum(counts.values()) < MIN_WINDOW_COUNT:
            return
        self.window = window
        self.begun.set()
        threading.Thread(target=self._run, args=(holder,)).start()

    def _run(self, holder):
        host = next(h for h in self._deployment.hosts if h.name == holder)
        time.sleep(KILL_DELAY_SECONDS)
        host.kill()
        self._record(f"{holder} lost after its report of window {self.window}")
        time.sleep(DRILL_DELAY_SECONDS)
        key = _WINDOW_KEY % self.window
        latest = time.monotonic() + AWAY_SECONDS - COPY_AGE_SECONDS
        made_at, store_copy = next(
            (at, copied)
            for at, copied in reversed(self._copies)
            if at <= latest and key not in copied.item_by_key
        )
        operators_value = self._deployment.store.read("op/config")
        faults = self._deployment.store_service.faults
        faults.refuse_status = 503
        time.sleep(AWAY_SECONDS)
        self._deployment.store.restore(store_copy)
        self._deployment.store.put("op/config", operators_value)
        self._deployment.write_entries()
        faults.refuse_status = 0
        age = time.monotonic() - made_at
        self._record(f"the store is back from a copy that is {age:.2f} s old")
        self.ended.set()


def play(record, has_trouble):
    """Return whether ONE held for the usage reports."""
    duties = RecordingDuties(record)
    deployment = harness.Deployment(
        record, ["lothian-a"] * HOST_COUNT, make_duties=lambda: duties
    )
    stop = threading.Event()
    try:
        deployment.configure(
            1,
            [
                harness.route(
                    "pay",
                    "/pay/",
                    "till",
                    route_type="unsafe",
                    timeout_ms=TIMEOUT_MS,
                    target_latency_ms=2500,
                )
            ],
        )
        for number in range(4):
            deployment.add_replica(
                harness.Replica(f"i-till-{number}", "till", record, WORK_SECONDS)
            )
        deployment.start()
        drill = Drill(deployment, record)
        threading.Thread(target=drill.make_copies, args=(stop,), daemon=True).start()
        threading.Thread(
            target=_load, args=(deployment, stop, record), daemon=True
        ).start()
        if has_trouble:
            duties.on_report = drill.on_report
            if not drill.ended.wait(MAX_WAIT_SECONDS):
                raise harness.CannotRunError("too few usage reports")
            time.sleep(PLAY_SECONDS)
        else:
            time.sleep(MAX_WAIT_SECONDS)
        return _judge(duties.reports, record)
    finally:
        stop.set()
        deployment.close()


def _judge(reports, record):
    if len(reports) < REPORTS_BEFORE_KILL:
        raise harness.CannotRunError("too few usage reports")
    counts_by_window = {}
    conflicts = []
    for holder, window, counts in reports:
        first = counts_by_window.setdefault(window, counts)
        if first != counts:
            conflicts.append(window)
            text = f"{json.dumps(first)}, then {json.dumps(counts)} from {holder}"
            record(f"window {window} was accepted with {text}")
    record(f"{len(reports)} reports accepted, {len(conflicts)} with other counts")
    return not conflicts


if __name__ == "__main__":
    harness.run(play, FOLDER)
