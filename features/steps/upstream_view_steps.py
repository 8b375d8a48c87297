import datetime
import json

import behave
import processes

from peridothitch.adapters import metrics, system_clock
from peridothitch.coordination import single_host
from peridothitch.gateway import embedded, jobs, upstreams
from peridothitch.policy import document as documents
from peridothitch.policy import load_estimates, route_table
from peridothitch.ports import facts, messages, upstream
from peridothitch.standins import hosts as host_lists

SLOTS = load_estimates.Profile().slots
LEAVING = upstream.HostState.LEAVING


def make_host(index, state=upstream.HostState.LIVE):
    return upstream.Host(
        host_id=f"h{index}",
        address=f"127.0.0.1:{9000 + index}",
        service="model",
        version="v1",
        data_centre=f"dc{index % 3}",
        price_per_hour=1.0,
        state=state,
    )


@behave.given("an embedded system with reporting engines")
def start_embedded(context):
    context.system = embedded.EmbeddedSystem()
    context.system.start()
    context.add_cleanup(context.system.stop)


@behave.when("a conversation of three turns is held")
def hold_conversation(context):
    address = f"127.0.0.1:{context.system.port}"
    turns = [{"role": "user", "content": "path " * 800}]
    context.request_ids = []
    for _ in range(3):
        answer = processes.send_request(
            address,
            "POST",
            "/v1/chat/completions",
            {"messages": turns, "max_tokens": 4},
            key=embedded.EXAMPLE_KEY,
        )
        assert answer.status == 200, answer
        context.request_ids.append(answer.header_by_name["x-request-id"])
        reply = json.loads(answer.body)["choices"][0]["message"]
        turns = [*turns, reply, {"role": "user", "content": "and then?"}]


@behave.then("all turns ran at one engine and the metrics count a choice by prefix")
def check_conversation(context):
    engines = context.system.engine_by_id
    ran_at = [
        host_id
        for request_id in context.request_ids
        for host_id, engine in engines.items()
        if engine.run_count(request_id)
    ]
    assert len(ran_at) == 3 and len(set(ran_at)) == 1, ran_at
    counted = context.system.entry_host.metrics
    assert counted.value("choices", service="assistant", reason="prefix") >= 2
    assert counted.value("prompt_tokens_cached", service="assistant") > 0


def make_job():
    route = documents.Route(method="POST", path="/x", service="model")
    service = documents.Service(
        protocol=documents.Protocol.CHAT,
        current="v1",
        versions={"v1": documents.Version()},
    )
    return jobs.Job(
        request=messages.Request(method="POST", path="/x", body=b"{}"),
        document=documents.Document(service_by_name={"model": service}),
        match=route_table.RouteMatch("x", route),
        customer="c",
        request_id="r",
        key="k",
        deadline=datetime.timedelta(days=10_000),
        chat={"messages": [{"role": "user", "content": "hello"}]},
    )


@behave.given("two upstream views that share facts")
def make_views(context):
    fact_registry = single_host.LocalFactRegistry()
    context.listed = host_lists.StaticHostList(make_host(index) for index in range(3))
    clock = system_clock.SystemClock()
    context.fact_registry = fact_registry
    context.views = [
        upstreams.UpstreamView(
            context.listed,
            clock,
            metrics.Metrics(),
            fact_registry=fact_registry,
            data_centre="dc0",
        )
        for _ in range(2)
    ]
    for view in context.views:
        view.refresh()


@behave.when("one view receives reports that a host is full and another is leaving")
def report_to_one_view(context):
    full = load_estimates.LoadReport(SLOTS, 90_000)
    context.views[0].record_report(make_host(1), full)
    context.listed.put(make_host(2, state=LEAVING))
    context.views[0].refresh()
    assert set(context.fact_registry.facts(upstreams.LEAVING_KIND)) == {"h2"}


@behave.then("the other view chooses neither of them")
def check_other_view(context):
    for _ in range(20):
        decision = context.views[1].choose(make_job(), "v1", ())
        assert decision.host.host_id == "h0", decision
    decision = context.views[1].choose(make_job(), "v1", ("h0",))
    assert decision.host.host_id == "h1", "a full host is better than none"
    assert context.views[1].choose(make_job(), "v1", ("h0", "h1")) is None
    late = facts.Fact(upstreams.LEAVING_KIND, "h0", 1)
    context.fact_registry.publish(late)
    assert context.views[1].choose(make_job(), "v1", ("h1",)) is None
