"""Starts the one-file application; runs before the application is unpacked.

Chooses a memory-backed folder to unpack into, removes the files of older builds and
runs shiv's bootstrap in the same process. Uses the standard library only.
"""

import contextlib
import fcntl
import os
import pathlib
import shutil
import stat
import sys

import _bootstrap

__all__ = ["main"]

BUILT_FOR = (0, 0)  # Replaced at build time by the version of the interpreter.
ROOT_VARIABLE = "PERIDOTHITCH_UNPACK_ROOT"
EXIT_USAGE = 2
MEMORY_FILE_SYSTEMS = {"ramfs", "tmpfs"}
MIN_FREE_BYTES = 64 << 20
_LOCK_SUFFIX = ".in-use"
_open_lock_files = []


def _fail(detail):
    print(f"error 6003 unpack_failed: {detail}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def _mount_points():
    """Return the memory-backed mount points."""
    lines = pathlib.Path("/proc/self/mounts").read_text(encoding="utf-8").splitlines()
    fields = [line.split() for line in lines]
    return {part[1] for part in fields if part[2] in MEMORY_FILE_SYSTEMS}


def _is_memory_backed(folder, mount_points):
    path = pathlib.Path(os.path.realpath(folder))
    while not path.is_mount():
        path = path.parent
    return str(path) in mount_points


def _is_usable(folder, mount_points):
    """Return whether code can be unpacked into `folder` and loaded from there."""
    if not os.path.isdir(folder) or not os.access(folder, os.W_OK | os.X_OK):
        return False
    status = os.statvfs(folder)
    free = status.f_bavail * status.f_frsize
    if status.f_flag & os.ST_NOEXEC or free < MIN_FREE_BYTES:
        return False
    return _is_memory_backed(folder, mount_points)


def _choose_folder():
    chosen = os.environ.get(ROOT_VARIABLE)
    if chosen:
        return chosen
    mount_points = _mount_points()
    candidates = (os.environ.get("XDG_RUNTIME_DIR", ""), "/run", "/tmp")
    for folder in candidates:
        if folder and _is_usable(folder, mount_points):
            return folder
    return _fail(f"no memory-backed folder is writable; set {ROOT_VARIABLE}")


def _make_private(folder):
    """Make a private folder; other users could place code in a shared one."""
    root = pathlib.Path(folder, f"peridothitch-{os.geteuid()}")
    try:
        root.mkdir(mode=0o700, parents=True, exist_ok=True)
        status = root.lstat()
    except OSError as error:
        _fail(f"{root}: {error.strerror}")
    shared = status.st_mode & (stat.S_IWGRP | stat.S_IWOTH)
    if not stat.S_ISDIR(status.st_mode) or status.st_uid != os.geteuid() or shared:
        _fail(f"{root} is not a private folder of this user")
    return root


def _lock(path, operation):
    """Return the locked file, None if another process has it locked."""
    file = open(path, "a", encoding="utf-8")  # noqa: SIM115
    try:
        fcntl.flock(file, operation)
    except BlockingIOError:
        file.close()
        return None
    return file


def _remove_unused(root, own):
    """Remove the unpacked files of builds that no process is running."""
    for path in root.glob(f"*{_LOCK_SUFFIX}"):
        build_id = path.name.removesuffix(_LOCK_SUFFIX)
        if build_id == own:
            continue
        lock_file = _lock(path, fcntl.LOCK_EX | fcntl.LOCK_NB)
        if lock_file is None:
            continue
        shutil.rmtree(root / build_id, ignore_errors=True)
        path.unlink()
        lock_file.close()


def _own_build_id():
    with _bootstrap.current_zipfile() as archive:
        environment = archive.read("environment.json").decode()
    return _bootstrap.Environment.from_json(environment).build_id


def _prepare():
    """Return the folder of this build, locked as in use until the process ends."""
    root = _make_private(_choose_folder())
    build_id = _own_build_id()
    root_lock = _lock(root / "lock", fcntl.LOCK_EX)
    with contextlib.closing(root_lock):
        _open_lock_files.append(
            _lock(root / f"{build_id}{_LOCK_SUFFIX}", fcntl.LOCK_SH)
        )
        _remove_unused(root, build_id)
    return root / build_id


def main():
    """Unpack if needed and run the command line."""
    if sys.version_info[:2] != BUILT_FOR:
        needed = ".".join(map(str, BUILT_FOR))
        _fail(f"built for Python {needed}, run by {sys.version.split()[0]}")
    os.environ["SHIV_ROOT"] = str(_prepare())
    _bootstrap.bootstrap()
