"""Mirrors of the store's prefixes that an entry host follows."""

from peridothitch.coordination import lease, mirror, mirror_eras

__all__ = ["make_mirrors"]


def make_mirrors(platform, clock, metrics):
    """Return the mirrors of operators' records, upstreams' records and leases.

    Parameters
    ----------
    platform : peridothitch.gateway.forwarding.platform_adapters.Platform
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics

    Returns
    -------
    tuple of peridothitch.coordination.mirror.Mirror
    """
    codec = platform.record_codec
    # Upstreams write their records again within seconds, or are gone.
    rule_by_prefix = {
        codec.operator_prefix: mirror_eras.WriteOrderRule(codec.write_order, True),
        codec.host_prefix: mirror_eras.WriteOrderRule(codec.write_order, False),
        lease.PREFIX: mirror_eras.StoreRule(),
    }
    return tuple(
        mirror.Mirror(prefix, platform.store, clock, metrics, era_rule=rule)
        for prefix, rule in rule_by_prefix.items()
    )
