"""``peridothitch serve``: one entry host."""

import datetime

import click

from peridothitch import errors
from peridothitch.adapters import (
    etcd_store,
    http_transport,
    system_clock,
    thrift_peers,
)
from peridothitch.cli import processes
from peridothitch.gateway import host, peer_links

__all__ = ["serve"]


@click.command()
@click.option("--host-id", required=True, help="Unique name of this entry host.")
@click.option("--data-centre", required=True, help="Where this entry host is.")
@click.option(
    "--listen",
    default="127.0.0.1:8080",
    show_default=True,
    help="IP number and port for callers; port 0 takes a free one.",
)
@click.option(
    "--peer-listen",
    default="",
    help="IP number and port for other entry hosts; empty for a fleet of one host.",
)
@click.option(
    "--seed",
    "seeds",
    multiple=True,
    help="Peer address of another entry host, to join while the store is down.",
)
@click.option("--peer-certificate", default="", help="PEM file for mutual TLS.")
@click.option("--peer-key", default="", help="PEM file of its private key.")
@click.option("--peer-authority", default="", help="PEM file of the peers' authority.")
@click.option("--store", required=True, help="IP number and port of the store.")
@click.option("--host-list", required=True, help="IP number and port of the list.")
@click.option(
    "--threads",
    default=256,
    show_default=True,
    help="Requests served at the same time.",
)
@click.option(
    "--max-body-bytes",
    default=8 << 20,
    show_default=True,
    help="Largest body accepted, in bytes.",
)
@click.option(
    "--unready-seconds",
    default=2.0,
    show_default=True,
    help="Time at shutdown for the balancer to notice, in seconds.",
)
@click.option(
    "--drain-seconds",
    default=25.0,
    show_default=True,
    help="Longest wait for requests in progress at shutdown, in seconds.",
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
    threads,
    max_body_bytes,
    unready_seconds,
    drain_seconds,
):
    """Serve callers as one entry host until SIGTERM."""
    settings = host.HostSettings(
        host_id=host_id,
        data_centre=data_centre,
        listen=listen,
        threads=threads,
        max_body_bytes=max_body_bytes,
        unready_time=datetime.timedelta(seconds=unready_seconds),
        drain_timeout=datetime.timedelta(seconds=drain_seconds),
        fleet=peer_links.FleetSettings(
            listen=peer_listen,
            seeds=seeds,
            tls=_tls_files(peer_certificate, peer_key, peer_authority),
        ),
    )
    processes.block_stop_signals()
    entry_host = host.EntryHost(
        settings,
        etcd_store.EtcdStore(store),
        http_transport.HttpHostList(host_list),
        system_clock.SystemClock(),
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
    return thrift_peers.TlsFiles(certificate, key, authority)
