"""Stand-in for a model engine: streams numbered tokens as chat completions."""

import dataclasses
import datetime
import threading

import msgspec

__all__ = ["Engine"]

_JSON = [("content-type", "application/json")]
_EVENTS = [("content-type", "text/event-stream"), ("cache-control", "no-store")]
_DEFAULT_TOKENS = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Task:
    request_id: str
    prompt: str
    token_count: int
    streamed: bool


class Engine:
    """WSGI application of one model replica.

    Parameters
    ----------
    name : str
        Name of the replica.
    version : str
        Version that it reports as its model.
    clock : peridothitch.ports.clock.Clock
    first_token : datetime.timedelta
        Wait before the first token.
    token_gap : datetime.timedelta
        Wait before each further token.
    """

    def __init__(
        self,
        name,
        version,
        clock,
        first_token=datetime.timedelta(milliseconds=20),
        token_gap=datetime.timedelta(milliseconds=10),
    ):
        self._name = name
        self._version = version
        self._clock = clock
        self._first_token = first_token
        self._token_gap = token_gap
        self._never = threading.Event()
        self._lock = threading.Lock()
        self._run_count_by_request_id = {}
        self._active_count = 0

    def run_count(self, request_id):
        """Return how often a request was executed here."""
        with self._lock:
            return self._run_count_by_request_id.get(request_id, 0)

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        path = environ["PATH_INFO"]
        if path == "/v1/chat/completions":
            return self._complete(environ, start_response)
        if path == "/v1/load":
            return self._report_load(start_response)
        start_response("404 Not Found", _JSON)
        return [b"{}"]

    def _report_load(self, start_response):
        start_response("200 OK", _JSON)
        return [msgspec.json.encode({"active": self._active_count})]

    def _complete(self, environ, start_response):
        body = msgspec.json.decode(environ["wsgi.input"].read())
        task = _Task(
            request_id=environ.get("HTTP_X_REQUEST_ID", ""),
            prompt=str(body["messages"][-1].get("content", "")),
            token_count=int(body.get("max_tokens") or _DEFAULT_TOKENS),
            streamed=body.get("stream") is True,
        )
        self._count_run(task)
        if task.streamed:
            start_response("200 OK", _EVENTS)
            return self._stream(task)
        start_response("200 OK", _JSON)
        text = "".join(self._tokens(task))
        return [msgspec.json.encode(self._completion(task, text))]

    def _count_run(self, task):
        with self._lock:
            count = self._run_count_by_request_id.get(task.request_id, 0)
            self._run_count_by_request_id[task.request_id] = count + 1

    def _tokens(self, task):
        self._active_count += 1
        try:
            pause = self._first_token
            for index in range(task.token_count):
                self._clock.wait(self._never, pause)
                pause = self._token_gap
                yield f"t{index} "
        finally:
            self._active_count -= 1

    def _stream(self, task):
        for index, token in enumerate(self._tokens(task)):
            delta = {"content": token}
            yield self._event(task, index, {"index": 0, "delta": delta})
        final = {"index": 0, "delta": {}, "finish_reason": "length"}
        yield self._event(task, task.token_count, final)
        yield b"data: [DONE]\n\n"

    def _event(self, task, index, choice):
        payload = msgspec.json.encode(
            {
                "id": task.request_id,
                "object": "chat.completion.chunk",
                "model": self._version,
                "choices": [choice],
            }
        )
        return b"id: %d\ndata: %s\n\n" % (index, payload)

    def _completion(self, task, text):
        message = {"role": "assistant", "content": text}
        return {
            "id": task.request_id,
            "object": "chat.completion",
            "model": self._version,
            "choices": [{"index": 0, "message": message, "finish_reason": "length"}],
            "usage": {
                "prompt_tokens": len(task.prompt.split()),
                "completion_tokens": task.token_count,
            },
        }
