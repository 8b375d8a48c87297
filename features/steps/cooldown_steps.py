"""Steps for the cooldown of upstreams."""

import datetime

import behave

from peridothitch.policy import upstream_cooldown

_MILLISECOND = datetime.timedelta(milliseconds=1)


@behave.when("an upstream breaks {count:d} connections within {span:d} ms")
def break_connections(context, count, span):
    context.cooldown = upstream_cooldown.Cooldown()
    context.failed_at = datetime.timedelta(seconds=5)
    for number in range(count):
        now = context.failed_at + number * span / count * _MILLISECOND
        context.cooldown = context.cooldown.after_failure(now)


@behave.when("an upstream fails {count:d} times, each time after its cooldown")
def fail_repeatedly(context, count):
    context.cooldown = upstream_cooldown.Cooldown()
    for _ in range(count):
        context.failed_at = context.cooldown.until
        context.cooldown = context.cooldown.after_failure(context.failed_at)


@behave.then("it is avoided for {seconds:d} s")
def check_length(context, seconds):
    length = context.cooldown.until - context.failed_at
    assert length == datetime.timedelta(seconds=seconds), length
