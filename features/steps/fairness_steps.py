import contextlib
import dataclasses
import datetime
import threading

import behave
import hypothesis
import processes
from hypothesis import strategies

from peridothitch import errors
from peridothitch.adapters import metrics, system_clock
from peridothitch.gateway import admission, fair_admission, jobs
from peridothitch.policy import document as documents
from peridothitch.policy import fairness, route_table
from peridothitch.ports import messages

FAR = datetime.timedelta(days=1)
NOW = datetime.timedelta(0)
MAX_TOKENS = 500
SERVICE = "assistant"
PRIORITIES = list(documents.Priority)


def _make_waiting_request(
    customer, tokens=100, weight=1, priority=documents.Priority.NORMAL
):
    return fairness.WaitingRequest(
        customer=customer,
        weight=weight,
        tokens=tokens,
        priority=priority,
        deadline=FAR,
    )


@hypothesis.given(
    strategies.lists(strategies.integers(1, MAX_TOKENS), min_size=40, max_size=40),
    strategies.integers(1, 4),
    strategies.integers(1, 4),
)
def _check_share_by_weight(sizes, first_weight, second_weight):
    queue = fairness.FairQueue(len(sizes) * 2)
    weight_by_customer = {"first": first_weight, "second": second_weight}
    for customer, weight in weight_by_customer.items():
        for tokens in sizes:
            queue.add(_make_waiting_request(customer, tokens, weight))
    waiting = dict.fromkeys(weight_by_customer, len(sizes))
    served = dict.fromkeys(weight_by_customer, 0.0)
    while all(waiting.values()):
        waiting_request, _ = queue.pop_next(NOW)
        waiting[waiting_request.customer] -= 1
        served[waiting_request.customer] += (
            waiting_request.tokens / waiting_request.weight
        )
        # Start-time fair queueing's bound: one request of each customer.
        assert abs(served["first"] - served["second"]) <= 2 * MAX_TOKENS


@behave.then(
    "any two backlogged customers differ by a bounded number of tokens per weight"
)
def check_share(context):
    _check_share_by_weight()


QUEUE_ACTIONS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("add"),
            strategies.sampled_from(("a", "b", "c")),
            strategies.integers(1, MAX_TOKENS),
            strategies.sampled_from(PRIORITIES),
            strategies.integers(1, 100),
        ),
        strategies.tuples(strategies.just("take"), strategies.integers(0, 100)),
        strategies.tuples(strategies.just("discard"), strategies.integers(0, 30)),
        strategies.tuples(strategies.just("correct"), strategies.integers(0, 2000)),
    ),
    max_size=60,
)


@hypothesis.given(QUEUE_ACTIONS)
def _check_one_outcome(actions):
    queue = fairness.FairQueue(8)
    waiting, ended, started = [], [], []
    for action, *arguments in actions:
        if action == "add":
            customer, tokens, priority, seconds = arguments
            waiting_request = fairness.WaitingRequest(
                customer=customer,
                weight=1,
                tokens=tokens,
                priority=priority,
                deadline=datetime.timedelta(seconds=seconds),
            )
            waiting.append(waiting_request)
            shed = queue.add(waiting_request)
            gone = [] if shed is None else [shed]
        elif action == "take":
            now = datetime.timedelta(seconds=arguments[0])
            taken, expired = queue.pop_next(now)
            assert all(late.deadline <= now for late in expired)
            gone = [*expired] if taken is None else [taken, *expired]
            started += [] if taken is None else [taken]
        elif action == "discard":
            gone = waiting[arguments[0] : arguments[0] + 1]
            for waiting_request in gone:
                queue.discard(waiting_request)
        else:
            gone = []
            if started:
                queue.charge_used(started.pop(), arguments[0])
        for waiting_request in gone:
            waiting.remove(waiting_request)
            ended.append(waiting_request)
        assert len(queue) == len(waiting) <= 8
    assert len({id(waiting_request) for waiting_request in ended}) == len(ended)


@behave.then(
    "each generated request is started, shed, expired or discarded exactly once"
)
def check_outcomes(context):
    _check_one_outcome()


@behave.when(
    "a large customer fills a queue of {capacity:d} requests and a small one sends one"
)
def fill_queue(context, capacity):
    context.queue = fairness.FairQueue(capacity)
    for _ in range(capacity):
        assert context.queue.add(_make_waiting_request("large")) is None
    context.shed = context.queue.add(_make_waiting_request("small"))


@behave.then("the shed request is the large customer's and the small one starts next")
def check_shed_request(context):
    assert context.shed.customer == "large"
    context.queue.pop_next(NOW)
    waiting_request, _ = context.queue.pop_next(NOW)
    assert waiting_request.customer == "small", waiting_request


@behave.when(
    "a customer sends {count:d} urgent requests and another one sends one normal "
    "request"
)
def send_urgent_requests(context, count):
    context.queue = fairness.FairQueue(count + 1)
    for _ in range(count):
        context.queue.add(
            _make_waiting_request("urgent", priority=documents.Priority.URGENT)
        )
    context.queue.add(_make_waiting_request("other"))


@behave.then("the other customer's request starts within the head start of a priority")
def check_head_start(context):
    tokens = 0
    while True:
        waiting_request, _ = context.queue.pop_next(NOW)
        if waiting_request.customer == "other":
            break
        tokens += waiting_request.tokens
    bound = (
        fairness.HEAD_START_TOKENS[documents.Priority.URGENT]
        + 2 * waiting_request.tokens
    )
    assert 0 < tokens <= bound, tokens


def _job(caller_gone=lambda: False):
    route = documents.Route(method="POST", path="/", service=SERVICE)
    document = documents.Document(
        customer_by_name={"example": documents.Customer(key_sha256=[])}
    )
    return jobs.Job(
        request=messages.Request(method="POST", path="/", caller_gone=caller_gone),
        document=document,
        match=route_table.RouteMatch("chat", route),
        customer="example",
        request_id="request",
        key="key",
        deadline=FAR * 10_000,
    )


class _Callers:
    """Callers in threads, each of which runs until `may_end` is set."""

    def __init__(self, admission_queue):
        self.admission_queue = admission_queue
        self.lock = threading.Lock()
        self.running = 0
        self.most_running = 0
        self.done = 0
        self.codes = []
        self.threads = []
        self.may_end = threading.Event()

    def start(self, job):
        thread = threading.Thread(target=self._run, args=(job,))
        self.threads.append(thread)
        thread.start()

    def _run(self, job):
        try:
            with self.admission_queue.admit(job):
                with self.lock:
                    self.running += 1
                    self.most_running = max(self.most_running, self.running)
                self.may_end.wait()
                with self.lock:
                    self.running -= 1
                    self.done += 1
        except errors.RequestError as error:
            assert error.ran is errors.Ran.NO
            with self.lock:
                self.codes.append(error.code)


def _batch_job():
    job = _job()
    route = dataclasses.replace(job.route, priority=documents.Priority.BATCH)
    return dataclasses.replace(job, match=route_table.RouteMatch("rota", route))


@behave.given(
    "fair admission with capacity for {slots:d} requests and for {batch:d} "
    "batch request"
)
def make_admission_for_batches(context, slots, batch):
    slots_by_priority = dict.fromkeys(PRIORITIES, slots)
    slots_by_priority[documents.Priority.BATCH] = batch
    admission_queue = fair_admission.FairAdmission(
        admission.Admission(),
        lambda service, priority: slots_by_priority[priority],
        system_clock.SystemClock(),
        metrics.Metrics(),
    )
    context.callers = _Callers(admission_queue)


@behave.when("{count:d} batch requests arrive and then an ordinary one")
def send_batch_requests(context, count):
    callers = context.callers
    for _ in range(count):
        callers.start(_batch_job())
    processes.wait_until(
        lambda: (
            callers.running + callers.admission_queue.waiting_count(SERVICE) == count
        )
    )
    context.batch_running = callers.running
    callers.start(_job())
    processes.wait_until(lambda: callers.running == context.batch_running + 1)


@behave.then("{count:d} batch request runs beside the ordinary one")
def check_batch(context, count):
    assert context.batch_running == count
    context.callers.may_end.set()
    for thread in context.callers.threads:
        thread.join()
    assert not context.callers.codes


@behave.given(
    "fair admission with capacity for {slots:d} request and a queue of {capacity:d}"
)
def make_admission(context, slots, capacity):
    original = fair_admission.QUEUE_CAPACITY
    fair_admission.QUEUE_CAPACITY = capacity
    context.add_cleanup(setattr, fair_admission, "QUEUE_CAPACITY", original)
    admission_queue = fair_admission.FairAdmission(
        admission.Admission(),
        lambda service, priority: slots,
        system_clock.SystemClock(),
        metrics.Metrics(),
    )
    context.callers = _Callers(admission_queue)


@behave.when("one request runs and {count:d} more of the same customer arrive")
def send_requests(context, count):
    callers = context.callers
    callers.start(_job())
    processes.wait_until(lambda: callers.running == 1)
    for _ in range(count):
        callers.start(_job())
    processes.wait_until(
        lambda: (
            len(callers.codes) + callers.admission_queue.waiting_count(SERVICE) == count
        )
    )


@behave.then('{count:d} of them are refused with code {code:d} and ran "no"')
def check_shed(context, count, code):
    assert context.callers.codes == [errors.Code(code)] * count


@behave.then("the others run one after the other when the first one ends")
def check_one_by_one(context):
    callers = context.callers
    callers.may_end.set()
    for thread in callers.threads:
        thread.join()
    assert callers.done == 4, callers.done
    assert callers.most_running == 1, callers.most_running


@behave.when("one request runs and the caller of a waiting request disconnects")
def disconnect_waiting_caller(context):
    callers = context.callers
    gone = threading.Event()
    callers.start(_job())
    processes.wait_until(lambda: callers.running == 1)
    callers.start(_job(gone.is_set))
    processes.wait_until(lambda: callers.admission_queue.waiting_count(SERVICE) == 1)
    gone.set()
    processes.wait_until(lambda: callers.codes)


@behave.then("no request waits and the next one is admitted")
def check_queue_empty(context):
    callers = context.callers
    assert callers.admission_queue.waiting_count(SERVICE) == 0
    callers.may_end.set()
    for thread in callers.threads:
        thread.join()
    with contextlib.ExitStack() as scope:
        scope.enter_context(callers.admission_queue.admit(_job()))
    assert callers.done == 1
