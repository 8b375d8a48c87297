"""Adds load reports, cached tokens and cache events to a stand-in engine."""

import collections
import itertools
import threading
import urllib.parse

import msgspec

from peridothitch.adapters import http_engine_reports
from peridothitch.policy import affinity, cache_estimates, host_selector

__all__ = ["ReportingEngine"]

_JSON_HEADERS = [("content-type", "application/json")]
_CACHE_CAPACITY_BLOCKS = 4096
_MAX_EVENT_COUNT = 512


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
        self._running_count = 0
        self._cache = collections.OrderedDict()
        self._events = collections.deque(maxlen=_MAX_EVENT_COUNT)
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
        environ["wsgi.input"] = _BufferedBody(body)
        cached = self._update_cache(body)
        self._add_to_running(1)

        def start_with_reports(status, headers, exc_info=None):
            load = f"running={self._running_count};backlog=0"
            added = [
                (http_engine_reports.LOAD_HEADER, load),
                (http_engine_reports.CACHED_TOKENS_HEADER, str(cached)),
            ]
            return start_response(status, [*headers, *added])

        return self._call_engine(environ, start_with_reports)

    def clear_cache(self):
        """Drop all cached blocks."""
        with self._lock:
            self._cache.clear()
            self._publish(cache_estimates.CacheEventKind.CLEARED, ())

    def _call_engine(self, environ, start_response):
        try:
            chunks = self._engine(environ, start_response)
        except BaseException:
            self._add_to_running(-1)
            raise
        if isinstance(chunks, list):
            # For a list the server sends the length, so that the reader needn't wait.
            self._add_to_running(-1)
            return chunks
        return self._count_until_end(chunks)

    def _count_until_end(self, chunks):
        try:
            yield from chunks
        finally:
            self._add_to_running(-1)

    def _add_to_running(self, amount):
        with self._lock:
            self._running_count += amount

    def _update_cache(self, body):
        try:
            chat = msgspec.json.decode(body)
            prompt = b"".join(map(msgspec.json.encode, chat["messages"]))
        except (msgspec.DecodeError, KeyError, TypeError):
            return 0
        prefix = affinity.make_prefix(b"", prompt, b"", False, f"{self._version}/")
        blocks = prefix.blocks
        with self._lock:
            cached_blocks = itertools.takewhile(self._cache.__contains__, blocks)
            cached = sum(1 for _ in cached_blocks)
            self._store(blocks)
        return cached * host_selector.TOKENS_PER_BLOCK

    def _store(self, blocks):
        new = [block for block in blocks if block not in self._cache]
        for block in blocks:
            self._cache[block] = True
            self._cache.move_to_end(block)
        self._publish(cache_estimates.CacheEventKind.STORED, new)
        removed = []
        while len(self._cache) > _CACHE_CAPACITY_BLOCKS:
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
            running = self._running_count
        start_response("200 OK", _JSON_HEADERS)
        report = {"running": running, "backlog_tokens": 0, "events": events}
        return [msgspec.json.encode(report)]


class _BufferedBody:
    def __init__(self, body):
        self._body = body

    def read(self, size=-1):
        return self._body
