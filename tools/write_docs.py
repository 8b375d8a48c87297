"""Generates documents from the code, or checks that they are up to date."""

import json
import pathlib
import sys

from peridothitch import errors
from peridothitch.adapters import yaml_codec
from peridothitch.cli import exit_codes

ROOT = pathlib.Path(__file__).resolve().parent.parent

_ERRORS_HEAD = """\
# Result codes

Made by `make docs` from `src/peridothitch/errors.py` and checked in CI. Every error
that reaches a caller or an operator carries one of these numbers. Callers get it as
problem details (RFC 9457), with `ran` telling whether an upstream executed the
request: `no`, `yes` or `unknown`.

| Code | Name | HTTP status | Meaning |
|---|---|---|---|
"""

_EXITS_HEAD = """
## Exit codes of the command line

| Exit code | Name | Meaning |
|---|---|---|
"""


def render_errors():
    """Return the text of docs/ERRORS.md."""
    code_rows = [
        f"| {int(code)} | `{code.name.lower()}` | {code.status} | {code.meaning} |\n"
        for code in errors.Code
    ]
    exit_rows = [
        f"| {int(end)} | `{end.name.lower()}` | {end.meaning} |\n"
        for end in exit_codes.ExitCode
    ]
    return "".join((_ERRORS_HEAD, *code_rows, _EXITS_HEAD, *exit_rows))


def render_schema():
    """Return the text of docs/schema.json."""
    return json.dumps(yaml_codec.schema(), indent=2, sort_keys=True) + "\n"


def main():
    """Write the documents; with ``--check``, only report those that differ."""
    text_by_name = {"ERRORS.md": render_errors(), "schema.json": render_schema()}
    stale = []
    for name, text in text_by_name.items():
        path = ROOT / "docs" / name
        if path.exists() and path.read_text(encoding="utf-8") == text:
            continue
        stale.append(name)
        if "--check" not in sys.argv:
            path.write_text(text, encoding="utf-8")
    if "--check" in sys.argv and stale:
        print(f"run `make docs`: {', '.join(stale)} differ from the code")
        sys.exit(1)
    print("documents made from the code: no differences")


if __name__ == "__main__":
    main()
