"""Admits requests before they run and settles what they used."""

import contextlib
import dataclasses

__all__ = ["Admission", "Usage"]


@dataclasses.dataclass(kw_only=True)
class Usage:
    """What a request used so far; filled in while it runs.

    Attributes
    ----------
    prompt_tokens, completion_tokens : int
        Tokens that the customer pays for.
    recomputed_tokens : int
        Tokens computed again after a failure; the system pays for them.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    recomputed_tokens: int = 0


class Admission:
    """Admits every request."""

    @contextlib.contextmanager
    def admit(self, job):
        """Hold an admission while the context is open.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job

        Yields
        ------
        Usage
            Settled when the context closes.

        Raises
        ------
        peridothitch.errors.RequestError
            The request is shed or a limit is reached; it did not run.
        """
        yield Usage()
