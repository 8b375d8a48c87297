"""Whether a stream leaves its upstream early, and how its KV cache gets along."""

import dataclasses
import datetime

__all__ = ["CacheCosts", "is_import_cheaper", "should_move"]

_FINISH_MARGIN = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheCosts:
    """What moving and computing KV cache costs.

    Attributes
    ----------
    bytes_per_token : int
        Size of a token's cache.
    bytes_per_second : int
        Rate of a transfer between two upstreams of a region.
    call_time : datetime.timedelta
        Time for the calls that export and import, besides the transfer.
    prefill_tokens_per_second : int
        Rate at which an upstream computes the cache of known tokens.
    """

    bytes_per_token: int = 160_000
    bytes_per_second: int = 1_200_000_000
    call_time: datetime.timedelta = datetime.timedelta(milliseconds=10)
    prefill_tokens_per_second: int = 5_000


def is_import_cheaper(token_count, source, target, costs):
    """Return whether importing a cache takes less time than computing it again.

    Parameters
    ----------
    token_count : int
        Tokens whose cache is needed, those of the prompt included.
    source, target : peridothitch.ports.upstream.Host
    costs : CacheCosts

    Returns
    -------
    bool
        False across regions, where traffic is paid by volume.
    """
    if source.region != target.region:
        return False
    transfer = token_count * costs.bytes_per_token / costs.bytes_per_second
    imported = costs.call_time + datetime.timedelta(seconds=transfer)
    computed = datetime.timedelta(seconds=token_count / costs.prefill_tokens_per_second)
    return imported < computed


def should_move(remaining_tokens, token_gap):
    """Return whether a stream at a leaving upstream should move now.

    Parameters
    ----------
    remaining_tokens : int
        Most tokens that are still to come.
    token_gap : datetime.timedelta
        Time between two tokens so far.

    Returns
    -------
    bool
        False if the answer will be whole in a few seconds.
    """
    return remaining_tokens * token_gap > _FINISH_MARGIN
