"""Steps for the loans between entry hosts."""

import behave
import msgspec
import quota_fleet

from peridothitch import errors
from peridothitch.ports import forwarding

_LOAN = "forwarding.loan"
_SEED_COUNT = 3
_START_SECONDS = 12
_LOAD_SECONDS = 24
_MOVE_SECONDS = 4


@behave.given("{hosts:d} hosts share a quota of {rate:d} tokens a second")
def describe(context, hosts, rate):
    quota = forwarding.Quota(rate=rate, burst=rate, counts_tokens=True)
    context.span_limit = quota_fleet.span_limit(quota)
    context.quota = quota
    context.hosts = hosts
    _start(context, quota_fleet.MEAN_TOKENS)


def _start(context, mean_tokens):
    context.fleets = [
        quota_fleet.QuotaFleet(context.hosts, seed, context.quota, mean_tokens)
        for seed in range(_SEED_COUNT)
    ]
    for fleet in context.fleets:
        fleet.idle(_START_SECONDS)


@behave.when(
    "a customer asks for {multiple:g} times its quota in requests of about {tokens:d}"
)
def ask(context, multiple, tokens):
    _start(context, tokens)
    for fleet in context.fleets:
        fleet.play(multiple, _LOAD_SECONDS)


@behave.when(
    "a customer's demand of {multiple:g} times its quota moves between hosts each"
    " 4 seconds"
)
def move_demand(context, multiple):
    for fleet in context.fleets:
        for _ in range(_LOAD_SECONDS // _MOVE_SECONDS):
            fleet.change_weights()
            fleet.play(multiple, _MOVE_SECONDS)


@behave.when("a third of them is cut off and the demand rises from 0.5 to {multiple:g}")
def cut_off(context, multiple):
    for fleet in context.fleets:
        fleet.play(0.5, _START_SECONDS)
        fleet.cut_off(list(fleet.peer_by_id)[: context.hosts // 3])
        fleet.play(0.5, 0.5)
        fleet.play(multiple, _LOAD_SECONDS)


@behave.when("all its owners restart while the demand is {before:g} and then {after:g}")
def restart_owners(context, before, after):
    for fleet in context.fleets:
        fleet.play(before, _LOAD_SECONDS)
        for host_id in fleet.owner_ids():
            fleet.start_host(host_id)
        fleet.play(after, _LOAD_SECONDS)


@behave.when(
    "all hosts restart at {before:g} times the quota and the demand is then {after:g}"
)
def restart_all(context, before, after):
    for fleet in context.fleets:
        fleet.play(before, _LOAD_SECONDS)
        fleet.restart(before)
        fleet.play(after, _LOAD_SECONDS)


@behave.then("at most {count:d} in 1000 requests is refused")
def check_refused(context, count):
    refused = [fleet.refused_share() for fleet in context.fleets]
    assert sum(refused) / len(refused) <= count / 1000, refused


@behave.then("the permitted use is not exceeded")
def check_span(context):
    for fleet in context.fleets:
        used = fleet.max_tokens_in_span()
        assert used <= context.span_limit, (used, context.span_limit)


@behave.then("it gets at least its quota")
def check_delivered(context):
    for fleet in context.fleets:
        rate = fleet.admitted_rate()
        assert rate >= context.quota.rate, (rate, context.quota.rate)


@behave.when("a peer asks a host for a loan of {units}")
def ask_absurd(context, units):
    host = next(iter(context.fleets[0].host_by_id.values()))
    payload = b"\xc1garbage"
    if units != "garbage":
        payload = msgspec.msgpack.encode([quota_fleet.CUSTOMER, float(units)])
    context.used = host.limiter.used()
    context.host = host
    context.error = None
    try:
        host.peers.handler_by_method[_LOAN](payload)
    except errors.PeerError as error:
        context.error = error


@behave.then("it is refused with code {code:d} and nothing is lent")
def check_absurd(context, code):
    assert context.error is not None and int(context.error.code) == code, context.error
    assert context.host.limiter.used() == context.used


@behave.then("each request counts once in the customer's demand of {multiple:g}")
def check_demand(context, multiple):
    demands = []
    for fleet in context.fleets:
        for _ in range(_LOAD_SECONDS // 2):
            fleet.play(multiple, 1)
            demands.append(fleet.demand())
    mean_demand = sum(demands) / len(demands)
    expected = multiple * context.quota.rate
    assert mean_demand <= 1.1 * expected, (mean_demand, expected)
