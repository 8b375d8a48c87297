import datetime
import decimal
import json

import behave
import hypothesis
import virtual_clock
from hypothesis import strategies

from peridothitch.adapters import memory_store, metrics
from peridothitch.coordination import usage
from peridothitch.policy import bill
from peridothitch.policy import document as documents
from peridothitch.standins import faulty_store

KEY = bill.UsageKey("example", "chat", bill.Cause.ANSWER.value)
DAY_START = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)


@behave.given(
    "two usage recorders and a store that loses the reply of each first write"
)
def make_recorders(context):
    context.clock = virtual_clock.VirtualClock()
    context.memory = memory_store.MemoryStore(context.clock)
    context.stores = []
    context.recorders = []
    for number in range(2):
        faulty = faulty_store.FaultyStore(context.memory, context.clock)
        faulty.inject(
            faulty_store.FaultRule(
                fault=faulty_store.Fault.REPLY_LOST,
                methods=frozenset({"txn"}),
                count=1,
            )
        )
        context.stores.append(faulty)
        context.recorders.append(
            usage.UsageRecorder(
                faulty, f"entry-{number}", context.clock, metrics.Metrics()
            )
        )


@behave.when(
    "both record {count:d} answers of {tokens:d} tokens at {micros:d} micros "
    "and write twice"
)
def record_and_write(context, count, tokens, micros):
    for recorder in context.recorders:
        for _ in range(count):
            recorder.add(KEY, bill.Usage(1, tokens, micros))
        recorder.write()
        recorder.write()


@behave.when(
    "the store is down while both record {count:d} answers and is up again at the next "
    "write"
)
def record_while_down(context, count):
    for store, recorder in zip(context.stores, context.recorders, strict=True):
        store.clear()
        store.inject(faulty_store.FaultRule(fault=faulty_store.Fault.DOWN))
        for _ in range(count):
            recorder.add(KEY, bill.Usage(1, 10, 50))
        recorder.write()
        store.clear()
        recorder.write()


@behave.then(
    "the day's usage is {requests:d} requests, {tokens:d} tokens and {micros:d} micros"
)
def check_usage(context, requests, tokens, micros):
    found = usage.read_usage(context.memory, context.clock.now().date())
    assert found == {KEY: bill.Usage(requests, tokens, micros)}, found


@behave.then('{spent:d} of 1000 micros after {hours:d} hours of a day is "{alert}"')
def check_alert(context, spent, hours, alert):
    limit = documents.SpendingLimit(customer="example", amount=decimal.Decimal("0.001"))
    now = DAY_START + datetime.timedelta(hours=hours)
    forecast = bill.forecast_limit("daily", limit, spent, now)
    assert forecast.alert is bill.Alert(alert), forecast


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(("a", "b", "c")), strategies.integers(1, 10**9)
    ),
    strategies.floats(0, 10_000),
)
def _divide(tokens_by_customer, price):
    usage_by_key = {
        bill.UsageKey(customer, "chat", bill.Cause.ANSWER.value): bill.Usage(1, tokens)
        for customer, tokens in tokens_by_customer.items()
    }
    shares = bill.share_host_cost(price, usage_by_key)
    expected = price if tokens_by_customer else 0.0
    assert abs(sum(shares.values()) - expected) <= 1e-6 * max(1.0, price)


@behave.then("generated usage divides the hosts' price without a remainder")
def check_division(context):
    _divide()


@behave.when('the entry host "{name}" is stopped')
def stop_entry_host(context, name):
    assert context.fleet.stop(name) == 0


@behave.then(
    "the bill shows at least {tokens:d} tokens of the customer "
    '"{customer}" on the route "{route}"'
)
def check_bill(context, tokens, customer, route):
    store = context.fleet.address_by_name["store"]
    done = context.fleet.run("bill", "--store", store, "--output", "json")
    assert done.returncode == 0, done.stderr
    rows = json.loads(done.stdout)["usage"]
    (row,) = [row for row in rows if row["customer"] == customer]
    assert row["route"] == route and row["tokens"] >= tokens, row
