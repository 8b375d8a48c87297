"""Spending limits: prices, periods, the size of slices and a host's local account.

Amounts are whole micros, millionths of the deployment's currency. The budget of a limit
in one period is granted in advance in slices; a host spends only what it was granted,
so that the sum of all spending stays within the limit whatever fails.
"""

import dataclasses
import datetime
import decimal

__all__ = [
    "Account",
    "Period",
    "actual_cost",
    "find_period",
    "size_slice",
    "to_micros",
    "worst_case_cost",
]

MICROS_PER_UNIT = 1_000_000
TOKENS_PER_PRICE = 1000
CHARACTERS_PER_TOKEN = 3
"""Fewest characters of a prompt per token, for the worst-case cost."""

SLICE_DIVISOR = 4
"""A slice is at most the remaining budget divided by this number times the sharers."""

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


def to_micros(amount):
    """Return a `decimal.Decimal` amount in micros, rounded down."""
    scaled = amount * MICROS_PER_UNIT
    return int(scaled.to_integral_value(decimal.ROUND_FLOOR))


def _cost(limit, request_count, token_count):
    tokens = limit.price_per_1000_tokens * token_count / TOKENS_PER_PRICE
    scaled = (limit.price_per_request * request_count + tokens) * MICROS_PER_UNIT
    return int(scaled.to_integral_value(decimal.ROUND_CEILING))


def worst_case_cost(limit, prompt_characters, max_tokens):
    """Return the highest cost that a request can have.

    Parameters
    ----------
    limit : peridothitch.policy.document.SpendingLimit
        Limit with the prices.
    prompt_characters : int
        Length of the prompt.
    max_tokens : int
        Largest number of tokens of the answer.

    Returns
    -------
    int
        Micros.
    """
    prompt_tokens = -(-prompt_characters // CHARACTERS_PER_TOKEN)
    return _cost(limit, 1, prompt_tokens + max_tokens)


def actual_cost(limit, token_count):
    """Return the cost of a request that ran, in micros."""
    return _cost(limit, 1, token_count)


@dataclasses.dataclass(frozen=True, order=True)
class Period:
    """One period of a limit.

    Attributes
    ----------
    start, end : datetime.datetime
        The period includes `start` and excludes `end`.
    """

    start: datetime.datetime
    end: datetime.datetime

    @property
    def name(self):
        """Text that identifies the period among those of its limit."""
        length = self.end - self.start
        seconds = int((self.start - _EPOCH).total_seconds())
        return f"{seconds}-{int(length.total_seconds())}"


def find_period(now, length):
    """Return the `Period` of `length` that contains the time `now`."""
    start = _EPOCH + (now - _EPOCH) // length * length
    return Period(start, start + length)


def size_slice(needed, wanted, remaining, sharers):
    """Return how much of a budget to grant at once.

    Slices shrink with the remaining budget, so that little of it is stranded at hosts
    that don't need it.

    Parameters
    ----------
    needed : int
        Least useful amount, micros.
    wanted : int
        Amount for the time until the next slice, micros.
    remaining : int
        Amount that can be granted, micros.
    sharers : int
        Number of holders that may request slices.

    Returns
    -------
    int
        Micros; 0 when not even `needed` remains.
    """
    if needed > remaining:
        return 0
    share = remaining // (SLICE_DIVISOR * max(1, sharers))
    return max(needed, min(wanted, share))


@dataclasses.dataclass
class Account:
    """Local account of one host for one limit in one period.

    Attributes
    ----------
    limit_micros : int
        The limit under which the last slice was granted.
    available : int
        Micros that can be reserved.
    reserved : int
        Micros reserved for requests in progress.
    spent : int
        Micros settled so far.
    """

    limit_micros: int
    available: int = 0
    reserved: int = 0
    spent: int = 0

    def deposit(self, amount):
        """Add a granted slice."""
        self.available += amount

    def withdraw(self, amount):
        """Remove at most `amount` of the available micros; returns what was removed."""
        taken = min(amount, self.available)
        self.available -= taken
        return taken

    def reserve(self, amount):
        """Reserve `amount`; returns whether enough was available."""
        if amount > self.available:
            return False
        self.available -= amount
        self.reserved += amount
        return True

    def settle(self, reserved, actual):
        """Turn a reservation into spending; the rest becomes available again.

        An `actual` cost above the reservation is capped at it, since the caller limits
        the answer's tokens by the reserved amount.
        """
        charged = min(actual, reserved)
        self.reserved -= reserved
        self.spent += charged
        self.available += reserved - charged
        return charged
