"""What all entry hosts together have in progress at each upstream.

Entry hosts state their counts to a relay of their data centre, and relays exchange the
sums of these statements. A statement replaces the former one of the same host and
expires when the host falls silent. A sum names the hosts that it contains, with the
number of each one's statement. So no host is counted twice: a relay passes a host's
statement on by itself, outside of its sum, until no other relay's sum can contain an
older one, and whoever adds up leaves out what a sum already contains.

Times are monotonic seconds. Uses are tuples of the requests in progress and the
uncached prompt tokens without a first event.
"""

import dataclasses
import functools
import math

import xxhash

from peridothitch.ports import forwarding

__all__ = [
    "HostStatement",
    "LoadBook",
    "RelaySum",
    "SeenLoad",
    "Totals",
    "UpstreamUse",
    "add_uses",
    "host_key",
    "is_newer",
    "relay_order",
    "relays",
    "subtract_uses",
    "upstream_key",
]

STATEMENT_LIFETIME_SECONDS = 1.5
SUM_LIFETIME_SECONDS = 1.0
_JOIN_SECONDS = 3.0
"""Time of unbroken statements after which a relay's sum contains a host.

Longer than a statement and a sum that contains it live together, so that the sum of the
host's former relay no longer counts.
"""

_SETTLE_SECONDS = 1.0
"""Time in which all hosts of a data centre and all relays call a new relay."""

_HOSTS_PER_RELAY = 32
_DEPUTIES = 2
_MAX_CACHED_KEYS = 8192
_PROCESS_SHIFT = 32


@dataclasses.dataclass(frozen=True)
class UpstreamUse:
    """What the other entry hosts have in progress at one upstream.

    Attributes
    ----------
    in_flight : float
    backlog_tokens : float
        Uncached prompt tokens of requests without a first event.
    load : peridothitch.ports.forwarding.Load or None
        The newest load that another entry host saw.
    age_seconds : float
        Age of the load; infinite without one.
    """

    in_flight: float = 0
    backlog_tokens: float = 0.0
    load: forwarding.Load | None = None
    age_seconds: float = math.inf


@dataclasses.dataclass(frozen=True)
class SeenLoad:
    """A load with the time at which an entry host saw it.

    Attributes
    ----------
    load : peridothitch.ports.forwarding.Load
    seen_at : float
    is_direct : bool
        Whether a host of this relay saw it; loads of other relays aren't passed on.
    """

    load: forwarding.Load
    seen_at: float
    is_direct: bool = True


@dataclasses.dataclass(frozen=True)
class HostStatement:
    """Counts of one entry host.

    Attributes
    ----------
    number : int
        The process in the upper 32 bits, its statements' count in the lower ones.
    use_by_upstream : dict of int to (int, int)
    at : float
        When it was received.
    unbroken_since : float
        Since when no statement of the host went elsewhere.
    """

    number: int
    use_by_upstream: dict
    at: float
    unbroken_since: float


@dataclasses.dataclass(frozen=True)
class RelaySum:
    """Sum of the statements that one relay holds.

    Attributes
    ----------
    number : int
        As in `HostStatement`, of the relay.
    use_by_upstream : dict of int to (int, int)
    number_by_host : dict of int to int
        The hosts that the sum contains.
    separate_by_host : dict of int to HostStatement
        Statements outside of the sum.
    at : float
    """

    number: int
    use_by_upstream: dict
    number_by_host: dict
    separate_by_host: dict
    at: float


@dataclasses.dataclass(frozen=True)
class Totals:
    """Uses over all entry hosts, and which statement of each host they contain."""

    use_by_upstream: dict
    number_by_host: dict


class LoadBook:
    """The statements, sums and loads that one entry host has received."""

    def __init__(self):
        self._statement_by_host = {}
        self._sum_by_relay = {}
        self._seen_by_upstream = {}
        self._relay_since = math.inf

    def state(self, host, number, use_by_upstream, now):
        """Store a host's statement unless a newer one is known.

        Parameters
        ----------
        host : int
            Its key, see `host_key`.
        number : int
        use_by_upstream : dict of int to (int, int)
        now : float
        """
        self._expire(now)
        self._relay_since = min(self._relay_since, now)
        known = self._statement_by_host.get(host)
        if known is not None and not is_newer(number, known.number):
            return
        is_unbroken = known is not None and number == known.number + 1
        since = known.unbroken_since if is_unbroken else now
        self._statement_by_host[host] = HostStatement(
            number, use_by_upstream, now, since
        )

    def merge(self, relay, received):
        """Store the `RelaySum` of another relay unless a newer one is known."""
        known = self._sum_by_relay.get(relay)
        if known is None or is_newer(received.number, known.number):
            self._sum_by_relay[relay] = received

    def record_load(self, upstream, seen):
        """Store a `SeenLoad` unless a newer one is known."""
        known = self._seen_by_upstream.get(upstream)
        if known is None or seen.seen_at > known.seen_at:
            self._seen_by_upstream[upstream] = seen

    def is_relay(self, now):
        """Return whether hosts state their counts to this one."""
        self._expire(now)
        return bool(self._statement_by_host)

    def is_settled(self, now):
        """Return whether this relay has had the time to hear of the others."""
        return now - self._relay_since >= _SETTLE_SECONDS

    def heard_relays(self, now):
        """Return the keys of the relays whose sums count."""
        self._expire(now)
        return frozenset(self._sum_by_relay)

    def sum(self, number, now):
        """Return the `RelaySum` of the statements received here."""
        self._expire(now)
        covered = set()
        for other in self._sum_by_relay.values():
            covered.update(other.number_by_host)
        use_by_upstream, number_by_host, separate_by_host = {}, {}, {}
        for host, statement in self._statement_by_host.items():
            if host in covered or now - statement.unbroken_since < _JOIN_SECONDS:
                separate_by_host[host] = statement
                continue
            add_uses(use_by_upstream, statement.use_by_upstream)
            number_by_host[host] = statement.number
        return RelaySum(number, use_by_upstream, number_by_host, separate_by_host, now)

    def totals(self, now):
        """Return the `Totals` over all hosts known here, each counted once."""
        self._expire(now)
        use_by_upstream, number_by_host = {}, {}
        sums = list(self._sum_by_relay.values())
        for known in sorted(sums, key=lambda known: known.at, reverse=True):
            if not number_by_host.keys().isdisjoint(known.number_by_host):
                continue
            add_uses(use_by_upstream, known.use_by_upstream)
            number_by_host.update(known.number_by_host)
        single_by_host = {}
        for statements in (
            *(known.separate_by_host for known in sums),
            self._statement_by_host,
        ):
            for host, statement in statements.items():
                other = single_by_host.get(host)
                if host not in number_by_host and _supersedes(statement, other):
                    single_by_host[host] = statement
        for host, statement in single_by_host.items():
            add_uses(use_by_upstream, statement.use_by_upstream)
            number_by_host[host] = statement.number
        return Totals(use_by_upstream, number_by_host)

    def loads(self, now, max_age, only_direct=False):
        """Return the `SeenLoad` of each upstream that is not older than an age."""
        return {
            upstream: seen
            for upstream, seen in self._seen_by_upstream.items()
            if now - seen.seen_at <= max_age and (seen.is_direct or not only_direct)
        }

    def _expire(self, now):
        _drop_old(self._statement_by_host, now - STATEMENT_LIFETIME_SECONDS)
        if not self._statement_by_host:
            self._relay_since = math.inf
        _drop_old(self._sum_by_relay, now - SUM_LIFETIME_SECONDS)
        oldest = now - STATEMENT_LIFETIME_SECONDS
        seen_by_upstream = self._seen_by_upstream
        for upstream in [u for u, s in seen_by_upstream.items() if s.seen_at < oldest]:
            del seen_by_upstream[upstream]


def _drop_old(known_by_key, oldest):
    for key in [key for key, known in known_by_key.items() if known.at < oldest]:
        del known_by_key[key]


def _supersedes(statement, other):
    if other is None:
        return True
    if statement.number >> _PROCESS_SHIFT == other.number >> _PROCESS_SHIFT:
        return statement.number > other.number
    return statement.at > other.at


def is_newer(number, known):
    """Return whether a statement came later; one of another process always does."""
    return number >> _PROCESS_SHIFT != known >> _PROCESS_SHIFT or number > known


def add_uses(use_by_upstream, added):
    """Add uses by upstream to others in place."""
    for upstream, (in_flight, tokens) in added.items():
        known = use_by_upstream.get(upstream, (0, 0))
        use_by_upstream[upstream] = known[0] + in_flight, known[1] + tokens


def subtract_uses(use_by_upstream, own):
    """Return uses by upstream without a host's own, never below zero."""
    left = dict(use_by_upstream)
    for upstream, (in_flight, tokens) in own.items():
        known = left.get(upstream, (0, 0))
        left[upstream] = max(0, known[0] - in_flight), max(0, known[1] - tokens)
    return left


@functools.lru_cache(maxsize=_MAX_CACHED_KEYS)
def upstream_key(host_id, incarnation):
    """Return the 32-bit key of an upstream in messages."""
    return xxhash.xxh32_intdigest(f"{host_id}/{incarnation}".encode())


@functools.lru_cache(maxsize=_MAX_CACHED_KEYS)
def host_key(host_id):
    """Return the 32-bit key of an entry host in messages."""
    return xxhash.xxh32_intdigest(host_id.encode())


@functools.lru_cache(maxsize=_MAX_CACHED_KEYS)
def _weight(host_id, owner):
    return xxhash.xxh64_intdigest(f"loads/{owner}/{host_id}".encode())


def _ranked(peer_by_id, data_centre):
    """Return the members of a data centre by rendezvous hashing."""
    local = [
        host_id
        for host_id, peer in peer_by_id.items()
        if peer.data_centre == data_centre
    ]
    return sorted(local, key=lambda host_id: _weight(host_id, data_centre))


def _relay_count(host_count):
    return math.ceil(host_count / _HOSTS_PER_RELAY)


def relays(peer_by_id):
    """Return the ids of the relays of all data centres.

    Parameters
    ----------
    peer_by_id : dict of str to peridothitch.ports.peers.Peer
    """
    found = set()
    for data_centre in {peer.data_centre for peer in peer_by_id.values()}:
        ranked = _ranked(peer_by_id, data_centre)
        found.update(ranked[: _relay_count(len(ranked))])
    return found


def relay_order(peer_by_id, host_id):
    """Return the relay that a host states its counts to, and those to try next."""
    peer = peer_by_id.get(host_id)
    if peer is None:
        return [host_id]
    ranked = _ranked(peer_by_id, peer.data_centre)
    count = _relay_count(len(ranked))
    first = sorted(ranked[:count], key=lambda relay: _weight(relay, host_id))
    return first + ranked[count : count + _DEPUTIES]
