"""Adds load reports, cached tokens and cache events to a stand-in engine."""

import collections
import itertools
import threading
import urllib.parse

import msgspec

from peridothitch.adapters import http_engine_reports
from peridothitch.policy import affinity, cache_estimates, host_selector

__all__ = ["ReportingEngine"]

_JSON = [("content-type", "application/json")]
_CACHE_BLOCKS = 4096
_EVENTS_KEPT = 512


class ReportingEngine:
    """WSGI application around an engine.

    Parameters
    ----------
    engine : callable
        WSGI application that answers chat completions.
    version : str
        Version that salts the ids of cached blocks.
    """

    def __init__(self, engine, version):
        self._engine = engine
        self._version = version
        self._lock = threading.Lock()
        self._running = 0
        self._cache = collections.OrderedDict()
        self._events = collections.deque(maxlen=_EVENTS_KEPT)
        self._sequences = itertools.count(1)

    def __getattr__(self, name):
        return getattr(self._engine, name)

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        if environ["PATH_INFO"] == "/v1/reports":
            return self._report(environ, start_response)
        if environ["PATH_INFO"] != "/v1/chat/completions":
            return self._engine(environ, start_response)
        body = environ["wsgi.input"].read()
        environ["wsgi.input"] = _Body(body)
        cached = self._look_up(body)
        self._add_running(1)

        def start_with_reports(status, headers, exc_info=None):
            load = f"running={self._running};backlog=0"
            added = [
                (http_engine_reports.LOAD_HEADER, load),
                (http_engine_reports.CACHED_TOKENS_HEADER, str(cached)),
            ]
            return start_response(status, [*headers, *added])

        return self._relay(environ, start_with_reports)

    def clear_cache(self):
        """Drop all cached blocks."""
        with self._lock:
            self._cache.clear()
            self._publish(cache_estimates.CacheEventKind.CLEARED, ())

    def _relay(self, environ, start_response):
        try:
            chunks = self._engine(environ, start_response)
        except BaseException:
            self._add_running(-1)
            raise
        if isinstance(chunks, list):
            # The server tells the length of a list, so that its reader needn't wait.
            self._add_running(-1)
            return chunks
        return self._count_until_end(chunks)

    def _count_until_end(self, chunks):
        try:
            yield from chunks
        finally:
            self._add_running(-1)

    def _add_running(self, amount):
        with self._lock:
            self._running += amount

    def _look_up(self, body):
        try:
            chat = msgspec.json.decode(body)
            prompt = b"".join(map(msgspec.json.encode, chat["messages"]))
        except (msgspec.DecodeError, KeyError, TypeError):
            return 0
        prefix = affinity.make_prefix(b"", prompt, b"", False, f"{self._version}/")
        blocks = prefix.blocks
        with self._lock:
            known = itertools.takewhile(self._cache.__contains__, blocks)
            cached = sum(1 for _ in known)
            self._store(blocks)
        return cached * host_selector.TOKENS_PER_BLOCK

    def _store(self, blocks):
        new = [block for block in blocks if block not in self._cache]
        for block in blocks:
            self._cache[block] = True
            self._cache.move_to_end(block)
        self._publish(cache_estimates.CacheEventKind.STORED, new)
        removed = []
        while len(self._cache) > _CACHE_BLOCKS:
            removed.append(self._cache.popitem(last=False)[0])
        self._publish(cache_estimates.CacheEventKind.REMOVED, removed)

    def _publish(self, kind, blocks):
        if not blocks and kind is not cache_estimates.CacheEventKind.CLEARED:
            return
        event = {
            "sequence": next(self._sequences),
            "kind": kind.value,
            "blocks": list(blocks),
        }
        self._events.append(event)

    def _report(self, environ, start_response):
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        after = int(query.get("after", ["0"])[0])
        with self._lock:
            events = [event for event in self._events if event["sequence"] > after]
            running = self._running
        start_response("200 OK", _JSON)
        report = {"running": running, "backlog_tokens": 0, "events": events}
        return [msgspec.json.encode(report)]


class _Body:
    def __init__(self, body):
        self._body = body

    def read(self, size=-1):
        return self._body
