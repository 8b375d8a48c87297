"""The rules, moves and upstream hosts in effect at an entry host."""

import dataclasses
import datetime
import threading

import logbook

from peridothitch import errors
from peridothitch.gateway.forwarding import evacuations
from peridothitch.policy import route_index
from peridothitch.ports import store

__all__ = ["Catalogue"]

_LAPSE_GRACE = datetime.timedelta(seconds=2)
"""Hosts whose records lapsed in a store outage register again within this time."""

_RETURN_DELAY = datetime.timedelta(seconds=1)
"""Time in which a record that was written again reaches all entry hosts."""

_MIN_OUTAGE = datetime.timedelta(seconds=2)
"""No record lapses in a shorter outage: hosts write theirs again every second or so
and a record lapses after three times that.
"""

_MASS_HOSTS = 3
"""This many hosts, and a third of all, may have disappeared because records lapsed
in an outage that no entry host noticed; or they all leave in a reclaim.
"""

_log = logbook.Logger(__name__)


class Catalogue:
    """Decodes the records in the mirrors of the store.

    Parameters
    ----------
    record_codec : peridothitch.ports.record_codec.RecordCodec
    operators, hosts : peridothitch.coordination.mirror.Mirror
        Mirrors of the records that operators and upstreams write.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics

    Attributes
    ----------
    table : peridothitch.ports.forwarding.RoutingTable or None
    routes : peridothitch.policy.route_index.RouteIndex
    move_by_service : dict of str to peridothitch.ports.record_codec.OrderedMove
    evacuations : peridothitch.gateway.forwarding.evacuations.Evacuations
        Applied before the rules of the same change are.
    """

    def __init__(self, record_codec, operators, hosts, clock, metrics):
        self._record_codec = record_codec
        self._operators = operators
        self._hosts = hosts
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._table_revision = 0
        self._decoded_by_key = {}
        self._lapsed_by_key = {}
        self._host_by_id = {}
        self._loaded_event = threading.Event()
        self._table_callbacks = []
        self._hosts_callbacks = []
        self.table = None
        self.routes = route_index.RouteIndex(())
        self.move_by_service = {}
        self.evacuations = evacuations.Evacuations(record_codec, operators, metrics)
        operators.subscribe(self.refresh_operators)
        hosts.subscribe(self.refresh_hosts)

    @property
    def is_loaded(self):
        """Whether rules and hosts are loaded."""
        return self.table is not None and self._hosts.is_loaded

    @property
    def operators_revision(self):
        """Store revision up to which changes of operators' records are applied."""
        return self._operators.revision

    @property
    def hosts_revision(self):
        """Store revision up to which changes of the hosts are applied."""
        return self._hosts.revision

    def wait_until_loaded(self, timeout):
        """Wait until rules and hosts are loaded; returns whether they are.

        Parameters
        ----------
        timeout : datetime.timedelta
        """
        return self.is_loaded or self._clock.wait(self._loaded_event, timeout)

    def subscribe(self, on_table, on_hosts):
        """Call ``on_table(table)`` and ``on_hosts(hosts by id)`` after changes."""
        self._table_callbacks.append(on_table)
        self._hosts_callbacks.append(on_hosts)

    def hosts(self):
        """Return the upstream hosts by id."""
        return self._host_by_id

    def refresh_operators(self):
        """Apply the current records of operators."""
        items = self._operators.items()
        item = items.get(self._record_codec.table_key)
        # The mirror's items only become newer, whatever era their revisions are of.
        if item is not None and item.mod_revision != self._table_revision:
            self._apply_table(item)
        self.move_by_service = self._decode_moves(items)

    def _apply_table(self, item):
        try:
            table = self._record_codec.decode_table(item.value)
        except errors.DocumentError as error:
            self._metrics.count("rejected_tables")
            _log.error(
                "rules rejected",
                revision=store.to_text(item.mod_revision),
                reason=error.detail,
            )
            return
        self._table_revision = item.mod_revision
        self.routes = route_index.RouteIndex(table.routes)
        self.table = table
        _log.info(
            "rules taken",
            version=table.version,
            revision=store.to_text(item.mod_revision),
            routes=len(table.routes),
        )
        self._metrics.set("unknown_homes", len(table.unknown_regions))
        if table.unknown_regions:
            _log.warn("homes without data centres", regions=table.unknown_regions)
        for callback in self._table_callbacks:
            callback(table)
        if self.is_loaded:
            self._loaded_event.set()

    def _decode_moves(self, items):
        move_by_service = {}
        for key, item in items.items():
            if key == self._record_codec.table_key:
                continue
            try:
                move = self._record_codec.decode_move(key, item.value)
            except errors.DocumentError as error:
                _log.error("move order rejected", key=key, reason=error.detail)
                continue
            if move is not None:
                move_by_service[move.service] = dataclasses.replace(
                    move, revision=store.number_of(item.mod_revision)
                )
        return move_by_service

    def refresh_hosts(self):
        """Apply the current records of upstream hosts."""
        now = self._clock.monotonic()
        with self._lock:
            items = self._hosts.items()
            decoded_by_key = {}
            for key, item in items.items():
                decoded = self._decoded_by_key.get(key)
                if decoded is None or decoded[0] != item.mod_revision:
                    decoded = item.mod_revision, self._decode_host(key, item.value)
                decoded_by_key[key] = decoded
            self._record_lapses(decoded_by_key, now)
            self._decoded_by_key = decoded_by_key
            host_by_id = self._collect_hosts(now)
        self._publish(host_by_id)

    def remove_lapsed(self):
        """Remove hosts whose lapsed records were not restored in time.

        Has to be called periodically.
        """
        now = self._clock.monotonic()
        with self._lock:
            due = [k for k, (_, until) in self._lapsed_by_key.items() if until <= now]
            if not due:
                return
            host_by_id = self._collect_hosts(now)
        self._publish(host_by_id)

    def _decode_host(self, key, value):
        try:
            return self._record_codec.decode_host(key, value)
        except errors.DocumentError as error:
            self._metrics.count("rejected_host_records")
            _log.info("host record rejected", key=key, reason=error.detail[:200])
            return None

    def _record_lapses(self, decoded_by_key, now):
        for key in decoded_by_key:
            self._lapsed_by_key.pop(key, None)
        missing = {
            key: host
            for key, (_, host) in self._decoded_by_key.items()
            if key not in decoded_by_key and host is not None
        }
        is_mass = len(missing) >= _MASS_HOSTS and 3 * len(missing) >= len(
            self._decoded_by_key
        )
        if self._may_lack_records(now):
            until = now + _LAPSE_GRACE + _RETURN_DELAY
        elif is_mass:
            # A host that leaves may be used only for a time that starts at the change
            # itself, however late this entry host hears of it.
            until = (self._hosts.changed_at or now) + _LAPSE_GRACE
        else:
            return
        for key, host in missing.items():
            self._lapsed_by_key[key] = host, until

    def _may_lack_records(self, now):
        """Return whether records may be missing that their hosts write again soon.

        The store is, or was until recently, out of reach for all, or came back from an
        older copy of itself.
        """
        restored_at = self._hosts.restored_at
        if restored_at is not None and now - restored_at <= _LAPSE_GRACE:
            return True
        if self._hosts.contact.current_outage(now) >= _MIN_OUTAGE:
            return True
        if self._hosts.contact.last_outage is None:
            return False
        ended_at, length = self._hosts.contact.last_outage
        return length >= _MIN_OUTAGE and now - ended_at <= _LAPSE_GRACE + _RETURN_DELAY

    def _collect_hosts(self, now):
        self._lapsed_by_key = {
            key: (host, until)
            for key, (host, until) in self._lapsed_by_key.items()
            if until > now
        }
        hosts = [host for _, host in self._decoded_by_key.values() if host is not None]
        hosts += [host for host, _ in self._lapsed_by_key.values()]
        return {host.host_id: host for host in hosts}

    def _publish(self, host_by_id):
        before, self._host_by_id = self._host_by_id, host_by_id
        for host_id, host in host_by_id.items():
            previous = before.get(host_id)
            if previous != host:
                _log.info(
                    "upstream changed" if previous else "upstream seen",
                    host_id=host_id,
                    service=host.service,
                    state=host.state.value,
                    data_centre=host.data_centre,
                    version=host.version,
                    reclaimable=host.reclaimable,
                )
        for host_id in before.keys() - host_by_id.keys():
            _log.info("upstream gone", host_id=host_id)
        self._metrics.set("upstream_hosts", len(host_by_id))
        for callback in self._hosts_callbacks:
            callback(host_by_id)
        if self.is_loaded:
            self._loaded_event.set()
