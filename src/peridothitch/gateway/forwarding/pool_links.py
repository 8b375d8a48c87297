"""Construction of an entry host's upstream pool and of what it depends on."""

from peridothitch.gateway.forwarding import (
    cold_upstreams,
    load_exchange,
    upstream_pool,
)

__all__ = ["make_pool"]


def make_pool(settings, peers, catalogue, limits, models, count_hosts, clock, metrics):
    """Return the pool of an entry host and its exchange of loads.

    Parameters
    ----------
    settings : peridothitch.ports.entry_settings.EntryHostSettings
    peers : peridothitch.ports.peers.Peers
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    limits : peridothitch.gateway.forwarding.upstream_limits.UpstreamLimits
    models : peridothitch.gateway.forwarding.upstream_models.UpstreamModels
    count_hosts : callable
        Returns the number of entry hosts.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics

    Returns
    -------
    tuple of (upstream_pool.UpstreamPool, load_exchange.LoadExchange)
    """
    exchange = load_exchange.LoadExchange(peers, clock, metrics)
    pool = upstream_pool.UpstreamPool(
        settings,
        clock,
        metrics,
        limits,
        catalogue.evacuations,
        cold_upstreams.ColdUpstreams(peers, count_hosts, catalogue, clock, metrics),
        models,
        exchange=exchange,
    )
    return pool, exchange
