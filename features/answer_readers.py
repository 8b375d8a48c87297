"""Each place where answers are read, as a call that returns what it was told."""

import dataclasses
import datetime
import json
import random
import typing

import click.testing

from peridothitch import errors
from peridothitch.adapters import (
    boot_clock,
    etcd_store,
    http_cloud,
    http_engine_reports,
    http_transport,
    metrics,
    raw_transport,
)
from peridothitch.cli import exit_codes, output, status
from peridothitch.gateway.forwarding import helper_client
from peridothitch.platform import duties as platform_duties
from peridothitch.platform import header_codec
from peridothitch.platform import store as platform_store
from peridothitch.ports import duties, peers, raw, upstream
from peridothitch.ports import store as store_port

_TIMEOUT = datetime.timedelta(seconds=1)
_TEXT = b"twenty bytes of text"
_EVENTS = b"data: a\n\ndata: bcd\n\n"
_STREAM_LINE = b"Content-Type: text/event-stream\r\n"
_ANSWERED_LINE = b"Entry-Outcome: answered\r\n"
_ENTRY = {"key": "op/a", "value": "YQ==", "revision": 2, "created": 1, "lease": 0}
_REPORT = {
    "moves": [],
    "done": True,
    "revision": 1,
    "confirmed_seconds": 0.0,
    "lacking": [],
    "unreachable": [],
}


@dataclasses.dataclass(frozen=True)
class Reader:
    """One place where answers are read.

    Attributes
    ----------
    call : callable
        Takes a server's address; returns what the answer told.
    body : bytes
        Body of a sound answer.
    told : object
        What the call returns for it.
    error : str
        Name and code of the error for an answer that is broken.
    first_lines : bytes
        Lines at the beginning of the answer's head.
    """

    call: typing.Callable
    body: bytes
    told: object
    error: str
    first_lines: bytes = b""


class _Peers(peers.Peers):
    host_id = "edge-1"

    def __init__(self, address):
        self._peer = peers.Peer(
            host_id="edge-2",
            address="",
            data_centre="lothian-a",
            helper_address=address,
        )

    def members(self):
        return {self._peer.host_id: self._peer}

    def register(self, method, handler):
        raise AssertionError("no calls come in")

    def call(self, host_id, method, payload, timeout):
        raise AssertionError("no calls go out")


def _host(address):
    return upstream.Host(
        host_id="till-a",
        address=address,
        service="till",
        version="v1",
        data_centre="lothian-a",
    )


def _open(address, body=b""):
    call = upstream.Call(
        method="POST",
        path="/",
        header_by_name={},
        body=body,
        first_byte_timeout=_TIMEOUT,
        gap_timeout=_TIMEOUT,
    )
    return http_transport.HttpTransport().open(_host(address), call)


def _read_events(address):
    return b"".join(_open(address).events())


def _read_through_helper(address):
    clock = boot_clock.BootClock()
    codec = header_codec.PlatformHeaderCodec()
    counters = metrics.Metrics()
    transport = raw_transport.HttpRawTransport(clock, codec, counters)
    client = helper_client.HelperClient(
        _Peers(address),
        "lothian-a",
        "lothian",
        {"lothian-a": "lothian"},
        transport,
        clock,
        counters,
        random.Random(1),
    )
    call = raw.RawCall(
        request_id="request-1",
        method="POST",
        target="/",
        fields=(("Host", "h"), ("Peridothitch-Attempt-Id", "request-1")),
        has_body=True,
        deadline=clock.monotonic() + _TIMEOUT,
    )
    answer = client.open(_host("127.0.0.1:1"), call, lambda cancel: None)
    if answer is None:
        raise errors.UpstreamError(errors.Code.NO_UPSTREAM, "not sent", errors.Ran.NO)
    body = b""
    while data := answer.read_some():
        body += data
    answer.close()
    return body


def _read_store(address):
    store = platform_store.PlatformStore(address, boot_clock.BootClock())
    return sorted(store.range("op/").item_by_key)


def _grant_lease(address):
    store = platform_store.PlatformStore(address, boot_clock.BootClock())
    return store.grant_lease(_TIMEOUT)


def _report_usage(address):
    client = platform_duties.HttpDuties(address, "edge-1", boot_clock.BootClock())
    report = duties.UsageReport(window=1, count_by_customer={"customer": 1})
    return client.report_usage(report, 1)


def _watch_etcd(address):
    watch = etcd_store.EtcdStore(address, _TIMEOUT).watch("op/", 1)
    try:
        return watch.poll(_TIMEOUT)
    finally:
        watch.close()


def _run_status(address):
    result = click.testing.CliRunner().invoke(
        status.status, [address], obj=output.Output()
    )
    if isinstance(result.exception, errors.CodedError):
        raise result.exception
    return exit_codes.ExitCode(result.exit_code)


READER_BY_NAME = {
    "serve": Reader(
        lambda address: _open(address).read(), _TEXT, _TEXT, "UpstreamError 3010"
    ),
    "serve, stream": Reader(
        _read_events, _EVENTS, _EVENTS, "UpstreamError 3010", _STREAM_LINE
    ),
    "another entry host": Reader(
        _read_through_helper, _TEXT, _TEXT, "UpstreamError 4004", _ANSWERED_LINE
    ),
    "the platform's store": Reader(
        _read_store,
        json.dumps({"entries": [_ENTRY], "at": 3, "has_more": False}).encode(),
        ["op/a"],
        "StoreUnavailableError 4001",
    ),
    "the platform's store, write": Reader(
        _grant_lease, b'{"lease": 7, "ttl_ms": 1000}', 7, "StoreUnclearError 4002"
    ),
    "the platform's duties": Reader(
        _report_usage, b'{"ok": true}', duties.DutyAnswer(True), "CloudError 4017"
    ),
    "etcd": Reader(
        lambda address: etcd_store.EtcdStore(address, _TIMEOUT).get("op/a"),
        b'{"header": {"revision": "3"}}',
        None,
        "StoreUnavailableError 4001",
    ),
    "etcd, watch": Reader(
        _watch_etcd, b'{"result": {"events": []}}\n', (), "StoreUnavailableError 4001"
    ),
    "an engine's report": Reader(
        lambda address: (
            http_engine_reports.HttpEngineReports(_TIMEOUT)
            .read(_host(address), 0)
            .running
        ),
        b'{"running": 3, "backlog_tokens": 0}',
        3,
        "UpstreamError 3005",
    ),
    "the list of hosts": Reader(
        lambda address: http_transport.HttpHostList(address, _TIMEOUT).read(),
        b"[                  ]",
        {},
        "UpstreamError 3001",
    ),
    "the cloud API": Reader(
        lambda address: http_cloud.HttpCloud(address).offers(),
        b"[                  ]",
        (),
        "CloudError 4017",
    ),
    "status": Reader(
        _run_status,
        json.dumps(_REPORT).encode(),
        exit_codes.ExitCode.OK,
        "PeerError 4004",
    ),
}
"""All but the entry host; its own are in ``steps/broken_answers_steps.py``."""


def _call_store(method, *args):
    """Return a call of a method of the platform's store."""

    def call(address):
        store = platform_store.PlatformStore(address, boot_clock.BootClock())
        # A lease is known to the client that it was granted to only.
        store._era_by_lease[7] = 0
        return getattr(store, method)(*args)

    return call


def _call_etcd(method, *args):
    """Return a call of a method of a store with etcd's interface."""
    return lambda address: getattr(etcd_store.EtcdStore(address, _TIMEOUT), method)(
        *args
    )


_READ_ERROR = "StoreUnavailableError 4001"
_WRITE_ERROR = "StoreUnclearError 4002"
_ITEM_BODY = json.dumps(_ENTRY).encode()
_EVENTS_BODY = json.dumps({"events": [_ENTRY], "at": 3}).encode()
_ETCD_BODY = b'{"header": {"revision": "3"}, "kvs": []}'
_PUT = ((), (store_port.Put("peridothitch/a", b"a"),))
JSON_READER_BY_NAME = {
    "range": READER_BY_NAME["the platform's store"],
    "grant_lease": READER_BY_NAME["the platform's store, write"],
    "get": Reader(_call_store("get", "op/a"), _ITEM_BODY, None, _READ_ERROR),
    "read_changes": Reader(
        _call_store("read_changes", "op/", 2, _TIMEOUT), _EVENTS_BODY, None, _READ_ERROR
    ),
    "transact": Reader(
        _call_store("transact", *_PUT), b'{"revision": 3}', None, _WRITE_ERROR
    ),
    "keep_alive": Reader(
        _call_store("keep_alive", 7), b'{"ttl_ms": 1000}', None, _WRITE_ERROR
    ),
    "etcd, get": Reader(_call_etcd("get", "op/a"), _ETCD_BODY, None, _READ_ERROR),
    "etcd, range": Reader(_call_etcd("range", "op/"), _ETCD_BODY, None, _READ_ERROR),
    "etcd, transact": Reader(
        _call_etcd("transact", *_PUT), _ETCD_BODY, None, _WRITE_ERROR
    ),
    "etcd, grant_lease": Reader(
        _call_etcd("grant_lease", _TIMEOUT),
        b'{"ID": "7", "TTL": "1"}',
        None,
        _WRITE_ERROR,
    ),
    "etcd, keep_alive": Reader(
        _call_etcd("keep_alive", 7), b'{"result": {"ID": "7"}}', None, _WRITE_ERROR
    ),
    "etcd, watch": READER_BY_NAME["etcd, watch"],
    "an engine's report": READER_BY_NAME["an engine's report"],
    "the list of hosts": READER_BY_NAME["the list of hosts"],
    "the cloud API": dataclasses.replace(
        READER_BY_NAME["the cloud API"], error="CloudError 4016"
    ),
}
"""Calls whose answers are documents; what they return for a sound one is not told."""

PROBE = Reader(
    lambda address: http_transport.HttpTransport().probe(_host(address), _TIMEOUT),
    b"",
    True,
    "",
)


def make_upload_reader(upload, body):
    """Return the reader in ``serve`` of the answer to a request with a body."""
    return Reader(
        lambda address: _open(address, upload).read(), body, body, "UpstreamError"
    )
