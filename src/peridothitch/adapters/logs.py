"""Writes log lines to standard error or another stream as text or JSON."""

import queue
import sys
import threading
import time

import logbook
import msgspec

__all__ = ["BoundedStream", "install"]

_MAX_WAITING_LINES = 2000
"""Lines that wait for a slow reader; a few seconds of a busy host."""

_MAX_LINES_PER_SECOND = 1000
_BATCH_LINES = 200
_CLOSE_SECONDS = 1.0
_PLAIN_TYPES = (int, float, bool, str)

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} "
    "{record.channel}: {record.message}"
)


class _JsonFormatter:
    """Formats a record as one JSON object; its keyword arguments become members."""

    def __call__(self, record, handler):
        fields = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name.lower(),
            "channel": record.channel,
            "message": record.message,
        }
        extra = {
            name: value if isinstance(value, _PLAIN_TYPES) else str(value)
            for name, value in (record.kwargs or {}).items()
        }
        if record.exception_name is not None:
            extra["exception"] = record.formatted_exception
        return msgspec.json.encode(fields | extra).decode()


class BoundedStream:
    """Stream that never makes its writers wait.

    Lines are written by a thread of their own. Those that come faster than a rate, or
    that find too many waiting, are left out; their number is told with the next line.

    Parameters
    ----------
    stream : file
    """

    def __init__(self, stream):
        self._stream = stream
        self._lines = queue.Queue(_MAX_WAITING_LINES)
        self._lock = threading.Lock()
        self._omitted = 0
        self._second = 0
        self._in_second = 0
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def write(self, text):
        """Hand a line to the writer, or leave it out."""
        with self._lock:
            second = int(time.monotonic())
            if second != self._second:
                self._second, self._in_second = second, 0
            self._in_second += 1
            if self._in_second > _MAX_LINES_PER_SECOND:
                self._omitted += 1
                return
            try:
                self._lines.put_nowait(text)
            except queue.Full:
                self._omitted += 1

    def flush(self):
        """Do nothing; the writer flushes."""

    def close(self):
        """Write what waits, for a bounded time."""
        self._lines.put(None)
        self._thread.join(_CLOSE_SECONDS)

    def _run(self):
        while True:
            batch = [self._lines.get()]
            while len(batch) < _BATCH_LINES and not self._lines.empty():
                batch.append(self._lines.get())
            text = "".join(line for line in batch if line is not None)
            with self._lock:
                omitted, self._omitted = self._omitted, 0
            if omitted:
                text += f'{{"message":"log lines left out","count":{omitted}}}\n'
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # There is nowhere left to report it to.
                return
            if None in batch:
                return


def install(form, stream=None):
    """Send all log lines of the process to a stream.

    Parameters
    ----------
    form : str
        ``"text"`` or ``"json"``.
    stream : file or None
        Standard error by default.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.INFO, format_string=_TEXT_FORMAT
    )
    if form == "json":
        handler.formatter = _JsonFormatter()
    handler.push_application()
