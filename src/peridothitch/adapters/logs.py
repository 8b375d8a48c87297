"""Writes log lines to standard error or another stream as text or JSON."""

import queue
import sys
import threading
import time

import logbook
import msgspec

__all__ = ["BoundedStream", "install"]

_MAX_QUEUED_LINES = 2000
"""Capacity of the queue for a slow reader; a few seconds of a busy host's lines."""

_MAX_LINES_PER_SECOND = 1000
_BATCH_LINES = 200
_CLOSE_TIMEOUT_SECONDS = 1.0
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
    """Stream whose writers never block.

    A thread of its own writes the lines. Lines above a rate limit and those that find
    the queue full are dropped; their number is reported with the next line.

    Parameters
    ----------
    stream : file
    """

    def __init__(self, stream):
        self._stream = stream
        self._lines = queue.Queue(_MAX_QUEUED_LINES)
        self._lock = threading.Lock()
        self._dropped_count = 0
        self._second = 0
        self._lines_in_second = 0
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def write(self, text):
        """Queue a line for the writer thread, or drop it."""
        with self._lock:
            second = int(time.monotonic())
            if second != self._second:
                self._second, self._lines_in_second = second, 0
            self._lines_in_second += 1
            if self._lines_in_second > _MAX_LINES_PER_SECOND:
                self._dropped_count += 1
                return
            try:
                self._lines.put_nowait(text)
            except queue.Full:
                self._dropped_count += 1

    def flush(self):
        """Do nothing; the writer thread flushes."""

    def close(self):
        """Write the queued lines, within a bounded time."""
        self._lines.put(None)
        self._thread.join(_CLOSE_TIMEOUT_SECONDS)

    def _run(self):
        while True:
            batch = [self._lines.get()]
            while len(batch) < _BATCH_LINES and not self._lines.empty():
                batch.append(self._lines.get())
            text = "".join(line for line in batch if line is not None)
            with self._lock:
                dropped_count, self._dropped_count = self._dropped_count, 0
            if dropped_count:
                text += f'{{"message":"log lines dropped","count":{dropped_count}}}\n'
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # No other stream is left to report the error to.
                return
            if None in batch:
                return


def install(log_format, stream=None):
    """Send all log lines of the process to a stream.

    Parameters
    ----------
    log_format : str
        ``"text"`` or ``"json"``.
    stream : file or None
        Standard error by default.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.INFO, format_string=_TEXT_FORMAT
    )
    if log_format == "json":
        handler.formatter = _JsonFormatter()
    handler.push_application()
