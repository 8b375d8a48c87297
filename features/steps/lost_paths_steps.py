"""Steps for entry hosts that have lost the path to their upstreams."""

import dataclasses
import threading
import time

import behave
import forwarding_bench as benches
import host_links

_PATHS = ("/charge/1", "/lookup/1", "/helper/1", "/planner/1")
_UNREPEATABLE_PATHS = ("/charge/1", "/planner/1")
_WARM_UP_COUNT = 4


@dataclasses.dataclass(frozen=True)
class _Sent:
    """One request and its response, None for a connection closed without one."""

    path: str
    after_seconds: float
    response: object


def _names(text):
    return [name.strip() for name in text.split(",")]


def _host(context, host_id):
    return context.host_by_id[host_id]


def _wait_for_members(context):
    expected = set(context.host_by_id)
    for host in context.host_by_id.values():
        benches.wait_until(
            lambda host=host: set(host.members()) == expected, "all hosts are known"
        )


def _start(context, host_ids, data_centre):
    if not hasattr(context, "host_by_id"):
        context.host_by_id, context.links_by_id = {}, {}
    for host_id in host_ids:
        links = context.links_by_id[host_id] = host_links.HostLinks()
        context.host_by_id[host_id] = context.bench.start_host(
            host_id, data_centre=data_centre, links=links
        )
    _wait_for_members(context)


@behave.given('the entry hosts "{host_ids}" with links of their own')
def start_hosts(context, host_ids):
    _start(context, _names(host_ids), "lothian-a")


@behave.given('the entry host "{host_id}" of "{data_centre}" with links of its own')
def start_host_of(context, host_id, data_centre):
    _start(context, [host_id], data_centre)


@behave.given('callers have used all routes of "{host_id}"')
def use_all_routes(context, host_id):
    for _ in range(_WARM_UP_COUNT):
        for path in _PATHS:
            response = _request(context, host_id, path)
            assert response.status == 200, (path, response)


def _request(context, host_id, path):
    method = "GET" if path.startswith("/lookup/") else "POST"
    return context.bench.request(path, method, host=_host(context, host_id))


@behave.when('the links of "{host_ids}" to all upstreams {way}')
def cut(context, host_ids, way):
    for host_id in _names(host_ids):
        context.links_by_id[host_id].cut(way)


@behave.when(
    "callers send {rate:d} requests a second of all routes"
    ' to "{host_id}" for {seconds:d} s'
)
def send(context, rate, host_id, seconds):
    context.sent, threads = [], []
    began = time.monotonic()

    def send_one(path):
        at = time.monotonic() - began
        try:
            response = _request(context, host_id, path)
        except (OSError, benches.http.client.HTTPException):
            response = None
        context.sent.append(_Sent(path, at, response))

    for number in range(rate * seconds):
        time.sleep(max(0.0, began + number / rate - time.monotonic()))
        path = _PATHS[number % len(_PATHS)]
        threads.append(threading.Thread(target=send_one, args=(path,), daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join(benches.TIMEOUT_SECONDS)


def _outcome(sent):
    if sent.response is None:
        return sent.path, "closed"
    return sent.path, sent.response.status, sent.response.body[-200:]


@behave.then("from {seconds:d} s on the callers got 200 each time")
def check_served(context, seconds):
    late = [sent for sent in context.sent if sent.after_seconds >= seconds]
    failed = [
        _outcome(sent)
        for sent in late
        if sent.response is None
        or sent.response.status != 200
        or not sent.response.complete
    ]
    assert late and not failed, f"{len(failed)} of {len(late)} failed: {failed[:8]}"


@behave.then("no request that may run only once ran twice")
def check_unrepeated(context):
    once_ids = {
        request.value("Peridothitch-Attempt-Id")
        for request in context.bench.received_requests()
        if request.target in _UNREPEATABLE_PATHS
    }
    repeated = [name for name in once_ids if context.bench.run_count(name) > 1]
    assert once_ids and not repeated, repeated
