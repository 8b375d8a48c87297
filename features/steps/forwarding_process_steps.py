"""Steps for an entry host as a process of its own."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

import behave
import forwarding_bench as benches

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


def _free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


@behave.given("an entry host as a process of its own")
def start_process(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name, "settings.toml")
    context.log = pathlib.Path(folder.name, "log")
    context.ports = {
        "front": _free_port(),
        "ready": _free_port(),
        "store": context.bench.store_port,
    }
    context.path.write_text(_SETTINGS.format(grace=1, **context.ports))
    command = [sys.executable, "-m", "peridothitch", "forward"]
    with context.log.open("wb") as log:
        context.process = subprocess.Popen(
            [*command, "--settings", str(context.path)],
            stdout=log,
            stderr=subprocess.STDOUT,
            env=os.environ | {"PYTHONPATH": "src"},
        )
    context.add_cleanup(_end, context.process)
    benches.wait_until(lambda: _answers(context), "the process answers")


def _end(process):
    process.send_signal(signal.SIGTERM)
    assert process.wait(benches.WAIT_SECONDS) == 0


def _answers(context):
    sock = None
    try:
        sock = socket.create_connection(("127.0.0.1", context.ports["front"]), 5)
        context.bench.send(sock, "/lookup/1", "GET")
        return benches.read_answer(sock, "GET").status == 200
    except OSError:
        return False
    finally:
        if sock is not None:
            sock.close()


@behave.when("its settings file gets {content} and {told}")
def change_file(context, content, told):
    text = _SETTINGS.format(grace=2, **context.ports)
    if content == "a broken line":
        text = "this is = not TOML ["
    context.path.write_text(text)
    if told == "it is told so":
        context.process.send_signal(signal.SIGHUP)


@behave.then('its log says "{message}" and it still answers')
def check_log(context, message):
    benches.wait_until(lambda: message in context.log.read_text(), message)
    assert context.process.poll() is None
    assert _answers(context)
