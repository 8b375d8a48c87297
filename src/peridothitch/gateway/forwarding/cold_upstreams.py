"""Upstreams that are cold, and what they take of all entry hosts together.

An upstream that has just started, or that turned cold again, is crashed by ordinary
traffic. While it is cold, its rate is shared like a limit that an upstream names.
"""

import collections
import dataclasses
import datetime
import threading

import logbook

from peridothitch.gateway.forwarding import permit_loans, shared_allowances
from peridothitch.policy import upstream_limits

__all__ = ["ColdUpstreams"]

_NOT_COLD = datetime.timedelta(0)
_MAX_FORMER = 4096
"""Incarnations that are gone and remembered, so that they don't count as started."""

_MAX_COLD_TIME = datetime.timedelta(minutes=10)
"""Longer times are cut to this; an upstream that stays cold tells it again."""

_log = logbook.Logger("forwarding")


@dataclasses.dataclass
class _Known:
    """What is known of one incarnation.

    Attributes
    ----------
    host : peridothitch.ports.upstream.Host
        The record from which `told_until` follows.
    started_at : datetime.timedelta or None
        Monotonic time at which it appeared; None if it ran before this host did.
    told_until : datetime.timedelta
        Monotonic time until which it is cold as it told last.
    is_cold : bool
        Whether it was cold when it was last looked at.
    """

    host: object
    started_at: datetime.timedelta | None
    told_until: datetime.timedelta = _NOT_COLD
    is_cold: bool = False


class ColdUpstreams:
    """Which upstreams are cold, and this host's shares of what they take.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    count_hosts : callable
        Returns the number of entry hosts, also before all are known.
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, peers, count_hosts, catalogue, clock, metrics):
        self._count_hosts = count_hosts
        self._clock = clock
        self._metrics = metrics
        self._shares = shared_allowances.SharedAllowances(peers, clock)
        self._loans = permit_loans.PermitLoans(peers, self._lend, clock, metrics)
        self._lock = threading.Lock()
        self._service_by_name = {}
        self._known_by_key = collections.OrderedDict()
        self._candidates = set()
        self._has_hosts = False
        catalogue.subscribe(self.update_table, self.update_hosts)

    def update_table(self, table):
        """Apply the services of a `peridothitch.ports.forwarding.RoutingTable`."""
        self._service_by_name = {
            name: service
            for name, service in table.service_by_name.items()
            if service.cold_rate > 0
        }

    def update_hosts(self, host_by_id):
        """Apply the upstreams' current records.

        Those that appear later than the first ones have just started, whether their
        records already say so or not.
        """
        now = self._clock.monotonic()
        with self._lock:
            for host in host_by_id.values():
                known = self._known_by_key.get(_key(host))
                if known is None:
                    known = _Known(None, now if self._has_hosts else None)
                    self._known_by_key[_key(host)] = known
                    self._candidates.add(_key(host))
                # The catalogue decodes each record that was written once.
                if known.host is not host:
                    known.host = host
                    self._tell(host, now + min(host.cold_time, _MAX_COLD_TIME))
            self._has_hosts = self._has_hosts or bool(host_by_id)
            self._forget_former(host_by_id)
        # Shares begin to fill when an upstream turns cold, not with the first request.
        for host in host_by_id.values():
            self.is_cold(host)

    def _forget_former(self, host_by_id):
        excess = len(self._known_by_key) - len(host_by_id) - _MAX_FORMER
        if excess <= 0:
            return
        current = {_key(host) for host in host_by_id.values()}
        former = [key for key in self._known_by_key if key not in current]
        for key in former[:excess]:
            del self._known_by_key[key]
            self._candidates.discard(key)
            self._shares.end(_text(key))

    def record(self, host, cold_time):
        """Store what an upstream's answer says of how long it stays cold, if it does.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        cold_time : datetime.timedelta or None
        """
        if cold_time is None:
            return
        until = self._clock.monotonic() + min(cold_time, _MAX_COLD_TIME)
        with self._lock:
            if _key(host) in self._known_by_key:
                self._tell(host, until)

    def _tell(self, host, until):
        self._known_by_key[_key(host)].told_until = until
        self._candidates.add(_key(host))

    def is_cold(self, host):
        """Return whether an upstream is cold as far as this host knows."""
        service = self._service_by_name.get(host.service)
        if service is None or _key(host) not in self._candidates:
            return False
        now = self._clock.monotonic()
        with self._lock:
            known = self._known_by_key.get(_key(host))
            if known is None:
                return False
            is_cold = now < known.told_until or (
                known.started_at is not None
                and now < known.started_at + service.cold_time
            )
            has_changed, known.is_cold = is_cold is not known.is_cold, is_cold
            if not is_cold:
                self._candidates.discard(_key(host))
        if has_changed:
            self._record_change(host, is_cold)
        return is_cold

    def _record_change(self, host, is_cold):
        if is_cold:
            self._shares.start(_text(_key(host)))
            self._metrics.count("cold_upstreams", service=host.service)
        else:
            self._shares.end(_text(_key(host)))
        _log.info(
            "upstream is cold" if is_cold else "upstream is warm",
            host_id=host.host_id,
            service=host.service,
        )

    def may_send(self, host, lent=None):
        """Return whether this host may send a request to an upstream now.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        lent : peridothitch.ports.upstream.Host or None
            What `borrow` returned; no other upstream may get the request.
        """
        if lent is not None:
            return host.host_id == lent.host_id
        if not self.is_cold(host):
            return True
        return self._shares.is_open(_text(_key(host)), self._terms(host))

    def spend(self, host):
        """Take one request from this host's share of what an upstream takes."""
        if host.service in self._service_by_name:
            self._shares.spend(_text(_key(host)))

    def borrow(self, hosts):
        """Ask the owners of cold upstreams for a request, once this host has no share.

        Calls other entry hosts, for a quarter of a second each at most.

        Parameters
        ----------
        hosts : sequence of peridothitch.ports.upstream.Host
            Upstreams, any of which may serve the request.

        Returns
        -------
        peridothitch.ports.upstream.Host or None
            The one to which a request may be sent.
        """
        host_by_text = {_text(_key(h)): h for h in hosts if self.is_cold(h)}
        owners_by_text = {
            text: self._shares.owners(text, self._terms(host))
            for text, host in host_by_text.items()
        }
        return host_by_text.get(self._loans.ask(owners_by_text))

    def _lend(self, texts):
        """Return the first of some upstreams of which this host's share has room."""
        with self._lock:
            known = {_text(key): k.host for key, k in self._known_by_key.items()}
        for text in texts:
            host = known.get(text)
            if host is not None and self.is_cold(host) and self.may_send(host):
                self.spend(host)
                return text
        return ""

    def _terms(self, host):
        rate = self._service_by_name[host.service].cold_rate
        return upstream_limits.Terms.of_cold(rate, self._count_hosts())


def _key(host):
    return host.host_id, host.incarnation


def _text(key):
    return "/".join(map(str, key))
