"""Refuses at once what could not be answered in time.

Answers the load of a service that has lost many of its hosts, or gets several times its
usual requests. Without it every request waits behind all others, and all of them come
too late.
"""

import datetime

__all__ = ["can_finish_in_time", "refusal_delay"]

_NO_TIME = datetime.timedelta(0)
_LATE_FACTOR_BY_PRIORITY = (3.0, 2.6, 2.2)
"""Estimates beyond this multiple of the objective are refused; urgent ones later."""

_SHORTEST_RETRY = datetime.timedelta(milliseconds=150)
_LONGEST_RETRY = datetime.timedelta(seconds=2)


_NOTICED_TIME = datetime.timedelta(seconds=2.5)
"""From a stop until the balancer, which asks once a second, sends callers elsewhere."""

_SECONDS_PER_TOKEN = 0.015
"""Time between two tokens of a stream at a busy upstream."""


def can_finish_in_time(time_left, objective, expected_tokens, most_tokens, since_stop):
    """Return whether a request may be begun by an entry host that ends.

    At first nearly all requests still come here, and the expected length of an answer
    decides. Later ones can as well go elsewhere: they have to end in time for certain.

    Parameters
    ----------
    time_left : datetime.timedelta
        Until the entry host ends.
    objective : datetime.timedelta
        Time to the answer or its first event.
    expected_tokens, most_tokens : int
        Length of a stream's answer by the caller's estimate, which is often far off,
        and at most; 0 for others.
    since_stop : datetime.timedelta
        Since the entry host was told to stop.
    """
    output_tokens = expected_tokens or most_tokens
    if since_stop >= _NOTICED_TIME:
        output_tokens = max(expected_tokens, most_tokens)
    generation = datetime.timedelta(seconds=_SECONDS_PER_TOKEN * output_tokens)
    return objective * 2 + generation <= time_left


def refusal_delay(expected, objective, time_left, priority):
    """Return after which time a refused request may come back, None to admit it.

    Parameters
    ----------
    expected : datetime.timedelta
        Until the answer or its first event, at the best upstream.
    objective : datetime.timedelta
    time_left : datetime.timedelta
        Until the caller stops waiting.
    priority : int
        0 goes first.

    Returns
    -------
    datetime.timedelta or None
    """
    factors = _LATE_FACTOR_BY_PRIORITY
    factor = factors[min(max(priority, 0), len(factors) - 1)]
    if expected <= min(objective * factor, time_left):
        return None
    # By then as much work is done as keeps this request from being in time.
    excess = max(_NO_TIME, expected - objective)
    return min(_LONGEST_RETRY, max(_SHORTEST_RETRY, excess))
