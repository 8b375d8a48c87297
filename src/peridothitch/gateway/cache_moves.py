"""Moves a stream's KV cache from a leaving upstream to the one that resumes it."""

import datetime

import msgspec

from peridothitch import errors
from peridothitch.policy import cache_moves
from peridothitch.ports import upstream

__all__ = ["CacheMover"]

_EXPORT_PATH = "/v1/kv/export"
_IMPORT_PATH = "/v1/kv/import"
_TIMEOUT = datetime.timedelta(seconds=2)
_HEADER_BY_NAME = {"content-type": "application/json"}
_CHARACTERS_PER_TOKEN = 4
_OK = 200


class CacheMover:
    """Exports caches at one upstream and imports them at another.

    After a failure, the target computes the cache again.

    Parameters
    ----------
    transport : peridothitch.ports.upstream.Transport
    metrics : peridothitch.adapters.metrics.Metrics
    costs : peridothitch.policy.cache_moves.CacheCosts
    """

    def __init__(self, transport, metrics, costs=None):
        self._transport = transport
        self._metrics = metrics
        self._costs = costs or cache_moves.CacheCosts()

    def move(self, job, source, target):
        """Move a request's cache if that is cheaper than computing it again.

        Parameters
        ----------
        job : peridothitch.gateway.jobs.Job
            Its `resume` is the point from which the target resumes the answer.
        source, target : peridothitch.ports.upstream.Host

        Returns
        -------
        bool
            Whether the target has the cache.
        """
        prompt_length = sum(len(str(message)) for message in job.chat["messages"])
        token_count = job.resume.event_id + prompt_length // _CHARACTERS_PER_TOKEN
        if not cache_moves.is_import_cheaper(token_count, source, target, self._costs):
            return False
        payload = msgspec.json.encode({"request_id": job.request_id})
        try:
            cache = self._call(source, _EXPORT_PATH, payload)
            self._call(target, _IMPORT_PATH, cache)
        except errors.UpstreamError:
            self._metrics.count("cache_move_failures")
            return False
        self._metrics.count("cache_moves")
        return True

    def _call(self, host, path, body):
        call = upstream.Call(
            method="POST",
            path=path,
            header_by_name=_HEADER_BY_NAME,
            body=body,
            first_byte_timeout=_TIMEOUT,
            gap_timeout=_TIMEOUT,
        )
        exchange = self._transport.open(host, call)
        try:
            if exchange.status != _OK:
                raise errors.UpstreamError(
                    errors.Code.UPSTREAM_REFUSED,
                    f"{host.host_id} answered {exchange.status} to {path}",
                    errors.Ran.NO,
                )
            return exchange.read()
        finally:
            exchange.cancel()
