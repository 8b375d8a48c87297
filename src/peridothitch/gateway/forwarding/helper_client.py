"""Sends calls to upstreams through other entry hosts."""

import dataclasses
import datetime
import random
import threading

import logbook

from peridothitch import errors
from peridothitch.gateway.forwarding import indirect_calls
from peridothitch.policy import homes
from peridothitch.ports import raw, upstream

__all__ = ["HelperClient"]

_MAX_HELPERS = 2
"""Entry hosts that are asked for one call."""

_CHECK_TIMEOUT = datetime.timedelta(milliseconds=500)
_MAX_UNREACHED = 2
"""A host that fails to reach this many upstreams has probably lost its own path."""

_FIRST_BACKOFF = datetime.timedelta(milliseconds=500)
_LONGEST_BACKOFF = datetime.timedelta(seconds=4)
_MAX_DOUBLING_COUNT = 3
_REACHED_BY_OUTCOME = {
    indirect_calls.Outcome.REACHED: True,
    indirect_calls.Outcome.NOT_SENT: False,
}
_log = logbook.Logger("forwarding")


@dataclasses.dataclass
class _Helper:
    """What this host knows of another one as a helper.

    Attributes
    ----------
    in_flight : int
        Calls through it.
    unreached_ids : set of str
        Upstreams that it has not reached since its last answer.
    failure_count : int
        Failures in succession.
    backoff_until : datetime.timedelta
        Monotonic time from which it may be asked again.
    """

    in_flight: int = 0
    unreached_ids: set = dataclasses.field(default_factory=set)
    failure_count: int = 0
    backoff_until: datetime.timedelta = datetime.timedelta(0)


class HelperClient:
    """Chooses entry hosts with a path to an upstream, and calls them.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    data_centre, region : str
        Of this host.
    region_by_data_centre : dict of str to str
    transport : peridothitch.ports.raw.RawTransport
        Connections to other entry hosts.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None
    """

    def __init__(
        self,
        peers,
        data_centre,
        region,
        region_by_data_centre,
        transport,
        clock,
        metrics,
        random_source=None,
    ):
        self._peers = peers
        self._data_centre = data_centre
        self._region = region
        self._region_by_data_centre = region_by_data_centre
        self._transport = transport
        self._clock = clock
        self._metrics = metrics
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._helper_by_id = {}

    def open(self, host, call, on_cancel):
        """Send a call through another entry host and wait for the answer's head.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        call : peridothitch.ports.raw.RawCall
        on_cancel : callable
            See `peridothitch.ports.raw.RawTransport.open`.

        Returns
        -------
        peridothitch.ports.raw.RawResponse or None
            None if no entry host has sent the call.

        Raises
        ------
        peridothitch.errors.UpstreamError
            The call may have been sent and has no answer, or its deadline has passed.
        """
        for peer in self._choose(call.homes):
            if self._clock.monotonic() >= call.deadline:
                raise errors.UpstreamError(
                    errors.Code.UPSTREAM_REFUSED,
                    f"{host.host_id}: the deadline has passed",
                    errors.Ran.NO,
                )
            answer = self._open_through(peer, host, call, on_cancel)
            if answer is not None:
                return answer
        return None

    def can_reach(self, host):
        """Return whether another entry host can open connections to an upstream.

        Returns
        -------
        bool or None
            None if no entry host can tell.
        """
        found = None
        for peer in self._choose():
            reached = self._check(peer, host)
            if reached:
                return True
            if reached is not None:
                found = False
        return found

    def _choose(self, home_regions=None):
        """Return the hosts to ask, the nearest first, in different data centres.

        A host that gets a call has to be in one of the regions that the call may be
        sent to. Hosts of one data centre often lose their paths together. Those that
        have failed a moment ago come last.
        """
        with self._lock:
            members = self._peers.members()
            for host_id in set(self._helper_by_id) - set(members):
                if not self._helper_by_id[host_id].in_flight:
                    del self._helper_by_id[host_id]
            candidates = [
                peer
                for host_id, peer in members.items()
                if host_id != self._peers.host_id
                and peer.helper_address
                and homes.admits(home_regions, self._region_of(peer))
            ]
            chosen = []
            while candidates and len(chosen) < _MAX_HELPERS:
                best = min(candidates, key=self._preference)
                chosen.append(best)
                candidates = [
                    peer for peer in candidates if peer.data_centre != best.data_centre
                ] or [peer for peer in candidates if peer is not best]
            return chosen

    def _helper(self, host_id):
        return self._helper_by_id.setdefault(host_id, _Helper())

    def _preference(self, peer):
        helper = self._helper(peer.host_id)
        return (
            helper.backoff_until > self._clock.monotonic(),
            self._distance(peer),
            helper.in_flight,
            self._random.random(),
        )

    def _distance(self, peer):
        if peer.data_centre == self._data_centre:
            return 0
        return 1 if self._region_of(peer) == self._region else 2

    def _region_of(self, peer):
        return self._region_by_data_centre.get(peer.data_centre)

    def _open_through(self, peer, host, call, on_cancel):
        """Return the answer; None if the peer has not sent the call."""
        order = self._order(indirect_calls.Purpose.SEND, host, call.deadline)
        self._change_in_flight(peer, 1)
        sent_at = self._clock.monotonic()
        try:
            answer = self._transport.open(
                _as_upstream(peer, host.service),
                dataclasses.replace(call, fields=(*order.to_fields(), *call.fields)),
                on_cancel,
            )
            return _IndirectAnswer(self._accept(peer, answer), self, peer, sent_at)
        except errors.UpstreamError as error:
            self._change_in_flight(peer, -1)
            if error.ran is errors.Ran.NO:
                if self._clock.monotonic() < call.deadline:
                    self._record_not_sent(peer, host, error)
                return None
            if error.code is errors.Code.UPSTREAM_SILENT:
                raise
            # The failure is that of the path; the upstream may be sound.
            raise errors.UpstreamError(
                errors.Code.PEER_FAILED,
                f"{host.host_id} through {peer.host_id}: {error.detail}",
                error.ran,
            ) from None
        except BaseException:
            self._change_in_flight(peer, -1)
            raise

    def _accept(self, peer, answer):
        """Return an upstream's answer, or raise what the peer tells instead."""
        outcome = indirect_calls.read_outcome(answer)
        if outcome is indirect_calls.Outcome.ANSWERED:
            self._reset_backoff(peer)
            return answer
        detail = _read_detail(answer)
        if outcome is indirect_calls.Outcome.NOT_SENT:
            raise errors.UpstreamError(errors.Code.NO_UPSTREAM, detail, errors.Ran.NO)
        raise errors.UpstreamError(
            errors.Code.OUTCOME_UNKNOWN, detail, errors.Ran.UNKNOWN
        )

    def _check(self, peer, host):
        """Return whether a peer reaches an upstream, None if it can't tell."""
        deadline = self._clock.monotonic() + _CHECK_TIMEOUT
        order = self._order(indirect_calls.Purpose.CHECK, host, deadline)
        call = raw.RawCall(
            request_id="",
            method="GET",
            target="/",
            fields=(*order.to_fields(), ("Host", "helper")),
            deadline=deadline,
        )
        try:
            answer = self._transport.open(
                _as_upstream(peer, host.service), call, lambda cancel: None
            )
        except errors.UpstreamError as error:
            self._back_off(peer, error)
            return None
        outcome = indirect_calls.read_outcome(answer)
        _read_detail(answer)
        return _REACHED_BY_OUTCOME.get(outcome)

    def _order(self, purpose, host, deadline):
        return indirect_calls.Order(
            purpose=purpose,
            host_id=host.host_id,
            incarnation=host.incarnation,
            wait=deadline - self._clock.monotonic(),
        )

    def _change_in_flight(self, peer, amount):
        with self._lock:
            self._helper(peer.host_id).in_flight += amount

    def end_call(self, peer):
        """Record that a call through a peer has ended."""
        self._change_in_flight(peer, -1)

    def _reset_backoff(self, peer):
        with self._lock:
            helper = self._helper(peer.host_id)
            helper.failure_count = 0
            helper.unreached_ids.clear()

    def _record_not_sent(self, peer, host, error):
        if error.code is errors.Code.NO_UPSTREAM:
            with self._lock:
                unreached_ids = self._helper(peer.host_id).unreached_ids
                unreached_ids.add(host.host_id)
                if len(unreached_ids) < _MAX_UNREACHED:
                    return
        self._back_off(peer, error)

    def _back_off(self, peer, error):
        with self._lock:
            helper = self._helper(peer.host_id)
            doublings = min(helper.failure_count, _MAX_DOUBLING_COUNT)
            helper.failure_count += 1
            helper.unreached_ids.clear()
            backoff = min(_LONGEST_BACKOFF, _FIRST_BACKOFF * 2**doublings)
            helper.backoff_until = self._clock.monotonic() + backoff
        self._metrics.count("helper_failures")
        _log.info("helper failed", peer=peer.host_id, reason=error.detail[:200])


def _as_upstream(peer, service):
    return upstream.Host(
        host_id=peer.host_id,
        address=peer.helper_address,
        service=service,
        version="",
        data_centre=peer.data_centre,
    )


def _read_detail(answer):
    """Read an answer of a peer itself to its end; returns its text."""
    body = bytearray()
    try:
        while data := answer.read_some():
            body += data
    except errors.UpstreamError as error:
        return error.detail
    finally:
        answer.close()
    return body.decode(errors="replace")[:300]


class _IndirectAnswer(raw.ResponseWrapper):
    """Answer of an upstream that comes through a peer."""

    def __init__(self, answer, client, peer, sent_at):
        super().__init__(answer)
        self.sent_at = sent_at
        self._client = client
        self._peer = peer
        self._lock = threading.Lock()
        self._has_ended = False

    def read_some(self):
        try:
            return super().read_some()
        except errors.UpstreamError as error:
            if error.code is errors.Code.UPSTREAM_SILENT:
                raise
            raise errors.UpstreamError(
                errors.Code.PEER_FAILED,
                f"through {self._peer.host_id}: {error.detail}",
                error.ran,
            ) from None

    def close(self):
        with self._lock:
            has_ended, self._has_ended = self._has_ended, True
        if not has_ended:
            self._client.end_call(self._peer)
        super().close()
