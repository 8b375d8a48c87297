"""Entry host processes, controlled by signals and restarted when they end."""

import contextlib
import http.client
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time

__all__ = ["GRACE_SECONDS", "EntryProcess", "free_port"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SETTINGS = """\
node_name = "{name}"
zone = "{data_centre}"
region = "lothian"
ip = "127.0.0.1"
internal_ports = [{helper}, {helper}]
seed_nodes = [{seeds}]
[zones]
lothian-a = "lothian"
lothian-b = "lothian"
[listen]
frontend = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control_plane = "127.0.0.1:{peers}"
[bounds]
version_of_the_soak = {settings_version}
grace_s = {grace}
retry_min = 100000
lease_ms = 3000
fencing_enabled = true
report_window_s = 5
usage_late_s = 10
[platform]
address = "{store}"
[cloud_api]
address = "{duties}"
duties = ["usage_report"]
"""
_RESTART_DELAY_SECONDS = 0.4
"""Delay after which the platform restarts a process that has ended."""

GRACE_SECONDS = 8
"""Time from SIGTERM until the platform sends SIGKILL."""

_READY_TIMEOUT_SECONDS = 0.5
_PORT_RANGE = 12_000, 32_000
"""Below the ephemeral ports of outgoing connections."""

_PORT_FIELDS = ("front", "ready", "peers", "helper")
_random_source = random.SystemRandom()


class EntryProcess:
    """One entry host process, restarted whenever it ends.

    Parameters
    ----------
    name : str
    folder : pathlib.Path
        Directory of the settings file and the logs.
    fields : dict
        Values for the template of the settings file.

    Attributes
    ----------
    timeout_kill_count : int
        How often it was killed because it had not ended in time.
    """

    def __init__(self, name, folder, fields):
        self.name = name
        self._folder = folder
        self._fields = fields | {"name": name, "settings_version": 1}
        self._fields |= {key: free_port() for key in _PORT_FIELDS}
        self._lock = threading.RLock()
        self._process = None
        self._start_count = 0
        self._restart_at = None
        self._resume_at = None
        self._kill_at = None
        self.timeout_kill_count = 0

    @property
    def address(self):
        """Address for callers."""
        return f"127.0.0.1:{self._fields['front']}"

    @property
    def peers_address(self):
        """Address for the other entry hosts."""
        return f"127.0.0.1:{self._fields['peers']}"

    def start(self):
        """Write the settings file and start the process."""
        with self._lock:
            self._write_settings()
            self._start_count += 1
            log = (self._folder / f"{self.name}.{self._start_count}.log").open("wb")
            with log:
                self._process = subprocess.Popen(
                    [sys.executable, "-m", "peridothitch", "forward"]
                    + ["--settings", str(self._settings_path)],
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    env=os.environ | {"PYTHONPATH": str(_ROOT / "src")},
                )
            self._restart_at = None
            self._resume_at = None
            self._kill_at = None

    @property
    def _settings_path(self):
        return self._folder / f"{self.name}.toml"

    def _write_settings(self):
        self._settings_path.write_text(_SETTINGS.format(**self._fields))

    def set_seeds(self, addresses):
        """Set the seed addresses that the settings file lists."""
        seeds = ", ".join(f'"{address}"' for address in addresses)
        self._fields["seeds"] = seeds

    def tick(self):
        """Restart an ended process, resume a paused one or kill an overdue one."""
        with self._lock:
            now = time.monotonic()
            if self._resume_at is not None and now >= self._resume_at:
                self._resume_at = None
                self._signal(signal.SIGCONT)
            if self._process is None:
                return
            if self._process.poll() is None:
                self._kill_overdue(now)
                return
            if self._restart_at is None:
                self._restart_at = now + _RESTART_DELAY_SECONDS
            elif now >= self._restart_at:
                self.start()

    def _kill_overdue(self, now):
        if self._kill_at is not None and now >= self._kill_at:
            self._kill_at = None
            self.timeout_kill_count += 1
            self.kill()

    def stop(self):
        """Send SIGTERM; the process has its grace period to end."""
        with self._lock:
            if self._kill_at is None:
                self._kill_at = time.monotonic() + GRACE_SECONDS
            self._signal(signal.SIGTERM)

    def kill(self):
        """Send SIGKILL."""
        self._signal(signal.SIGKILL)

    def pause(self, seconds):
        """Suspend the process with SIGSTOP for a time."""
        with self._lock:
            self._kill_at = None
            self._signal(signal.SIGSTOP)
            self._resume_at = time.monotonic() + seconds

    def change_settings(self, by_signal):
        """Rewrite the settings file; sends SIGHUP only if `by_signal`."""
        with self._lock:
            self._fields["settings_version"] += 1
            self._write_settings()
            if by_signal:
                self._signal(signal.SIGHUP)

    def _signal(self, number):
        with self._lock:
            if self._process is not None and self._process.poll() is None:
                self._process.send_signal(number)

    def is_ready(self):
        """Return whether the readiness endpoint of the process returns 200."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self._fields["ready"], timeout=_READY_TIMEOUT_SECONDS
        )
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def end(self, seconds):
        """Stop the process without a restart.

        Returns its exit code, None if it had to be killed.
        """
        with self._lock:
            process, self._process = self._process, None
        if process is None or process.poll() is not None:
            return 0
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None


def free_port():
    """Return a port without a listener, outside the range of outgoing connections."""
    while True:
        port = _random_source.randrange(*_PORT_RANGE)
        with contextlib.suppress(OSError):
            with socket.create_server(("127.0.0.1", port)):
                return port
