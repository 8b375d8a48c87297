"""Loans of quotas between entry hosts: the messages and the calls."""

import concurrent.futures
import datetime
import threading

import logbook
import msgspec

from peridothitch import errors

__all__ = ["LoanReply", "LoanRequest", "Loans"]

_METHOD = "forwarding.loan"
_TIMEOUT = datetime.timedelta(milliseconds=250)
"""Several round trips between regions."""

_LENDER_PAUSE = datetime.timedelta(seconds=1)
"""Time for which a lender that did not answer is not asked again."""

_MAX_UNITS = 1e9
_log = logbook.Logger(__name__)


class LoanRequest(msgspec.Struct, frozen=True, array_like=True):
    """Units of a request that does not fit into the asking host's share.

    Attributes
    ----------
    customer : str
    units : float
    adds_demand : bool
        Whether the lender counts the request as demand, since the asking host owns no
        share and doesn't count it.
    is_return : bool
        Whether the units of an earlier loan are returned.
    """

    customer: str
    units: float
    adds_demand: bool = False
    is_return: bool = False


class LoanReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the units were lent, or the seconds after which they may be."""

    is_lent: bool
    wait_seconds: float = 0.0


class Loans:
    """Asks other hosts for loans, and answers those that ask this host.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    lend : callable
        Returns the `LoanReply` to a `LoanRequest`, None if the customer is unknown.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, peers, lend, clock, metrics):
        self._peers = peers
        self._lend = lend
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._paused_until_by_lender = {}
        self._returns = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix="loan-return"
        )
        peers.register(_METHOD, self._answer)

    def ask(self, lender_ids, request):
        """Ask hosts in turn; yields the id and the reply of each that answers.

        Only the first of them counts the request as demand.
        """
        for lender_id in lender_ids:
            if self._is_paused(lender_id):
                continue
            reply = self._call(lender_id, request)
            if reply is not None:
                request = msgspec.structs.replace(request, adds_demand=False)
                yield lender_id, reply

    def give_back(self, lender_id, customer, units):
        """Return a loan in the background; a return that is lost only expires later."""
        request = LoanRequest(customer, units, is_return=True)
        self._returns.submit(self._call, lender_id, request)

    def close(self):
        """End the thread that returns loans."""
        self._returns.shutdown(wait=False, cancel_futures=True)

    def _is_paused(self, lender_id):
        now = self._clock.monotonic()
        with self._lock:
            return self._paused_until_by_lender.get(lender_id, now) > now

    def _call(self, lender_id, request):
        payload = msgspec.msgpack.encode(request)
        try:
            reply = self._peers.call(lender_id, _METHOD, payload, _TIMEOUT)
            self._metrics.count("quota_loans_asked")
            return msgspec.msgpack.decode(reply, type=LoanReply)
        except (errors.PeerError, msgspec.MsgspecError) as error:
            self._metrics.count("quota_loan_failures")
            _log.info("loan failed", lender=lender_id, reason=str(error))
        until = self._clock.monotonic() + _LENDER_PAUSE
        with self._lock:
            self._paused_until_by_lender[lender_id] = until
        return None

    def _answer(self, payload):
        try:
            request = msgspec.msgpack.decode(payload, type=LoanRequest)
        except msgspec.MsgspecError as error:
            raise errors.PeerError(f"malformed loan: {error}", True) from None
        if not 0.0 < request.units <= _MAX_UNITS:
            raise errors.PeerError(f"loan of {request.units} units", True)
        reply = self._lend(request)
        if reply is None:
            raise errors.PeerError(f"customer {request.customer} is unknown", True)
        return msgspec.msgpack.encode(reply)
