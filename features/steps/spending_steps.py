import datetime

import behave
import processes
import spending_fleet

from peridothitch import errors
from peridothitch.coordination import local_budgets, slice_ledger
from peridothitch.gateway import embedded
from peridothitch.standins import faulty_store

HOUR = datetime.timedelta(hours=1)
MAX_REQUEST_COUNT = 500
DOWN = faulty_store.FaultRule(fault=faulty_store.Fault.DOWN)


@behave.given(
    "a spending fleet of {count:d} hosts with a limit of {amount:d} micros an hour"
)
def make_spending_fleet(context, count, amount):
    context.fleet = spending_fleet.SpendingFleet(count, amount)
    context.period = context.fleet.current_period()


@behave.when("each host reserves and settles {amount:d} micros until it is refused")
def spend_until_refused(context, amount):
    fleet = context.fleet
    context.codes = set()
    admitting_hosts = list(fleet.host_by_id.values())
    for _ in range(MAX_REQUEST_COUNT):
        for host in list(admitting_hosts):
            code = fleet.reserve(host, amount)
            if code is not None:
                context.codes.add(code)
                admitting_hosts.remove(host)
            fleet.settle(host, 1)
            fleet.clock.advance(datetime.timedelta(milliseconds=50))


@behave.then("the hosts have spent between {low:d} and {high:d} micros")
def check_spent(context, low, high):
    spent = context.fleet.committed(context.period)
    assert low <= spent <= high, spent


@behave.then("the refusals carry the code {code:d} and the time to the end of the hour")
def check_refusals(context, code):
    fleet = context.fleet
    assert context.codes == {errors.Code(code)}, context.codes
    host = next(iter(fleet.host_by_id.values()))
    try:
        host.limiter.reserve([fleet.charge(host, 900)])
    except errors.RequestError as error:
        expected = context.period.end - fleet.clock.now()
        assert error.retry_after == expected, error.retry_after
        assert error.ran is errors.Ran.NO
        return
    raise AssertionError("the reservation was admitted")


@behave.when("an hour passes")
def pass_hour(context):
    context.fleet.clock.advance(HOUR)


@behave.then("each host can reserve {amount:d} micros again")
def check_renewed(context, amount):
    for host in context.fleet.host_by_id.values():
        assert context.fleet.reserve(host, amount) is None


@behave.when("the store is down for all spending hosts")
def break_store(context):
    for host in context.fleet.host_by_id.values():
        host.store.inject(DOWN)


@behave.then(
    "a reservation of {amount:d} micros at each host is refused with the code {code:d}"
)
def check_refused(context, amount, code):
    for host in context.fleet.host_by_id.values():
        refusal_code = context.fleet.reserve(host, amount)
        assert refusal_code is errors.Code(code), refusal_code


@behave.when("the reply of the next ledger write is lost")
def lose_ledger_reply(context):
    for host in context.fleet.host_by_id.values():
        host.store.inject(_rule("reply_lost"))


def _rule(fault):
    return faulty_store.FaultRule(
        fault=faulty_store.Fault(fault), methods=frozenset({"txn"}), count=1
    )


@behave.then("a reservation of {amount:d} micros at each host is admitted")
def check_admitted(context, amount):
    for host in context.fleet.host_by_id.values():
        assert context.fleet.reserve(host, amount) is None


def _granted_and_held(fleet):
    held = fleet.committed(fleet.current_period())
    granted = 0
    for host in fleet.host_by_id.values():
        for budget_status in host.limiter.budget_statuses().values():
            held += budget_status.available
        ledger = slice_ledger.SliceLedger(fleet.memory, "observer")
        budget = fleet.charge(host, 0).to_allotment()
        name = local_budgets.budget_name(budget)
        granted = ledger.granted(slice_ledger.Budget(name=name, limit_micros=0))
    return granted, held


@behave.then("the ledger has granted no more than the hosts hold")
def check_grants_found(context):
    granted, held = _granted_and_held(context.fleet)
    assert granted == held, (granted, held)


@behave.when(
    "a host gives back a slice and the write takes effect after it was read back"
)
def give_back_late(context):
    fleet = context.fleet
    for host in fleet.host_by_id.values():
        assert fleet.reserve(host, 300) is None
        fleet.settle(host, 0)
    for host in fleet.host_by_id.values():
        host.delaying_store.hold_next = 3
        host.limiter.close()


@behave.then("the ledger's grants cover everything that the hosts hold")
def check_grants_cover(context):
    granted, held = _granted_and_held(context.fleet)
    assert granted >= held, (granted, held)


@behave.when(
    "each host holds a slice and the limit is lowered to what is already spent"
)
def lower_limit(context):
    fleet = context.fleet
    for host in fleet.host_by_id.values():
        assert fleet.reserve(host, 100) is None
        fleet.settle(host, 0.5)
    _lower(fleet, fleet.committed(context.period))


def _lower(fleet, amount):
    fleet.revision += 1
    fleet.limit_by_revision[fleet.revision] = amount
    for host in fleet.host_by_id.values():
        host.revision = fleet.revision


@behave.then("no host that has the new limit can reserve {amount:d} micros")
def check_lowered(context, amount):
    for host in context.fleet.host_by_id.values():
        refusal_code = context.fleet.reserve(host, amount)
        assert refusal_code is errors.Code.LIMIT_REACHED, refusal_code


@behave.when(
    "each host reserves {amount:d} micros, the limit falls to {limit:d} "
    "and nothing was used"
)
def lower_under_reservations(context, amount, limit):
    fleet = context.fleet
    for host in fleet.host_by_id.values():
        assert fleet.reserve(host, amount) is None
    _lower(fleet, limit)
    for host in fleet.host_by_id.values():
        fleet.reserve(host, 1)
        fleet.settle(host, 0)


@behave.then("the hosts can reserve no more than {amount:d} micros in all")
def check_reservable(context, amount):
    fleet = context.fleet
    for host in fleet.host_by_id.values():
        while fleet.reserve(host, 10) is None:
            assert fleet.committed(context.period) <= amount


@behave.when(
    "one host receives the lowered limit of {limit:d} and reserves {amount:d} micros"
)
def lower_at_one_host(context, limit, amount):
    fleet = context.fleet
    fleet.limit_by_revision[2] = limit
    host = fleet.host_by_id["entry-0"]
    host.revision = 2
    assert fleet.reserve(host, amount) is None


@behave.when("each host holds an unused slice and gives it back while replies are lost")
def give_back_without_replies(context):
    fleet = context.fleet
    for host in fleet.host_by_id.values():
        assert fleet.reserve(host, 200) is None
        fleet.settle(host, 0)
    fleet.lose_replies = True
    for host in fleet.host_by_id.values():
        host.limiter.close()


@behave.when("every spending host stops")
def stop_hosts(context):
    for host in context.fleet.host_by_id.values():
        host.limiter.close()


@behave.then("the ledger has granted exactly what was spent")
def check_returned(context):
    granted, held = _granted_and_held(context.fleet)
    spent = context.fleet.committed(context.period)
    assert granted == held == spent, (granted, held, spent)


@behave.given(
    "an embedded system whose customer may spend {amount} a day "
    "at {price} per 1000 tokens"
)
def start_embedded(context, amount, price):
    limit = (
        f"{{customer: example, amount: '{amount}', price_per_1000_tokens: '{price}'}}"
    )
    text = embedded.EXAMPLE_DOCUMENT.replace(
        "spending: {}", f"spending: {{daily: {limit}}}"
    )
    context.system = embedded.EmbeddedSystem(text)
    context.system.start()
    context.add_cleanup(context.system.stop)


@behave.when("the customer asks for answers of {count:d} tokens until one is refused")
def ask_until_refused(context, count):
    body = {"messages": [{"role": "user", "content": "Hi"}], "max_tokens": count}
    for _ in range(MAX_REQUEST_COUNT):
        context.answer = processes.send_request(
            f"127.0.0.1:{context.system.port}", "POST", "/v1/chat/completions", body
        )
        if context.answer.status != 200:
            return


@behave.then('the refusal has code {code:d}, ran "{ran}" and a Retry-After')
def check_refusal(context, code, ran):
    problem = context.answer.json()
    assert (problem["code"], problem["ran"]) == (code, ran), problem
    assert int(context.answer.header_by_name["retry-after"]) > 0


@behave.then("the spending settled is at least {low:f} and at most {high:f}")
def check_settled(context, low, high):
    budget_statuses = (
        context.system.entry_host.spending_limiter.budget_statuses().values()
    )
    spent = sum(budget.spent for budget in budget_statuses) / 1_000_000
    assert low <= spent <= high, spent
