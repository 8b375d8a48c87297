"""Wires an entry host to the cloud API that starts and stops upstream hosts."""

import datetime

from peridothitch.adapters import http_cloud
from peridothitch.coordination import host_orders, lease, provisioning
from peridothitch.policy import fleet_size

__all__ = ["ProvisioningLink"]

_LEASE_TERMS = lease.LeaseTerms(
    name="hosts",
    ttl=datetime.timedelta(seconds=10),
    max_order_time=datetime.timedelta(seconds=3),
)


class ProvisioningLink:
    """Runs the provisioning of upstream hosts on one entry host.

    Parameters
    ----------
    settings : peridothitch.gateway.host.HostSettings
        Without an address of the cloud API there are no loops.
    store : peridothitch.ports.store.Store
    feed : peridothitch.coordination.feed.DocumentFeed
        Provides the services and the limits on their hosts.
    view : peridothitch.gateway.upstreams.UpstreamView
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, settings, store, feed, view, clock, metrics):
        self._feed = feed
        self._view = view
        self._lease = None
        self._provisioner = None
        if not settings.cloud:
            return
        self._lease = lease.FencedLease(store, _LEASE_TERMS, settings.host_id, clock)
        self._provisioner = provisioning.HostProvisioner(
            host_orders.HostOrders(store, clock),
            http_cloud.HttpCloud(settings.cloud),
            self._lease,
            clock,
            metrics,
            self._service_needs,
        )

    def loops(self):
        """Return the background loops, which run until the host stops."""
        if self._provisioner is None:
            return ()
        return self._lease.run, self._provisioner.run

    def _service_needs(self):
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
