"""Reads load reports and cache events of engines over HTTP and from reply headers."""

import datetime
import http.client

import msgspec

from peridothitch import bounded_reader, errors
from peridothitch.adapters import boot_clock
from peridothitch.policy import cache_estimates, load_estimates
from peridothitch.ports import engine_reports

__all__ = [
    "CACHED_TOKENS_HEADER",
    "LOAD_HEADER",
    "HttpEngineReports",
    "parse_cached_tokens",
    "parse_load",
]

LOAD_HEADER = "x-engine-load"
"""Reply header ``running=<streams>;backlog=<prompt tokens>``."""

CACHED_TOKENS_HEADER = "x-engine-cached-tokens"
"""Reply header with the number of prompt tokens that were not computed again."""

_REPORT_PATH = "/v1/reports?after={}"
_TIMEOUT = datetime.timedelta(milliseconds=500)
_MAX_BODY_BYTES = 1 << 20


class _Event(msgspec.Struct, frozen=True):
    sequence: int
    kind: cache_estimates.CacheEventKind
    blocks: list[int] = []


class _Report(msgspec.Struct, frozen=True):
    running: int
    backlog_tokens: int = 0
    events: list[_Event] = []


class HttpEngineReports(engine_reports.EngineReports):
    """Reads reports from ``/v1/reports``.

    Parameters
    ----------
    timeout : datetime.timedelta
        Limit on the duration of one read.
    clock : peridothitch.ports.clock.Clock or None
    """

    def __init__(self, timeout=_TIMEOUT, clock=None):
        self._timeout = timeout
        self._clock = clock or boot_clock.BootClock()

    def read(self, host, after_sequence):
        """Read the reports of a host."""
        name, _, port = host.address.rpartition(":")
        connection = http.client.HTTPConnection(
            name, int(port), timeout=self._timeout.total_seconds()
        )
        try:
            connection.request("GET", _REPORT_PATH.format(after_sequence))
            with bounded_reader.open_response(
                connection,
                self._clock,
                _MAX_BODY_BYTES,
                self._timeout,
                self._timeout,
            ) as response:
                body = response.read()
            if response.status != http.HTTPStatus.OK:
                raise _failure(host, f"status {response.status}")
            found = msgspec.json.decode(body, type=_Report)
        except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
            raise _failure(host, repr(error)) from None
        finally:
            connection.close()
        return engine_reports.EngineReport(
            running=found.running,
            backlog_tokens=found.backlog_tokens,
            events=tuple(map(_to_event, found.events)),
        )


def _failure(host, detail):
    return errors.UpstreamError(
        errors.Code.UPSTREAM_FAILED,
        f"reports of {host.host_id}: {detail}",
        errors.Ran.NO,
    )


def _to_event(event):
    return cache_estimates.CacheEvent(
        sequence=event.sequence, kind=event.kind, blocks=tuple(event.blocks)
    )


def parse_load(header_by_name):
    """Return the `LoadReport` in a reply's headers, None when there is none."""
    text = header_by_name.get(LOAD_HEADER)
    if text is None:
        return None
    number_by_name = {}
    for part in text.split(";"):
        name, _, number = part.strip().partition("=")
        if not number.isdecimal():
            return None
        number_by_name[name] = int(number)
    if "running" not in number_by_name:
        return None
    return load_estimates.LoadReport(
        number_by_name["running"], number_by_name.get("backlog", 0)
    )


def parse_cached_tokens(header_by_name):
    """Return the cached prompt tokens in a reply's headers, None if absent."""
    text = header_by_name.get(CACHED_TOKENS_HEADER, "")
    return int(text) if text.isdecimal() else None
