"""Checks that the files that documents name or link to exist."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMED_PATH = re.compile(r"\b(?:features|benchmarks|tools|examples|docs|src)/[\w./-]+\w")
BUILD_FOLDERS = ("dist/",)
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def _faults(path):
    text = path.read_text(encoding="utf-8")
    for name in sorted(set(NAMED_PATH.findall(text))):
        if not name.startswith(BUILD_FOLDERS) and not (ROOT / name).exists():
            yield f"{path.relative_to(ROOT)}: names {name}, which does not exist"
    for target in sorted(set(LINK.findall(text))):
        if not (path.parent / target).exists():
            yield f"{path.relative_to(ROOT)}: links to {target}, which does not exist"


def main():
    """Print all faults; exits with 1 if there are any."""
    pages = sorted([*(ROOT / "docs").rglob("*.md"), *ROOT.glob("*.md")])
    faults = [fault for page in pages for fault in _faults(page)]
    print("\n".join(faults) if faults else f"{len(pages)} documents: no faults")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
