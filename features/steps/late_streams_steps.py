"""Steps for streams that arrive at a host that is stopping."""

import datetime

import behave

from peridothitch.policy import admission

_SECOND = datetime.timedelta(seconds=1)
_OBJECTIVE = 0.5 * _SECOND


@behave.when(
    "a stream of about {expected:d} and at most {maximum:d} tokens comes"
    " {after:g} seconds after a stop with {length:g} seconds, with {allowed:g} left"
)
def arrive_late(context, expected, maximum, after, length, allowed):
    context.is_begun = admission.can_finish_in_time(
        (length - after) * _SECOND,
        _OBJECTIVE,
        expected,
        maximum,
        after * _SECOND,
        allowed * _SECOND,
    )


@behave.then("the late stream is {decision}")
def check_begun(context, decision):
    assert context.is_begun == (decision == "begun")
