"""Stand-in for a model engine: streams numbered tokens as chat completions."""

import dataclasses
import datetime
import threading

import msgspec

from peridothitch.standins import faults

__all__ = ["Engine", "EngineCounts"]

_JSON_HEADERS = [("content-type", "application/json")]
_EVENT_STREAM_HEADERS = [
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
]
_DEFAULT_TOKEN_COUNT = 16
_FREEZE_DURATION = datetime.timedelta(hours=1)
_RESUME_FIELD = "resume"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Task:
    request_id: str
    prompt: str
    token_count: int
    streamed: bool
    start: int = 0
    prefix: str = ""
    run: int = 0


@dataclasses.dataclass
class EngineCounts:
    """Counts and texts of what an engine ran.

    Attributes
    ----------
    run_count_by_request_id : dict of str to int
    texts_by_request_id : dict of str to list of str
        Text of each run, including the part that it was resumed from.
    generated_tokens : int
        Tokens decoded.
    prefilled_tokens : int
        Tokens of earlier runs whose KV cache was computed again.
    imported_tokens : int
        Tokens of earlier runs whose KV cache was imported.
    """

    run_count_by_request_id: dict = dataclasses.field(default_factory=dict)
    texts_by_request_id: dict = dataclasses.field(default_factory=dict)
    generated_tokens: int = 0
    prefilled_tokens: int = 0
    imported_tokens: int = 0


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
    sampled : bool
        Whether two runs of a request give different tokens.

    Attributes
    ----------
    faults : peridothitch.standins.faults.ActiveFaults
    counts : EngineCounts
    """

    def __init__(
        self,
        name,
        version,
        clock,
        first_token=datetime.timedelta(milliseconds=20),
        token_gap=datetime.timedelta(milliseconds=10),
        sampled=False,
    ):
        self._name = name
        self._version = version
        self._clock = clock
        self._first_token = first_token
        self._token_gap = token_gap
        self._sampled = sampled
        self._never = threading.Event()
        self._lock = threading.Lock()
        self._active_count = 0
        self._imported_text_by_id = {}
        self.faults = faults.ActiveFaults()
        self.counts = EngineCounts()

    def run_count(self, request_id):
        """Return how often this engine ran a request."""
        with self._lock:
            return self.counts.run_count_by_request_id.get(request_id, 0)

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        answer_by_path = {
            "/v1/chat/completions": self._complete,
            "/v1/bulletins": self._complete,
            "/v1/load": self._report_load,
            "/v1/kv/export": self._export,
            "/v1/kv/import": self._import,
            "/standin/counts": self._report_counts,
        }
        path = environ["PATH_INFO"]
        if path == "/standin/faults":
            return faults.handle_fault_request(self.faults, environ, start_response)
        if path in answer_by_path:
            return answer_by_path[path](environ, start_response)
        start_response("404 Not Found", _JSON_HEADERS)
        return [b"{}"]

    def _report_load(self, environ, start_response):
        start_response("200 OK", _JSON_HEADERS)
        return [msgspec.json.encode({"active": self._active_count})]

    def _report_counts(self, environ, start_response):
        start_response("200 OK", _JSON_HEADERS)
        with self._lock:
            return [msgspec.json.encode(self.counts)]

    def _export(self, environ, start_response):
        fields = msgspec.json.decode(environ["wsgi.input"].read())
        texts = self.counts.texts_by_request_id.get(fields["request_id"])
        if texts is None or self.faults.refuse:
            start_response("404 Not Found", _JSON_HEADERS)
            return [b"{}"]
        start_response("200 OK", _JSON_HEADERS)
        exported = {"request_id": fields["request_id"], "text": texts[-1]}
        return [msgspec.json.encode(exported)]

    def _import(self, environ, start_response):
        fields = msgspec.json.decode(environ["wsgi.input"].read())
        with self._lock:
            self._imported_text_by_id[fields["request_id"]] = fields["text"]
        start_response("200 OK", _JSON_HEADERS)
        return [b"{}"]

    def _complete(self, environ, start_response):
        body = msgspec.json.decode(environ["wsgi.input"].read())
        if self.faults.refuse:
            start_response("503 Service Unavailable", _JSON_HEADERS)
            return [b"{}"]
        task = self._start_run(environ.get("HTTP_X_REQUEST_ID", ""), body)
        if faults.POISON in task.prompt:
            self.faults.crash()
        if self.faults.freeze:
            self._clock.wait(self._never, _FREEZE_DURATION)
        extra = [("x-request-id", task.request_id), *self.faults.headers()]
        if task.streamed:
            start_response("200 OK", _EVENT_STREAM_HEADERS + extra)
            return self._stream(task)
        start_response("200 OK", _JSON_HEADERS + extra)
        text = "".join(self._tokens(task))
        return [msgspec.json.encode(self._completion(task, task.prefix + text))]

    def _start_run(self, request_id, body):
        resume = body.get(_RESUME_FIELD) or {}
        prefix = resume.get("text", "")
        with self._lock:
            counts = self.counts
            run = counts.run_count_by_request_id.get(request_id, 0) + 1
            counts.run_count_by_request_id[request_id] = run
            counts.texts_by_request_id.setdefault(request_id, []).append(prefix)
            imported = self._imported_text_by_id.pop(request_id, "")
            computed = len(prefix.split()) - len(imported.split())
            counts.imported_tokens += len(imported.split())
            counts.prefilled_tokens += max(0, computed)
        return _Task(
            request_id=request_id,
            prompt=str(body["messages"][-1].get("content", "")),
            token_count=_count_tokens(body),
            streamed=body.get("stream") is True,
            start=int(resume.get("event_id", 0)),
            prefix=prefix,
            run=run,
        )

    def _tokens(self, task):
        self._active_count += 1
        try:
            pause = self._first_token
            for index in range(task.start, task.token_count):
                self._clock.wait(self._never, pause)
                pause = self._token_gap
                yield self._generate(task, index)
        finally:
            self._active_count -= 1

    def _generate(self, task, index):
        suffix = f"/{self._name}.{task.run}" if self._sampled else ""
        token = f"t{index}{suffix} "
        with self._lock:
            self.counts.generated_tokens += 1
            self.counts.texts_by_request_id[task.request_id][task.run - 1] += token
            limit = self.faults.die_after_tokens
            died = limit and self.counts.generated_tokens >= limit
        if died:
            self.faults.crash()
        return token

    def _stream(self, task):
        for index, token in enumerate(self._tokens(task), task.start):
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


def _count_tokens(body):
    """Return an answer's length in tokens: `max_tokens`, else a fixed one.

    The fixed one is limited by `max_completion_tokens`.
    """
    if body.get("max_tokens"):
        return int(body["max_tokens"])
    bound = int(body.get("max_completion_tokens") or _DEFAULT_TOKEN_COUNT)
    return min(_DEFAULT_TOKEN_COUNT, bound)
