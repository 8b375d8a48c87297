"""Load reports and cache events of model engines."""

import abc
import dataclasses

__all__ = ["EngineReport", "EngineReports"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineReport:
    """Report of one engine.

    Attributes
    ----------
    running : int
        Number of streams in progress and waiting.
    backlog_tokens : int
        Prompt tokens waiting to be computed.
    events : tuple
        `peridothitch.policy.cache_estimates.CacheEvent` since the requested sequence.
    """

    running: int
    backlog_tokens: int = 0
    events: tuple = ()


class EngineReports(abc.ABC):
    """Reads the reports of engines."""

    @abc.abstractmethod
    def read(self, host, after_sequence):
        """Return the `EngineReport` of a host.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        after_sequence : int
            Cache events up to this sequence are omitted.

        Raises
        ------
        peridothitch.errors.UpstreamError
            The engine did not respond.
        """
