"""Decides whether and when a failed attempt is retried."""

import dataclasses
import datetime

from peridothitch import errors
from peridothitch.policy import document as documents

__all__ = ["RetryBudget", "backoff", "may_repeat"]

_BASE_DELAY = datetime.timedelta(milliseconds=50)
_MAX_DELAY = datetime.timedelta(seconds=2)
_MAX_DOUBLING_COUNT = 6
_RETRIABLE_CODES = frozenset(
    {
        errors.Code.ANSWER_INVALID,
        errors.Code.OUTCOME_UNKNOWN,
        errors.Code.STREAM_INTERRUPTED,
        errors.Code.UPSTREAM_SILENT,
        errors.Code.CONNECTION_SILENT,
        errors.Code.UPSTREAM_FAILED,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryBudget:
    """Retries that a route may make, as a share of its requests.

    Attributes
    ----------
    ratio : float
        Retries earned by one request.
    capacity : float
        Largest balance.
    balance : float
        Retries that may be made now.
    """

    ratio: float = 0.2
    capacity: float = 20.0
    balance: float = 20.0

    def earn(self):
        """Return the budget after one more first attempt."""
        balance = min(self.capacity, self.balance + self.ratio)
        return dataclasses.replace(self, balance=balance)

    def allows(self):
        """Return whether a retry may be spent."""
        return self.balance >= 1

    def spend(self):
        """Return the budget after one retry."""
        return dataclasses.replace(self, balance=self.balance - 1)


def may_repeat(effect, error):
    """Return whether running the request again can't double its effect.

    Parameters
    ----------
    effect : peridothitch.policy.document.Effect
    error : peridothitch.errors.UpstreamError
    """
    if error.code is errors.Code.DEADLINE_EXCEEDED:
        return False
    if error.ran is errors.Ran.NO:
        return True
    if effect is documents.Effect.ONCE:
        return False
    return error.code in _RETRIABLE_CODES


def backoff(round_count, random_share):
    """Return the delay before the hosts are tried once more.

    Parameters
    ----------
    round_count : int
        Rounds through all hosts so far.
    random_share : float
        From 0 to 1; adds jitter, so that the retries of many requests spread.

    Returns
    -------
    datetime.timedelta
    """
    delay = min(_MAX_DELAY, _BASE_DELAY * 2 ** min(round_count, _MAX_DOUBLING_COUNT))
    return delay * (0.5 + random_share / 2)
