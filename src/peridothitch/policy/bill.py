"""The bill: sums of usage, a forecast against the limits, and alerts."""

import dataclasses
import datetime
import enum

from peridothitch.policy import spending

__all__ = [
    "Alert",
    "Bill",
    "Cause",
    "Forecast",
    "Usage",
    "UsageKey",
    "forecast_limit",
    "share_host_cost",
    "sum_usage",
]

ALERT_SHARE = 0.8
"""Spent share of a limit at which operators are alerted."""

MIN_ELAPSED_SHARE = 0.02
"""Least elapsed share of a period; the rate over less is too uncertain to forecast."""


class Cause(enum.Enum):
    """Why tokens were computed."""

    ANSWER = "answer"
    RECOMPUTED = "recomputed"


@dataclasses.dataclass(frozen=True, order=True)
class UsageKey:
    """Key that usage is summed by."""

    customer: str
    route: str
    cause: str


@dataclasses.dataclass(frozen=True)
class Usage:
    """An amount of usage.

    Attributes
    ----------
    request_count, token_count : int
    micros : int
        Amount charged to the customer.
    """

    request_count: int = 0
    token_count: int = 0
    micros: int = 0

    def plus(self, other):
        """Return the sum of two usages."""
        return Usage(
            self.request_count + other.request_count,
            self.token_count + other.token_count,
            self.micros + other.micros,
        )


class Alert(enum.Enum):
    """Alert level of a limit, from none to reached."""

    NONE = "none"
    FORECAST = "will be reached"
    NEAR = "near"
    REACHED = "reached"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forecast:
    """Spending forecast for the current period of a limit.

    Attributes
    ----------
    limit_name, customer : str
    limit_micros, spent_micros : int
    forecast_micros : int
        Spending at the period's end if the period's rate continues.
    reached_at : datetime.datetime or None
        When the limit is reached at that rate; None if not within the period.
    ends : datetime.datetime
        End of the period.
    alert : Alert
    """

    limit_name: str
    customer: str
    limit_micros: int
    spent_micros: int
    forecast_micros: int
    reached_at: datetime.datetime | None
    ends: datetime.datetime
    alert: Alert


@dataclasses.dataclass(frozen=True)
class Bill:
    """Usage, forecasts and host costs.

    Attributes
    ----------
    usage_by_key : dict of UsageKey to Usage
    forecast_by_limit : dict of str to Forecast
    host_cost_per_hour : float
        Current price of all upstream hosts.
    host_cost_per_hour_by_customer : dict of str to float
        That price divided in proportion to the customers' tokens.
    """

    usage_by_key: dict
    forecast_by_limit: dict
    host_cost_per_hour: float
    host_cost_per_hour_by_customer: dict


def sum_usage(parts):
    """Add up dicts of `UsageKey` to `Usage`; returns one such dict."""
    total = {}
    for part in parts:
        for key, usage in part.items():
            total[key] = total.get(key, Usage()).plus(usage)
    return total


def share_host_cost(price_per_hour, usage_by_key):
    """Divide the hosts' price in proportion to the customers' tokens.

    Recomputed tokens are attributed to no customer, so all customers share their cost.
    """
    tokens_by_customer = {}
    for key, usage in usage_by_key.items():
        if key.cause == Cause.ANSWER.value:
            tokens = tokens_by_customer.get(key.customer, 0) + usage.token_count
            tokens_by_customer[key.customer] = tokens
    total = sum(tokens_by_customer.values())
    if not total:
        return {}
    return {
        customer: price_per_hour * tokens / total
        for customer, tokens in tokens_by_customer.items()
    }


def forecast_limit(name, limit, spent_micros, now):
    """Return the `Forecast` of a limit's current period.

    Parameters
    ----------
    name : str
    limit : peridothitch.policy.document.SpendingLimit
    spent_micros : int
        Spending in the period so far, or an upper bound on it.
    now : datetime.datetime
    """
    period = spending.find_period(now, limit.period)
    elapsed = max(now - period.start, limit.period * MIN_ELAPSED_SHARE)
    limit_micros = spending.to_micros(limit.amount)
    forecast = int(spent_micros * (limit.period / elapsed))
    reached_at = _reached_at(period, elapsed, limit_micros, spent_micros, now)
    return Forecast(
        limit_name=name,
        customer=limit.customer,
        limit_micros=limit_micros,
        spent_micros=spent_micros,
        forecast_micros=max(spent_micros, forecast),
        reached_at=reached_at,
        ends=period.end,
        alert=_alert(limit_micros, spent_micros, reached_at),
    )


def _reached_at(period, elapsed, limit_micros, spent_micros, now):
    if not spent_micros:
        return None
    reached = period.start + elapsed * (limit_micros / spent_micros)
    if reached >= period.end:
        return None
    return max(reached, now)


def _alert(limit_micros, spent_micros, reached_at):
    if spent_micros >= limit_micros:
        return Alert.REACHED
    if spent_micros >= limit_micros * ALERT_SHARE:
        return Alert.NEAR
    if reached_at is not None:
        return Alert.FORECAST
    return Alert.NONE
