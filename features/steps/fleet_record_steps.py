"""Steps for the fleet's record in the store."""

import types

import behave
import msgspec
import virtual_clock

from peridothitch.adapters import memory_store, metrics
from peridothitch.coordination import lease, mirror
from peridothitch.gateway.forwarding import fleet_messages, fleet_record
from peridothitch.ports import store

_SERVICE = "model"
_HOST_COUNT = 73


@behave.given("the record of a fleet that keeps {busy:d} upstream hosts busy")
def write_record(context, busy):
    context.clock = virtual_clock.VirtualClock()
    context.store = memory_store.MemoryStore(context.clock)
    record = fleet_record.FleetRecord(
        host_count=_HOST_COUNT, busy_by_service={_SERVICE: float(busy)}
    )
    value = msgspec.json.encode(record)
    context.store.transact([], [store.Put(lease.PREFIX + "fleet", value)])
    context.leases = mirror.Mirror(
        lease.PREFIX, context.store, context.clock, metrics.Metrics()
    )
    context.leases.read()


@behave.when(
    "a holder that has had the fleet's demand for {age:d} seconds counts "
    "{busy:d} busy hosts"
)
def write_as_holder(context, age, busy):
    view = fleet_messages.FleetView(_HOST_COUNT, {}, {}, float(age))
    duty = fleet_record.FleetRecordDuty(
        context.store,
        context.leases,
        types.SimpleNamespace(
            view=view, busy_by_service=lambda: {_SERVICE: float(busy)}
        ),
        types.SimpleNamespace(table=types.SimpleNamespace(customer_by_key={})),
        context.clock,
    )
    duty.step(lease.Permit(1, context.clock.monotonic()))


@behave.then("the record states {busy:d} busy hosts")
def check_record(context, busy):
    context.leases.read()
    found = fleet_record.read_record(context.leases)
    assert found.busy_by_service == {_SERVICE: float(busy)}, found
