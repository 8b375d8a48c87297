import datetime
import http.client
import json

import behave
import processes

from peridothitch import errors
from peridothitch.adapters import etcd_store, memory_store, system_clock
from peridothitch.ports import store
from peridothitch.standins import faulty_store

KEY = "/test/key"
SHORT_DELAY = datetime.timedelta(milliseconds=10)
TTL = datetime.timedelta(seconds=60)
TIMEOUT = datetime.timedelta(seconds=20)


def _write(client, key=KEY, lease_id=0):
    return client.transact([], [store.Put(key, b"value", lease_id)])


def _outcome_of(call, *arguments):
    try:
        call(*arguments)
    except errors.StoreUnclearError:
        return "unclear"
    except errors.StoreUnavailableError:
        return "unavailable"
    return "applied"


@behave.given("a faulty store over an in-memory store")
def make_faulty_store(context):
    clock = system_clock.SystemClock()
    context.memory = memory_store.MemoryStore(clock)
    context.store = faulty_store.FaultyStore(context.memory, clock)


@behave.when('the fault "{fault}" is injected into the next write')
def write_with_fault(context, fault):
    rule = faulty_store.FaultRule(
        fault=faulty_store.Fault(fault),
        methods=frozenset({"txn"}),
        prefix="/test/",
        count=1,
        delay=SHORT_DELAY,
    )
    context.store.inject(rule)
    context.outcome = _outcome_of(_write, context.store)


@behave.then('the write ends as "{end}" and the key is "{presence}"')
def check_write(context, end, presence):
    assert context.outcome == end, context.outcome
    found = context.memory.get(KEY)
    assert (found is not None) == (presence == "present"), found


@behave.then("the write after it succeeds")
def check_next_write(context):
    assert _write(context.store).succeeded


@behave.then('{count:d} calls of "{method}" are counted')
def check_count(context, count, method):
    assert context.store.call_count_by_method[method] == count


@behave.when("a watch goes silent and a key is written")
def silence_watch(context):
    context.watch = context.store.watch(KEY, 1)
    rule = faulty_store.FaultRule(fault=faulty_store.Fault.WATCH_SILENT)
    context.store.inject(rule)
    assert context.watch.poll(SHORT_DELAY) == ()
    _write(context.store)


@behave.then("that watch delivers nothing even after the fault has ended")
def check_silent(context):
    context.store.clear()
    assert context.watch.poll(SHORT_DELAY) == ()


@behave.then("a new watch delivers the key")
def check_new_watch(context):
    events = context.store.watch(KEY, 1).poll(TIMEOUT)
    assert [event.item.key for event in events] == [KEY]


@behave.when("the lease of a key lapses at its renewal")
def lapse_at_renewal(context):
    lease_id = context.store.grant_lease(TTL)
    _write(context.store, lease_id=lease_id)
    rule = faulty_store.FaultRule(fault=faulty_store.Fault.LEASE_LAPSED, count=1)
    context.store.inject(rule)
    context.remaining = context.store.keep_alive(lease_id)


@behave.then("the renewal reports no time left and the key is gone")
def check_lapsed(context):
    assert context.remaining == datetime.timedelta(0)
    assert context.store.get(KEY) is None


@behave.given("an in-memory store that retains {count:d} events")
def make_small_store(context, count):
    clock = system_clock.SystemClock()
    context.memory = memory_store.MemoryStore(clock, max_events=count)


@behave.when("{count:d} keys are written")
def write_keys(context, count):
    for index in range(count):
        _write(context.memory, f"/test/{index}")


@behave.then("a watch from the first revision ends with an error")
def check_compacted(context):
    watch = context.memory.watch("/test/", 1)
    assert _outcome_of(watch.poll, SHORT_DELAY) == "unavailable"


@behave.then("a watch from the last revision delivers it")
def check_kept(context):
    events = context.memory.watch("/test/", context.memory.revision).poll(TIMEOUT)
    assert [event.item.key for event in events] == ["/test/29"]


@behave.given("a process of the store stand-in")
def start_store(context):
    context.fleet = processes.ProcessFleet()
    context.add_cleanup(context.fleet.stop_all)
    context.address = context.fleet.start("store", "standin", "store")
    context.client = etcd_store.EtcdStore(context.address, TIMEOUT)


def _control(context, method, path, body=None):
    host, _, port = context.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    payload = json.dumps(body) if body is not None else None
    connection.request(method, path, payload)
    response = connection.getresponse()
    answer = json.loads(response.read())
    connection.close()
    assert response.status == 200, answer
    return answer


@behave.when("its control interface is set to lose the reply of the next write")
def lose_reply(context):
    body = {"fault": "reply_lost", "methods": ["txn"], "count": 1}
    _control(context, "POST", "/control/faults", body)


@behave.then("a client's write is unclear and its key is present")
def check_unclear(context):
    assert _outcome_of(_write, context.client) == "unclear"
    assert context.client.get(KEY).value == b"value"


@behave.when("its control interface is set to take the store down")
def take_down(context):
    _control(context, "POST", "/control/faults", {"fault": "down"})


@behave.then("a client's read is refused")
def check_refused(context):
    assert _outcome_of(context.client.get, KEY) == "unavailable"


@behave.when("its control interface is set to clear all faults")
def end_faults(context):
    _control(context, "DELETE", "/control/faults")


@behave.then(
    "a client's read succeeds and the control interface reports the counted calls"
)
def check_calls(context):
    assert context.client.get(KEY) is not None
    calls = _control(context, "GET", "/control/calls")
    assert calls == {"txn": 1, "range": 3}, calls


@behave.when(
    "a client writes a key with a lease and the control interface lapses all leases"
)
def lapse_on_request(context):
    context.lease_id = context.client.grant_lease(TTL)
    _write(context.client, lease_id=context.lease_id)
    _control(context, "POST", "/control/leases/lapse")


@behave.then("the client's renewal reports no time left and the key is gone")
def check_lapsed_over_http(context):
    assert context.client.keep_alive(context.lease_id) == datetime.timedelta(0)
    assert context.client.get(KEY) is None
