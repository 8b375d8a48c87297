import concurrent.futures
import dataclasses
import json
import threading

import behave
import request_bench as benches
import request_judge as judge

from peridothitch.policy import concurrency, hedging, retries
from peridothitch.policy import document as documents
from peridothitch.ports import upstream

REQUEST_COUNT = 60
LONG_TOKEN_COUNT = 400


@behave.when("an engine reports in an answer that it is leaving")
def report_leaving(context):
    bench = context.bench = judge.make_bench("chat")
    machine = bench.machine_by_id["writer-0"]
    machine.application.faults.leaving = True
    counts = machine.application.counts
    for _ in range(50):
        bench.send("entry-0")
        if counts.run_count_by_request_id:
            return


@behave.then("no entry host sends it another request")
def check_left(context):
    bench = context.bench
    counts = bench.machine_by_id["writer-0"].application.counts
    before = sum(counts.run_count_by_request_id.values())
    assert before == 1
    for index in range(9):
        bench.send(f"entry-{index % 3}")
    assert sum(counts.run_count_by_request_id.values()) == before


@behave.when("all upstreams are at their concurrency limit")
def fill_upstreams(context):
    bench = context.bench = judge.make_bench("chat")
    full = {name: 1000 for name in bench.machine_by_id}
    for view in bench.view_by_id.values():
        view.in_flight = lambda: full


@behave.then('a further request is refused with code {code:d} and ran "{ran}"')
def check_shed(context, code, ran):
    result = context.bench.send("entry-0")
    assert (result.code, result.ran) == (code, ran), result
    assert context.bench.runs() == 0
    limit = concurrency.ConcurrencyLimit(limit=10)
    assert [limit.allows(8, priority) for priority in (0, 1, 2)] == [1, 1, 0]


@behave.when("a third of the engines refuse connections under many requests")
def fail_third(context):
    bench = context.bench = judge.make_bench("chat")
    bench.machine_by_id["writer-0"].refuses = True
    context.results = []
    for index in range(REQUEST_COUNT):
        bench.request.header_by_name["idempotency-key"] = f"key-{index}"
        context.results.append(bench.send(f"entry-{index % 3}"))


@behave.then("there are at most {maximum:g} attempts for each request")
def check_amplification(context, maximum):
    attempts = len(context.bench.observer.outcomes)
    assert attempts <= maximum * REQUEST_COUNT + 3 * retries.RetryBudget().capacity, (
        attempts
    )
    problems = [json.dumps(result.code) for result in context.results if result.code]
    assert not problems, problems


@behave.given("a bulletin of 400 tokens at an engine with a long prompt")
def make_long_bulletin(context):
    bench = context.bench = judge.make_bench("bulletin")
    body = json.loads(bench.request.body)
    body["max_tokens"] = LONG_TOKEN_COUNT
    body["messages"][0]["content"] = "word " * 2000
    bench.request = dataclasses.replace(bench.request, body=json.dumps(body).encode())
    for machine in bench.machine_by_id.values():
        if machine.host.service == "writer":
            machine.application._token_gap = benches.SECOND / 20


def _list_leaving(bench):
    machine = bench.connection.machine
    leaving = dataclasses.replace(machine.host, state=upstream.HostState.LEAVING)
    bench.host_list.put(leaving)
    for view in bench.view_by_id.values():
        view.refresh()


@behave.when("the engine's reclaim is listed while the stream runs")
def reclaim_engine(context):
    bench = context.bench
    bench.injector_by_fault = {"reclaim": _list_leaving}
    bench.plan = [("mid-stream", "reclaim")]
    context.result = bench.send("entry-0")


@behave.when(
    "the engine's reclaim is listed while the stream runs and it refuses exports"
)
def reclaim_without_export(context):
    context.bench.refused_path = "/v1/kv/export"
    reclaim_engine(context)


def _counts(bench):
    return [
        machine.application.counts
        for machine in bench.machine_by_id.values()
        if machine.host.service == "writer"
    ]


def _check_whole(context):
    caller = judge.Caller("bulletin")
    caller.receive(context.result)
    assert caller.done, context.result
    assert len(caller.token_by_id) == LONG_TOKEN_COUNT + 2
    assert not caller.fault_texts


@behave.then("the answer is whole and the next engine imported the known tokens")
def check_imported(context):
    _check_whole(context)
    assert sum(counts.imported_tokens for counts in _counts(context.bench)) > 0


@behave.then("no token was generated twice or computed again")
def check_no_waste(context):
    counts = _counts(context.bench)
    assert sum(each.generated_tokens for each in counts) == LONG_TOKEN_COUNT, counts
    assert sum(each.prefilled_tokens for each in counts) == 0, counts


@behave.then("the answer is whole and the known tokens were computed again")
def check_recomputed(context):
    _check_whole(context)
    counts = _counts(context.bench)
    assert sum(each.imported_tokens for each in counts) == 0
    assert sum(each.prefilled_tokens for each in counts) > 0


@behave.when("a lookup's first upstream answers only after another one has")
def hedge_lookup(context):
    bench = context.bench = judge.make_bench("lookup")
    pool = concurrent.futures.ThreadPoolExecutor(4)
    context.add_cleanup(pool.shutdown)
    bench.lookup_executor.submit = pool.submit
    answered = threading.Event()
    order = []

    def wrap(name, application):
        def call(environ, start_response):
            order.append(name)
            if len(order) == 1:
                answered.wait()
            return application(environ, start_response)

        call.run_count = application.run_count
        return call

    for name, machine in bench.machine_by_id.items():
        if machine.host.service == "desk":
            machine.application = wrap(name, machine.application)
    context.result = bench.send("entry-0")
    answered.set()
    context.order = order


@behave.then("the lookup's answer comes from the second upstream")
def check_hedged(context):
    assert context.result.status == 200, context.result
    assert len(context.order) == 2, context.order
    assert json.loads(context.result.body)["service"] == context.order[1]


@behave.then("only idempotent lookups of plain services may be hedged")
def check_hedge_rule(context):
    allowed = [
        (method, effect, protocol)
        for method in ("GET", "POST")
        for effect in documents.Effect
        for protocol in documents.Protocol
        if hedging.may_hedge(method, effect, protocol)
    ]
    plain = documents.Protocol.PLAIN
    assert allowed == [("GET", documents.Effect.IDEMPOTENT, plain)], allowed
