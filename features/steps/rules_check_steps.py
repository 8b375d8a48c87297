"""Steps for the check of rules before they are sent."""

import json
import pathlib
import tempfile

import behave
import forwarding_bench as benches
import processes

from peridothitch.standins import platform_records

_KEYS = ("desk-key", "gate-key", "new-desk-key")


def _route(name, prefix, service, **changes):
    route = {"name": name, "host": "shop.example", "prefix": prefix}
    timing = {"timeout_ms": 2000, "target_latency_ms": 300, "max_attempts": 1}
    return route | {"route_type": "unsafe", "service": service} | timing | changes


@behave.given("forwarding rules without doubts")
def make_rules(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    value = platform_records.configuration(
        7,
        [
            _route("pay", "/charge/", "till"),
            _route("look", "/lookup/", "spare", allowed_regions=["lothian"]),
        ],
        [{"name": "till"}, {"name": "spare"}],
        [
            platform_records.customer("desk", "desk-key"),
            platform_records.customer("gate", "gate-key"),
        ],
    )
    context.former = value
    context.record = json.loads(value)
    (context.folder / "former.json").write_bytes(value)


@behave.given("a platform's store with the former rules")
def start_store(context):
    bench = benches.ForwardingBench()
    context.add_cleanup(bench.close)
    bench.store.put(platform_records.CONFIGURATION_KEY, context.former)
    context.store_address = f"127.0.0.1:{bench.store_port}"


@behave.when("the version is {version:d}")
def set_version(context, version):
    context.record["version"] = version


@behave.when('the {section} "{name}" has {change}')
def change_entry(context, section, name, change):
    if section == "limits":
        context.record["limits"] = json.loads(change)
        return
    (entry,) = [entry for entry in context.record[section] if entry["name"] == name]
    entry.update(json.loads(change))


def _check(context, *options):
    path = context.folder / "rules.json"
    path.write_text(json.dumps(context.record))
    context.done = processes.ProcessFleet().run("rules", "check", path, *options)
    return context.done


@behave.then('the check finds "{text}" and ends with {code:d}')
def check_finding(context, text, code):
    done = _check(context)
    assert done.returncode == code, done
    assert text in done.stdout, done.stdout


@behave.then("the check finds nothing and ends with 0")
def check_nothing(context):
    done = _check(context)
    assert done.returncode == 0, done
    assert done.stdout == "version 7, 2 routes: no doubts\n", done.stdout


@behave.then("the check ends with {code:d} and the error {number:d}")
def check_error(context, code, number):
    done = _check(context)
    assert done.returncode == code, done
    assert f"error {number} " in done.stderr, done.stderr


@behave.then('compared with the former rules "{text}" is told')
def compare(context, text):
    done = _check(context, "--against", context.folder / "former.json")
    assert text in done.stdout, done.stdout


@behave.then("no key is printed")
def check_keys(context):
    printed = context.done.stdout + context.done.stderr
    assert not any(key in printed for key in _KEYS), printed


@behave.then('compared with the store "{text}" is told')
def compare_with_store(context, text):
    done = _check(context, "--store", context.store_address)
    assert text in done.stdout, (done.stdout, done.stderr)
