import json
import pathlib
import socket
import tempfile

import behave
import click
import processes

from peridothitch.adapters import yaml_codec
from peridothitch.cli import main
from peridothitch.gateway import customers, embedded

ROUTE = "extra: {method: GET, path: /extra, service: ticketing}\n"


@behave.when('"serve" is started with faulty flags and environment variables')
def start_faulty(context):
    fleet = processes.ProcessFleet(
        environment={
            "PERIDOTHITCH_SERVE_STORE": "localhost:2379",
            "PERIDOTHITCH_SERVE_MAX_BODY": "much",
        }
    )
    context.done = fleet.run(
        "serve", "--host-id", "a b", "--drain-timeout", "5", "--threads", "0", "--odd"
    )
    context.named = (
        "--host-id",
        "--data-centre",
        "--store",
        "--host-list",
        "--threads",
        "--max-body",
        "--drain-timeout",
        "--odd",
    )


@behave.then(
    "the command ends with {code:d} and names each faulty setting with code 6001"
)
def check_faults(context, code):
    lines = context.done.stderr.splitlines()
    assert context.done.returncode == code, context.done
    assert len(lines) == len(context.named), lines
    for name in context.named:
        assert any(name in line for line in lines), (name, lines)
    assert all(line.startswith("error 6001 ") for line in lines), lines


@behave.when('"standin store" is started on an address that is in use')
def start_on_used(context):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        context.done = processes.ProcessFleet().run(
            "standin", "store", "--listen", f"127.0.0.1:{port}"
        )


@behave.then("the command ends with {code:d} and the error {number:d}")
def check_error(context, code, number):
    assert context.done.returncode == code, context.done
    assert f"error {number} " in context.done.stderr, context.done.stderr


def _commands(command, context):
    if not isinstance(command, click.Group):
        yield command, context
        return
    for name in command.list_commands(context):
        inner = command.get_command(context, name)
        inner_context = click.Context(
            inner, parent=context, info_name=name, **inner.context_settings
        )
        yield from _commands(inner, inner_context)


@behave.then("the help of every command explains each of its settings")
def check_help(context):
    root = click.Context(
        main.cli, info_name="peridothitch", **main.cli.context_settings
    )
    found = list(_commands(main.cli, root))
    assert len(found) > 10, found
    for command, command_context in found:
        text = " ".join(command.get_help(command_context).split())
        assert command.help, command.name
        for param in command.params:
            if not isinstance(param, click.Option):
                continue
            assert param.help, (command.name, param.name)
            assert param.show_envvar, (command.name, param.name)
            states_default = (
                param.required or param.show_default or "[default: " in param.help
            )
            assert states_default or param.is_flag or param.multiple, (
                command.name,
                param.name,
            )
        assert text.count("env var") == sum(
            isinstance(param, click.Option) for param in command.params
        ), text


@behave.then("the completion script of each shell is printed in one process")
def check_completion(context):
    audited = processes.ROOT / "features" / "audited.py"
    module = processes.ROOT / "src" / "peridothitch" / "__main__.py"
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder, "report.json")
        fleet = processes.ProcessFleet(
            (processes.sys.executable, audited, report, module)
        )
        for shell in ("bash", "fish", "zsh"):
            done = fleet.run("completion", shell)
            assert done.returncode == 0, done
            assert "_PERIDOTHITCH_COMPLETE" in done.stdout, done.stdout
            assert json.loads(report.read_text())["started"] == []


@behave.given("a store process with the example document")
def start_store(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    context.fleet = processes.ProcessFleet()
    context.add_cleanup(context.fleet.stop_all)
    context.store = context.fleet.start("store", "standin", "store")
    path = _write(context, "document.yaml", embedded.EXAMPLE_DOCUMENT)
    done = _config(context, "create", path)
    assert done.returncode == 0, done


def _write(context, name, text):
    path = context.folder / name
    path.write_text(text, encoding="utf-8")
    return path


def _config(context, command, *arguments):
    return context.fleet.run("config", command, "--store", context.store, *arguments)


def _show_routes(context):
    done = _config(context, "show", "routes")
    assert done.returncode == 0, done
    return done.stdout


@behave.when('two operators show the section "routes" and both edit it')
def edit_concurrently(context):
    shown = [_show_routes(context), _show_routes(context)]
    context.edits = []
    for name, text in zip(("first", "second"), shown, strict=True):
        path = _write(context, name, text + ROUTE.replace("extra", name))
        context.edits.append(_config(context, "edit", "routes", path))


@behave.then(
    "the first edit is accepted and the second ends with 3 and shows both texts"
)
def check_conflict(context):
    first, second = context.edits
    assert (first.returncode, second.returncode) == (0, 3), context.edits
    assert "revision 2" in first.stdout
    theirs, _, yours = second.stderr.partition("yours:")
    assert "error 5004 " in theirs and "/first" in theirs, second.stderr
    assert "/second" in yours, second.stderr


@behave.then("the stored section is the first edit's")
def check_stored(context):
    shown = _show_routes(context)
    assert "/first" in shown and "/second" not in shown, shown


@behave.when('an operator runs the same edit of "routes" twice')
def edit_twice(context):
    path = _write(context, "routes.yaml", _show_routes(context) + ROUTE)
    context.edits = [_config(context, "edit", "routes", path) for _ in range(2)]


@behave.then("both edits are accepted")
def check_both_accepted(context):
    assert [edit.returncode for edit in context.edits] == [0, 0], context.edits


@behave.when('an operator asks for the differences of an edited "routes"')
def show_differences(context):
    path = _write(context, "routes.yaml", _show_routes(context) + ROUTE)
    context.done = _config(context, "diff", "routes", path)


@behave.then("the command ends with {code:d} and shows the new route")
def check_differences(context, code):
    assert context.done.returncode == code, context.done
    assert "+" + ROUTE.strip() in context.done.stdout, context.done.stdout


def _edit_with_fault(context, fault, methods):
    path = _write(context, "routes.yaml", _show_routes(context) + ROUTE)
    body = {"fault": fault, "methods": methods}
    processes.send_request(context.store, "POST", "/control/faults", body)
    context.done = _config(context, "edit", "routes", path)
    processes.send_request(context.store, "DELETE", "/control/faults")


@behave.when("the store is down during an edit")
def edit_with_store_down(context):
    _edit_with_fault(context, "down", [])


@behave.when("the reply of an edit is lost")
def edit_with_lost_reply(context):
    _edit_with_fault(context, "reply_lost", ["txn"])


@behave.then("the edit is accepted as revision {revision:d}")
def check_accepted(context, revision):
    assert context.done.returncode == 0, context.done
    assert context.done.stdout == f"accepted: revision {revision}\n", context.done


@behave.when("an operator shows the document as JSON")
def show_json(context):
    context.done = _config(context, "show", "--output", "json")


@behave.then("the result has the revision and each section")
def check_json(context):
    result = json.loads(context.done.stdout)
    assert result["revision"] == 1, result
    assert set(result["sections"]) == set(yaml_codec.SECTIONS), result


@behave.when("an operator edits a section with an unknown key and JSON output")
def edit_json(context):
    owners = f'owners: "{customers.hash_key("owner")}"\n'
    path = _write(context, "owners.yaml", owners)
    done = _config(context, "edit", "owners", path)
    assert done.returncode == 0, done
    path = _write(context, "owners.yaml", "owners: ''\n")
    context.done = _config(
        context, "edit", "--output", "json", "--key", "wrong", "owners", path
    )


@behave.then("the error has its code and detail")
def check_json_error(context):
    assert context.done.returncode == 1, context.done
    error = json.loads(context.done.stderr)["error"]
    assert error["code"] == 5005 and error["detail"], error
