import atexit
import concurrent.futures
import fcntl
import functools
import json
import os
import pathlib
import subprocess
import sys
import tempfile

import behave
import processes

CHAT = {"stream": True, "messages": [{"role": "user", "content": "Hello"}]}
AUDITED = processes.ROOT / "features" / "audited.py"


def _build(target):
    subprocess.run(
        [sys.executable, "tools/build_binary.py", "--target", str(target)],
        cwd=processes.ROOT,
        env=os.environ | {"PYTHONPATH": str(processes.ROOT / "src")},
        check=True,
        stdout=subprocess.DEVNULL,
    )


@functools.cache
def _get_built_file():
    folder = tempfile.TemporaryDirectory()
    atexit.register(folder.cleanup)
    target = pathlib.Path(folder.name, "peridothitch")
    _build(target)
    return target


def _start(context, *arguments, **environment):
    return subprocess.run(
        [sys.executable, "-S", "-E", str(context.file), *arguments],
        env=context.environment | environment,
        cwd="/",
        capture_output=True,
        text=True,
        check=False,
    )


@behave.given("the built file")
def use_built_file(context):
    context.file = _get_built_file()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    context.root = context.folder / f"peridothitch-{os.geteuid()}"
    context.environment = {
        "PATH": os.environ["PATH"],
        "PERIDOTHITCH_UNPACK_ROOT": folder.name,
        "HOME": "/nonexistent",
        "TMPDIR": "/nonexistent",
    }


@behave.when("the embedded default runs from it and serves a stream and its metrics")
def run_embedded(context):
    report = context.folder / "report.json"
    fleet = processes.ProcessFleet(
        (sys.executable, "-S", "-E", str(AUDITED), str(report), str(context.file)),
        context.environment,
    )
    context.add_cleanup(fleet.stop_all)
    address = fleet.start("run", "run", "--listen", "127.0.0.1:0")
    answer = processes.send_request(address, "POST", "/v1/chat/completions", CHAT)
    assert b"[DONE]" in answer.body, answer
    metrics = processes.send_request(address, "GET", "/metrics")
    assert b"peridothitch_" in metrics.body, metrics
    assert fleet.stop("run") == 0
    context.report = json.loads(report.read_text(encoding="utf-8"))


@behave.then("it has started no process")
def check_no_process(context):
    assert context.report["started"] == [], context.report["started"]
    assert context.report["child"] is False


@behave.then("it has written only below its unpack folder")
def check_written(context):
    written = context.report["written"]
    assert written, "the audit recorded no written file"
    below = (str(context.root), "/dev/null")
    unexpected = [path for path in written if not path.startswith(below)]
    assert not unexpected, unexpected


@behave.when('its interpreter imports the modules "{modules}"')
def import_modules(context, modules):
    paths = ", ".join(f"{name}.__file__" for name in modules.split(", "))
    code = f"import {modules}; print({paths}, sep='\\n')"
    context.done = _start(context, "-c", code, SHIV_INTERPRETER="1")


@behave.then("they come from its unpack folder")
def check_modules(context):
    assert context.done.returncode == 0, context.done.stderr
    paths = context.done.stdout.split()
    assert len(paths) == 4, paths
    assert all(path.startswith(str(context.root)) for path in paths), paths


@behave.when("it is started {count:d} times at once with an empty unpack folder")
def start_concurrently(context, count):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        starts = [pool.submit(_start, context, "--version") for _ in range(count)]
        context.starts = [start.result() for start in starts]


def _list_copies(context):
    return sorted(path.name for path in context.root.iterdir() if path.is_dir())


@behave.then("each start succeeds and one copy is left")
def check_starts(context):
    codes = {start.returncode for start in context.starts}
    assert codes == {0}, [start.stderr for start in context.starts]
    assert len(_list_copies(context)) == 1, _list_copies(context)


@behave.when("the unpack folder has an unused and a used copy of older builds")
def make_copies(context):
    context.root.mkdir(mode=0o700)
    for name in ("unused", "used"):
        (context.root / name).mkdir()
        (context.root / name / "module.py").touch()
        (context.root / f"{name}.in-use").touch()
    context.lock_file = open(context.root / "used.in-use")
    context.add_cleanup(context.lock_file.close)
    fcntl.flock(context.lock_file, fcntl.LOCK_SH)


@behave.then("the next start removes the unused one only")
def check_removed(context):
    done = _start(context, "--version")
    assert done.returncode == 0, done.stderr
    copies = _list_copies(context)
    assert "used" in copies and "unused" not in copies, copies
    assert not (context.root / "unused.in-use").exists()


@behave.when("its unpack folder is writable by others")
def make_folder_writable(context):
    context.root.mkdir()
    context.root.chmod(0o777)
    context.done = _start(context, "--version")


@behave.then("the start ends with exit code {code:d} and the code {number:d}")
def check_refused_folder(context, code, number):
    assert context.done.returncode == code, context.done
    assert f"error {number} " in context.done.stderr, context.done.stderr


@behave.when("it is built again")
def build_again(context):
    context.second_file = context.folder / "again"
    _build(context.second_file)


@behave.then("both files are equal")
def check_equal(context):
    assert context.second_file.read_bytes() == context.file.read_bytes()
