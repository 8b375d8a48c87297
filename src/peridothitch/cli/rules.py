"""``peridothitch rules``: check forwarding rules before they are sent."""

import contextlib
import datetime
import pathlib

import click

from peridothitch import errors
from peridothitch.adapters import boot_clock
from peridothitch.cli import exit_codes, output, settings
from peridothitch.platform import record_codec, store
from peridothitch.policy import table_checks, table_differences
from peridothitch.ports import findings

__all__ = ["rules"]

_file = click.Path(exists=True, dir_okay=False)
_DEFAULT_QUOTA_WINDOW = datetime.timedelta(seconds=8)


@click.group()
def rules():
    """Check the rules by which `forward` passes requests on."""


@rules.command(cls=settings.SettingsCommand)
@click.argument("path", type=_file)
@click.option(
    "--against",
    type=_file,
    help="File with the rules to compare with.  [default: none]",
)
@click.option(
    "--store",
    "store_address",
    type=settings.ADDRESS,
    help="IP number and port of the platform's store, to compare with the rules in"
    " force.  [default: none]",
)
@click.option(
    "--quota-window",
    type=settings.DURATION,
    default=_DEFAULT_QUOTA_WINDOW,
    show_default="8s",
    help="Time over which quotas are counted.",
)
@output.option
@click.pass_context
def check(ctx, path, against, store_address, quota_window, output):
    """Check the rules in PATH without sending them.

    Prints entries that can never take effect, limits that contradict each other, and
    what differs from other rules. Rules that can't be read end with exit code 1, and
    doubtful ones with 8; differences alone don't.
    """
    codec = record_codec.PlatformRecordCodec({})
    table = codec.decode_table(pathlib.Path(path).read_bytes())
    found = [
        *codec.find_duplicates(pathlib.Path(path).read_bytes()),
        *table_checks.find_findings(table, quota_window),
    ]
    former = _read_former(codec, against, store_address)
    differences = []
    if former is not None:
        differences = list(table_differences.find_differences(former, table))
        found += _check_version(former, table, differences)
    output.print_result(
        _to_result(table, found, differences),
        _to_text(table, found, former, differences),
    )
    if found:
        ctx.exit(exit_codes.ExitCode.DOUBTFUL)


def _read_former(codec, against, store_address):
    if against is not None:
        return codec.decode_table(pathlib.Path(against).read_bytes())
    if store_address is None:
        return None
    client = store.PlatformStore(store_address, boot_clock.BootClock())
    with contextlib.closing(client):
        item = client.get(codec.table_key)
    if item is None:
        detail = f"the store has no {codec.table_key}"
        raise errors.DocumentError(errors.Code.DOCUMENT_REFERENCE, detail)
    return codec.decode_table(item.value)


def _check_version(former, table, differences):
    if differences and table.version <= former.version:
        yield findings.Finding(
            findings.Kind.UNREACHABLE,
            "version",
            f"{table.version} is not above {former.version}, which stays in force",
        )


def _to_result(table, found, differences):
    return {
        "version": table.version,
        "findings": [
            {"kind": item.kind.value, "path": item.path, "detail": item.detail}
            for item in found
        ],
        "differences": [
            {
                "path": item.path,
                "change": item.change.value,
                "fields": [
                    {"name": name, "from": old, "to": new}
                    for name, old, new in item.fields
                ],
            }
            for item in differences
        ],
    }


def _to_text(table, found, former, differences):
    state = f"{len(found)} doubtful" if found else "no doubts"
    lines = [f"version {table.version}, {len(table.routes)} routes: {state}"]
    lines += map(str, found)
    if former is not None:
        lines.append(f"{len(differences)} differences from version {former.version}")
        lines += map(str, differences)
    return "\n".join(lines)
