"""Steps for requests that wait at an entry host, and for services without a pace."""

import dataclasses
import datetime
import threading
import time
import types

import behave
import room_service
import virtual_clock

from peridothitch import errors
from peridothitch.adapters import boot_clock, metrics
from peridothitch.gateway.forwarding import handler, room_account, room_keeper
from peridothitch.policy import admission, placement

_SECOND = datetime.timedelta(seconds=1)
_KIND_NAMES = [kind.name for kind in room_service.KINDS]


class _Writer:
    def __init__(self):
        self.leave = None
        self.is_waiting = threading.Event()

    def on_disconnect(self, callback):
        self.leave = callback
        self.is_waiting.set()


@behave.when(
    "a request is late at the first upstream chosen and there is room to spare"
)
def ask_once(context):
    context.asked_again = 0

    def choose(job):
        context.asked_again += 1
        return _chosen(context)

    context.clock = boot_clock.BootClock()
    context.seconds = 2.1
    context.host = room_service.Upstream("u0")
    context.keeper = room_keeper.RoomKeeper(
        room_account.RoomAccount(), choose, lambda: 1, context.clock, metrics.Metrics()
    )
    # A first request tells nothing of the strain but its own.
    for _ in range(20):
        _admit(context, _job(context, "chat", target=9.0), _Writer())
    context.found = _admit(context, _job(context, "chat"), _Writer())


@behave.then("it is admitted there")
def check_admitted_there(context):
    assert context.found == "admitted", context.found
    assert context.asked_again == 0


@behave.given("an upstream that has no room for a while")
def make_keeper(context):
    context.clock = boot_clock.BootClock()
    context.seconds = 2.1
    context.active = 1
    context.lock = threading.Lock()
    context.host = room_service.Upstream("u0")
    context.metrics = metrics.Metrics()
    account = room_account.RoomAccount()
    context.keeper = room_keeper.RoomKeeper(
        account,
        lambda job: _choose_again(context, job),
        lambda: context.active,
        context.clock,
        context.metrics,
    )
    # Only a strained service lets requests wait.
    for name in ("chat", "digest"):
        job = _job(context, name)
        _admit(context, job, _Writer())
        account.record_refused(job, _chosen(context)[1], context.clock.monotonic())


def _chosen(context):
    estimate = placement.Estimate(
        "u0", context.seconds, context.seconds, busy=60, is_modelled=True
    )
    return context.host, estimate


def _choose_again(context, job):
    """Return the upstream; the first one who asks once room has come takes it."""
    with context.lock:
        seconds, context.seconds = context.seconds, 2.1
        if seconds < 2.1:
            context.taken_by = job.route.name
    return context.host, dataclasses.replace(_chosen(context)[1], seconds=seconds)


def _job(context, name, target=2.0):
    kinds = {kind.name: kind for kind in room_service.KINDS}
    call = room_service.make_call(kinds[name], target, deadline=30.0)
    now = call.asked_at = context.clock.monotonic() / _SECOND
    return room_service.RoomService("room", 1).make_job(call, now)


def _admit(context, job, writer):
    try:
        context.keeper.admit(job, _chosen(context), writer)
    except errors.RequestError as error:
        return error.code
    return "admitted"


def _start(run, *arguments):
    thread = threading.Thread(target=run, args=arguments)
    thread.start()
    return thread


@behave.when("the caller of a waiting request leaves")
def leave(context):
    context.found = []
    writer = _Writer()
    job = _job(context, "chat")
    thread = _start(lambda: context.found.append(_admit(context, job, writer)))
    assert writer.is_waiting.wait(1)
    began = time.monotonic()
    writer.leave()
    thread.join()
    context.seconds_to_end = time.monotonic() - began


@behave.then("the wait ends as a caller that has gone")
def check_gone(context):
    assert context.found == [errors.Code.CALLER_GONE], context.found
    assert context.seconds_to_end < 0.1


@behave.when("a less urgent and then an urgent request wait for room that comes")
def wait_in_order(context):
    threads = []
    for name in ("digest", "chat"):
        writer = _Writer()
        threads.append(_start(_admit, context, _job(context, name), writer))
        assert writer.is_waiting.wait(1)
    context.seconds = 0.01
    for thread in threads:
        thread.join()


@behave.then("the urgent one is sent first")
def check_order(context):
    assert context.taken_by == "chat", context.taken_by


@behave.when("most threads of the entry host are in use")
def occupy(context):
    context.active = 150
    writer = _Writer()
    began = time.monotonic()
    context.found = _admit(context, _job(context, "chat"), writer)
    context.seconds_to_end = time.monotonic() - began


@behave.then("a request is refused without a wait")
def check_refused_at_once(context):
    assert context.found is errors.Code.OVERLOADED
    assert context.seconds_to_end < 0.1


@behave.then(
    "without a pace every request is admitted or refused as by the former decision"
)
def check_without_pace(context):
    _check_as_before(context, room_account.RoomAccount(), is_modelled=False)


@behave.then("on a host that doesn't order requests each is decided as before")
def check_switched_off(context):
    account = room_account.RoomAccount(decides=False)
    _check_as_before(context, account, is_modelled=True)
    job = _job(context, _KIND_NAMES[0])
    estimate = placement.Estimate("u0", 90.0, 90.0, is_modelled=True)
    assert account.can_end(job, estimate, context.clock.monotonic())


def _check_as_before(context, account, is_modelled):
    context.clock = virtual_clock.VirtualClock()
    context.clock.advance(_SECOND)
    deps = types.SimpleNamespace(
        clock=context.clock,
        metrics=metrics.Metrics(),
        room=account,
        moves=types.SimpleNamespace(versions_for_request=lambda *_: None),
        upstreams=types.SimpleNamespace(choose=lambda *_, **__: context.chosen),
    )
    meter = types.SimpleNamespace(record_request=lambda job: None)
    host = handler.ForwardingHandler(None, deps, None, meter)
    for name in _KIND_NAMES:
        for number in range(1, 100):
            seconds = number / 15
            context.chosen = (
                room_service.Upstream("u0"),
                placement.Estimate(
                    "u0", seconds, seconds, busy=60, is_modelled=is_modelled
                ),
            )
            job = _job(context, name, target=1.0)
            delay = admission.refusal_delay(
                seconds * _SECOND, _SECOND, 30 * _SECOND, job.priority
            )
            try:
                found = host._admit(job, None)
            except errors.RequestError as error:
                assert error.retry_after == delay, (seconds, error.retry_after)
            else:
                assert delay is None and found == context.chosen, seconds
