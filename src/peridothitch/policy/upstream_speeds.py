"""What is measured of an upstream's speed, and what is expected of it."""

import dataclasses

__all__ = ["FirstPiece", "SharedSpeed", "Speed", "StreamPace"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstPiece:
    """An answer that has begun.

    Attributes
    ----------
    uncached_tokens : float
        Prompt tokens that the upstream had to read, at most.
    uncertain_tokens : float
        Those of them that other entry hosts may have had it read before.
    queued_tokens : float
        Tokens that it had to read first, as far as known when the request was sent.
    prompt_tokens : float
    seconds : float
        From the request to the answer's first piece.
    is_preferred : bool
        Whether all entry hosts expect the shared parts at this upstream.
    """

    uncached_tokens: float
    seconds: float
    uncertain_tokens: float = 0.0
    queued_tokens: float = 0.0
    prompt_tokens: float = 0.0
    is_preferred: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamPace:
    """A stream that has ended.

    Attributes
    ----------
    seconds : float
        From its first to its last piece.
    tokens : float
        Output tokens in this time, by the caller's estimate.
    running : int
        Requests in progress there when it began.
    """

    seconds: float
    tokens: float
    running: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Speed:
    """What one upstream is expected to take.

    Attributes
    ----------
    first_seconds : float
        Time to the first piece of a request without a prompt.
    read_seconds : float
        Time per prompt token to read.
    token_seconds : float or None
        Time per output token of a stream beside one other request, None if unknown.
    token_seconds_per_request : float
        Additional time per output token for each further request in progress.
    mean_read_tokens : float
        Tokens that a request of the service has to have read on average.
    hit_rate : float
        Probability that the preferred upstream still has the shared parts.
    wait_seconds : float
        Mean time that requests of the service have waited lately.
    """

    first_seconds: float
    read_seconds: float
    token_seconds: float | None = None
    token_seconds_per_request: float = 0.0
    mean_read_tokens: float = 0.0
    hit_rate: float = 0.0
    wait_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SharedSpeed:
    """What the hosts have learnt together of one service.

    Attributes
    ----------
    reads, tokens : peridothitch.policy.sampled_line.LineFit or None
        Seconds to the first piece by tokens, and per output token by requests.
    wait_seconds : float
        Mean time that requests have waited lately.
    mean_speed : float
        Mean speed of the service's upstreams relative to the lines.
    deviation_by_host : dict of str to float
        Natural logarithm of the time that work takes relative to the service, of the
        upstreams that differ most.
    """

    reads: object
    tokens: object
    wait_seconds: float = 0.0
    mean_speed: float = 1.0
    deviation_by_host: dict = dataclasses.field(default_factory=dict)
