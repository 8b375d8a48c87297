"""Copies of durable streams at other hosts, so that any host can resume them.

The host that runs a stream sends each event to a successor before its caller gets it.
Epochs, raised by compare-and-swap on the claim, fence hosts that were replaced.
"""

import datetime
import threading

import msgspec
import xxhash

from peridothitch import errors
from peridothitch.coordination import group_commit

__all__ = ["StreamRegistry", "StreamReplicator"]

_APPEND = "streams.append"
_FENCE = "streams.fence"
_ADOPT = "streams.adopt"
_CALL_TIMEOUT = datetime.timedelta(seconds=1)
_APPEND_WINDOW = datetime.timedelta(milliseconds=10)
_MAX_SUCCESSOR_ATTEMPTS = 3
_HOSTS_QUERIED_PER_DATA_CENTRE = 3
_COPY_RETENTION = datetime.timedelta(minutes=10)


class _Append(msgspec.Struct, frozen=True, kw_only=True):
    customer: str
    request_id: str
    epoch: int
    holder: str
    first: int
    events: list[bytes]
    done: bool = False


class _AppendReply(msgspec.Struct, frozen=True):
    accepted: bool
    size: int


class _Fence(msgspec.Struct, frozen=True, kw_only=True):
    customer: str
    request_id: str
    epoch: int
    holder: str


class _FenceReply(msgspec.Struct, frozen=True):
    events: list[bytes]


class _Adopt(msgspec.Struct, frozen=True, kw_only=True):
    customer: str
    request_id: str


class _StreamLog:
    """Events of one stream that another host runs."""

    def __init__(self, customer, epoch, holder, updated_at):
        self.customer = customer
        self.epoch = epoch
        self.holder = holder
        self.updated_at = updated_at
        self.done = False
        self.events = []


class StreamReplicator:
    """Copies the events of one running stream to a successor host.

    Parameters
    ----------
    registry : StreamRegistry
    customer, request_id : str
    epoch : int
        Epoch of the claim that this host holds.
    """

    def __init__(self, registry, customer, request_id, epoch):
        self._registry = registry
        self._customer = customer
        self._request_id = request_id
        self._epoch = epoch
        self._successor = None
        self._acknowledged = 0

    def push(self, events, done=False):
        """Copy the events that the successor lacks.

        Parameters
        ----------
        events : list of bytes
            All events of the stream so far.
        done : bool
            Whether the successor may discard its copy.

        Returns
        -------
        bool
            Whether a successor has all events.

        Raises
        ------
        peridothitch.errors.RequestError
            Another host has taken the stream over.
        """
        if self._registry.is_fenced(self._request_id, self._epoch):
            raise _superseded()
        refused = set()
        for _ in range(_MAX_SUCCESSOR_ATTEMPTS):
            if self._successor is None:
                self._successor = self._registry.choose_successor(
                    self._request_id, refused
                )
                self._acknowledged = 0
            if self._successor is None:
                return False
            if self._push_to(self._successor, events, done):
                return True
            refused.add(self._successor)
            self._successor = None
        return False

    def _push_to(self, host_id, events, done):
        for _ in range(2):
            message = _Append(
                customer=self._customer,
                request_id=self._request_id,
                epoch=self._epoch,
                holder=self._registry.host_id,
                first=self._acknowledged,
                events=events[self._acknowledged :],
                done=done,
            )
            reply = self._registry.send_append(host_id, message)
            if reply is None:
                return False
            if not reply.accepted:
                raise _superseded()
            self._acknowledged = reply.size
            if done or reply.size == len(events):
                return True
        return False


def _superseded():
    return errors.RequestError(
        errors.Code.HANDED_OVER,
        "another host has taken the request over",
        errors.Ran.UNKNOWN,
    )


def _score(host_id, request_id):
    return xxhash.xxh64_intdigest(f"{host_id} {request_id}".encode())


class StreamRegistry:
    """The streams that this host runs and the copies that it stores for others.

    Parameters
    ----------
    peers : peridothitch.ports.peers.Peers
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, peers, clock, metrics):
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._log_by_id = {}
        self._run_by_id = {}
        self._committer_by_host_id = {}
        self._adopt = None
        self.host_id = peers.host_id
        peers.register(_APPEND, self._handle_append)
        peers.register(_FENCE, self._handle_fence)
        peers.register(_ADOPT, self._handle_adopt)

    def on_adopt(self, adopt):
        """Call ``adopt(customer, request_id)`` when a host hands a stream over."""
        self._adopt = adopt

    # Methods of the host that runs a stream

    def register(self, request_id, run):
        """Register a run; it needs ``epoch``, ``events`` and ``stop()``."""
        with self._lock:
            self._run_by_id[request_id] = run

    def unregister(self, request_id, run):
        """Remove a run that ended."""
        with self._lock:
            if self._run_by_id.get(request_id) is run:
                del self._run_by_id[request_id]

    def running(self):
        """Return the runs of this host by request id."""
        with self._lock:
            return dict(self._run_by_id)

    def is_fenced(self, request_id, epoch):
        """Return whether this host has recorded a higher epoch of a stream."""
        with self._lock:
            log = self._log_by_id.get(request_id)
            return log is not None and log.epoch > epoch

    def choose_successor(self, request_id, refused=()):
        """Return the preferred successor for a stream, or None."""
        ranked = [name for name in self._rank(request_id) if name not in refused]
        return ranked[0] if ranked else None

    def _rank(self, request_id):
        """Return the other hosts, those of other data centres first."""
        members = self._peers.members()
        own = members.get(self.host_id)
        own_data_centre = own.data_centre if own is not None else ""
        return sorted(
            (name for name in members if name != self.host_id),
            key=lambda name: (
                members[name].data_centre == own_data_centre,
                -_score(name, request_id),
            ),
        )

    def _candidates(self, request_id):
        """Return the hosts that may have a copy, wherever the stream ran."""
        members = self._peers.members()
        names_by_data_centre = {}
        for name in sorted(members, key=lambda name: -_score(name, request_id)):
            names = names_by_data_centre.setdefault(members[name].data_centre, [])
            names.append(name)
        return [
            name
            for names in names_by_data_centre.values()
            for name in names[:_HOSTS_QUERIED_PER_DATA_CENTRE]
        ]

    def send_append(self, host_id, message):
        """Send an append; returns its reply, or None when the host can't be reached."""
        with self._lock:
            committer = self._committer_by_host_id.get(host_id)
            if committer is None:
                committer = group_commit.GroupCommitter(
                    lambda messages: self._send_all(host_id, messages),
                    self._clock,
                    _APPEND_WINDOW,
                )
                self._committer_by_host_id[host_id] = committer
        return committer.submit(message)

    def _send_all(self, host_id, messages):
        payload = msgspec.msgpack.encode(messages)
        try:
            reply = self._peers.call(host_id, _APPEND, payload, _CALL_TIMEOUT)
            return msgspec.msgpack.decode(reply, type=list[_AppendReply])
        except (errors.PeerError, msgspec.DecodeError):
            self._metrics.count("stream_copy_failures")
            return [None] * len(messages)

    def hand_over(self, customer, request_id):
        """Ask a successor to resume a stream; returns whether one accepted."""
        payload = msgspec.msgpack.encode(
            _Adopt(customer=customer, request_id=request_id)
        )
        for host_id in self._rank(request_id)[:_MAX_SUCCESSOR_ATTEMPTS]:
            try:
                self._peers.call(host_id, _ADOPT, payload, _CALL_TIMEOUT)
            except errors.PeerError:
                continue
            return True
        return False

    # Methods of the host that takes a stream over

    def fence(self, customer, request_id, epoch, holder):
        """Stop older epochs of a stream and return the longest copy found.

        Parameters
        ----------
        customer, request_id : str
        epoch : int
            Epoch of the claim that this host holds now.
        holder : str
            Host that ran the stream before.

        Returns
        -------
        list of bytes
        """
        message = _Fence(
            customer=customer,
            request_id=request_id,
            epoch=epoch,
            holder=self.host_id,
        )
        payload = msgspec.msgpack.encode(message)
        longest = msgspec.msgpack.decode(
            self._handle_fence(payload), type=_FenceReply
        ).events
        queried = {holder, *self._candidates(request_id)} - {self.host_id}
        for host_id in sorted(queried):
            events = self._ask_fence(host_id, payload)
            longest = max(longest, events, key=len)
        return longest

    def _ask_fence(self, host_id, payload):
        try:
            reply = self._peers.call(host_id, _FENCE, payload, _CALL_TIMEOUT)
            return msgspec.msgpack.decode(reply, type=_FenceReply).events
        except (errors.PeerError, msgspec.DecodeError):
            return []

    def orphans(self):
        """Return customer and request id of copies whose holder has left the fleet."""
        members = self._peers.members()
        oldest = self._clock.monotonic() - _COPY_RETENTION
        with self._lock:
            old = [
                name for name, log in self._log_by_id.items() if log.updated_at < oldest
            ]
            for request_id in old:
                del self._log_by_id[request_id]
            return [
                (log.customer, request_id)
                for request_id, log in self._log_by_id.items()
                if log.holder not in members and not log.done
            ]

    def discard_copy(self, request_id):
        """Discard the copy of a stream that is done."""
        with self._lock:
            log = self._log_by_id.get(request_id)
            if log is not None:
                log.done, log.events = True, []

    # Handlers of calls from other hosts

    def _handle_append(self, payload):
        messages = msgspec.msgpack.decode(payload, type=list[_Append])
        return msgspec.msgpack.encode([self._append(message) for message in messages])

    def _append(self, message):
        with self._lock:
            log = self._log_by_id.get(message.request_id)
            if log is not None and log.epoch > message.epoch:
                return _AppendReply(False, len(log.events))
            if log is None or log.epoch < message.epoch:
                log = _StreamLog(message.customer, message.epoch, message.holder, None)
                self._log_by_id[message.request_id] = log
            log.updated_at = self._clock.monotonic()
            log.holder = message.holder
            if message.done:
                # The epoch is retained, so that replaced hosts are still refused.
                log.done, log.events = True, []
                return _AppendReply(True, message.first + len(message.events))
            if message.first <= len(log.events):
                log.events[message.first :] = message.events
            return _AppendReply(True, len(log.events))

    def _handle_fence(self, payload):
        message = msgspec.msgpack.decode(payload, type=_Fence)
        with self._lock:
            run = self._run_by_id.get(message.request_id)
            log = self._log_by_id.get(message.request_id)
            if log is None:
                log = _StreamLog(message.customer, message.epoch, message.holder, None)
                self._log_by_id[message.request_id] = log
            events = list(log.events)
            if message.epoch >= log.epoch:
                log.epoch, log.holder = message.epoch, message.holder
            log.updated_at = self._clock.monotonic()
        if run is not None and run.epoch < message.epoch:
            run.stop()
            events = max(events, list(run.events), key=len)
        return msgspec.msgpack.encode(_FenceReply(events))

    def _handle_adopt(self, payload):
        message = msgspec.msgpack.decode(payload, type=_Adopt)
        if self._adopt is None:
            raise errors.PeerError("this host adopts no streams", sent=True)
        self._adopt(message.customer, message.request_id)
        return b""
