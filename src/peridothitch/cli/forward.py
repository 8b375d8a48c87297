"""``peridothitch forward``: an entry host on the users' platform."""

import dataclasses
import datetime
import os
import pathlib
import signal
import sys

import click
import logbook

from peridothitch import errors
from peridothitch.adapters import boot_clock, logs
from peridothitch.cli import processes, settings
from peridothitch.gateway.forwarding import entry_host, platform_adapters
from peridothitch.platform import duties, header_codec, record_codec, store
from peridothitch.platform import settings as platform_settings

__all__ = ["forward", "make_platform"]

_FILE_CHECK_PERIOD = datetime.timedelta(seconds=1)
"""Time between checks of the settings file, which may change without a signal."""

_EXIT_SOFTWARE = 70
"""Exit code for an internal error of the program, EX_SOFTWARE in sysexits.h."""

_log = logbook.Logger("entry-host")


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
    "--request-memory",
    type=settings.SIZE,
    default=None,
    help="Memory for the requests of all callers together.  "
    "[default: a fifth of the memory in the settings file]",
)
@click.option(
    "--order-requests",
    is_flag=True,
    help="Admit requests by urgency and by when they are expected to end, where the"
    " speed of a service's upstreams is known.",
)
@click.option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    default="json",
    show_default=True,
    help="Form of log lines on standard output.",
)
def forward(path, metrics_port, request_memory, order_requests, log_format):
    """Forward requests unchanged as one entry host until SIGTERM.

    SIGHUP, or a change of the settings file, reads it again; it cuts nothing.
    """
    processes.block_reload_signals()
    # Read before the settings, so that a change in the meantime is detected.
    modified_at = _modification_time(path)
    entry_settings = platform_settings.read(path)
    capacity = dataclasses.replace(
        entry_settings.capacity, request_memory_bytes=request_memory
    )
    entry_settings = dataclasses.replace(
        entry_settings, capacity=capacity, orders_requests=order_requests
    )
    stream = logs.BoundedStream(sys.stdout)
    logs.install(log_format, stream)
    ip_address = entry_settings.callers_address.rpartition(":")[0]
    clock = boot_clock.BootClock()
    forwarding_host = entry_host.ForwardingHost(
        entry_settings,
        make_platform(entry_settings, clock),
        clock,
        f"{ip_address}:{metrics_port}" if metrics_port else "",
    )
    forwarding_host.start()
    try:
        _reload_until_stopped(forwarding_host, path, modified_at)
        forwarding_host.stop()
    except Exception:
        # The other threads would run on, with no thread left to stop them.
        _log.exception("main thread failed; the process exits")
        stream.close()
        os._exit(_EXIT_SOFTWARE)
    stream.close()
    # Threads that wait for a peer's answer would delay a normal exit.
    os._exit(0)


def make_platform(entry_settings, clock):
    """Return the `platform_adapters.Platform` of `EntryHostSettings`."""
    duties_client = None
    if entry_settings.duties_address:
        duties_client = duties.HttpDuties(
            entry_settings.duties_address, entry_settings.host_id, clock
        )
    return platform_adapters.Platform(
        store=store.PlatformStore(entry_settings.store_address, clock),
        record_codec=record_codec.PlatformRecordCodec(
            entry_settings.region_by_data_centre
        ),
        header_codec=header_codec.PlatformHeaderCodec(),
        duties=duties_client,
    )


def _reload_until_stopped(forwarding_host, path, changed_at):
    """Reload the settings after SIGHUP or a file change, until a stop signal."""
    while True:
        received_signal = processes.wait_for_signal(_FILE_CHECK_PERIOD)
        if received_signal not in (None, signal.SIGHUP):
            return
        modified_at = _modification_time(path)
        if received_signal is None and modified_at == changed_at:
            continue
        changed_at = modified_at
        try:
            forwarding_host.reload(platform_settings.read(path))
        except errors.SettingsError as error:
            _log.error("settings rejected; the former ones stay", reason=error.detail)


def _modification_time(path):
    try:
        return pathlib.Path(path).stat().st_mtime_ns
    except OSError as error:
        _log.error(
            "can't read the modification time of the settings file", reason=str(error)
        )
        return None
