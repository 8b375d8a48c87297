"""What the store keeps of the fleet for entry hosts that have just started.

A host that starts shares quotas and repeats with the others before it has heard from
any of them, and processes that were killed at the same moment have left no other trace
of what they let pass.
"""

import datetime

import logbook
import msgspec

from peridothitch.coordination import lease
from peridothitch.ports import store

__all__ = ["FleetRecord", "FleetRecordDuty", "read_record"]

_KEY = lease.PREFIX + "fleet"
_LEAST_PART = 0.3
"""Demand below this part of a quota's rate is not recorded."""

_STEP = 0.2
"""Change of a part that is written; smaller ones would cost a write each second."""

_LOAD_STEP = 0.25
"""Change of a service's load, as a part of it, that is written."""

_LEAST_LOAD = 1.0
"""Smaller changes of a load need no other number of hosts."""

_LEAST_AGE_SECONDS = 5.0
"""Time after which the demand of all hosts is known well enough to be recorded."""

_LEAST_PERIOD = datetime.timedelta(seconds=1)
_log = logbook.Logger(__name__)


class FleetRecord(msgspec.Struct, frozen=True):
    """The record.

    Attributes
    ----------
    host_count : int
        Entry hosts.
    part_by_customer : dict of str to float
        Demand as a part of the quota's rate, of customers that use much of it.
    busy_by_service : dict of str to float
        Upstream hosts kept busy.
    """

    host_count: int = 0
    part_by_customer: dict[str, float] = {}
    busy_by_service: dict[str, float] = {}


def read_record(leases):
    """Return the `FleetRecord` in a mirror, an empty one if there is none."""
    item = leases.items().get(_KEY)
    if item is None:
        return FleetRecord()
    try:
        return msgspec.json.decode(item.value, type=FleetRecord)
    except msgspec.MsgspecError as error:
        _log.error("fleet record can't be read", reason=str(error))
        return FleetRecord()


class FleetRecordDuty:
    """Writes the record while this host holds the duties.

    Parameters
    ----------
    service : peridothitch.ports.store.Store
    leases : peridothitch.coordination.mirror.Mirror
        Mirror of the prefix that the record lies under.
    reports : peridothitch.gateway.forwarding.fleet_reports.FleetReports
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, service, leases, reports, catalogue, clock):
        self._store = service
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
        if view.age_seconds < _LEAST_AGE_SECONDS:
            # The former record says more than a fleet that has just started.
            return
        known = read_record(self._leases)
        record = FleetRecord(
            host_count=max(view.host_count, known.host_count),
            part_by_customer=_parts(table, view.demand_by_customer),
            busy_by_service={
                service: round(busy, 1)
                for service, busy in self._reports.busy_by_service().items()
            },
        )
        if not _differs(record, known):
            return
        self._next_write = now + _LEAST_PERIOD
        value = msgspec.json.encode(record)
        self._store.transact([], [store.Put(_KEY, value)])
        _log.info(
            "fleet record written",
            host_count=record.host_count,
            customers=len(record.part_by_customer),
        )


def _parts(table, demand_by_customer):
    part_by_customer = {}
    for customer in table.customer_by_key.values():
        if customer.quota is None:
            continue
        part = demand_by_customer.get(customer.name, 0.0) / customer.quota.rate
        if part >= _LEAST_PART:
            part_by_customer[customer.name] = round(min(part, 1.0 + _STEP), 1)
    return part_by_customer


def _differs(record, known):
    """Return whether a record is worth a write."""
    if record.host_count != known.host_count:
        return True
    if _loads_differ(record.busy_by_service, known.busy_by_service):
        return True
    names = record.part_by_customer.keys() | known.part_by_customer.keys()
    return any(
        abs(record.part_by_customer.get(n, 0.0) - known.part_by_customer.get(n, 0.0))
        >= _STEP
        for n in names
    )


def _loads_differ(busy_by_service, known_by_service):
    return any(
        abs(busy_by_service.get(service, 0.0) - known_by_service.get(service, 0.0))
        > max(_LEAST_LOAD, _LOAD_STEP * known_by_service.get(service, 0.0))
        for service in busy_by_service.keys() | known_by_service.keys()
    )
