"""Checks rules of the source tree that the formatter and the linter don't cover."""

import ast
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src"
GENERATED = SOURCE / "peridothitch" / "adapters" / "generated"
MAX_LINE_COUNT = 400
BANNER = re.compile(r"copyright|licen[sc]ed under|spdx-|all rights reserved", re.I)
SECRET = re.compile(
    r"-----BEGIN [A-Z ]*PRIVATE KEY|AKIA[0-9A-Z]{16}|ghp_[0-9A-Za-z]{36}"
)
TEXT_SUFFIXES = {".py", ".md", ".yaml", ".toml", ".feature", ".txt", ".in", ".lock"}
REGISTRY_OPTION = re.compile(r"--(extra-)?index-url|--find-links|--trusted-host")
FOLDERS = ("src", "features", "benchmarks", "tools", "examples", "docs")


def _is_module(package, name):
    base = SOURCE.joinpath(*package.split("."))
    return (base / f"{name}.py").exists() or (base / name / "__init__.py").exists()


def _import_faults(path, tree):
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        module = node.module or ""
        if not module.startswith("peridothitch"):
            continue
        for alias in node.names:
            if not _is_module(module, alias.name):
                yield f"{path}:{node.lineno}: imports the name {alias.name}"


def _text_faults(path, text):
    for number, line in enumerate(text.splitlines(), 1):
        if path.name != "check_source.py":
            if path.suffix == ".py" and BANNER.search(line):
                yield f"{path}:{number}: banner or licence text"
            if SECRET.search(line):
                yield f"{path}:{number}: secret"
        if path.suffix == ".lock" and REGISTRY_OPTION.search(line):
            yield f"{path}:{number}: registry address"


def _paths():
    for folder in FOLDERS:
        yield from (ROOT / folder).rglob("*")
    yield from ROOT.glob("*.*")


def _find_faults():
    for path in sorted(set(_paths())):
        if path.suffix not in TEXT_SUFFIXES or GENERATED in path.parents:
            continue
        text = path.read_text(encoding="utf-8")
        name = path.relative_to(ROOT)
        yield from _text_faults(name, text)
        if path.suffix != ".py":
            continue
        yield from _import_faults(name, ast.parse(text))
        if text.count("\n") > MAX_LINE_COUNT:
            yield f"{name}: more than {MAX_LINE_COUNT} lines"


def main():
    """Print all faults; exits with 1 if there are any."""
    faults = list(_find_faults())
    print("\n".join(faults) if faults else "source rules: no faults")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
