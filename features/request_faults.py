"""Functions that inject faults into a request, by the name that the matrix prints."""

import dataclasses
import datetime

import request_bench as benches
import request_fakes as fakes

from peridothitch.ports import upstream
from peridothitch.standins import faulty_store


def _replace_later(bench, machine):
    def replace():
        machine.dead = machine.frozen = machine.refuses = machine.failing = False

    bench.clock.schedule(benches.RECOVERY_TIME, replace)


def _kill_upstream(bench):
    if bench.connection is not None:
        bench.connection.machine.dead = True
        bench.kill_count += 1
        _replace_later(bench, bench.connection.machine)


def _freeze_upstream(bench):
    if bench.connection is not None:
        bench.connection.machine.frozen = True
        _replace_later(bench, bench.connection.machine)


def _set_connection(name):
    def inject(bench):
        if bench.connection is not None:
            setattr(bench.connection, name, True)

    return inject


def _set_all(name):
    def inject(bench):
        for index in range(2):
            for kind in ("desk", "writer"):
                machine = bench.machine_by_id[f"{kind}-{index}"]
                setattr(machine, name, True)
                _replace_later(bench, machine)

    return inject


def _store_fault(fault, count=None, delay=datetime.timedelta(0)):
    def inject(bench):
        bench.store.inject(
            faulty_store.FaultRule(fault=fault, count=count, delay=delay)
        )
        bench.clock.schedule(8 * benches.SECOND, bench.store.clear)

    return inject


def _kill_entry(bench):
    bench.kill_host(bench.acting)
    raise fakes.HostDied


def _reclaim(bench):
    data_centre = "a"
    reclaimed = [
        machine
        for machine in bench.machine_by_id.values()
        if machine.host.data_centre == data_centre
    ]

    def list_leaving():
        for machine in reclaimed:
            leaving = dataclasses.replace(
                machine.host, state=upstream.HostState.LEAVING
            )
            bench.host_list.put(leaving)

    def end():
        bench.kill_host("entry-0")
        for machine in reclaimed:
            machine.dead = True
        bench.clock.schedule(2 * benches.RECOVERY_TIME, replace)

    def replace():
        for machine in reclaimed:
            machine.dead = False
            bench.host_list.put(machine.host)

    bench.clock.schedule(benches.SECOND, list_leaving)
    bench.clock.schedule(2 * benches.SECOND, end)
    bench.clock.advance(3 * benches.SECOND)
    if bench.acting == "entry-0":
        raise fakes.HostDied


def _disconnect_caller(bench):
    bench.caller_left = True


def _disconnect_caller_long(bench):
    bench.caller_left = True
    bench.absence_round_count = benches.ABSENCE_ROUND_COUNT


def _kill_entry_long(bench):
    bench.absence_round_count = benches.ABSENCE_ROUND_COUNT
    _kill_entry(bench)


def _send_twice(bench):
    host_ids = [name for name in sorted(bench.handler_by_id) if name != bench.acting]
    had_caller_left = bench.caller_left
    connection = bench.connection
    bench.nested.append(bench.send(host_ids[0]))
    bench.connection = connection
    bench.caller_left = had_caller_left


def _cut_peers(bench):
    bench.network.cut.add(bench.acting)
    acting = bench.acting
    bench.clock.schedule(8 * benches.SECOND, lambda: bench.network.cut.discard(acting))


INJECTOR_BY_FAULT = {
    "upstream killed": _kill_upstream,
    "upstream frozen": _freeze_upstream,
    "upstream refuses": _set_all("refuses"),
    "upstream fails": _set_all("failing"),
    "connection cut": _set_connection("cut"),
    "connection silent": _set_connection("silent"),
    "answer duplicated": _set_connection("duplicate"),
    "answer reordered": _set_connection("reorder"),
    "answer of another request": _set_connection("stale"),
    "data centre reclaimed": _reclaim,
    "store down": _store_fault(faulty_store.Fault.DOWN),
    "store slow": _store_fault(faulty_store.Fault.SLOW, 2, 2 * benches.SECOND),
    "store reply lost": _store_fault(faulty_store.Fault.REPLY_LOST, 1),
    "store request lost": _store_fault(faulty_store.Fault.REQUEST_LOST, 1),
    "entry host killed": _kill_entry,
    "entry host killed, caller away": _kill_entry_long,
    "entry host paused": lambda bench: bench.clock.advance(20 * benches.SECOND),
    "peers cut off": _cut_peers,
    "caller leaves": _disconnect_caller,
    "caller leaves for long": _disconnect_caller_long,
    "caller sends twice": _send_twice,
}
FAULTS = tuple(INJECTOR_BY_FAULT)
