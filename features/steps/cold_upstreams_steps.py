"""Steps for cold upstreams."""

import datetime
import json
import re

import behave
import cold_fleet
import forwarding_bench as benches

from peridothitch import errors
from peridothitch.platform import header_codec, record_codec
from peridothitch.standins import platform_records

_SECONDS = 12.0
_RATE = 20.0
_SECOND = datetime.timedelta(seconds=1)


def _play(context, hosts, arrivals, upstreams, kills):
    context.upstream_count = upstreams
    context.fleet = cold_fleet.ColdFleet(
        hosts, upstreams, arrivals, _RATE, context.seed, kills
    )
    context.fleet.are_owners_lost = getattr(context, "are_owners_lost", False)
    context.fleet.play(_SECONDS)


@behave.given("that the entry hosts don't reach each other")
def cut(context):
    context.are_owners_lost = True


@behave.when(
    "{hosts:d} entry hosts send {arrivals:d} requests a second to"
    " {upstreams:d} cold upstreams"
)
def play(context, hosts, arrivals, upstreams):
    _play(context, hosts, arrivals, upstreams, kills=False)


@behave.when(
    "{hosts:d} entry hosts, one replaced each second, send {arrivals:d} requests a"
    " second to {upstreams:d} cold upstreams"
)
def play_with_kills(context, hosts, arrivals, upstreams):
    _play(context, hosts, arrivals, upstreams, kills=True)


@behave.then("each got at most one and a half times 20 and 5 requests in any second")
def check_most(context):
    most = context.fleet.most_sends()
    assert most <= 1.5 * _RATE + 5, most


@behave.then("together they got at least {share:d} in 100 of what they take")
def check_use(context, share):
    sent = sum(map(len, context.fleet.times_by_id.values()))
    taken = _RATE * context.upstream_count * _SECONDS
    assert 100 * sent >= share * taken, (sent, taken)


@behave.then("at most {share:d} in 100 requests found no upstream")
def check_refused(context, share):
    found = context.fleet.refused_count, context.fleet.arrival_count
    assert 100 * found[0] <= share * found[1], found


def _learn(host, what):
    left = re.search(r"[\d.]+", what)
    cold_time = float(left[0]) * _SECOND if left else 0 * _SECOND
    if what == "knows another upstream":
        host.cold.update_hosts({"i-2": cold_fleet.make_host(2)})
    elif what == "has rules without cold ones":
        host.cold.update_table(cold_fleet.make_table(0.0, 0.0))
        host.hear()
    elif what.startswith("is told"):
        host.cold.record(host.host, cold_time)
    elif "incarnation" in what:
        host.hear(incarnation=2)
    elif what != "knows no upstreams":
        host.hear(cold_time=cold_time)


@behave.given("that an entry host {what}")
def learn_first(context, what):
    context.host = cold_fleet.OneHost()
    _learn(context.host, what)


@behave.when("that host {what}")
def learn_then(context, what):
    _learn(context.host, what)


@behave.then("the upstream is cold for {seconds:g} s")
def check_cold(context, seconds):
    found = context.host.cold_seconds()
    assert abs(found - seconds) <= 0.15, found


@behave.then('the cold time "{text}" is read as {seconds}')
def check_reading(context, text, seconds):
    fields = (("Peridothitch-Cold-Start-Ms", text),)
    found = header_codec.PlatformHeaderCodec().read_response(fields).cold_time
    assert str(found and found / _SECOND) == seconds or (
        found is not None and found / _SECOND == float(seconds)
    ), found


@behave.then('the record value {value} of "{field}" is rejected')
def check_rejected(context, value, field):
    codec = record_codec.PlatformRecordCodec({"fife-a": "fife"})
    change = {field: json.loads(value)}
    try:
        if field == "cold_remaining_ms":
            record = platform_records.host_record("1.2.3.4:5", "s", "fife-a", **change)
            codec.decode_host("servers/i-1", record)
        else:
            service = {"name": "s"} | change
            codec.decode_table(platform_records.configuration(1, [], [service], []))
    except errors.DocumentError as error:
        assert error.code is errors.Code.DOCUMENT_SCHEMA, error
    else:
        raise AssertionError("taken")


@behave.given(
    'cold replicas of "{service}" take {rate:d} requests a second for {seconds:d} s'
)
def configure(context, service, rate, seconds):
    record = json.loads(benches.configuration())
    for entry in record["services"]:
        if entry["name"] == service:
            entry |= {"cold_per_s": rate, "cold_start_s": seconds}
    context.bench.store.put(
        platform_records.CONFIGURATION_KEY, json.dumps(record).encode()
    )


@behave.when(
    'the replica "{replica_id}" comes and callers send {rate:d} requests a second for'
    " {seconds:d} s"
)
def add_replica(context, replica_id, rate, seconds):
    context.bench.add_replica(replica_id, replica_id.partition("-")[0])
    benches.wait_until(
        lambda: replica_id in context.bench.hosts[0].catalogue.hosts(), "it is known"
    )
    context.execute_steps(
        f"When callers send {rate} requests a second to each entry host for {seconds} s"
    )


@behave.then('"{replica_id}" got at most {count:d} requests in any second')
def check_replica(context, replica_id, count):
    received = context.bench.replica_by_id[replica_id].received
    times = [request.received_at for request in received]
    most = max(
        (sum(begin <= at < begin + 1 for at in times) for begin in times), default=0
    )
    assert most <= count, most
