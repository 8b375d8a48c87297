"""Runs a Python file and reports the processes it starts and the files it writes.

Usage: python audited.py REPORT FILE [ARGUMENT]...
"""

import json
import os
import runpy
import sys

PROCESS_EVENTS = {
    "os.exec",
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.spawn",
    "os.system",
    "pty.spawn",
    "subprocess.Popen",
}
WRITING_FLAGS = os.O_WRONLY | os.O_RDWR | os.O_CREAT
FOLDER_EVENTS = {"os.mkdir", "os.rename"}


def main():
    started = []
    written = set()

    def record_event(event, arguments):
        if event in PROCESS_EVENTS:
            started.append(event)
        if event in FOLDER_EVENTS:
            written.add(os.fspath(arguments[0]))
        if event == "open" and isinstance(arguments[2], int):
            if arguments[2] & WRITING_FLAGS and not isinstance(arguments[0], int):
                written.add(os.fsdecode(arguments[0]))

    report, sys.argv = sys.argv[1], sys.argv[2:]
    file = open(report, "w", encoding="utf-8")
    sys.addaudithook(record_event)
    try:
        runpy.run_path(sys.argv[0], run_name="__main__")
    finally:
        has_child = True
        try:
            os.waitpid(-1, os.WNOHANG)
        except ChildProcessError:
            has_child = False
        result = {"started": started, "written": sorted(written), "child": has_child}
        with file:
            json.dump(result, file)


if __name__ == "__main__":
    main()
