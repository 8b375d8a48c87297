import contextlib
import dataclasses
import json
from unittest import mock

import behave
import hypothesis
import request_bench as benches
import request_faults as faults
import request_judge as judge
from hypothesis import strategies

from peridothitch import errors
from peridothitch.coordination import claim_records, claims, streams
from peridothitch.gateway import durable, keeper
from peridothitch.policy import concurrency, retries
from peridothitch.ports import upstream

HISTORIES = 300
REQUESTS = 60
LONG_TOKENS = 400


def _broken_claim(book, customer, request_id, digest, lifetime, request=None):
    hold = book._create(customer, request_id, _claim(book, digest, lifetime, request))
    return dataclasses.replace(hold, owned=True)


def _claim(book, digest, lifetime, request):
    return claim_records.Claim(
        nonce="n",
        digest=digest,
        holder=book.holder,
        expires=book._expiry(lifetime),
        request=request,
    )


BREAK_BY_MECHANISM = {
    "claims": lambda: mock.patch.object(claims.ClaimBook, "claim", _broken_claim),
    "copies": lambda: mock.patch.object(
        streams.StreamCopy, "push", lambda copy, events, done=False: True
    ),
    "fencing": lambda: mock.patch.object(
        durable.DurableRequests,
        "_fence",
        lambda requests, hold, holder: durable.resumption.Progress(),
    ),
    "retry rule": lambda: mock.patch.object(
        retries, "may_repeat", lambda effect, error: True
    ),
    "release rule": lambda: _told_not_run(),
    "adoption": lambda: mock.patch.object(
        keeper.Keeper, "adopt", lambda *arguments: None
    ),
}


@contextlib.contextmanager
def _told_not_run():
    plain = errors.RequestError.__init__

    def told(error, code, detail, ran=errors.Ran.NO, retry_after=None):
        plain(error, code, detail, errors.Ran.NO, retry_after)

    with mock.patch.object(errors.RequestError, "__init__", told):
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


@behave.when("each fault strikes each kind of request at each step")
def run_matrix(context):
    context.broken = _run_cells()


@behave.then("none of the requests is lost, doubled or wrongly told")
def check_matrix(context):
    assert not context.broken, context.broken


@behave.then("no generated history loses, doubles or wrongly tells a request")
def check_histories(context):
    plans = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(benches.STEPS),
            strategies.sampled_from(faults.FAULTS),
        ),
        min_size=1,
        max_size=4,
    )

    @hypothesis.settings(max_examples=HISTORIES)
    @hypothesis.given(strategies.sampled_from(benches.KINDS), plans)
    def keeps_promises(kind, plan):
        verdict, _ = judge.run_history(kind, plan)
        assert not verdict.marks, (verdict, kind, plan)

    keeps_promises()


@behave.when('each fault strikes each kind of request while "{mechanism}" is broken')
def break_mechanism(context, mechanism):
    context.mechanism = mechanism


@behave.then('the matrix shows "{mark}"')
def check_broken_matrix(context, mark):
    with BREAK_BY_MECHANISM[context.mechanism]():
        broken = _run_cells(mark)
    assert mark in "".join(verdict.marks for verdict in broken.values()), broken


def _make_bench(kind, poisoned=False, plan=()):
    bench = benches.Bench(faults.STRIKE_BY_FAULT, plan)
    bench.request = benches.make_request(kind, poisoned)
    return bench


@behave.given("a chat request that crashes each engine that runs it")
def make_poisoned(context):
    context.bench = _make_bench("chat", poisoned=True)


@behave.when("its caller sends it to one entry host after another")
def send_around(context):
    bench = context.bench
    context.tolds = [bench.send(f"entry-{index % 3}") for index in range(6)]
    for _ in range(5):
        bench.clock.advance(benches.SECOND)
        bench.settle()


@behave.then("two engines crashed and every entry host refuses it with code 1010")
def check_quarantine(context):
    machines = context.bench.machine_by_id.values()
    assert sum(machine.dead for machine in machines) == 2
    assert {told.code for told in context.tolds} == {1010}, context.tolds
    assert [told.ran for told in context.tolds] == ["unknown"] + ["no"] * 5


@behave.then("its crashes are excused from the evidence on the version")
def check_excused(context):
    found = context.bench.observer.outcomes
    crashes = [outcome for outcome in found if outcome.code is not None]
    assert len(crashes) == 2, found
    assert all(outcome.excused for outcome in crashes), crashes


@behave.when("another request runs at the same engine during the first crash")
def run_beside(context):
    bench = context.bench
    poisoned = bench.request
    innocent = benches.make_request("bulletin")
    bench.request = innocent
    bench.mid_stream_events = 3

    def crash(acting):
        bench.request = poisoned
        engine = acting.line.machine
        others = [m for m in acting.machine_by_id.values() if m is not engine]
        for machine in others:
            machine.refuses = True
        line = acting.line
        bench.nested.append(bench.send("entry-1"))
        acting.line = line
        bench.request = innocent
        for machine in others:
            machine.refuses = False

    bench.strikes = {"poisoned request": crash}
    bench.plan = [("mid-stream", "poisoned request")]
    context.told = bench.send("entry-0")


@behave.then("the other request gets its whole answer and is not quarantined")
def check_innocent(context):
    assert b"[DONE]" in context.told.body, context.told
    facts = context.bench.board.facts("quarantine")
    assert len(facts) <= 1, facts
    bench = context.bench
    request = dataclasses.replace(
        bench.request,
        header_by_name=bench.request.header_by_name | {"idempotency-key": "key-2"},
    )
    bench.request = request
    told = bench.send("entry-2")
    assert b"[DONE]" in told.body, told


@behave.when("a caller sends a payment and then another body with the same key")
def reuse_key(context):
    bench = _make_bench("payment")
    bench.send("entry-0")
    bench.request = dataclasses.replace(bench.request, body=b'{"amount": "99"}')
    context.told = bench.send("entry-1")


@behave.then('the second answer has code {code:d} and ran "{ran}"')
def check_second(context, code, ran):
    assert (context.told.code, context.told.ran) == (code, ran), context.told


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
    bench = _make_bench("bulletin", plan=[("reply", "entry host killed")])
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
    caller.take(dataclasses.replace(context.first, status=200))
    caller.take(context.second)
    assert caller.done, context.second
    assert not caller.fault_texts, caller.fault_texts


@behave.when("an engine says in an answer that it is leaving")
def tell_leaving(context):
    bench = context.bench = _make_bench("chat")
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
    bench = context.bench = _make_bench("chat")
    full = {name: 1000 for name in bench.machine_by_id}
    for view in bench.view_by_id.values():
        view.in_flight = lambda: full


@behave.then('a further request is refused with code {code:d} and ran "{ran}"')
def check_shed(context, code, ran):
    told = context.bench.send("entry-0")
    assert (told.code, told.ran) == (code, ran), told
    assert context.bench.runs() == 0
    limit = concurrency.ConcurrencyLimit(limit=10)
    assert [limit.allows(8, priority) for priority in (0, 1, 2)] == [1, 1, 0]


@behave.when("a third of the engines refuse connections under many requests")
def fail_third(context):
    bench = context.bench = _make_bench("chat")
    bench.machine_by_id["writer-0"].refuses = True
    context.tolds = []
    for index in range(REQUESTS):
        bench.request.header_by_name["idempotency-key"] = f"key-{index}"
        context.tolds.append(bench.send(f"entry-{index % 3}"))


@behave.then("there are at most {most:g} attempts for each request")
def check_amplification(context, most):
    attempts = len(context.bench.observer.outcomes)
    assert attempts <= most * REQUESTS + 3 * retries.RetryBudget().capacity, attempts
    problems = [json.dumps(told.code) for told in context.tolds if told.code]
    assert not problems, problems


@behave.given("a bulletin of 400 tokens at an engine with a long prompt")
def make_long_bulletin(context):
    bench = context.bench = _make_bench("bulletin")
    body = json.loads(bench.request.body)
    body["max_tokens"] = LONG_TOKENS
    body["messages"][0]["content"] = "word " * 2000
    bench.request = dataclasses.replace(bench.request, body=json.dumps(body).encode())
    for machine in bench.machine_by_id.values():
        if machine.host.service == "writer":
            machine.application._token_gap = benches.SECOND / 20


def _list_leaving(bench):
    machine = bench.line.machine
    leaving = dataclasses.replace(machine.host, state=upstream.HostState.LEAVING)
    bench.host_list.put(leaving)
    for view in bench.view_by_id.values():
        view.refresh()


@behave.when("the engine's reclaim is listed while the stream runs")
def reclaim_engine(context):
    bench = context.bench
    bench.strikes = {"reclaim": _list_leaving}
    bench.plan = [("mid-stream", "reclaim")]
    context.told = bench.send("entry-0")


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
    caller.take(context.told)
    assert caller.done, context.told
    assert len(caller.token_by_id) == LONG_TOKENS + 2
    assert not caller.fault_texts


@behave.then("the answer is whole and the next engine imported the tokens known")
def check_imported(context):
    _check_whole(context)
    assert sum(counts.imported_tokens for counts in _counts(context.bench)) > 0


@behave.then("no token was generated twice or computed again")
def check_no_waste(context):
    counts = _counts(context.bench)
    assert sum(each.generated_tokens for each in counts) == LONG_TOKENS, counts
    assert sum(each.prefilled_tokens for each in counts) == 0, counts


@behave.then("the answer is whole and the tokens known were computed again")
def check_recomputed(context):
    _check_whole(context)
    counts = _counts(context.bench)
    assert sum(each.imported_tokens for each in counts) == 0
    assert sum(each.prefilled_tokens for each in counts) > 0
