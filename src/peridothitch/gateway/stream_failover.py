"""Streams one answer from one upstream after another, each event once."""

import contextlib

from peridothitch import errors

__all__ = ["FailoverStream"]

_LOOK_INTERVAL_TOKENS = 8


class FailoverStream:
    """Goes on with an answer at another upstream when one fails.

    Parameters
    ----------
    search : peridothitch.gateway.dispatch.Search
    progress : peridothitch.policy.resumption.StreamProgress
    usage : peridothitch.gateway.admission.Usage
    max_tokens : int
        Most tokens that the answer may have.
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
        """Return the attempt that the answer begins or goes on with."""
        if not self._progress.token_count:
            return self._search.open()
        attempt = self._search.open(self._progress.resume_point())
        if not self._search.has_cache:
            # The upstream computes the KV cache of these tokens again.
            self._usage.recomputed_tokens += self._progress.token_count
            self._metrics.count("recomputed_tokens", self._progress.token_count)
        return attempt

    def events(self, attempt=None):
        """Yield the numbered events that are new until the answer is whole.

        Parameters
        ----------
        attempt : peridothitch.gateway.attempts.Attempt or None
            The first attempt, if it was opened already.

        Raises
        ------
        peridothitch.errors.RequestError
            No upstream goes on with the answer.
        """
        while not self._progress.done:
            end = self._progress.close()
            if end is not None:
                yield end
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
                if self._is_time_to_leave():
                    self._search.start_migration()
                    return

    def _is_time_to_leave(self):
        count = self._progress.token_count
        if count % _LOOK_INTERVAL_TOKENS or not count or self._progress.done:
            return False
        elapsed = self._clock.monotonic() - self._started
        remaining = self._max_tokens - count
        return self._search.should_migrate(remaining, elapsed / count)
