"""``peridothitch status``: what the entry hosts report."""

import http.client
import json

import click

from peridothitch.cli import exits, output, settings

__all__ = ["status"]

_TIMEOUT_SECONDS = 2.0


@click.command(cls=settings.SettingsCommand)
@click.argument("addresses", nargs=-1, required=True, type=settings.ADDRESS)
@output.option
@click.pass_context
def status(ctx, addresses, output):
    """Print readiness of the entry hosts at ADDRESSES (IP number and port).

    Ends with exit code 7 when one of them isn't ready.
    """
    report_by_address = {address: _read_readiness(address) for address in addresses}
    output.print_result(report_by_address, _format(report_by_address))
    if not all(report["ready"] for report in report_by_address.values()):
        ctx.exit(exits.ExitCode.UNDONE)


def _format(report_by_address):
    lines = []
    for address, report in report_by_address.items():
        state = "ready" if report["ready"] else "not ready"
        reason = report.get("error", "")
        lines.append(f"{address}  {state}  {reason}".rstrip())
    return "\n".join(lines)


def _read_readiness(address):
    name, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(name, int(port), timeout=_TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/readyz")
        return json.loads(connection.getresponse().read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        return {"ready": False, "error": str(error)}
    finally:
        connection.close()
