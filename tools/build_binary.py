"""Builds dist/peridothitch: one file that unpacks itself into memory and runs.

The libraries are copied from the environment that runs this tool, which contains
exactly the hash-checked versions of requirements.lock. Equal sources give an equal
file.
"""

import argparse
import datetime
import importlib.metadata
import pathlib
import py_compile
import re
import shutil
import sys
import tempfile
import zipfile

from shiv import builder, constants
from shiv.bootstrap import environment

import peridothitch

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOCK = ROOT / "requirements.lock"
LAUNCHER = ROOT / "tools" / "launcher.py"
TARGET = ROOT / "dist" / "peridothitch"
ENTRY_POINT = "peridothitch.cli.main:main"
PINNED_NAME = re.compile(r"^([A-Za-z0-9._-]+)==", re.MULTILINE)
UNUSED_SUFFIXES = {".c", ".h", ".proto", ".pyi", ".pyx"}
FILE_MODE = 0o100644
BUILT_FOR_LINE = re.compile(r"^BUILT_FOR = .*$", re.MULTILINE)


def copy_library(name, folder):
    """Copy the files of an installed library into `folder`."""
    for file in importlib.metadata.distribution(name).files:
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        if file.suffix in UNUSED_SUFFIXES:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def stage(folder):
    """Copy the libraries and the package into `folder`."""
    for name in PINNED_NAME.findall(LOCK.read_text(encoding="utf-8")):
        copy_library(name, folder)
    source = pathlib.Path(peridothitch.__file__).parent
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(source, folder / "peridothitch", ignore=ignored)


def compiled_by_name(folder):
    """Yield archive name and byte code of each module below `folder`."""
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    tag = sys.implementation.cache_tag
    for path in sorted(folder.rglob("*.py")):
        name = path.relative_to(folder)
        cached = name.parent / "__pycache__" / f"{name.stem}.{tag}.pyc"
        target = folder.parent / "compiled.pyc"
        try:
            py_compile.compile(
                str(path), str(target), str(name), doraise=True, invalidation_mode=mode
            )
        except py_compile.PyCompileError:
            continue  # Templates and examples in libraries may not compile.
        yield pathlib.PurePosixPath("site-packages", cached), target.read_bytes()


def launcher_text():
    """Return the launcher's source with the version of this interpreter filled in."""
    version = tuple(sys.version_info[:2])
    text = LAUNCHER.read_text(encoding="utf-8")
    return BUILT_FOR_LINE.sub(f"BUILT_FOR = {version}", text)


def add_file(archive, name, data, date_time):
    """Add one file to the archive."""
    entry = zipfile.ZipInfo(str(name), date_time)
    entry.external_attr = FILE_MODE << 16
    entry.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(entry, data)


def build(target, byte_code=True, compile_at_start=False):
    """Write the application to `target`.

    Parameters
    ----------
    target : pathlib.Path
    byte_code : bool
        Whether modules are compiled by the build.
    compile_at_start : bool
        Whether the first start compiles modules, which starts worker processes.
    """
    built = datetime.datetime.fromtimestamp(
        constants.SOURCE_DATE_EPOCH_DEFAULT, datetime.UTC
    )
    settings = environment.Environment(
        built_at=built.strftime(constants.BUILD_AT_TIMESTAMP_FORMAT),
        shiv_version=importlib.metadata.version("shiv"),
        entry_point=ENTRY_POINT,
        compile_pyc=compile_at_start,
        reproducible=True,
    )
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch, "site-packages")
        stage(folder)
        builder.create_archive(
            [folder], target, "/usr/bin/env python3", "_launcher:main", settings
        )
        date_time = built.timetuple()[:6]
        with zipfile.ZipFile(target, "a") as archive:
            add_file(archive, "_launcher.py", launcher_text(), date_time)
            for name, data in compiled_by_name(folder) if byte_code else ():
                add_file(archive, name, data, date_time)


def main():
    """Build the target file given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--target", type=pathlib.Path, default=TARGET)
    parser.add_argument("--no-byte-code", dest="byte_code", action="store_false")
    parser.add_argument("--compile-at-start", action="store_true")
    options = parser.parse_args()
    build(options.target, options.byte_code, options.compile_at_start)
    print(f"{options.target}: {options.target.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
