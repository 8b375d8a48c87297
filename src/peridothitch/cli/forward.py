"""``peridothitch forward``: an entry host on the users' platform."""

import os
import sys

import click

from peridothitch.adapters import boot_clock, logs
from peridothitch.cli import processes, settings
from peridothitch.gateway.forwarding import entry
from peridothitch.platform import dialect, directory, duties, store
from peridothitch.platform import settings as platform_settings

__all__ = ["forward"]


@click.command(cls=settings.SettingsCommand)
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="The platform's settings file.",
)
@click.option(
    "--metrics-port",
    type=click.IntRange(0, 65535),
    default=0,
    show_default=True,
    help="Port of the metrics on this host's address; 0 for none.",
)
@click.option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    default="json",
    show_default=True,
    help="Form of log lines on standard output.",
)
def forward(path, metrics_port, log_format):
    """Forward requests unchanged as one entry host until SIGTERM.

    SIGHUP reads the settings file again.
    """
    processes.block_stop_signals()
    site = platform_settings.read(path)
    stream = logs.BoundedStream(sys.stdout)
    logs.install(log_format, stream)
    host = site.callers_address.rpartition(":")[0]
    platform = entry.Platform(
        store=store.PlatformStore(site.store_address),
        directory=directory.PlatformDirectory(site.region_by_data_centre),
        dialect=dialect.HeaderDialect(),
        duties=duties.HttpDuties(site.duties_address, site.host_id)
        if site.duties_address
        else None,
    )
    forwarding_host = entry.ForwardingHost(
        site,
        platform,
        boot_clock.BootClock(),
        f"{host}:{metrics_port}" if metrics_port else "",
    )
    forwarding_host.start()
    while processes.wait_for_signal():
        forwarding_host.reload(platform_settings.read(path))
    forwarding_host.stop()
    stream.close()
    # Threads that wait for a peer's answer would keep the process for a while.
    os._exit(0)
