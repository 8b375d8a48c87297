"""Calls between entry hosts over framed thrift on TCP, optionally with mutual TLS."""

import collections
import dataclasses
import select
import socket
import ssl
import threading
import time

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.transport import TSocket, TTransport

from peridothitch import errors
from peridothitch.adapters import thrift_server
from peridothitch.adapters.generated.peer import PeerService, ttypes
from peridothitch.ports import peer_transport

__all__ = ["INTERFACE_VERSION", "ThriftTransport", "TlsFiles"]

INTERFACE_VERSION = 1
_MAX_CONNECTION_AGE_SECONDS = 60.0
_MAX_IDLE_SECONDS = 30.0
_MAX_IDLE_CONNECTIONS = 48


@dataclasses.dataclass(frozen=True)
class TlsFiles:
    """Paths of the PEM files for mutual TLS between entry hosts.

    Attributes
    ----------
    certificate : str
        Path of this host's certificate chain, PEM.
    key : str
        Path of its private key, PEM.
    authority : str
        Path of the certificates of the authority that signs those of all hosts, PEM.
    """

    certificate: str
    key: str
    authority: str

    def context(self, server_side):
        """Return an `ssl.SSLContext` that requires a signed certificate of peers.

        The authority's signature alone authenticates a peer; host names aren't checked.
        """
        protocol = ssl.PROTOCOL_TLS_SERVER if server_side else ssl.PROTOCOL_TLS_CLIENT
        context = ssl.SSLContext(protocol)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self.certificate, self.key)
        context.load_verify_locations(self.authority)
        return context


class _Connection:
    """An outgoing connection to a peer."""

    def __init__(self, address, timeout_seconds, context):
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout_seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self.sock = context.wrap_socket(sock) if context is not None else sock
        except OSError:
            sock.close()
            raise
        socket_transport = TSocket.TSocket()
        socket_transport.setHandle(self.sock)
        framed = TTransport.TFramedTransport(
            socket_transport, thrift_server.MAX_FRAME_BYTES
        )
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(framed)
        self.client = PeerService.Client(protocol)
        self.opened_at = self.last_used = time.monotonic()

    def is_usable(self, now):
        if (
            now - self.opened_at > _MAX_CONNECTION_AGE_SECONDS
            or now - self.last_used > _MAX_IDLE_SECONDS
        ):
            return False
        # An idle connection is readable only after the peer closed it or sent data that
        # belongs to no call.
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        return not poller.poll(0)

    def close(self):
        self.sock.close()


class ThriftTransport(peer_transport.PeerTransport):
    """Server and client of the peer interface.

    Parameters
    ----------
    host_id : str
    listen : str
        IP address and port for peers; port 0 selects a free one.
    metrics : peridothitch.adapters.metrics.Metrics
    tls : TlsFiles or None
    """

    def __init__(self, host_id, listen, metrics, tls=None):
        self._host_id = host_id
        self._metrics = metrics
        self._handler_by_method = {}
        self._client_context = tls.context(False) if tls else None
        processor = PeerService.Processor(
            _PeerServiceHandler(self._handler_by_method, metrics)
        )
        self._server = thrift_server.ThriftServer(
            processor, listen, tls.context(True) if tls else None
        )
        self.address = self._server.address
        self._lock = threading.Lock()
        self._idle_by_address = collections.OrderedDict()

    def register(self, method, handler):
        """Handle calls of `method` with ``handler(payload)``, bytes to bytes."""
        self._handler_by_method[method] = handler

    def start(self):
        """Start serving in background threads."""
        self._server.start()

    def close(self):
        """Stop serving and close all connections."""
        self._server.close()
        with self._lock:
            connections = list(self._idle_by_address.values())
            self._idle_by_address.clear()
        for connection in connections:
            connection.close()

    def call(self, address, method, payload, timeout, fresh=False):
        """Call the host at `address`."""
        deadline = time.monotonic() + timeout.total_seconds()
        connection = None if fresh else self._acquire_idle(address)
        try:
            if connection is None:
                connection = _Connection(
                    address, timeout.total_seconds(), self._client_context
                )
        except (OSError, ValueError) as error:
            raise errors.PeerError(f"connect to {address}: {error}", False) from None
        try:
            connection.sock.settimeout(max(0.001, deadline - time.monotonic()))
            reply = self._send(connection, method, payload)
        except ttypes.Refused as refusal:
            self._release(address, connection)
            detail = f"{address} refused {method}: {refusal.detail}"
            raise errors.PeerError(detail, True) from None
        except (OSError, EOFError, Thrift.TException) as error:
            connection.close()
            raise errors.PeerError(f"{method} at {address}: {error}", True) from None
        self._release(address, connection)
        return reply

    def _send(self, connection, method, payload):
        envelope = ttypes.Envelope(INTERFACE_VERSION, self._host_id, method, payload)
        is_gossip = method.startswith(peer_transport.GOSSIP_PREFIX)
        if is_gossip:
            reply = connection.client.gossip(envelope)
        else:
            reply = connection.client.call(envelope)
        plane = "gossip" if is_gossip else "call"
        self._metrics.count("peer_calls_sent", plane=plane)
        self._metrics.count(
            "peer_payload_bytes", len(payload) + len(reply), plane=plane, side="client"
        )
        return reply

    def _acquire_idle(self, address):
        with self._lock:
            connection = self._idle_by_address.pop(address, None)
        if connection is None or connection.is_usable(time.monotonic()):
            return connection
        connection.close()
        return None

    def _release(self, address, connection):
        """Keep a connection for reuse: one per address, the least recently used go."""
        connection.last_used = time.monotonic()
        with self._lock:
            dropped = [self._idle_by_address.pop(address, None)]
            self._idle_by_address[address] = connection
            if len(self._idle_by_address) > _MAX_IDLE_CONNECTIONS:
                dropped.append(self._idle_by_address.popitem(last=False)[1])
        for other in dropped:
            if other is not None:
                other.close()


class _PeerServiceHandler:
    """Implements the thrift service: passes a call to the handler of its method."""

    def __init__(self, handler_by_method, metrics):
        self._handler_by_method = handler_by_method
        self._metrics = metrics

    def gossip(self, envelope):
        return self._handle(envelope, "gossip")

    def call(self, envelope):
        return self._handle(envelope, "call")

    def _handle(self, envelope, plane):
        if envelope.version != INTERFACE_VERSION:
            raise _to_refusal(f"version {envelope.version} is not {INTERFACE_VERSION}")
        handler = self._handler_by_method.get(envelope.method)
        if handler is None:
            raise _to_refusal(f"unknown method {envelope.method}")
        try:
            reply = handler(envelope.payload)
        except errors.CodedError as error:
            raise ttypes.Refused(int(error.code), error.detail) from None
        except Exception as error:
            self._metrics.count("peer_answer_failures", method=envelope.method)
            raise _to_refusal(type(error).__name__) from None
        self._metrics.count("peer_calls_answered", plane=plane)
        self._metrics.count(
            "peer_payload_bytes",
            len(envelope.payload) + len(reply),
            plane=plane,
            side="server",
        )
        return reply


def _to_refusal(detail):
    return ttypes.Refused(int(errors.Code.PEER_FAILED), detail)
