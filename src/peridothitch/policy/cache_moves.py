"""Decides whether a stream migrates early and whether its KV cache is transferred."""

import dataclasses
import datetime

__all__ = ["CacheCosts", "is_import_cheaper", "should_move"]

_FINISH_MARGIN = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheCosts:
    """Cost of transferring and of computing KV cache.

    Attributes
    ----------
    bytes_per_token : int
        Size of the cache of one token.
    bytes_per_second : int
        Transfer rate between two upstreams of a region.
    call_time : datetime.timedelta
        Time for the export and import calls, without the transfer.
    prefill_tokens_per_second : int
        Rate at which an upstream computes the cache of known tokens.
    """

    bytes_per_token: int = 160_000
    bytes_per_second: int = 1_200_000_000
    call_time: datetime.timedelta = datetime.timedelta(milliseconds=10)
    prefill_tokens_per_second: int = 5_000


def is_import_cheaper(token_count, source, target, costs):
    """Return whether importing a cache takes less time than recomputing it.

    Parameters
    ----------
    token_count : int
        Tokens whose cache is needed, including those of the prompt.
    source, target : peridothitch.ports.upstream.Host
    costs : CacheCosts

    Returns
    -------
    bool
        False across regions, where traffic is charged by volume.
    """
    if source.region != target.region:
        return False
    transfer_seconds = token_count * costs.bytes_per_token / costs.bytes_per_second
    import_time = costs.call_time + datetime.timedelta(seconds=transfer_seconds)
    compute_time = datetime.timedelta(
        seconds=token_count / costs.prefill_tokens_per_second
    )
    return import_time < compute_time


def should_move(remaining_tokens, token_gap):
    """Return whether a stream should migrate now from a leaving upstream.

    Parameters
    ----------
    remaining_tokens : int
        Largest number of tokens still to be generated.
    token_gap : datetime.timedelta
        Interval between two tokens so far.

    Returns
    -------
    bool
        False if the answer will be complete within a few seconds.
    """
    return remaining_tokens * token_gap > _FINISH_MARGIN
