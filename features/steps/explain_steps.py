"""Steps for explaining requests from logs."""

import json
import pathlib
import tempfile

import behave
import click.testing

from peridothitch.cli import explain

_FIRST = [
    {"time": "1", "message": "refused", "id": "aa01", "code": 2005, "ran": "no"},
    {"time": "2", "message": "sent", "id": "bb02", "host_id": "i-1"},
    {"time": "5", "message": "failed", "id": "cc03", "code": 1007, "ran": "unknown"},
    {"time": "6", "message": "sent", "id": "ee05", "host_id": "i-1"},
]
_SECOND = [
    {"time": "3", "message": "failed", "id": "bb02", "code": 3003, "ran": "unknown"},
    {"time": "4", "message": "sent", "id": "cc03", "host_id": "i-2"},
    {"time": "7", "message": "answered", "id": "dd04", "status": 200},
]


@behave.given("the log lines of two hosts")
def write_lines(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.files = []
    for name, records in (("edge-1", _FIRST), ("edge-2", _SECOND)):
        path = pathlib.Path(folder.name, name)
        lines = [f"  0.1 {name} {json.dumps(record)}" for record in records]
        path.write_text("\n".join([*lines, "not a record {"]), encoding="utf-8")
        context.files.append(str(path))


@behave.when('an engineer asks for "{request_id}"')
def explain_request(context, request_id):
    runner = click.testing.CliRunner()
    result = runner.invoke(explain.explain, [request_id, *context.files])
    assert result.exit_code == 0, result.output
    context.lines = result.output.splitlines()


@behave.then('the lines are in order and the cause is "{cause}"')
def check_cause(context, cause):
    times = [line.split()[0] for line in context.lines[:-1]]
    assert times == sorted(times)
    assert context.lines[-1] == f"cause: {cause}", context.lines


@behave.then("the output says that no log line has this id")
def check_none(context):
    assert context.lines == ["no line tells of ff06"]
