"""Streams an answer, each event once, also when upstreams fail or leave."""

import contextlib

from peridothitch import errors

__all__ = ["FailoverStream"]

_MIGRATION_CHECK_INTERVAL_TOKENS = 8


class FailoverStream:
    """Resumes an answer at another upstream when one fails or leaves.

    Parameters
    ----------
    search : peridothitch.gateway.dispatch.Search
    progress : peridothitch.policy.resumption.StreamProgress
    usage : peridothitch.gateway.admission.Usage
    max_tokens : int
        Largest number of tokens of the answer.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, *, search, progress, usage, max_tokens, clock, metrics):
        self._search = search
        self._progress = progress
        self._usage = usage
        self._max_tokens = max_tokens
        self._clock = clock
        self._started = clock.monotonic()
        self._metrics = metrics

    def open(self):
        """Open the attempt that starts or resumes the answer."""
        if not self._progress.token_count:
            return self._search.open()
        attempt = self._search.open(self._progress.resume_point())
        if not self._search.has_cache:
            # The upstream computes the KV cache of these tokens again.
            self._usage.recomputed_tokens += self._progress.token_count
            self._metrics.count("recomputed_tokens", self._progress.token_count)
        return attempt

    def events(self, attempt=None):
        """Yield the numbered events that are new until the answer is complete.

        Parameters
        ----------
        attempt : peridothitch.gateway.attempts.Attempt or None
            The first attempt, if it was opened already.

        Raises
        ------
        peridothitch.errors.RequestError
            No upstream can resume the answer.
        """
        while not self._progress.done:
            final_event = self._progress.close()
            if final_event is not None:
                yield final_event
                return
            if attempt is None:
                attempt = self.open()
            try:
                yield from self._read(attempt)
            except errors.UpstreamError as error:
                self._metrics.count("streams_interrupted")
                self._search.handle_failure(error)
            attempt = None

    def _read(self, attempt):
        with contextlib.closing(attempt.events(self._progress)) as events:
            for event in events:
                yield event
                if self._is_migration_due():
                    self._search.start_migration()
                    return

    def _is_migration_due(self):
        count = self._progress.token_count
        if count % _MIGRATION_CHECK_INTERVAL_TOKENS or not count or self._progress.done:
            return False
        elapsed = self._clock.monotonic() - self._started
        remaining = self._max_tokens - count
        return self._search.should_migrate(remaining, elapsed / count)
