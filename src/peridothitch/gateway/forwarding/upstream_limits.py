"""Limits that upstreams name on the requests of all entry hosts together."""

import math
import threading

import logbook

__all__ = ["UpstreamLimits"]

_log = logbook.Logger("forwarding")


class UpstreamLimits:
    """The limits that upstreams named last.

    Parameters
    ----------
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._lock = threading.Lock()
        self._rate_by_incarnation = {}

    def record(self, host, request_limit):
        """Store the limit in an upstream's answer.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        request_limit : float
            See `peridothitch.ports.forwarding.ResponseMetadata`.
        """
        if math.isnan(request_limit):
            self._metrics.count("malformed_limits", service=host.service)
            return
        incarnation = f"{host.host_id}/{host.incarnation}"
        with self._lock:
            before = self._rate_by_incarnation.get(incarnation, math.inf)
            if request_limit == before:
                return
            if math.isinf(request_limit):
                del self._rate_by_incarnation[incarnation]
            else:
                self._rate_by_incarnation[incarnation] = request_limit
            count = len(self._rate_by_incarnation)
        self._metrics.set("limited_upstreams", count)
        _log.info(
            "limit named",
            host_id=host.host_id,
            incarnation=host.incarnation,
            service=host.service,
            rate=request_limit,
            before=before,
        )
