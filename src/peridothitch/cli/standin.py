"""``peridothitch standin``: small stand-ins for the platform and the upstreams."""

import datetime
import os

import click

from peridothitch.adapters import memory_store, system_clock
from peridothitch.cli import processes, settings
from peridothitch.ports import cloud as cloud_port
from peridothitch.ports import upstream
from peridothitch.standins import cloud as clouds
from peridothitch.standins import engine as engines
from peridothitch.standins import faulty_store, reporting
from peridothitch.standins import hosts as host_lists
from peridothitch.standins import service as services
from peridothitch.standins import store as stores

__all__ = ["standin"]

_CRASH_EXIT_CODE = 70
_OFFER_KINDS = ("reclaimable", "on-demand")

_listen = click.option(
    "--listen",
    type=settings.ADDRESS,
    default="127.0.0.1:0",
    show_default=True,
    help="IP number and port; port 0 takes a free one.",
)


def _end_process():
    os._exit(_CRASH_EXIT_CODE)


def _announce(port):
    click.echo(f"listening on port {port}")


@click.group()
def standin():
    """Run a stand-in process."""


@standin.command(cls=settings.SettingsCommand)
@_listen
def store(listen):
    """Run a key-value service."""
    clock = system_clock.SystemClock()
    faulty = faulty_store.FaultyStore(memory_store.MemoryStore(clock), clock)
    processes.serve_application(stores.StoreService(faulty), listen, _announce)


@standin.command(cls=settings.SettingsCommand)
@_listen
@click.option("--name", default="engine", show_default=True, help="Replica's name.")
@click.option("--model-version", default="v1", show_default=True, help="Version.")
@click.option(
    "--first-token-ms",
    default=20,
    show_default=True,
    help="Wait before the first token, in milliseconds.",
)
@click.option(
    "--token-gap-ms",
    default=10,
    show_default=True,
    help="Wait before each further token, in milliseconds.",
)
def engine(listen, name, model_version, first_token_ms, token_gap_ms):
    """Run a model engine."""
    application = engines.Engine(
        name,
        model_version,
        system_clock.SystemClock(),
        datetime.timedelta(milliseconds=first_token_ms),
        datetime.timedelta(milliseconds=token_gap_ms),
    )
    application.faults.crash = _end_process
    reporting_engine = reporting.ReportingEngine(application, model_version)
    processes.serve_application(reporting_engine, listen, _announce)


@standin.command(cls=settings.SettingsCommand)
@_listen
@click.option("--name", default="service", show_default=True, help="Replica's name.")
def service(listen, name):
    """Run a plain service."""
    application = services.Service(name, system_clock.SystemClock())
    application.faults.crash = _end_process
    processes.serve_application(application, listen, _announce)


@standin.command(cls=settings.SettingsCommand)
@_listen
@click.option(
    "--upstream",
    "lines",
    multiple=True,
    help="A host as ID,ADDRESS,SERVICE,VERSION,DATA_CENTRE; may be repeated.",
)
def hosts(listen, lines):
    """Run a host list."""
    listed = [_parse_host(line) for line in lines]
    application = host_lists.HostListService(host_lists.StaticHostList(listed))
    processes.serve_application(application, listen, _announce)


@standin.command(cls=settings.SettingsCommand)
@_listen
@click.option(
    "--offer",
    "lines",
    multiple=True,
    help="An offer as DATA_CENTRE,MACHINE_CLASS,KIND,PRICE with KIND reclaimable or"
    " on-demand; may be repeated.",
)
def cloud(listen, lines):
    """Run a cloud API; a machine is live at the first read after its start."""
    memory_cloud = clouds.MemoryCloud([_parse_offer(line) for line in lines])
    processes.serve_application(clouds.CloudService(memory_cloud), listen, _announce)


@standin.command(cls=settings.SettingsCommand)
@_listen
def platform(listen):
    """Run an entry host before stand-ins of the users' platform."""
    from peridothitch.cli import platform_demo

    processes.block_stop_signals()
    demo = platform_demo.PlatformDemo(listen)
    demo.start()
    click.echo(f"listening on port {demo.port}; try:\n\n  {demo.command}\n")
    processes.wait_for_stop()
    demo.stop()


def _parse_offer(line):
    parts = line.split(",")
    if len(parts) != 4 or parts[2] not in _OFFER_KINDS:
        raise click.BadParameter(f"{line!r} is not an offer")
    data_centre, machine_class, kind, price = parts
    return cloud_port.Offer(
        data_centre=data_centre,
        machine_class=machine_class,
        reclaimable=kind == _OFFER_KINDS[0],
        price_per_hour=float(price),
    )


def _parse_host(line):
    parts = line.split(",")
    if len(parts) != 5:
        raise click.BadParameter(f"{line!r} does not have 5 parts")
    host_id, address, service_name, version, data_centre = parts
    return upstream.Host(
        host_id=host_id,
        address=address,
        service=service_name,
        version=version,
        data_centre=data_centre,
    )
