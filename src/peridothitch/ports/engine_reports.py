"""Load reports and cache events of model engines."""

import abc
import dataclasses

__all__ = ["EngineReport", "EngineReports"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineReport:
    """What one engine reports when it is asked.

    Attributes
    ----------
    running : int
        Streams in progress and waiting.
    backlog_tokens : int
        Prompt tokens waiting to be computed.
    events : tuple
        `peridothitch.policy.cache_estimates.CacheEvent` since the sequence asked for.
    """

    running: int
    backlog_tokens: int = 0
    events: tuple = ()


class EngineReports(abc.ABC):
    """Asks engines for their reports."""

    @abc.abstractmethod
    def read(self, host, after_sequence):
        """Return the `EngineReport` of a host.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        after_sequence : int
            Cache events up to this one are left out.

        Raises
        ------
        peridothitch.errors.UpstreamError
            The engine did not answer.
        """
