"""Writes log lines to standard error as text or JSON."""

import sys

import logbook
import msgspec

__all__ = ["install"]

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
        extra = {name: str(value) for name, value in (record.kwargs or {}).items()}
        return msgspec.json.encode(fields | extra).decode()


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
