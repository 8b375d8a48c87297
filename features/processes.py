"""Starts the real processes for scenarios and stops only those."""

import dataclasses
import http.client
import json
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
LISTENING = "listening on port "
STOP_TIMEOUT_SECONDS = 10
CONDITION_TIMEOUT_SECONDS = 60


@dataclasses.dataclass(frozen=True)
class Response:
    """HTTP response as the caller received it."""

    status: int
    header_by_name: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


class ProcessFleet:
    """Processes of one scenario by name.

    Parameters
    ----------
    command : sequence of str
        Command that starts the product; the source tree by default.
    environment : dict of str to str
        Variables added to this process's environment.
    """

    def __init__(
        self, command=(sys.executable, "-m", "peridothitch"), environment=None
    ):
        self._command = tuple(command)
        self._environment = os.environ | {"PYTHONPATH": str(ROOT / "src")}
        self._environment |= environment or {}
        self.process_by_name = {}
        self.address_by_name = {}

    def start(self, name, *arguments):
        """Start a process, wait until it listens and return its address."""
        process = subprocess.Popen(
            [*self._command, *map(str, arguments)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            env=self._environment,
        )
        self.process_by_name[name] = process
        for line in process.stdout:
            if line.startswith(LISTENING):
                port = line.removeprefix(LISTENING).split(";")[0].strip()
                self.address_by_name[name] = f"127.0.0.1:{port}"
                return self.address_by_name[name]
        raise AssertionError(
            f"{name} exited before it listened: {process.stderr.read()}"
        )

    def run(self, *arguments):
        """Run a command to completion; returns the completed process."""
        return subprocess.run(
            [*self._command, *map(str, arguments)],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env=self._environment,
            check=False,
        )

    def stop(self, name):
        """Stop one process with SIGTERM, or SIGKILL if it hangs; returns its code."""
        self.process_by_name[name].terminate()
        return self._reap(name)

    def _reap(self, name):
        process = self.process_by_name.pop(name)
        try:
            process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        process.stdout.close()
        process.stderr.close()
        return process.returncode

    def stop_all(self):
        """Stop all processes; returns their exit codes by name."""
        for process in self.process_by_name.values():
            process.terminate()
        return {name: self._reap(name) for name in list(self.process_by_name)}


def send_request(
    address, method, path, body=None, key="example-key", header_by_name=None
):
    """Send one request and read the whole response."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    headers = {"content-type": "application/json"} | (header_by_name or {})
    if key is not None:
        headers["authorization"] = f"Bearer {key}"
    payload = json.dumps(body).encode() if body is not None else None
    try:
        connection.request(method, path, payload, headers)
        response = connection.getresponse()
        received = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, received, response.read())
    finally:
        connection.close()


def wait_until(condition):
    """Wait until `condition` returns a true value; returns that value."""
    deadline = time.monotonic() + CONDITION_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError("the condition was not met in time")
