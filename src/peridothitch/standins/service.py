"""Stand-in for a plain service: counts how often each request ran."""

import threading

import msgspec

__all__ = ["Service"]

_JSON = [("content-type", "application/json")]


class Service:
    """WSGI application of one plain upstream.

    Parameters
    ----------
    name : str
        Name of the replica.
    """

    def __init__(self, name):
        self._name = name
        self._lock = threading.Lock()
        self._run_count_by_key = {}

    def run_count(self, key):
        """Return how often the request with an idempotency key ran here."""
        with self._lock:
            return self._run_count_by_key.get(key, 0)

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        body = environ["wsgi.input"].read()
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        with self._lock:
            count = self._run_count_by_key.get(key, 0) + 1
            self._run_count_by_key[key] = count
        start_response("200 OK", _JSON)
        answer = {
            "service": self._name,
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "received_bytes": len(body),
        }
        return [msgspec.json.encode(answer)]
