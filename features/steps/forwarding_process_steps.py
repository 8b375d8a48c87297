"""Steps for an entry host in a process of its own."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import behave
import forwarding_bench as benches

from soak import processes

_SETTINGS = """
node_name = "edge-process"
zone = "lothian-a"
region = "lothian"
unknown_to_us = [1, 2]
[zones]
lothian-a = "lothian"
[listen]
frontend = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control_plane = "127.0.0.1:0"
[bounds]
grace_s = {grace}
[platform]
address = "127.0.0.1:{store}"
"""


_SUSPENDED_SECONDS = 1.5
_CHECK_COUNT = 3
_CHECK_INTERVAL_SECONDS = 0.5


_WAIT_SCRIPT = """
import datetime
from peridothitch.cli import processes
processes.block_reload_signals()
print("waits", flush=True)
print(processes.wait_for_signal(datetime.timedelta(seconds=0.5)))
"""


_HELPER_SETTINGS = """
ip = "127.0.0.1"
internal_ports = [{helper}, {helper}]
"""


@behave.given("an entry host as a process of its own")
def start_process(context, further_settings=""):
    _start(context, _SETTINGS + further_settings)


@behave.given("an entry host that helps others as a process of its own")
def start_helping_process(context):
    _start(context, _HELPER_SETTINGS + _SETTINGS)


def _start(context, settings):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name, "settings.toml")
    context.log = pathlib.Path(folder.name, "log")
    context.ports = {
        "front": processes.free_port(),
        "ready": processes.free_port(),
        "metrics": processes.free_port(),
        "store": context.bench.store_port,
        "helper": processes.free_port(),
    }
    context.path.write_text(settings.format(grace=1, **context.ports))
    command = [sys.executable, "-m", "peridothitch", "forward"]
    with context.log.open("wb") as log:
        context.process = subprocess.Popen(
            [
                *(*command, "--settings", str(context.path)),
                *("--metrics-port", str(context.ports["metrics"])),
            ],
            stdout=log,
            stderr=subprocess.STDOUT,
            env=os.environ | {"PYTHONPATH": "src"},
        )
    context.add_cleanup(_stop, context.process)
    benches.wait_until(lambda: _answers(context), "the process answers")


def _stop(process):
    if process.poll() is None:
        process.send_signal(signal.SIGTERM)
    assert process.wait(benches.TIMEOUT_SECONDS) == 0


def _answers(context):
    sock = None
    try:
        sock = socket.create_connection(("127.0.0.1", context.ports["front"]), 5)
        context.bench.send(sock, "/lookup/1", "GET")
        return benches.read_response(sock, "GET").status == 200
    except OSError:
        return False
    finally:
        if sock is not None:
            sock.close()


@behave.when("its settings file gets {content} and {notice}")
def change_file(context, content, notice):
    text = _SETTINGS.format(grace=2, **context.ports)
    if content == "a broken line":
        text = "this is = not TOML ["
    context.path.write_text(text)
    if notice == "it is told so":
        context.process.send_signal(signal.SIGHUP)


@behave.when("a process is suspended while it waits for a signal")
def suspend_wait(context):
    process = subprocess.Popen(
        [sys.executable, "-c", _WAIT_SCRIPT],
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONPATH": "src"},
    )
    assert process.stdout.readline() == "waits\n"
    process.send_signal(signal.SIGSTOP)
    time.sleep(_SUSPENDED_SECONDS)
    process.send_signal(signal.SIGCONT)
    context.output, _ = process.communicate(timeout=benches.TIMEOUT_SECONDS)


@behave.then("it reports that none arrived")
def check_none(context):
    assert context.output == "None\n", context.output


@behave.when("it is suspended for longer than it waits for a signal")
def suspend(context):
    context.process.send_signal(signal.SIGSTOP)
    time.sleep(_SUSPENDED_SECONDS)
    context.process.send_signal(signal.SIGCONT)


@behave.then("it still answers and exits on SIGTERM")
def check_alive(context):
    for _ in range(_CHECK_COUNT):
        assert context.process.poll() is None
        assert _answers(context)
        time.sleep(_CHECK_INTERVAL_SECONDS)
    _stop(context.process)


@behave.then('its log says "{message}" and it still answers')
def check_log(context, message):
    benches.wait_until(lambda: message in context.log.read_text(), message)
    assert context.process.poll() is None
    assert _answers(context)
