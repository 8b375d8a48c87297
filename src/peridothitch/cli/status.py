"""``peridothitch status``: whether a change is in force on every live entry host."""

import datetime
import http.client
import json

import click

from peridothitch import bounded_reader, errors
from peridothitch.adapters import boot_clock
from peridothitch.cli import exit_codes, output, settings

__all__ = ["status"]

_TIMEOUT = datetime.timedelta(seconds=5)
_MAX_REPORT_BYTES = 16 << 20


@click.command(cls=settings.SettingsCommand)
@click.argument("addresses", nargs=-1, required=True, type=settings.ADDRESS)
@output.option
@click.pass_context
def status(ctx, addresses, output):
    """Print what the entry hosts report as done and undone.

    The first of ADDRESSES (IP number and port for callers) that answers asks all other
    entry hosts. Ends with exit code 7 when a change is not in force on every live host,
    and with 4 when none of ADDRESSES answers.
    """
    report = _read_report(addresses)
    output.print_result(report, _format_report(report))
    if not report["done"]:
        ctx.exit(exit_codes.ExitCode.UNDONE)


def _read_report(addresses):
    faults = []
    for address in addresses:
        try:
            moves = _get(address, "/v1/moves").get("moves", [])
            return _get(address, "/v1/status") | {"moves": moves}
        except (OSError, http.client.HTTPException, ValueError) as error:
            faults.append(f"{address}: {error}")
    raise errors.PeerError("no entry host answers: " + "; ".join(faults), sent=True)


def _get(address, path):
    ip_address, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(
        ip_address, int(port), timeout=_TIMEOUT.total_seconds()
    )
    try:
        connection.request("GET", path)
        with bounded_reader.open_response(
            connection, boot_clock.BootClock(), _MAX_REPORT_BYTES, _TIMEOUT, _TIMEOUT
        ) as response:
            body = response.read()
    finally:
        connection.close()
    if response.status != http.client.OK:
        raise http.client.HTTPException(f"status {response.status}")
    return json.loads(body)


def _format_report(report):
    state = "done" if report["done"] else "undone"
    age = report["confirmed_seconds"]
    lines = [f"revision {report['revision']}: {state}, confirmed {age:.1f} s ago"]
    for host_id in report["lacking"]:
        host = report["report_by_host"][host_id]
        reason = f"has revision {host['revision']}"
        if host["rejected_revision"] > host["revision"]:
            reason += f", can't read {host['rejected_revision']}"
        lines.append(f"{host_id}: {reason}")
    lines += [f"{host_id}: does not answer" for host_id in report["unreachable"]]
    return "\n".join(lines)
