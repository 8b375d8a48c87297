"""Estimates the needs of a request from its body and from earlier requests."""

import msgspec

from peridothitch.policy import affinity, cost, host_selector

__all__ = ["NeedEstimator", "prefix_of"]

_BYTES_PER_TOKEN = 4.0
_BYTES_PER_OUTPUT_TOKEN = 200.0
_DEFAULT_OUTPUT_TOKENS = 200.0
_DEFAULT_REUSE_SHARE = 0.3
_SMOOTHING_FACTOR = 0.05
_USER = "user"
_ASSISTANT = "assistant"


class NeedEstimator:
    """Estimates requests' needs by moving averages of each route's requests."""

    def __init__(self):
        self._output_tokens_by_route = {}
        self._reuse_share_by_route = {}

    def estimate(self, job, version, tried, now):
        """Return the `AttemptNeed` of an attempt.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job
        version : str
        tried : iterable of str
        now : datetime.timedelta
            Monotonic time.
        """
        prefix = affinity.NO_PREFIX
        prompt_bytes = 0
        adapter = ""
        output_tokens = 0.0
        if job.chat is not None:
            adapter = _adapter(job, version)
            prefix = prefix_of(job.chat["messages"], f"{version}/{adapter}")
            prompt_bytes = len(job.request.body)
            output_tokens = self._output_tokens(job)
            self._update_reuse_share(job.match.name, prefix.continued)
        demand = cost.Demand(
            prompt_tokens=prompt_bytes / _BYTES_PER_TOKEN,
            output_tokens=output_tokens,
            request_bytes=len(job.request.body)
            + output_tokens * _BYTES_PER_OUTPUT_TOKEN,
            priority=job.route.priority,
            remaining=job.deadline - now,
            reuse=self._reuse_share_by_route.get(job.match.name, _DEFAULT_REUSE_SHARE),
        )
        return host_selector.AttemptNeed(
            version=version,
            adapter=adapter,
            prefix=prefix,
            demand=demand,
            tried=frozenset(tried),
        )

    def observe(self, outcome):
        """Update the estimate of a route's output tokens from an `AttemptOutcome`."""
        if outcome.code is not None or not outcome.token_count:
            return
        average = self._output_tokens_by_route.get(
            outcome.route, _DEFAULT_OUTPUT_TOKENS
        )
        average += _SMOOTHING_FACTOR * (outcome.token_count - average)
        self._output_tokens_by_route[outcome.route] = average

    def _update_reuse_share(self, route, continued):
        """Update the share of a route's requests that continue an earlier one."""
        average = self._reuse_share_by_route.get(route, _DEFAULT_REUSE_SHARE)
        self._reuse_share_by_route[route] = average + _SMOOTHING_FACTOR * (
            continued - average
        )

    def _output_tokens(self, job):
        average = self._output_tokens_by_route.get(
            job.match.name, _DEFAULT_OUTPUT_TOKENS
        )
        limit = job.chat.get("max_tokens")
        if isinstance(limit, int) and limit > 0:
            return min(average, limit)
        return average


def _adapter(job, version):
    model = job.chat.get("model")
    service_version = job.service.versions.get(version)
    if service_version is None or not isinstance(model, str):
        return ""
    return model if model in service_version.adapters else ""


def prefix_of(chat_messages, salt):
    """Return the `Prefix` of a list of chat messages."""
    roles = [
        message.get("role") if isinstance(message, dict) else None
        for message in chat_messages
    ]
    first = roles.index(_USER) if _USER in roles else len(roles) - 1
    encode = msgspec.json.encode
    return affinity.make_prefix(
        b"".join(map(encode, chat_messages[:first])),
        b"".join(map(encode, chat_messages[first : first + 1])),
        b"".join(map(encode, chat_messages[first + 1 :])),
        continued=_ASSISTANT in roles,
        salt=salt,
    )
