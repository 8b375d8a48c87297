"""Readiness and metrics pages, served on an address that callers don't use."""

import json

from peridothitch.adapters import problems, wsgi_server

__all__ = ["StatusPages"]

_METRICS_PATH = "/metrics"
_MAX_BODY_BYTES = 64 << 10
_REQUEST_MEMORY_BYTES = 2 << 20


class StatusPages:
    """WSGI application that serves readiness and metrics.

    Parameters
    ----------
    is_ready : callable
        Returns whether the load balancer should send callers here.
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, is_ready, metrics):
        self._is_ready = is_ready
        self._metrics = metrics

    def __call__(self, environ, start_response):
        """Serve the metrics at /metrics and the readiness at every other path.

        The status of the readiness page is 200 when ready, else 503.
        """
        if environ["PATH_INFO"] == _METRICS_PATH:
            accept = environ.get("HTTP_ACCEPT", "*/*")
            body, header_by_name = self._metrics.render(accept)
            start_response(problems.status_line(200), list(header_by_name.items()))
            return [body]
        ready = self._is_ready()
        body = json.dumps({"ready": ready}).encode()
        headers = [("Content-Type", "application/json")]
        start_response(problems.status_line(200 if ready else 503), headers)
        return [body]

    def make_server(self, address):
        """Return a server of these pages at an IP address and port, not yet started."""
        limits = wsgi_server.ServerLimits(
            body_bytes=_MAX_BODY_BYTES, request_memory_bytes=_REQUEST_MEMORY_BYTES
        )
        return wsgi_server.WsgiServer(
            self, address, threads=1, limits=limits, connection_limit=64
        )
