"""Stand-in for the platform's host list."""

import threading

import msgspec

from peridothitch.ports import upstream

__all__ = ["HostListService", "StaticHostList"]

_JSON_HEADERS = [("content-type", "application/json")]


class StaticHostList(upstream.HostList):
    """Host list in memory.

    Parameters
    ----------
    hosts : iterable of peridothitch.ports.upstream.Host
    """

    def __init__(self, hosts=()):
        self._lock = threading.Lock()
        self._host_by_id = {host.host_id: host for host in hosts}

    def read(self):
        """Return the hosts by id."""
        with self._lock:
            return dict(self._host_by_id)

    def put(self, host):
        """Add or replace a host."""
        with self._lock:
            self._host_by_id[host.host_id] = host

    def remove(self, host_id):
        """Remove a host."""
        with self._lock:
            self._host_by_id.pop(host_id, None)


class HostListService:
    """WSGI application that publishes a host list.

    Parameters
    ----------
    host_list : StaticHostList
    """

    def __init__(self, host_list):
        self._host_list = host_list

    def __call__(self, environ, start_response):
        """Answer GET, PUT and DELETE on ``/v1/hosts``."""
        method = environ["REQUEST_METHOD"]
        if method == "PUT":
            body = environ["wsgi.input"].read()
            self._host_list.put(msgspec.json.decode(body, type=upstream.Host))
        if method == "DELETE":
            self._host_list.remove(environ["PATH_INFO"].rpartition("/")[2])
        start_response("200 OK", _JSON_HEADERS)
        return [msgspec.json.encode(list(self._host_list.read().values()))]
