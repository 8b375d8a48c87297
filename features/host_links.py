"""Connections of one entry host to the upstreams, which a test can cut."""

import contextlib
import dataclasses
import socket
import threading

from soak import fault_proxy


class Link(fault_proxy.FaultProxy):
    """The path from one entry host to one upstream.

    Ways to cut it: ``hang``, nothing comes through and new connections are not
    answered; ``reset``, open connections are reset and new ones refused; ``refuse``,
    open connections live on and new ones are refused; ``fall silent``, nothing comes
    through open connections and new ones work.
    """

    def __init__(self, target):
        super().__init__(target)
        self._blockers = []
        self.silenced_count = 0

    def cut(self, way):
        if way == "fall silent":
            self.silenced_count = len(self._socket_pairs)
            self.apply("silent")
            return
        self._stop_listening()
        if way == "hang":
            self.apply("silent")
            self._block_connections()
        if way == "reset":
            self.apply("reset")

    def heal(self):
        self._stop_listening()
        self._listen(backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._stop_listening()
        super().close()

    def _stop_listening(self):
        for sock in (self._listener, *self._blockers):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
        self._blockers = []

    def _listen(self, backlog):
        host, _, port = self.address.rpartition(":")
        self._listener = socket.create_server((host, int(port)), backlog=backlog)

    def _block_connections(self):
        """Fill the queue of a listener that never accepts, so that connecting hangs."""
        self._listen(backlog=0)
        host, _, port = self.address.rpartition(":")
        for _ in range(2):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
            self._blockers.append(sock)


class HostLinks:
    """Links of one entry host to all upstreams, made as they become known."""

    def __init__(self):
        self._lock = threading.Lock()
        self._link_by_address = {}
        self._way = ""

    def address_of(self, upstream_address):
        """Return the address at which the host reaches an upstream."""
        with self._lock:
            link = self._link_by_address.get(upstream_address)
            if link is None:
                link = self._link_by_address[upstream_address] = Link(upstream_address)
                if self._way:
                    link.cut(self._way)
            return link.address

    def cut(self, way):
        """Cut the host from all upstreams."""
        with self._lock:
            self._way = way
            for link in self._link_by_address.values():
                link.cut(way)

    @property
    def silenced_count(self):
        """Number of open connections that have fallen silent."""
        return sum(link.silenced_count for link in self._link_by_address.values())

    def heal(self):
        """Let the host reach all upstreams again."""
        with self._lock:
            self._way = ""
            for link in self._link_by_address.values():
                link.heal()

    def close(self):
        """Close all links."""
        for link in self._link_by_address.values():
            link.close()


class LinkedRecordCodec:
    """A record codec that puts the links' addresses in place of the upstreams'."""

    def __init__(self, record_codec, links):
        self._record_codec = record_codec
        self._links = links

    def __getattr__(self, name):
        return getattr(self._record_codec, name)

    def decode_host(self, key, value):
        host = self._record_codec.decode_host(key, value)
        return dataclasses.replace(host, address=self._links.address_of(host.address))
