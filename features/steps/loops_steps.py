import concurrent.futures
import threading

import behave
import processes
import virtual_clock

from peridothitch.adapters import metrics
from peridothitch.gateway import loops


class _Loop:
    def __init__(self, failures):
        self.failures = failures
        self.calls = 0
        self.ended = threading.Event()

    def run(self, stop):
        self.calls += 1
        if self.calls <= self.failures:
            raise ValueError("broken")
        self.ended.set()


def _start(context, failures):
    context.loop = _Loop(failures)
    context.stop = threading.Event()
    context.metrics = metrics.Metrics()
    context.pool = concurrent.futures.ThreadPoolExecutor(1)
    clock = virtual_clock.VirtualClock()
    runner = loops.LoopRunner(context.pool, context.stop, clock, context.metrics)
    runner.start(context.loop.run)


def _failures(context):
    return context.metrics.value("loop_failures", loop="_Loop.run")


@behave.when("a background loop fails {count:d} times before it runs")
def fail_some_times(context, count):
    _start(context, count)
    context.pool.shutdown()


@behave.then("it runs to its end and {count:d} loop failures are counted")
def check_ran(context, count):
    assert context.loop.ended.is_set()
    assert _failures(context) == count, _failures(context)


@behave.when("a background loop fails for ever and the host stops")
def fail_for_ever(context):
    _start(context, float("inf"))
    processes.wait_until(lambda: context.loop.calls > 3)
    context.stop.set()


@behave.then("the loop is not started again")
def check_stopped(context):
    context.pool.shutdown()
    assert _failures(context) == context.loop.calls
