"""What upstreams ask of this entry host in their answers.

An upstream that leaves says so in all its answers, often before its record does. One
that turns a request away may name a time in which it wants no request from this host.
"""

import collections
import datetime
import threading

import logbook

__all__ = ["UpstreamNotices"]

_MAX_NOTICES = 4096
"""The oldest notices, of upstreams that are gone, are forgotten beyond this."""

_MAX_RETRY_AFTER = datetime.timedelta(minutes=10)
"""Longer times are cut to this, so that one odd answer doesn't exclude for good."""

_UNAVAILABLE_STATUS = 503
_log = logbook.Logger("forwarding")


class UpstreamNotices:
    """Notices of upstreams to this host, for as long as they hold.

    Parameters
    ----------
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._leaving_by_key = collections.OrderedDict()
        self._closed_until_by_key = collections.OrderedDict()

    def record(self, host, status, metadata):
        """Record what the head of an answer says.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        status : int
        metadata : peridothitch.ports.forwarding.ResponseMetadata
        """
        if metadata.has_bad_load:
            self._metrics.count("bad_upstream_loads", service=host.service)
        if metadata.leaving:
            self._record_leaving(host)
        if status == _UNAVAILABLE_STATUS and metadata.retry_after is not None:
            self._close(host, min(metadata.retry_after, _MAX_RETRY_AFTER))

    def _record_leaving(self, host):
        with self._lock:
            if _key(host) in self._leaving_by_key:
                return
            _put(self._leaving_by_key, _key(host), True)
        self._metrics.count("upstreams_told_leaving", service=host.service)
        _log.info("upstream tells that it leaves", host_id=host.host_id)

    def _close(self, host, duration):
        until = self._clock.monotonic() + duration
        with self._lock:
            before = self._closed_until_by_key.get(_key(host))
            if before is not None and until <= before:
                return
            _put(self._closed_until_by_key, _key(host), until)
        self._metrics.count("upstreams_told_to_wait", service=host.service)
        _log.info(
            "upstream wants no requests",
            host_id=host.host_id,
            ms=int(duration / datetime.timedelta(milliseconds=1)),
        )

    def is_leaving(self, host):
        """Return whether an upstream has told that it leaves."""
        return _key(host) in self._leaving_by_key

    def may_send(self, host):
        """Return whether an upstream takes requests, as far as it has told."""
        if self.is_leaving(host):
            return False
        until = self._closed_until_by_key.get(_key(host))
        return until is None or self._clock.monotonic() >= until


def _key(host):
    return host.host_id, host.incarnation


def _put(value_by_key, key, value):
    value_by_key[key] = value
    value_by_key.move_to_end(key)
    while len(value_by_key) > _MAX_NOTICES:
        value_by_key.popitem(last=False)
