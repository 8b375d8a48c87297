"""Steps for what upstreams tell of themselves in their answers."""

import threading
import time

import behave


def _record_times(replica):
    """Record when requests reach a replica in ``replica.arrival_times``."""
    replica.arrival_times = []
    behave_as = {name: getattr(replica, name) for name in ("do_answer", "do_refuse")}

    def recorded(run):
        def do(sock, request):
            replica.arrival_times.append(time.monotonic())
            return run(sock, request)

        return do

    for name, run in behave_as.items():
        setattr(replica, name, recorded(run))


def _turn_away(replica, text, default):
    _record_times(replica)
    replica.retry_after = text
    replica.queue_behaviours("refuse", default=default)


@behave.given('the replica "{replica_id}" tells in its answers that it leaves')
def tell_leaving(context, replica_id):
    replica = context.bench.replica_by_id[replica_id]
    _record_times(replica)
    replica.is_leaving = True


@behave.given('the replica "{replica_id}" turns requests away for {seconds} s')
def turn_away(context, replica_id, seconds):
    _turn_away(context.bench.replica_by_id[replica_id], seconds, "answer")


@behave.given('the replica "{replica_id}" turns requests away once for "{text}" s')
def turn_away_once(context, replica_id, text):
    _turn_away(context.bench.replica_by_id[replica_id], text, "answer")


@behave.given("each replica turns requests away for {seconds} s")
def turn_all_away(context, seconds):
    for replica in context.bench.replica_by_id.values():
        _turn_away(replica, seconds, "refuse")


@behave.when('callers send {rate:d} requests a second to "{path}" for {seconds:d} s')
def send(context, rate, path, seconds):
    method = "GET" if path.startswith("/lookup/") else "POST"
    context.responses = []
    threads = []

    def send_one():
        context.responses.append(context.bench.request(path, method))

    for _ in range(rate * seconds):
        threads.append(threading.Thread(target=send_one))
        threads[-1].start()
        time.sleep(1 / rate)
    for thread in threads:
        thread.join()
    context.statuses = [response.status for response in context.responses]


def _offsets(context, replica_id):
    """Return the arrivals in seconds after the first one."""
    times = context.bench.replica_by_id[replica_id].arrival_times
    assert times, "no request has arrived"
    return [at - times[0] for at in times]


@behave.then(
    '"{replica_id}" got no request later than {seconds:g} s after its first answer'
)
def check_none_later(context, replica_id, seconds):
    offsets = _offsets(context, replica_id)
    assert max(offsets) <= seconds, offsets


@behave.then(
    '"{replica_id}" got at most {count:d} requests from {begin:g} s to {end:g} s after'
    " its first answer"
)
def check_few(context, replica_id, count, begin, end):
    late = [at for at in _offsets(context, replica_id) if begin <= at < end]
    assert len(late) <= count, late


@behave.then(
    '"{replica_id}" got a request later than {seconds:g} s after its first answer'
)
def check_used_again(context, replica_id, seconds):
    offsets = _offsets(context, replica_id)
    assert max(offsets) > seconds, offsets


@behave.then("each replica got at most {count:d} requests from {begin:g} s on")
def check_few_each(context, count, begin):
    for replica_id in ("till-a", "till-b"):
        late = [at for at in _offsets(context, replica_id) if at >= begin]
        assert len(late) <= count, (replica_id, late)


@behave.then("the callers got 503 each time, with a time to wait")
def check_refused(context):
    for response in context.responses:
        assert response.status == 503, response
        assert float(response.value("Retry-After")) > 0, response
