"""Number of entry hosts, kept in the store for those that have just started.

A host that starts shares quotas and repeats with the others before it has heard from
any of them.
"""

from peridothitch.coordination import lease
from peridothitch.ports import store

__all__ = ["FleetSizeRecord"]

_KEY = lease.PREFIX + "fleet-size"


class FleetSizeRecord:
    """The record, written by the holder of the duties.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    leases : peridothitch.coordination.mirror.Mirror
        Mirror of the prefix that the record lies under.
    reports : peridothitch.gateway.forwarding.fleet_reports.FleetReports
    """

    def __init__(self, service, leases, reports):
        self._store = service
        self._leases = leases
        self._reports = reports

    def read(self):
        """Return the number of entry hosts by the record, 0 without one."""
        item = self._leases.items().get(_KEY)
        if item is None or not item.value.isdigit():
            return 0
        return int(item.value)

    def step(self, permit):
        """Write the number of hosts if it has grown or the record is missing."""
        view = self._reports.view
        if view is None or view.host_count <= self.read():
            return
        value = str(view.host_count).encode()
        self._store.transact([], [store.Put(_KEY, value)])
