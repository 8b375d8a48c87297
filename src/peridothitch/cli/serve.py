"""``peridothitch serve``: one entry host."""

import click

from peridothitch import errors
from peridothitch.adapters import (
    etcd_store,
    http_transport,
    logs,
    system_clock,
    thrift_transport,
    traces,
    wsgi_server,
)
from peridothitch.cli import processes, settings
from peridothitch.gateway import host, peer_links

__all__ = ["serve"]

_file = click.Path(exists=True, dir_okay=False)


@click.command(cls=settings.SettingsCommand)
@click.option(
    "--host-id",
    required=True,
    type=settings.NAME,
    help="Unique name of this entry host.",
)
@click.option(
    "--data-centre",
    required=True,
    type=settings.NAME,
    help="Data centre that this entry host is in.",
)
@click.option(
    "--listen",
    type=settings.ADDRESS,
    default="127.0.0.1:8080",
    show_default=True,
    help="IP number and port for callers; port 0 takes a free one.",
)
@click.option(
    "--peer-listen",
    type=settings.ADDRESS,
    default=None,
    help="IP number and port for other entry hosts.  [default: none, a fleet of one]",
)
@click.option(
    "--seed",
    "seeds",
    type=settings.ADDRESS,
    multiple=True,
    help="Peer address of another entry host, to join while the store is down; may "
    "be repeated.",
)
@click.option(
    "--peer-certificate",
    type=_file,
    default=None,
    help="PEM file for mutual TLS between entry hosts.  [default: none, no TLS]",
)
@click.option(
    "--peer-key",
    type=_file,
    default=None,
    help="PEM file of the certificate's private key.  [default: none]",
)
@click.option(
    "--peer-authority",
    type=_file,
    default=None,
    help="PEM file of the peers' certificate authority.  [default: none]",
)
@click.option(
    "--store",
    required=True,
    type=settings.ADDRESS,
    help="IP number and port of the key-value service.",
)
@click.option(
    "--host-list",
    required=True,
    type=settings.ADDRESS,
    help="IP number and port of the platform's host list.",
)
@click.option(
    "--cloud",
    type=settings.ADDRESS,
    default=None,
    help="IP number and port of the cloud API.  [default: none, no hosts are started]",
)
@click.option(
    "--threads",
    type=click.IntRange(1, 4096),
    default=256,
    show_default=True,
    help="Requests served at the same time.",
)
@click.option(
    "--max-body",
    type=settings.SIZE,
    default="8MiB",
    show_default=True,
    help="Largest body accepted from a caller.",
)
@click.option(
    "--max-header",
    type=settings.SIZE,
    default="64KiB",
    show_default=True,
    help="Largest request head accepted from a caller.",
)
@click.option(
    "--request-memory",
    type=settings.SIZE,
    default="40MiB",
    show_default=True,
    help="Memory for the requests of all callers together.",
)
@click.option(
    "--request-timeout",
    type=settings.DURATION,
    default="30s",
    show_default=True,
    help="Longest time until a caller's request has arrived whole.",
)
@click.option(
    "--write-timeout",
    type=settings.DURATION,
    default="30s",
    show_default=True,
    help="Longest time without progress of a caller that should read.",
)
@click.option(
    "--unready-time",
    type=settings.DURATION,
    default="2s",
    show_default=True,
    help="Time at shutdown for the balancer to notice.",
)
@click.option(
    "--drain-timeout",
    type=settings.DURATION,
    default="25s",
    show_default=True,
    help="Longest wait for requests in progress at shutdown.",
)
@click.option(
    "--otlp-endpoint",
    metavar="URL",
    default=None,
    help="Where spans go, such as http://127.0.0.1:4318/v1/traces.  [default: nowhere]",
)
@click.option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Form of log lines on standard error.",
)
def serve(
    host_id,
    data_centre,
    listen,
    peer_listen,
    seeds,
    peer_certificate,
    peer_key,
    peer_authority,
    store,
    host_list,
    cloud,
    threads,
    max_body,
    max_header,
    request_memory,
    request_timeout,
    write_timeout,
    unready_time,
    drain_timeout,
    otlp_endpoint,
    log_format,
):
    """Serve callers as one entry host until SIGTERM."""
    host_settings = host.HostSettings(
        host_id=host_id,
        data_centre=data_centre,
        listen=listen,
        threads=threads,
        limits=wsgi_server.ServerLimits(
            body_bytes=max_body,
            header_bytes=max_header,
            request_memory_bytes=request_memory,
            request_timeout=request_timeout,
            write_timeout=write_timeout,
        ),
        unready_time=unready_time,
        drain_timeout=drain_timeout,
        fleet=peer_links.FleetSettings(
            listen=peer_listen or "",
            seeds=seeds,
            tls=_tls_files(peer_certificate, peer_key, peer_authority),
        ),
        cloud=cloud or "",
    )
    logs.install(log_format)
    processes.block_stop_signals()
    entry_host = host.EntryHost(
        host_settings,
        etcd_store.EtcdStore(store),
        http_transport.HttpHostList(host_list),
        system_clock.SystemClock(),
        traces.make_exporter(otlp_endpoint),
    )
    entry_host.start()
    click.echo(f"listening on port {entry_host.port}")
    processes.wait_for_stop()
    entry_host.stop()


def _tls_files(certificate, key, authority):
    if not (certificate or key or authority):
        return None
    if not (certificate and key and authority):
        raise errors.SettingsError(
            ["--peer-certificate, --peer-key and --peer-authority go together"]
        )
    return thrift_transport.TlsFiles(certificate, key, authority)
