import json
import pathlib
import tempfile

import behave
import processes

from peridothitch.gateway import embedded

CHAT = {"messages": [{"role": "user", "content": "Hello"}]}
PAYMENT_KEY = {"idempotency-key": "payment-1"}


@behave.given(
    "a store, a host list, three engines, two services and two entry hosts as processes"
)
def start_fleet(context):
    fleet = processes.ProcessFleet()
    context.fleet = fleet
    context.add_cleanup(fleet.stop_all)
    store = fleet.start("store", "standin", "store")
    lines = []
    for index in range(3):
        name = f"engine-{index}"
        address = fleet.start(name, "standin", "engine", "--name", name)
        lines += ["--upstream", f"{name},{address},assistant,v1,lothian"]
    for index in range(2):
        name = f"service-{index}"
        address = fleet.start(name, "standin", "service", "--name", name)
        lines += ["--upstream", f"{name},{address},ticketing,v1,fife"]
    host_list = fleet.start("hosts", "standin", "hosts", *lines)
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    document = pathlib.Path(context.folder.name) / "document.yaml"
    document.write_text(embedded.EXAMPLE_DOCUMENT, encoding="utf-8")
    done = fleet.run("config", "create", "--store", store, document)
    assert done.returncode == 0, done.stderr
    for index in range(2):
        fleet.start(
            f"entry-{index}",
            "serve",
            *("--host-id", f"entry-{index}"),
            *("--data-centre", "lothian"),
            *("--listen", "127.0.0.1:0"),
            *("--store", store),
            *("--host-list", host_list),
        )


@behave.when('a caller asks the entry host "{name}" for a streamed answer of 20 tokens')
def ask_streamed(context, name):
    body = CHAT | {"stream": True, "max_tokens": 20}
    context.answer = processes.send_request(
        context.fleet.address_by_name[name], "POST", "/v1/chat/completions", body
    )


@behave.then("the caller receives 20 tokens in order and the end mark")
def check_stream(context):
    assert context.answer.status == 200, context.answer
    lines = [
        line.removeprefix(b"data: ")
        for line in context.answer.body.splitlines()
        if line.startswith(b"data: ")
    ]
    assert lines[-1] == b"[DONE]", lines[-1]
    deltas = [json.loads(line)["choices"][0]["delta"] for line in lines[:-1]]
    tokens = [delta["content"] for delta in deltas if "content" in delta]
    assert tokens == [f"t{index} " for index in range(20)], tokens


@behave.when('a caller sends the same payment to "{first}" and then to "{second}"')
def pay_twice(context, first, second):
    context.answers = [
        processes.send_request(
            context.fleet.address_by_name[name],
            "POST",
            "/payments",
            {"amount": "12.50"},
            header_by_name=PAYMENT_KEY,
        )
        for name in (first, second)
    ]


@behave.then("both answers are the same and the second one is marked as replayed")
def check_replayed(context):
    first, second = context.answers
    assert first.status == second.status == 200, context.answers
    assert first.body == second.body
    assert "idempotent-replayed" not in first.header_by_name
    assert second.header_by_name["idempotent-replayed"] == "true"


@behave.when("all processes get SIGTERM")
def stop_everything(context):
    context.code_by_name = context.fleet.stop_all()


@behave.then("each of them ends by itself with exit code 0")
def check_exit_codes(context):
    assert set(context.code_by_name.values()) == {0}, context.code_by_name


@behave.when('a caller without a key asks "{name}" for an answer')
def ask_without_key(context, name):
    address = context.fleet.address_by_name[name]
    context.answer = processes.send_request(
        address, "POST", "/v1/chat/completions", CHAT, key=None
    )


@behave.then('the problem has status {status:d}, code {code:d} and ran "{ran}"')
def check_problem(context, status, code, ran):
    assert context.answer.status == status, context.answer
    problem = context.answer.json()
    assert (problem["code"], problem["ran"]) == (code, ran), problem


@behave.when('an operator adds a route to the section "routes"')
def add_route(context):
    path = pathlib.Path(context.folder.name) / "routes.yaml"
    path.write_text(
        "archive: {method: GET, path: '/archive/*', service: ticketing}\n",
        encoding="utf-8",
    )
    store = context.fleet.address_by_name["store"]
    done = context.fleet.run("config", "edit", "--store", store, "routes", path)
    assert done.returncode == 0, done.stderr


@behave.then("each entry host answers the new route without a restart")
def check_new_route(context):
    for name in ("entry-0", "entry-1"):
        address = context.fleet.address_by_name[name]

        def is_in_force(address=address):
            return processes.send_request(address, "GET", "/archive/1").status == 200

        processes.wait_until(is_in_force)
