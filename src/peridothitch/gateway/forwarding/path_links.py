"""Wires an entry host's paths to the upstreams, its own and those through others."""

from peridothitch.adapters import raw_transport
from peridothitch.gateway.forwarding import helper_client, upstream_paths

__all__ = ["make_paths"]


def make_paths(settings, header_codec, peers, clock, metrics):
    """Return the `upstream_paths.UpstreamPaths` of an entry host.

    Parameters
    ----------
    settings : peridothitch.ports.entry_settings.EntryHostSettings
    header_codec : peridothitch.ports.forwarding.HeaderCodec
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """
    helpers = helper_client.HelperClient(
        peers,
        settings.data_centre,
        settings.region,
        settings.region_by_data_centre,
        raw_transport.HttpRawTransport(clock, header_codec, metrics),
        clock,
        metrics,
    )
    direct = raw_transport.HttpRawTransport(clock, header_codec, metrics)
    return upstream_paths.UpstreamPaths(direct, helpers, clock, metrics)
