"""WSGI application for callers, health checks and metrics scrapers."""

import json
import re
import urllib.parse

from peridothitch import errors
from peridothitch.adapters import problems
from peridothitch.ports import messages

__all__ = ["WsgiApplication"]

_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_PATH_SAFE = "/-._~!$&'()*+,;=:@"
_QUERY_SAFE = _PATH_SAFE + "?%"


class WsgiApplication:
    """WSGI application of an entry host.

    Parameters
    ----------
    handler : peridothitch.gateway.handler.RequestHandler
    metrics : peridothitch.adapters.metrics.Metrics
    report_by_path : dict of str to callable
        Pages for operators; each callable returns a JSON-serializable value.
    """

    def __init__(self, handler, metrics, report_by_path=None):
        self._handler = handler
        self._report_by_path = dict(report_by_path or {})
        self._metrics = metrics
        self._page_by_path = {
            "/healthz": self._health,
            "/readyz": self._readiness,
            "/metrics": self._render_metrics,
        }
        for path in self._report_by_path:
            self._page_by_path[path] = self._report

    def __call__(self, environ, start_response):
        """Serve one WSGI request."""
        page = self._page_by_path.get(environ["PATH_INFO"])
        if page is not None and environ["REQUEST_METHOD"] == "GET":
            reply = page(environ)
        else:
            reply = self._answer(environ)
        headers = list(reply.header_by_name.items())
        start_response(problems.status_line(reply.status), headers)
        return reply.chunks

    def count_problem(self, error):
        """Count a request that was refused before it reached the handler."""
        self._metrics.count("requests", code=int(error.code))

    def _answer(self, environ):
        try:
            return self._handler.handle(_to_request(environ))
        except errors.RequestError as error:
            self.count_problem(error)
            return problems.to_reply(error)
        except Exception as error:
            self._metrics.count("internal_errors")
            internal_error = errors.RequestError(
                errors.Code.INTERNAL, type(error).__name__, errors.Ran.UNKNOWN
            )
            return problems.to_reply(internal_error)

    def _health(self, environ):
        return _json_reply(200, {"live": True})

    def _readiness(self, environ):
        ready = self._handler.is_ready()
        return _json_reply(200 if ready else 503, {"ready": ready})

    def _report(self, environ):
        return _json_reply(200, self._report_by_path[environ["PATH_INFO"]]())

    def _render_metrics(self, environ):
        body, header_by_name = self._metrics.render(environ.get("HTTP_ACCEPT", "*/*"))
        return messages.Reply(
            status=200, header_by_name=dict(header_by_name), chunks=(body,)
        )


def _json_reply(status, value):
    return messages.Reply(
        status=status,
        header_by_name={"content-type": "application/json"},
        chunks=(json.dumps(value).encode(),),
    )


def _never_gone():
    return False


def _to_request(environ):
    path = environ["PATH_INFO"].encode("latin-1")
    query = environ.get("QUERY_STRING", "").encode("latin-1")
    return messages.Request(
        method=environ["REQUEST_METHOD"],
        path=urllib.parse.quote(path, safe=_PATH_SAFE),
        query=urllib.parse.quote(query, safe=_QUERY_SAFE),
        header_by_name=_to_headers(environ),
        body=environ["wsgi.input"].read(),
        caller_gone=environ.get("waitress.client_disconnected", _never_gone),
    )


def _to_headers(environ):
    header_by_name = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        header_by_name["content-type"] = environ["CONTENT_TYPE"]
    for name, value in header_by_name.items():
        if _CONTROL_CHARACTER.search(value):
            raise errors.RequestError(
                errors.Code.MALFORMED_REQUEST,
                f"the header {name} holds a control character",
            )
    return header_by_name
