"""Admission control: refuses requests that could not be answered in time.

Protects a service that has lost many of its hosts, or receives several times its usual
requests. Without it every request queues behind all others, and all of them are
answered too late.
"""

import datetime

__all__ = ["can_finish_in_time", "may_stop", "refusal_delay"]

_NO_TIME = datetime.timedelta(0)
_OBJECTIVE_FACTOR_BY_PRIORITY = (3.0, 2.6, 2.2)
"""Largest multiple of the objective that is admitted; higher for urgent requests."""

_SHORTEST_RETRY_DELAY = datetime.timedelta(milliseconds=150)
_LONGEST_RETRY_DELAY = datetime.timedelta(seconds=2)


_BALANCER_SWITCH_TIME = datetime.timedelta(seconds=2.5)
"""From a stop until the balancer, which polls once a second, routes to other hosts."""

_SECONDS_PER_TOKEN = 0.015
"""Interval between two tokens of a stream at a busy upstream."""


_DRAIN_QUIET_TIME = datetime.timedelta(milliseconds=1500)
"""A draining host stops after this time without a new request."""

_MIN_DRAIN_TIME = datetime.timedelta(seconds=3)
"""The load balancer notices within two of its health checks, a second apart."""


def may_stop(since_stop, since_last_arrival, active_count):
    """Return whether a stopping entry host may exit before its grace period ends.

    Parameters
    ----------
    since_stop, since_last_arrival : datetime.timedelta
        Time since the host was asked to stop, and since the last request arrived.
    active_count : int
        Requests in progress.
    """
    is_quiet = since_last_arrival >= _DRAIN_QUIET_TIME
    return since_stop >= _MIN_DRAIN_TIME and is_quiet and not active_count


def can_finish_in_time(
    time_left, objective, expected_tokens, most_tokens, since_stop, time_allowed
):
    """Return whether a stopping entry host may start a request.

    Until the balancer reacts, nearly all requests still arrive here, and the expected
    length of the answer decides. Later requests can be served by other entry hosts, so
    they are started only if their own time ends before the entry host, however slow
    the upstream is.

    Parameters
    ----------
    time_left : datetime.timedelta
        Time until the entry host exits.
    objective : datetime.timedelta
        Target time to the answer or its first event.
    expected_tokens, most_tokens : int
        Length of a streamed answer: the caller's estimate, which is often inaccurate,
        and the maximum; 0 for other answers.
    since_stop : datetime.timedelta
        Time since the entry host was asked to stop.
    time_allowed : datetime.timedelta
        Time until the caller's deadline or the route's timeout.
    """
    if since_stop >= _BALANCER_SWITCH_TIME:
        return time_allowed <= time_left
    output_tokens = expected_tokens or most_tokens
    generation = datetime.timedelta(seconds=_SECONDS_PER_TOKEN * output_tokens)
    return objective * 2 + generation <= time_left


def refusal_delay(expected, objective, time_left, priority):
    """Return the delay after which a refused request may retry, None to admit it.

    Parameters
    ----------
    expected : datetime.timedelta
        Expected time to the answer or its first event, at the best upstream.
    objective : datetime.timedelta
        Target for that time.
    time_left : datetime.timedelta
        Time until the caller's deadline.
    priority : int
        0 is the most urgent.

    Returns
    -------
    datetime.timedelta or None
    """
    factors = _OBJECTIVE_FACTOR_BY_PRIORITY
    factor = factors[min(max(priority, 0), len(factors) - 1)]
    if expected <= min(objective * factor, time_left):
        return None
    # The delay lasts until the queued work that makes this request late is done.
    excess = max(_NO_TIME, expected - objective)
    return min(_LONGEST_RETRY_DELAY, max(_SHORTEST_RETRY_DELAY, excess))
