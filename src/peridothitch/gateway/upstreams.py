"""The entry host's view of upstream hosts, refreshed from the host list."""

import contextlib
import datetime
import threading

from peridothitch import errors

__all__ = ["UpstreamView"]

_REFRESH = datetime.timedelta(seconds=1)


class UpstreamView:
    """Keeps the last host list read and the requests in progress by host.

    Parameters
    ----------
    host_list : peridothitch.ports.upstream.HostList
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, host_list, clock, metrics):
        self._host_list = host_list
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._host_by_id = {}
        self._in_flight_by_host_id = {}

    def refresh(self):
        """Read the host list once; the old view stays when it can't be read."""
        try:
            self._host_by_id = self._host_list.read()
        except errors.UpstreamError:
            self._metrics.count("host_list_failures")

    def run(self, stop):
        """Refresh until the event `stop` is set."""
        while not self._clock.wait(stop, _REFRESH):
            self.refresh()

    def hosts(self, service):
        """Return the hosts of `service` as a list."""
        return [host for host in self._host_by_id.values() if host.service == service]

    def in_flight(self):
        """Return requests in progress by host id."""
        with self._lock:
            return dict(self._in_flight_by_host_id)

    @contextlib.contextmanager
    def track(self, host_id):
        """Count a request in progress at `host_id` while the context is open."""
        self._add(host_id, 1)
        try:
            yield
        finally:
            self._add(host_id, -1)

    def _add(self, host_id, amount):
        with self._lock:
            count = self._in_flight_by_host_id.get(host_id, 0) + amount
            self._in_flight_by_host_id[host_id] = count
            if not count:
                del self._in_flight_by_host_id[host_id]
