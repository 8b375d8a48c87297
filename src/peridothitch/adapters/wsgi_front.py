"""Serves callers, probes and scrapers over HTTP with waitress."""

import http.client
import json
import threading

import waitress.server

from peridothitch import errors
from peridothitch.adapters import problems
from peridothitch.ports import messages

__all__ = ["WsgiFront", "WsgiServer"]

_BACKLOG = 1024
_CHANNEL_TIMEOUT_SECONDS = 120
_JOIN_TIMEOUT_SECONDS = 2


class WsgiServer:
    """A waitress server that runs in a thread of its own.

    Parameters
    ----------
    application : callable
        The WSGI application.
    address : str
        IP number and port; port 0 takes a free one.
    threads : int
        Requests served at the same time.
    max_body_bytes : int
        Largest body accepted.
    """

    def __init__(self, application, address, threads=256, max_body_bytes=8 << 20):
        host, _, port = address.rpartition(":")
        self._closing = False
        try:
            self._server = waitress.server.create_server(
                application,
                host=host,
                port=int(port),
                threads=threads,
                connection_limit=4 * threads,
                backlog=_BACKLOG,
                channel_timeout=_CHANNEL_TIMEOUT_SECONDS,
                channel_request_lookahead=1,
                max_request_body_size=max_body_bytes,
                asyncore_use_poll=True,
                ident=None,
                clear_untrusted_proxy_headers=True,
            )
        except OSError as error:
            raise errors.CodedError(
                errors.Code.ADDRESS_IN_USE, f"{address}: {error}"
            ) from None
        self._thread = threading.Thread(
            target=self._run, name=f"front-{self.port}", daemon=True
        )

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.effective_port

    def start(self):
        """Serve in a thread."""
        self._thread.start()

    def _run(self):
        try:
            self._server.run()
        except OSError:
            if not self._closing:
                raise

    def close(self):
        """Close the listening socket and all connections."""
        self._closing = True
        self._server.task_dispatcher.shutdown(cancel_pending=True, timeout=1)
        # The loop's own thread closes its sockets; closed elsewhere they would keep
        # it in poll until its timeout.
        self._server.trigger.pull_trigger(self._close_sockets)
        self._thread.join(_JOIN_TIMEOUT_SECONDS)

    def _close_sockets(self):
        for dispatcher in list(self._server._map.values()):
            if dispatcher is not self._server:
                dispatcher.close()
        self._server.close()


class WsgiFront:
    """WSGI application of an entry host.

    Parameters
    ----------
    handler : peridothitch.gateway.handler.RequestHandler
    metrics : peridothitch.adapters.metrics.Metrics
    report_by_path : dict of str to callable
        Pages for operators; each callable returns plain values.
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
        """Answer one WSGI request."""
        page = self._page_by_path.get(environ["PATH_INFO"])
        if page is not None and environ["REQUEST_METHOD"] == "GET":
            reply = page(environ)
        else:
            reply = self._answer(environ)
        status = f"{reply.status} {http.client.responses.get(reply.status, 'Unknown')}"
        start_response(status, list(reply.header_by_name.items()))
        return reply.chunks

    def _answer(self, environ):
        try:
            return self._handler.handle(_to_request(environ))
        except Exception as error:
            self._metrics.count("internal_errors")
            coded = errors.RequestError(
                errors.Code.INTERNAL, type(error).__name__, errors.Ran.UNKNOWN
            )
            return problems.to_reply(coded)

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
    header_by_name = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        header_by_name["content-type"] = environ["CONTENT_TYPE"]
    return messages.Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        header_by_name=header_by_name,
        body=environ["wsgi.input"].read(),
        caller_gone=environ.get("waitress.client_disconnected", _never_gone),
    )
