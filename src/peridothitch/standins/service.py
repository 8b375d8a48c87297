"""Stand-in for a plain service: counts how often each request ran."""

import datetime
import threading

import msgspec

from peridothitch.standins import faults

__all__ = ["Service"]

_JSON_HEADERS = [("content-type", "application/json")]
_FREEZE_DURATION = datetime.timedelta(hours=1)


class Service:
    """WSGI application of one plain upstream.

    Parameters
    ----------
    name : str
        Name of the replica.
    clock : peridothitch.ports.clock.Clock or None
        Needed for the freeze fault.

    Attributes
    ----------
    faults : peridothitch.standins.faults.ActiveFaults
    """

    def __init__(self, name, clock=None):
        self._name = name
        self._clock = clock
        self._never = threading.Event()
        self._lock = threading.Lock()
        self._run_count_by_key = {}
        self.faults = faults.ActiveFaults()

    def run_count(self, key):
        """Return how often the request with an idempotency key ran here."""
        with self._lock:
            return self._run_count_by_key.get(key, 0)

    def run_counts(self):
        """Return how often each request ran here, by idempotency key."""
        with self._lock:
            return dict(self._run_count_by_key)

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        path = environ["PATH_INFO"]
        if path == "/standin/faults":
            return faults.handle_fault_request(self.faults, environ, start_response)
        if path == "/standin/counts":
            start_response("200 OK", _JSON_HEADERS)
            return [msgspec.json.encode({"run_count_by_key": self.run_counts()})]
        if self.faults.refuse:
            start_response("503 Service Unavailable", _JSON_HEADERS)
            return [b"{}"]
        return self._run(environ, start_response)

    def _run(self, environ, start_response):
        body = environ["wsgi.input"].read()
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        with self._lock:
            count = self._run_count_by_key.get(key, 0) + 1
            self._run_count_by_key[key] = count
        if faults.POISON.encode() in body:
            self.faults.crash()
        if self.faults.freeze:
            self._clock.wait(self._never, _FREEZE_DURATION)
        if self.faults.refuse_after_running:
            start_response("503 Service Unavailable", _JSON_HEADERS)
            return [b"{}"]
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        headers = [*_JSON_HEADERS, ("x-request-id", request_id), *self.faults.headers()]
        start_response("200 OK", headers)
        answer = {
            "service": self._name,
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "received_bytes": len(body),
            "key": key,
        }
        return [msgspec.json.encode(answer)]
