"""Steps for upstreams that fall silent, and for brittle ones."""

import concurrent.futures
import socket
import threading
import time

import behave

from peridothitch import sockets

_MILLISECONDS = 1000


def _pause_later(context, replicas, seconds, delay):
    if not delay:
        for replica in replicas:
            replica.pause(seconds)
        return

    def pause():
        time.sleep(delay)
        for replica in replicas:
            replica.pause(seconds)

    context.paused_at = time.monotonic() + delay
    threading.Thread(target=pause, daemon=True).start()


@behave.when("all replicas fall silent for {seconds:g} s after {delay:g} s")
def pause_all(context, seconds, delay):
    replicas = list(context.bench.replica_by_id.values())
    _pause_later(context, replicas, seconds, delay)
    _join(context)


@behave.when(
    'the replica "{replica_id}" falls silent for {seconds:g} s after {delay:g} s'
)
def pause_one(context, replica_id, seconds, delay):
    context.resumed_at = time.monotonic() + delay + seconds
    replica = context.bench.replica_by_id[replica_id]
    _pause_later(context, [replica], seconds, delay)
    _join(context)


@behave.when(
    'callers begin to send {rate:d} requests a second to "{path}" for {seconds:d} s'
)
def begin_to_send(context, rate, path, seconds):
    method = "GET" if path.startswith("/lookup/") else "POST"
    context.responses = []

    def send_one():
        context.responses.append(context.bench.request(path, method))

    def send_all():
        threads = []
        for _ in range(rate * seconds):
            threads.append(threading.Thread(target=send_one, daemon=True))
            threads[-1].start()
            time.sleep(1 / rate)
        for thread in threads:
            thread.join()

    context.sender = threading.Thread(target=send_all, daemon=True)
    context.sender.start()


def _join(context):
    if hasattr(context, "sender"):
        context.sender.join()


@behave.then("the callers got 200 and the whole answer each time")
def check_whole(context):
    wrong = [
        (response.status, response.complete, response.body[-100:])
        for response in context.responses
        if response.status != 200 or not response.complete
    ]
    assert context.responses and not wrong, f"{len(wrong)}: {wrong[:4]}"


@behave.then("no upstream was taken for crashed")
def check_not_crashed(context):
    facts = context.host._fleet.facts
    assert not facts.facts("crash") and not facts.facts("quarantine")


@behave.then(
    '"{replica_id}" got a request between {begin:g} s and {end:g} s after its silence'
)
def check_used(context, replica_id, begin, end):
    offsets = [
        request.received_at - context.resumed_at
        for request in context.bench.replica_by_id[replica_id].received
    ]
    # A request that arrived in the silence is received at its end.
    assert any(begin + 0.2 <= at <= end for at in offsets), offsets[-5:]


@behave.given("the replicas take {count:d} bytes at a time")
def limit_buffers(context, count):
    for replica in context.bench.replica_by_id.values():
        replica._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, count)


@behave.then(
    "a silent peer of a connection is given up later than {least:g} s"
    " and within {most:g} s"
)
def check_options(context, least, most):
    with socket.socket() as sock:
        sockets.enable_dead_peer_detection(sock)
        tcp = socket.IPPROTO_TCP
        give_up = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) / _MILLISECONDS
        idle = sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
        interval = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    # The kernel compares the time with the limit when it is due to send a probe.
    probes = -(-max(0.0, give_up - idle) // interval)
    assert give_up > least and idle + probes * interval <= most


@behave.given(
    "each replica has room for {room:d} requests of {seconds:g} s"
    " and may turn {count:d} a second away"
)
def set_room(context, room, seconds, count):
    for replica in context.bench.replica_by_id.values():
        replica.room, replica.work_seconds = room, seconds
        replica.brittle_limit = str(count)
        replica.queue_behaviours(default="work")


@behave.when(
    'callers send {rate:d} requests a second of "{path}" to each entry host'
    " for {seconds:d} s"
)
def send_to_each(context, rate, path, seconds):
    context.began, context.lasted = time.monotonic(), seconds

    def send(host):
        with concurrent.futures.ThreadPoolExecutor(rate) as pool:
            futures = []
            for number in range(rate * seconds):
                time.sleep(max(0.0, context.began + number / rate - time.monotonic()))
                futures.append(pool.submit(context.bench.request, path, host=host))
            return [future.result().status for future in futures]

    with concurrent.futures.ThreadPoolExecutor() as pool:
        results = pool.map(send, context.bench.hosts)
        context.statuses = [status for result in results for status in result]


@behave.then(
    "from {grace:d} s on no replica turned away more than {count:d} requests"
    " in any second"
)
def check_turned_away(context, grace, count):
    for replica_id, replica in context.bench.replica_by_id.items():
        times = [at for at in replica.turned_away_at if at >= context.began + grace]
        most = max(
            (sum(begin <= at < begin + 1 for at in times) for begin in times), default=0
        )
        assert most <= count, f"{replica_id} turned {most} away in a second"


@behave.then("at least half as many requests were answered as there was room for")
def check_answered(context):
    replicas = [context.bench.replica_by_id[name] for name in ("till-a", "till-b")]
    rate = sum(replica.room / replica.work_seconds for replica in replicas)
    answered = context.statuses.count(200)
    assert answered >= rate * context.lasted / 2, (answered, rate)
