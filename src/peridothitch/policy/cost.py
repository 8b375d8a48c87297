"""Expected cost of serving a request at an upstream host, with its parts."""

import dataclasses
import datetime
import functools

import msgspec

from peridothitch.policy import document as documents

__all__ = ["Cost", "Demand", "Prices", "Targets", "estimate_cost"]

_SECONDS_PER_HOUR = 3600.0
_BYTES_PER_GIGABYTE = 1e9
_FIRST_TOKEN_EXPONENT = 3.0
_GAP_EXPONENT = 10.0
_DEADLINE_EXPONENT = 10.0
_DEADLINE_SHARE = 0.7
_MIN_DIVISOR_SECONDS = 0.001
_MAX_TARGET_RATIO = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Targets:
    """Latency targets for 95 in 100 requests."""

    first_token: datetime.timedelta = datetime.timedelta(milliseconds=830)
    token_gap: datetime.timedelta = datetime.timedelta(milliseconds=45)

    @functools.cached_property
    def first_token_seconds(self):
        """`first_token` in seconds."""
        return self.first_token.total_seconds()

    @functools.cached_property
    def gap_seconds(self):
        """`token_gap` in seconds."""
        return self.token_gap.total_seconds()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prices:
    """Prices, in the deployment's currency, and network latencies.

    Attributes
    ----------
    per_gigabyte_between_regions : float
        Price of traffic across regions.
    missed_target : datetime.timedelta
        Host time whose price is the latency cost of a request at its latency target.
    round_trip_within_region, round_trip_between_regions : datetime.timedelta
        Network latency.
    """

    per_gigabyte_between_regions: float = 0.08
    missed_target: datetime.timedelta = datetime.timedelta(milliseconds=100)
    round_trip_within_region: datetime.timedelta = datetime.timedelta(milliseconds=1)
    round_trip_between_regions: datetime.timedelta = datetime.timedelta(milliseconds=20)

    @functools.cached_property
    def missed_target_seconds(self):
        """`missed_target` in seconds."""
        return self.missed_target.total_seconds()

    @functools.cached_property
    def near_round_trip_seconds(self):
        """`round_trip_within_region` in seconds."""
        return self.round_trip_within_region.total_seconds()

    @functools.cached_property
    def far_round_trip_seconds(self):
        """`round_trip_between_regions` in seconds."""
        return self.round_trip_between_regions.total_seconds()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Resources that a request is expected to need.

    Attributes
    ----------
    prompt_tokens, output_tokens : float
    request_bytes : float
        Bytes sent and received.
    priority : peridothitch.policy.document.Priority
    remaining : datetime.timedelta or None
        Time to the request's deadline.
    reuse : float
        Probability that a later request starts with this prompt.
    """

    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    request_bytes: float = 0.0
    priority: documents.Priority = documents.Priority.NORMAL
    remaining: datetime.timedelta | None = None
    reuse: float = 0.3


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Expected cost of one request at one host, in the deployment's currency.

    Attributes
    ----------
    compute : float
        Price of the host time for the tokens to compute.
    traffic : float
        Price of bytes across regions.
    reclaim : float
        Price of the tokens to recompute if the host is reclaimed meanwhile.
    latency : float
        Weighted latency relative to the targets, for this request and for those that
        it slows at the host; it grows steeply beyond a target.
    first_token_seconds, gap_seconds : float
        Predicted latency.
    """

    compute: float
    traffic: float
    reclaim: float
    latency: float
    first_token_seconds: float
    gap_seconds: float

    @property
    def total(self):
        """Sum of the four cost components."""
        return self.compute + self.traffic + self.reclaim + self.latency


def estimate_cost(
    *,
    price_per_hour,
    mean_price_per_hour,
    load,
    profile,
    cached_tokens,
    demand,
    is_near,
    reclaim_rate,
    prices,
    targets,
    reusable_tokens=0.0,
):
    """Return the `Cost` of a request at one host.

    Parameters
    ----------
    price_per_hour : float
        Price that the host's time is calculated at.
    mean_price_per_hour : float
        Mean price of the hosts that could serve the request.
    load : peridothitch.policy.load_estimates.HostLoad
    profile : peridothitch.policy.load_estimates.Profile
    cached_tokens : float
        Prompt tokens that the host has cached and need not compute.
    demand : Demand
    is_near : bool
        Whether the host is in the entry host's region.
    reclaim_rate : float
        Expected reclaims of the host per hour.
    prices : Prices
    targets : Targets
    reusable_tokens : float
        Prompt tokens that later requests are expected to find cached at this host only.
    """
    uncached = max(0.0, demand.prompt_tokens - cached_tokens)
    rate = profile.prefill_tokens_per_second
    added_gap = profile.gap_per_stream_seconds * load.gap_ratio
    gap = profile.gap_seconds * load.gap_ratio + added_gap * (load.running + 1.0)
    prefill_seconds = uncached / rate
    first_token = (load.backlog_tokens / rate + prefill_seconds + gap) * load.slowness
    first_token += (
        prices.near_round_trip_seconds if is_near else prices.far_round_trip_seconds
    )
    decode_seconds = demand.output_tokens * gap
    price_per_second = price_per_hour / _SECONDS_PER_HOUR
    slot_seconds = decode_seconds / profile.slots
    compute = price_per_second * (
        prefill_seconds + slot_seconds - reusable_tokens / rate
    )
    traffic = 0.0
    if not is_near:
        gigabytes = demand.request_bytes / _BYTES_PER_GIGABYTE
        traffic = gigabytes * prices.per_gigabyte_between_regions
    hours = (first_token + decode_seconds) / _SECONDS_PER_HOUR
    recompute_seconds = (
        demand.prompt_tokens / rate + decode_seconds / profile.slots / 2.0
    )
    reclaim = reclaim_rate * hours * recompute_seconds * price_per_second
    penalty = _own_penalty(demand, targets, first_token, gap, decode_seconds)
    penalty += load.running * _added_gap_penalty(targets, gap, added_gap)
    busy_seconds = load.backlog_tokens / rate + prefill_seconds
    delayed_count = (
        busy_seconds * load.running / max(decode_seconds, _MIN_DIVISOR_SECONDS)
    )
    penalty += delayed_count * _added_first_token_penalty(
        targets, first_token, prefill_seconds * load.slowness
    )
    return Cost(
        compute=compute,
        traffic=traffic,
        reclaim=reclaim,
        latency=penalty
        * prices.missed_target_seconds
        * mean_price_per_hour
        / _SECONDS_PER_HOUR,
        first_token_seconds=first_token,
        gap_seconds=gap,
    )


def _own_penalty(demand, targets, first_token, gap, decode_seconds):
    if demand.priority is documents.Priority.BATCH and demand.remaining is not None:
        allowed_seconds = demand.remaining.total_seconds() * _DEADLINE_SHARE
        target_ratio = (first_token + decode_seconds) / max(
            allowed_seconds, _MIN_DIVISOR_SECONDS
        )
        return _penalty(target_ratio, _DEADLINE_EXPONENT)
    first_token_penalty = _penalty(
        first_token / targets.first_token_seconds, _FIRST_TOKEN_EXPONENT
    )
    return first_token_penalty + _penalty(gap / targets.gap_seconds, _GAP_EXPONENT)


def _added_gap_penalty(targets, gap, added_gap):
    """Return the gap penalty that one more stream adds to another one at the host."""
    target = targets.gap_seconds
    before = _penalty((gap - added_gap) / target, _GAP_EXPONENT)
    return _penalty(gap / target, _GAP_EXPONENT) - before


def _added_first_token_penalty(targets, first_token, prefill_seconds):
    """Return the first-token penalty that a prompt adds to the next one at the host."""
    target = targets.first_token_seconds
    before = _penalty((first_token - prefill_seconds) / target, _FIRST_TOKEN_EXPONENT)
    return _penalty(first_token / target, _FIRST_TOKEN_EXPONENT) - before


def _penalty(target_ratio, exponent):
    """Return 1 at the target; convex, so that a worse latency always costs more."""
    return min(max(target_ratio, 0.0), _MAX_TARGET_RATIO) ** exponent
