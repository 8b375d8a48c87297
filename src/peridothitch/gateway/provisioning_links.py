"""Wires an entry host to the cloud API, where it starts and stops upstream hosts."""

import datetime

from peridothitch.adapters import http_cloud
from peridothitch.coordination import host_orders, lease, provisioning
from peridothitch.policy import fleet_size

__all__ = ["ProvisioningLink"]

_TERMS = lease.LeaseTerms(
    name="hosts",
    ttl=datetime.timedelta(seconds=10),
    max_order_time=datetime.timedelta(seconds=3),
)


class ProvisioningLink:
    """Part of one entry host in keeping the upstream hosts as planned.

    Parameters
    ----------
    settings : peridothitch.gateway.host.HostSettings
        Without an address of the cloud API nothing runs.
    service : peridothitch.ports.store.Store
    feed : peridothitch.coordination.feed.DocumentFeed
        Holds the services and the limits on their hosts.
    view : peridothitch.gateway.upstreams.UpstreamView
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, settings, service, feed, view, clock, metrics):
        self._feed = feed
        self._view = view
        self._lease = None
        self._keeper = None
        if not settings.cloud:
            return
        self._lease = lease.FencedLease(service, _TERMS, settings.host_id, clock)
        self._keeper = provisioning.HostProvisioner(
            host_orders.HostOrders(service, clock),
            http_cloud.HttpCloud(settings.cloud),
            self._lease,
            clock,
            metrics,
            self._needs,
        )

    def loops(self):
        """Return what runs in the background until the host stops."""
        if self._keeper is None:
            return ()
        return self._lease.run, self._keeper.run

    def _needs(self):
        document = self._feed.current()
        if document is None:
            return
        for limit in document.host_limit_by_name.values():
            service = document.service_by_name[limit.service]
            yield provisioning.ServiceNeed(
                service=limit.service,
                version=service.current,
                streams=self._view.running(limit.service),
                streams_per_host=limit.streams_per_host,
                limits=fleet_size.FleetLimits(
                    most_hosts=limit.most_hosts,
                    least_hosts=limit.least_hosts,
                    most_cost_per_hour=limit.most_cost_per_hour,
                    on_demand_share=limit.on_demand_share,
                ),
                lead=limit.lead,
            )
