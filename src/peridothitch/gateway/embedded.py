"""The whole system in one process, for trials, examples and tests."""

import datetime

from peridothitch.adapters import (
    memory_store,
    system_clock,
    wsgi_server,
    yaml_codec,
)
from peridothitch.coordination import documents
from peridothitch.gateway import customers, host
from peridothitch.ports import upstream
from peridothitch.standins import engine, hosts, reporting, service

__all__ = ["EXAMPLE_DOCUMENT", "EXAMPLE_KEY", "EmbeddedSystem"]

EXAMPLE_KEY = "example-key"
"""Customer key that the built-in document accepts."""

EXAMPLE_DOCUMENT = f"""\
owners: {{}}
routes:
  chat:
    method: POST
    path: /v1/chat/completions
    service: assistant
  lookup:
    method: GET
    path: /tickets/*
    service: ticketing
    priority: 0
  payment:
    method: POST
    path: /payments
    service: ticketing
    effect: once
customers:
  example:
    key_sha256: ["{customers.hash_key(EXAMPLE_KEY)}"]
versions:
  assistant:
    protocol: chat
    current: v1
    versions:
      v1: {{weights: assistant-v1}}
  ticketing:
    protocol: plain
    refuses_before_running: true
    current: v1
    versions:
      v1: {{}}
spending: {{}}
moves: {{}}
"""
"""Document of the embedded system."""

_ENGINE_COUNT = 3
_SERVICE_COUNT = 2
_DATA_CENTRE = "local"
_ANY_PORT = "127.0.0.1:0"


class EmbeddedSystem:
    """A store in memory, five upstreams and one entry host.

    Parameters
    ----------
    text : str
        The operators' document.
    listen : str
        IP number and port for callers.
    limits : peridothitch.adapters.wsgi_server.ServerLimits or None
        Limits on the resources that one caller may use.
    exporter : opentelemetry.sdk.trace.export.SpanExporter or None
        Receives the spans.
    """

    def __init__(
        self, text=EXAMPLE_DOCUMENT, listen=_ANY_PORT, limits=None, exporter=None
    ):
        clock = system_clock.SystemClock()
        self.store = memory_store.MemoryStore(clock)
        self.host_list = hosts.StaticHostList()
        self.engine_by_id = {
            f"engine-{index}": engine.Engine(f"engine-{index}", "v1", clock)
            for index in range(_ENGINE_COUNT)
        }
        self.service_by_id = {
            f"service-{index}": service.Service(f"service-{index}", clock)
            for index in range(_SERVICE_COUNT)
        }
        self._servers = []
        self._store_document(text)
        reporting_by_id = {
            host_id: reporting.ReportingEngine(model, "v1")
            for host_id, model in self.engine_by_id.items()
        }
        self._listen_upstreams(reporting_by_id, "assistant")
        self._listen_upstreams(self.service_by_id, "ticketing")
        settings = host.HostSettings(
            host_id="entry-0",
            data_centre=_DATA_CENTRE,
            listen=listen,
            unready_time=datetime.timedelta(0),
            limits=limits or wsgi_server.ServerLimits(),
        )
        self.entry_host = host.EntryHost(
            settings, self.store, self.host_list, clock, exporter
        )

    @property
    def port(self):
        """Port that callers connect to."""
        return self.entry_host.port

    def _store_document(self, text):
        codec = yaml_codec.YamlCodec()
        document_store = documents.DocumentStore(self.store, codec)
        document_store.create(text)

    def _listen_upstreams(self, application_by_id, service_name):
        for host_id, application in application_by_id.items():
            server = wsgi_server.WsgiServer(application, _ANY_PORT, threads=64)
            self._servers.append(server)
            self.host_list.put(
                upstream.Host(
                    host_id=host_id,
                    address=f"127.0.0.1:{server.port}",
                    service=service_name,
                    version="v1",
                    data_centre=_DATA_CENTRE,
                )
            )

    def start(self):
        """Start all parts."""
        for server in self._servers:
            server.start()
        self.entry_host.start()

    def stop(self):
        """Drain the entry host and stop all parts."""
        self.entry_host.stop()
        for server in self._servers:
            server.close()
