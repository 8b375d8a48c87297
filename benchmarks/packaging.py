"""Compares packaging formats: size, start time, memory and child processes.

Run: python benchmarks/packaging.py
"""

import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import zipapp

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN_COUNT = 9
BUILDS = {
    "shiv, byte code packed": (),
    "shiv, no byte code": ("--no-byte-code",),
    "shiv, compiled at first start": ("--no-byte-code", "--compile-at-start"),
}


def run(command, environment):
    """Return the command's seconds, peak resident set in MB and exit code."""
    began = time.monotonic()
    process = subprocess.Popen(
        command,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    return time.monotonic() - began, usage.ru_maxrss / 1024, process.returncode


def count_processes(file, environment):
    """Return the number of processes that a first start starts."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder, "report.json")
        audited = ROOT / "features" / "audited.py"
        command = [sys.executable, "-S", "-E", audited, report, file, "--version"]
        fresh = environment | {"PERIDOTHITCH_UNPACK_ROOT": folder}
        run(list(map(str, command)), fresh)
        return len(json.loads(report.read_text(encoding="utf-8"))["started"])


def measure(label, command, environment, first=None):
    """Start a command several times and print its row."""
    seconds, memory_mb = [], []
    for _ in range(RUN_COUNT):
        duration, resident_mb, code = run(command, environment)
        if code:
            print(f"{label}: does not start (exit code {code})")
            return
        seconds.append(duration)
        memory_mb.append(resident_mb)
    first = f"first {first * 1000:.0f} ms, " if first is not None else ""
    print(
        f"{label}: {first}later {statistics.median(seconds) * 1000:.0f} ms, "
        f"{max(memory_mb):.0f} MB"
    )


def build_plain_zip(folder):
    """Build a zip application whose modules are imported without unpacking."""
    target = pathlib.Path(folder, "plain.pyz")
    stage = pathlib.Path(folder, "stage")
    subprocess.run(
        [
            sys.executable,
            "-c",
            f"import sys, pathlib; sys.path.insert(0, {str(ROOT / 'tools')!r}); "
            f"import build_binary; build_binary.stage(pathlib.Path({str(stage)!r}))",
        ],
        env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
        check=True,
    )
    zipapp.create_archive(
        stage, target, main="peridothitch.cli.main:main", compressed=True
    )
    return target


def main():
    print(
        f"Python {sys.version.split()[0]}, median of {RUN_COUNT} starts of serve --help"
    )
    environment = {"PATH": os.environ["PATH"]}
    source = environment | {"PYTHONPATH": str(ROOT / "src")}
    help_arguments = ["serve", "--help"]
    measure(
        "source tree", [sys.executable, "-m", "peridothitch", *help_arguments], source
    )
    with tempfile.TemporaryDirectory() as folder:
        file = build_plain_zip(folder)
        print(f"plain zip: {file.stat().st_size / 1e6:.1f} MB")
        command = [sys.executable, "-S", "-E", str(file), *help_arguments]
        measure("plain zip", command, environment)
        for label, flags in BUILDS.items():
            file = pathlib.Path(folder, "peridothitch")
            build = [sys.executable, ROOT / "tools" / "build_binary.py"]
            subprocess.run(
                [*build, "--target", file, *flags],
                env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
                check=True,
                stdout=subprocess.DEVNULL,
            )
            root = pathlib.Path(folder, label.replace(" ", "-"))
            root.mkdir()
            unpack = environment | {"PERIDOTHITCH_UNPACK_ROOT": str(root)}
            command = [sys.executable, "-S", "-E", str(file), *help_arguments]
            first, _, _ = run(command, unpack)
            unpacked = sum(
                path.stat().st_size for path in root.rglob("*") if path.is_file()
            )
            started = count_processes(file, environment)
            print(
                f"{label}: file {file.stat().st_size / 1e6:.1f} MB, unpacked "
                f"{unpacked / 1e6:.1f} MB, processes started {started}"
            )
            measure(label, command, unpack, first)


if __name__ == "__main__":
    main()
