"""Requests to cold upstreams that one entry host lends another from its share."""

import collections
import datetime
import random
import threading

import logbook
import msgspec

from peridothitch import errors

__all__ = ["PermitLoans"]

_METHOD = "forwarding.permit"
_TIMEOUT = datetime.timedelta(milliseconds=250)
"""Several round trips between regions."""

_MAX_LENDERS = 3
_EMPTY_PAUSE = datetime.timedelta(milliseconds=200)
"""A lender with nothing left has some again after this time."""

_FAILURE_PAUSE = datetime.timedelta(seconds=1)
_MAX_UPSTREAMS = 64
"""Upstreams that one call names."""

_log = logbook.Logger(__name__)


class _Question(msgspec.Struct, frozen=True, array_like=True):
    """Incarnations of upstreams, any of which would serve."""

    incarnations: list[str]


class _Reply(msgspec.Struct, frozen=True, array_like=True):
    """The upstream that may get a request, empty for none."""

    incarnation: str = ""


class PermitLoans:
    """Asks other hosts for one request, and answers those that ask this host.

    What was lent and isn't used, since the reply was lost or the caller has left, is
    lost; shares fill up again within a second.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    lend : callable
        Takes one request from this host's share of one of some incarnations; returns
        it, or an empty string.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    random_source : random.Random or None
    """

    def __init__(self, peers, lend, clock, metrics, random_source=None):
        self._peers = peers
        self._lend = lend
        self._clock = clock
        self._metrics = metrics
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._paused_until_by_lender = {}
        peers.register(_METHOD, self._answer)

    def ask(self, owners_by_incarnation):
        """Return an incarnation to which a request may be sent, empty for none.

        Parameters
        ----------
        owners_by_incarnation : dict of str to frozenset of str
            Ids of the hosts that share what each upstream takes.
        """
        incarnations_by_owner = collections.defaultdict(list)
        for incarnation, owners in owners_by_incarnation.items():
            for owner in owners:
                incarnations_by_owner[owner].append(incarnation)
        incarnations_by_owner.pop(self._peers.host_id, None)
        for lender_id in self._choose(incarnations_by_owner):
            incarnations = incarnations_by_owner[lender_id]
            self._random.shuffle(incarnations)
            lent = self._call(lender_id, incarnations[:_MAX_UPSTREAMS])
            if lent in incarnations:
                return lent
        return ""

    def _choose(self, owners):
        """Return the owners to ask, those in this host's data centre first."""
        now = self._clock.monotonic()
        members = self._peers.members()
        own = members.get(self._peers.host_id)
        with self._lock:
            paused = {
                lender
                for lender, until in self._paused_until_by_lender.items()
                if until > now
            }
        usable = [owner for owner in owners if owner in members and owner not in paused]
        self._random.shuffle(usable)
        if own is not None:
            usable.sort(key=lambda o: members[o].data_centre != own.data_centre)
        return usable[:_MAX_LENDERS]

    def _call(self, lender_id, incarnations):
        payload = msgspec.msgpack.encode(_Question(incarnations))
        pause = _EMPTY_PAUSE
        try:
            reply = self._peers.call(lender_id, _METHOD, payload, _TIMEOUT)
            lent = msgspec.msgpack.decode(reply, type=_Reply).incarnation
        except (errors.PeerError, msgspec.MsgspecError) as error:
            _log.info("permit not lent", lender=lender_id, reason=str(error))
            lent, pause = "", _FAILURE_PAUSE
        self._metrics.count("permits_asked", outcome="lent" if lent else "none")
        if not lent:
            with self._lock:
                until = self._clock.monotonic() + pause
                self._paused_until_by_lender[lender_id] = until
        return lent

    def _answer(self, payload):
        try:
            question = msgspec.msgpack.decode(payload, type=_Question)
        except msgspec.MsgspecError as error:
            raise errors.PeerError(f"malformed question: {error}", True) from None
        reply = _Reply(self._lend(question.incarnations[:_MAX_UPSTREAMS]))
        return msgspec.msgpack.encode(reply)
