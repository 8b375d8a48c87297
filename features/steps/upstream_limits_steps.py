"""Steps for limits that upstreams name on requests."""

import concurrent.futures
import time

import behave
import forwarding_bench as benches


@behave.given("{count:d} further entry hosts")
def start_hosts(context, count):
    for number in range(count):
        context.bench.start_host(f"edge-{number + 2}")
    hosts = context.bench.hosts
    benches.wait_until(
        lambda: all(len(host.members()) == len(hosts) for host in hosts),
        "the hosts know each other",
    )


@behave.given('the replica "{replica_id}" names a limit of {limit} requests a second')
def set_limit(context, replica_id, limit):
    context.bench.replica_by_id[replica_id].limit = limit


@behave.when(
    "callers send {rate:d} requests a second to each entry host for {seconds:d} s"
)
def send_requests(context, rate, seconds):
    context.began = time.monotonic()

    def send(host):
        statuses = []
        for number in range(rate * seconds):
            time.sleep(max(0.0, context.began + number / rate - time.monotonic()))
            response = context.bench.request(f"/lookup/{number}", "GET", host=host)
            statuses.append(response.status)
        return statuses

    with concurrent.futures.ThreadPoolExecutor() as pool:
        results = pool.map(send, context.bench.hosts)
        context.statuses = [status for result in results for status in result]


@behave.then(
    'from {grace:d} s on "{replica_id}" got at most {count:d} requests in any'
    " {span:d} s"
)
def check_windows(context, grace, replica_id, count, span):
    received = context.bench.replica_by_id[replica_id].received
    times = [r.received_at for r in received if r.received_at > context.began + grace]
    most = max(
        sum(begin <= moment < begin + span for moment in times) for begin in times
    )
    assert most <= count, most


@behave.then("the callers got 200 each time")
def check_statuses(context):
    assert set(context.statuses) == {200}, set(context.statuses)
