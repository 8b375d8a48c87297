"""``peridothitch explain``: the log lines of one request and what ended it."""

import click
import msgspec

from peridothitch import errors
from peridothitch.cli import settings

__all__ = ["explain"]

_CAUSE_BY_CODE = {
    errors.Code.QUOTA_REACHED: "the customer was at its quota",
    errors.Code.OVERLOADED: "no upstream would have answered in time",
    errors.Code.NO_UPSTREAM: "the service had no live upstream",
    errors.Code.UPSTREAMS_BUSY: "upstreams refused the request or were not reachable",
    errors.Code.DRAINING: "the entry host was ending",
    errors.Code.NOT_READY: "the entry host had no rules yet",
    errors.Code.REQUEST_SUSPENDED: "the request had crashed upstreams before",
    errors.Code.DEADLINE_EXCEEDED: "the time of the caller or of the route was up",
    errors.Code.OUTCOME_UNKNOWN: "an upstream broke off; the request may have run",
    errors.Code.UPSTREAM_SILENT: "an upstream fell silent; the request may have run",
    errors.Code.UPSTREAM_FAILED: "an upstream ran the request and failed",
    errors.Code.ANSWER_INVALID: "an upstream's answer could not be trusted",
    errors.Code.STREAM_INTERRUPTED: "a stream could not go on elsewhere",
    errors.Code.CALLER_GONE: "the caller closed its connection",
    errors.Code.UNKNOWN_ROUTE: "no route matched",
    errors.Code.UNAUTHENTICATED: "the key was not known",
}


@click.command(cls=settings.SettingsCommand)
@click.argument("request_id")
@click.argument(
    "files", nargs=-1, required=True, type=click.File("r", encoding="utf-8")
)
def explain(request_id, files):
    """Put the log lines of a request in order and name what ended it.

    REQUEST_ID is the id that the caller sent; FILES hold the JSON lines of any number
    of entry hosts, - for standard input. Text before a line's JSON is passed over.
    """
    records = [
        record
        for file in files
        for record in map(_parse, file)
        if record.get("id") == request_id
    ]
    if not records:
        click.echo(f"no line tells of {request_id}")
        return
    records.sort(key=lambda record: record.get("time", ""))
    for record in records:
        click.echo(_format(record))
    click.echo(f"cause: {_cause(records)}")


def _parse(line):
    """Return the fields of a log line; an empty dict if it holds no JSON object."""
    begin = line.find("{")
    try:
        record = msgspec.json.decode(line[begin:]) if begin >= 0 else {}
    except msgspec.DecodeError:
        return {}
    return record if isinstance(record, dict) else {}


def _format(record):
    omitted = {"time", "level", "channel", "message", "id"}
    rest = " ".join(f"{k}={v}" for k, v in record.items() if k not in omitted)
    return f"{record.get('time', '')} {record.get('message', '')}: {rest}"


def _cause(records):
    last = records[-1]
    if last.get("message") == "answered":
        return f"it was answered with status {last.get('status')}"
    if "code" not in last:
        return "the lines end before the request does; its process was killed"
    try:
        cause = _CAUSE_BY_CODE.get(errors.Code(last["code"]))
    except ValueError:
        cause = None
    ran = {"no": "it did not run", "yes": "it ran"}.get(
        last.get("ran"), "it may have run"
    )
    return f"{cause or last.get('reason', 'unknown')}; {ran}"
