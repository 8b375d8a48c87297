"""``peridothitch status``: what the entry hosts report."""

import http.client
import json

import click

__all__ = ["status"]

_TIMEOUT_SECONDS = 2.0


@click.command()
@click.argument("addresses", nargs=-1, required=True)
def status(addresses):
    """Print readiness of the entry hosts at ADDRESSES (IP number and port)."""
    report = {address: _read_readiness(address) for address in addresses}
    click.echo(json.dumps(report, indent=2))


def _read_readiness(address):
    name, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(name, int(port), timeout=_TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/readyz")
        return json.loads(connection.getresponse().read())
    except (OSError, http.client.HTTPException) as error:
        return {"ready": False, "error": str(error)}
    finally:
        connection.close()
