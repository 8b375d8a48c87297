"""The fleet record in the store, for entry hosts that have just started.

A host that starts shares quotas and retries with the others before it has received a
report from any of them, and processes that were killed at the same moment have left no
other record of the requests that they admitted.
"""

import datetime

import logbook
import msgspec

from peridothitch.coordination import lease
from peridothitch.ports import store

__all__ = ["FleetRecord", "FleetRecordDuty", "count_hosts", "read_record"]

_KEY = lease.PREFIX + "fleet"
_MIN_SHARE = 0.3
"""Demand below this share of a quota's rate is not recorded."""

_MIN_SHARE_CHANGE = 0.2
"""Smallest change of a share that is written; less would cause a write each second."""

_MIN_LOAD_CHANGE_SHARE = 0.25
"""Smallest change of a service's load that is written, as a share of the load."""

_MIN_LOAD_CHANGE_HOSTS = 1.0
"""Smaller changes of a load, in hosts, do not change the number of hosts needed."""

_MIN_AGE_SECONDS = 5.0
"""Age of a view from which its demand covers all hosts and may be recorded."""

_ASSUMED_HOST_COUNT = 8
"""Number of entry hosts assumed for quotas and retries while none is known."""

_MIN_WRITE_PERIOD = datetime.timedelta(seconds=1)
_log = logbook.Logger(__name__)


class FleetRecord(msgspec.Struct, frozen=True):
    """Size and load of the fleet.

    Attributes
    ----------
    host_count : int
        Number of entry hosts.
    part_by_customer : dict of str to float
        Demand as a share of the quota's rate, of customers that use much of it.
    busy_by_service : dict of str to float
        Number of upstream hosts kept busy.
    """

    host_count: int = 0
    part_by_customer: dict[str, float] = {}
    busy_by_service: dict[str, float] = {}


def count_hosts(peers, reports, leases):
    """Return the number of entry hosts that share quotas, at least 1.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    reports : peridothitch.gateway.forwarding.fleet_reports.FleetReports
    leases : peridothitch.coordination.mirror.Mirror
    """
    known = len(peers.members())
    if reports.view is not None:
        return max(known, reports.view.host_count)
    return max(known, read_record(leases).host_count or _ASSUMED_HOST_COUNT)


def read_record(leases):
    """Return the `FleetRecord` in a mirror, an empty one if there is none."""
    item = leases.items().get(_KEY)
    if item is None:
        return FleetRecord()
    try:
        return msgspec.json.decode(item.value, type=FleetRecord)
    except msgspec.MsgspecError as error:
        _log.error("fleet record is malformed", reason=str(error))
        return FleetRecord()


class FleetRecordDuty:
    """Writes the record while this host holds the duties.

    Parameters
    ----------
    record_store : peridothitch.ports.store.Store
    leases : peridothitch.coordination.mirror.Mirror
        Mirror of the prefix of the record's key.
    reports : peridothitch.gateway.forwarding.fleet_reports.FleetReports
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, record_store, leases, reports, catalogue, clock):
        self._store = record_store
        self._leases = leases
        self._reports = reports
        self._catalogue = catalogue
        self._clock = clock
        self._next_write = clock.monotonic()

    def step(self, permit):
        """Write the record if it has changed."""
        view, table = self._reports.view, self._catalogue.table
        now = self._clock.monotonic()
        if view is None or table is None or now < self._next_write:
            return
        if view.age_seconds < _MIN_AGE_SECONDS:
            # The former record is more accurate than a fleet that has just started.
            return
        stored = read_record(self._leases)
        record = FleetRecord(
            host_count=max(view.host_count, stored.host_count),
            part_by_customer=_shares_of_quotas(table, view.demand_by_customer),
            busy_by_service={
                service: round(busy, 1)
                for service, busy in self._reports.busy_by_service().items()
            },
        )
        if not _is_worth_writing(record, stored):
            return
        self._next_write = now + _MIN_WRITE_PERIOD
        value = msgspec.json.encode(record)
        self._store.transact([], [store.Put(_KEY, value)])
        _log.info(
            "fleet record written",
            host_count=record.host_count,
            customers=len(record.part_by_customer),
        )


def _shares_of_quotas(table, demand_by_customer):
    part_by_customer = {}
    for customer in table.customer_by_key.values():
        if customer.quota is None:
            continue
        part = demand_by_customer.get(customer.name, 0.0) / customer.quota.rate
        if part >= _MIN_SHARE:
            part_by_customer[customer.name] = round(
                min(part, 1.0 + _MIN_SHARE_CHANGE), 1
            )
    return part_by_customer


def _is_worth_writing(record, stored):
    """Return whether a record differs enough from the stored one to be written."""
    if record.host_count != stored.host_count:
        return True
    if _loads_differ(record.busy_by_service, stored.busy_by_service):
        return True
    names = record.part_by_customer.keys() | stored.part_by_customer.keys()
    return any(
        abs(record.part_by_customer.get(n, 0.0) - stored.part_by_customer.get(n, 0.0))
        >= _MIN_SHARE_CHANGE
        for n in names
    )


def _loads_differ(busy_by_service, known_by_service):
    return any(
        abs(busy_by_service.get(service, 0.0) - known_by_service.get(service, 0.0))
        > max(
            _MIN_LOAD_CHANGE_HOSTS,
            _MIN_LOAD_CHANGE_SHARE * known_by_service.get(service, 0.0),
        )
        for service in busy_by_service.keys() | known_by_service.keys()
    )
