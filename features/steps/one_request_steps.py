import contextlib
import dataclasses
from unittest import mock

import behave
import hypothesis
import request_bench as benches
import request_faults as faults
import request_judge as judge
from hypothesis import strategies

from peridothitch import errors
from peridothitch.coordination import claim_records, claims, streams
from peridothitch.gateway import durable, request_adoption
from peridothitch.policy import retries

HISTORY_COUNT = 300


def _broken_claim(claim_store, customer, request_id, digest, lifetime, request=None):
    stored = claim_store._create(
        customer, request_id, _claim(claim_store, digest, lifetime, request)
    )
    return dataclasses.replace(stored, owned=True)


def _claim(claim_store, digest, lifetime, request):
    return claim_records.Claim(
        nonce="n",
        digest=digest,
        holder=claim_store.holder,
        expires=claim_store._expiry(lifetime),
        request=request,
    )


PATCH_BY_MECHANISM = {
    "claims": lambda: mock.patch.object(claims.ClaimStore, "claim", _broken_claim),
    "copies": lambda: mock.patch.object(
        streams.StreamReplicator, "push", lambda copy, events, done=False: True
    ),
    "fencing": lambda: mock.patch.object(
        durable.DurableRequests,
        "_fence",
        lambda requests, stored, holder: durable.resumption.StreamProgress(),
    ),
    "retry rule": lambda: mock.patch.object(
        retries, "may_repeat", lambda effect, error: True
    ),
    "release rule": lambda: _always_report_not_run(),
    "adoption": lambda: mock.patch.object(
        request_adoption.RequestAdopter, "adopt", lambda *arguments: None
    ),
}


@contextlib.contextmanager
def _always_report_not_run():
    original = errors.RequestError.__init__

    def report_not_run(error, code, detail, ran=errors.Ran.NO, retry_after=None):
        original(error, code, detail, errors.Ran.NO, retry_after)

    with mock.patch.object(errors.RequestError, "__init__", report_not_run):
        yield


def _run_cells(stop_at=None):
    broken = {}
    for fault, step, kind in judge.cells():
        verdict, _ = judge.run_history(kind, [(step, fault)])
        if verdict.marks:
            broken[fault, step, kind] = verdict
            if stop_at is not None and stop_at in verdict.marks:
                break
    return broken


@behave.when("each fault is injected into each kind of request at each step")
def run_matrix(context):
    context.broken = _run_cells()


@behave.then("none of the requests is lost, run twice or misreported")
def check_matrix(context):
    assert not context.broken, context.broken


@behave.then("no generated history loses, runs twice or misreports a request")
def check_histories(context):
    plans = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(benches.STEPS),
            strategies.sampled_from(faults.FAULTS),
        ),
        min_size=1,
        max_size=4,
    )

    @hypothesis.settings(max_examples=HISTORY_COUNT)
    @hypothesis.given(strategies.sampled_from(benches.KINDS), plans)
    def holds(kind, plan):
        verdict, _ = judge.run_history(kind, plan)
        assert not verdict.marks, (verdict, kind, plan)

    holds()


@behave.when(
    'each fault is injected into each kind of request while "{mechanism}" is broken'
)
def break_mechanism(context, mechanism):
    context.mechanism = mechanism


@behave.then('the matrix shows "{mark}"')
def check_broken_matrix(context, mark):
    with PATCH_BY_MECHANISM[context.mechanism]():
        broken = _run_cells(mark)
    assert mark in "".join(verdict.marks for verdict in broken.values()), broken


@behave.given("a chat request that crashes each engine that runs it")
def make_poisoned(context):
    context.bench = judge.make_bench("chat", poisoned=True)


@behave.when("its caller sends it to one entry host after another")
def send_to_each_host(context):
    bench = context.bench
    context.results = [bench.send(f"entry-{index % 3}") for index in range(6)]
    for _ in range(5):
        bench.clock.advance(benches.SECOND)
        bench.settle()


@behave.then("two engines crashed and every entry host refuses it with code 1010")
def check_quarantine(context):
    machines = context.bench.machine_by_id.values()
    assert sum(machine.dead for machine in machines) == 2
    assert {result.code for result in context.results} == {1010}, context.results
    assert [result.ran for result in context.results] == ["unknown"] + ["no"] * 5


@behave.then("its crashes are excluded from the evidence on the version")
def check_excused(context):
    outcomes = context.bench.observer.outcomes
    crashes = [outcome for outcome in outcomes if outcome.code is not None]
    assert len(crashes) == 2, outcomes
    assert all(outcome.caused_by_request for outcome in crashes), crashes


@behave.when("another request runs at the same engine during the first crash")
def run_beside(context):
    bench = context.bench
    poisoned = bench.request
    bystander = benches.make_request("bulletin")
    bench.request = bystander
    bench.mid_stream_events = 3

    def crash(crashing_bench):
        bench.request = poisoned
        engine = crashing_bench.connection.machine
        others = [m for m in crashing_bench.machine_by_id.values() if m is not engine]
        for machine in others:
            machine.refuses = True
        connection = crashing_bench.connection
        bench.nested.append(bench.send("entry-1"))
        crashing_bench.connection = connection
        bench.request = bystander
        for machine in others:
            machine.refuses = False

    bench.injector_by_fault = {"poisoned request": crash}
    bench.plan = [("mid-stream", "poisoned request")]
    context.result = bench.send("entry-0")


@behave.then("the other request gets its whole answer and is not quarantined")
def check_bystander(context):
    assert b"[DONE]" in context.result.body, context.result
    facts = context.bench.fact_registry.facts("quarantine")
    assert len(facts) <= 1, facts
    bench = context.bench
    request = dataclasses.replace(
        bench.request,
        header_by_name=bench.request.header_by_name | {"idempotency-key": "key-2"},
    )
    bench.request = request
    result = bench.send("entry-2")
    assert b"[DONE]" in result.body, result


@behave.when("a caller sends a payment and then another body with the same key")
def reuse_key(context):
    bench = judge.make_bench("payment")
    bench.send("entry-0")
    bench.request = dataclasses.replace(bench.request, body=b'{"amount": "99"}')
    context.result = bench.send("entry-1")


@behave.then('the second answer has code {code:d} and ran "{ran}"')
def check_second(context, code, ran):
    assert (context.result.code, context.result.ran) == (code, ran), context.result


@behave.then("two customers' requests with one key have different ids")
def check_scoped(context):
    @hypothesis.given(strategies.text(), strategies.text(), strategies.text())
    def differ(first, second, key):
        hypothesis.assume(first != second)
        hypothesis.assume("\n" not in first + second)
        ids = {claim_records.make_request_id(name, key) for name in (first, second)}
        assert len(ids) == 2

    differ()


@behave.when(
    "a bulletin's entry host is killed mid-stream and the caller asks by request id"
)
def resume_by_id(context):
    bench = judge.make_bench("bulletin", plan=[("reply", "entry host killed")])
    context.first = bench.send("entry-0")
    request_id = claim_records.make_request_id("parish", "key-1")
    bench.request = dataclasses.replace(
        bench.request, method="GET", path=f"/v1/requests/{request_id}", body=b""
    )
    context.second = bench.send("entry-2", context.first.body.count(b"id: ") - 1)


@behave.then("the rest of the events follows without a gap and without a repeat")
def check_resumed(context):
    assert context.first.cut
    caller = judge.Caller("bulletin")
    caller.receive(dataclasses.replace(context.first, status=200))
    caller.receive(context.second)
    assert caller.done, context.second
    assert not caller.fault_texts, caller.fault_texts
