import types

import behave
import virtual_clock

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.gateway import admission
from peridothitch.policy import document as documents


class _FakeLimiter:
    def __init__(self):
        self.settled = 0

    def reserve(self, charges):
        return tuple(charges)

    def settle(self, reservation, cost):
        self.settled += 1
        return 0


class _Recorder:
    def __init__(self):
        self.token_counts = []

    def add(self, key, usage):
        self.token_counts.append(usage.token_count)


@behave.when("two requests with one id are admitted at the same time and end")
def admit_twice(context):
    context.limiter, context.recorder = _FakeLimiter(), _Recorder()
    spending_admission = admission.SpendingAdmission(
        context.limiter,
        virtual_clock.VirtualClock(),
        metrics.Metrics(),
        context.recorder,
    )
    job = types.SimpleNamespace(
        request_id="one",
        chat=None,
        customer="example",
        document=documents.Document(),
        match=types.SimpleNamespace(name="payment"),
    )
    outcome = types.SimpleNamespace(request_id="one", ran=errors.Ran.YES, token_count=5)
    with spending_admission.admit(job):
        with spending_admission.admit(job):
            spending_admission.observe(outcome)


@behave.then("both settle and the tokens of the attempt are charged once")
def check_settled(context):
    assert context.limiter.settled == 2, context.limiter.settled
    assert context.recorder.token_counts == [5], context.recorder.token_counts
