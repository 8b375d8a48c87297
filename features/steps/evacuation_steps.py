"""Steps for evacuated data centres."""

import time

import behave


def _names(text):
    return frozenset(name.strip() for name in text.split(",") if name.strip())


def _known(context):
    return {
        host.catalogue.evacuations.data_centres
        for host in context.bench.hosts
        if host.is_ready()
    }


@behave.when('operators evacuate "{data_centre}"')
def evacuate(context, data_centre):
    context.bench.store.put(f"op/evacuate/{data_centre}", b"{}")


@behave.when('operators take the evacuation of "{data_centre}" back')
def take_back(context, data_centre):
    context.bench.store.remove(f"op/evacuate/{data_centre}")


@behave.then('within {seconds:g} s the hosts know "{names}" as evacuated')
def check_known(context, seconds, names):
    deadline = time.monotonic() + seconds
    while _known(context) != {_names(names)}:
        assert time.monotonic() < deadline, _known(context)
        time.sleep(0.02)


@behave.then('within {seconds:g} s the hosts know "" as evacuated')
def check_none_known(context, seconds):
    check_known(context, seconds, "")


@behave.then('for {seconds:g} s the hosts know "{names}" as evacuated')
def check_still_known(context, seconds, names):
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        assert _known(context) == {_names(names)}, _known(context)
        time.sleep(0.05)


@behave.then('callers reach "{replica_id}" again')
def check_reached(context, replica_id):
    replica = context.bench.replica_by_id[replica_id]
    response = context.bench.request("/lookup/1", "GET")
    assert response.status == 200, response.status
    assert replica.received


@behave.given('the replica "{replica_id}" turns the rest away')
def turn_away(context, replica_id):
    context.bench.replica_by_id[replica_id].queue_behaviours("refuse", default="refuse")


@behave.when('a caller posts to "{path}" in spite of it')
def post(context, path):
    method = "GET" if path.startswith("/lookup/") else "POST"
    response = context.bench.request(path, method)
    assert response.status == 503, response.status


@behave.when("the entry host is replaced")
def replace_host(context):
    context.bench.stop_host(context.bench.hosts.pop())
    context.bench.start_host("edge-9")


@behave.given("a copy of the store")
def copy_store(context):
    context.copy = context.bench.store.copy()


@behave.when("the store is replaced by the copy")
def restore(context):
    context.bench.store.restore(context.copy)


@behave.then("one evacuation was rejected")
def check_rejected(context):
    time.sleep(1)
    (host,) = context.bench.hosts
    assert host.metrics.value("rejected_evacuations") == 1


@behave.then('no call of another host may be sent to "{first}", but to "{second}"')
def check_usable(context, first, second):
    (host,) = context.bench.hosts
    hosts = host.catalogue.hosts()
    usable = [
        host._upstreams.find_usable(replica_id, hosts[replica_id].incarnation)
        for replica_id in (first, second)
    ]
    assert usable[0] is None and usable[1] is not None, usable
