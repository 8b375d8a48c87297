"""Tells refused callers when to come again.

Answers a wave of refusals: callers that are all told the same time come back together.
The times lie in the span in which room is expected, the urgent ones first.
"""

__all__ = ["return_delay"]

_MIN_DELAY_SECONDS = 0.05
_MAX_DELAY_SECONDS = 2.0
_SPREAD_BY_PRIORITY = (1.0, 1.5, 2.0)
"""Length of the span in which callers of a priority come back, in times until room."""

_LEFT_SHARE = 1 / 3
"""Callers wait for no longer than this share of the time that they have left."""


def return_delay(prospect, draw):
    """Return the seconds after which a refused caller may come again.

    Parameters
    ----------
    prospect : peridothitch.policy.room.Prospect
    draw : float
        Uniform in [0, 1).
    """
    spreads = _SPREAD_BY_PRIORITY
    spread = spreads[min(max(prospect.priority, 0), len(spreads) - 1)]
    until_room = max(_MIN_DELAY_SECONDS, prospect.lateness)
    if prospect.has_returned:
        until_room *= 2
    latest = until_room * (1 + spread)
    # A caller that comes within its target may still be served in time.
    slack = prospect.target - prospect.elapsed - prospect.start
    if slack > until_room:
        latest = min(latest, slack)
    delay = until_room + draw * (latest - until_room)
    most = min(_MAX_DELAY_SECONDS, prospect.left * _LEFT_SHARE)
    return max(_MIN_DELAY_SECONDS, min(delay, most * (0.5 + 0.5 * draw)))
