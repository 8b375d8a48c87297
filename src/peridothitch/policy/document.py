"""The operators' document: sections of routes, customers, versions, limits and moves.

The classes hold a parsed document. Reading YAML and checking it against the schema is
the work of `peridothitch.adapters.yaml_codec`.
"""

import dataclasses
import datetime
import decimal
import enum

from peridothitch.policy import document_checks

__all__ = [
    "Customer",
    "Document",
    "Effect",
    "HostLimit",
    "Move",
    "Priority",
    "Protocol",
    "Route",
    "Service",
    "SpendingLimit",
    "Version",
    "check_references",
]

_SECOND = datetime.timedelta(seconds=1)


class Protocol(enum.Enum):
    """How an upstream is spoken to."""

    CHAT = "chat"
    PLAIN = "plain"


class Effect(enum.Enum):
    """What repeating a request does.

    IDEMPOTENT requests may run again; ONCE requests run at most once; DURABLE requests
    are completed after they were accepted, whatever happens to their upstream.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    DURABLE = "durable"


class Priority(enum.IntEnum):
    """Order of admission under overload; lower numbers go first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Requests of one method and path.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Exact path, or a prefix when it ends in ``/*``.
    service : str
        Service that answers.
    effect : Effect
        What repeating a request does.
    priority : Priority
        Order of admission: 0 urgent, 1 normal, 2 batch.
    timeout : datetime.timedelta
        Longest time to the end of the answer, as ISO 8601 duration.
    first_byte_timeout : datetime.timedelta
        Longest wait for the first byte of the answer.
    gap_timeout : datetime.timedelta
        Longest gap between two parts of the answer.
    attempts : int
        Most upstreams tried for one request.
    max_tokens : int
        Most tokens of a chat answer when the caller sets no bound.
    """

    method: str
    path: str
    service: str
    effect: Effect = Effect.IDEMPOTENT
    priority: Priority = Priority.NORMAL
    timeout: datetime.timedelta = 60 * _SECOND
    first_byte_timeout: datetime.timedelta = 10 * _SECOND
    gap_timeout: datetime.timedelta = 5 * _SECOND
    attempts: int = 3
    max_tokens: int = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Customer:
    """One customer of the platform.

    Attributes
    ----------
    key_sha256 : list of str
        SHA-256 digests, in hex, of the keys that the customer may present.
    weight : int
        Share of tokens under overload, relative to other customers.
    """

    key_sha256: list[str]
    weight: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Version:
    """One version of a service.

    Attributes
    ----------
    weights : str
        Name of the weights in the weight store, empty for plain services.
    adapters : list of str
        Adapters that a host of this version can serve.
    """

    weights: str = ""
    adapters: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """The versions of one service.

    Attributes
    ----------
    protocol : Protocol
        How its upstreams are spoken to.
    current : str
        Version that serves unless a move is under way.
    versions : dict of str to Version
        Known versions by name.
    refuses_before_running : bool
        Whether its hosts answer 429 and 503 only to requests that they did not run.
        Model engines always do.
    """

    protocol: Protocol
    current: str
    versions: dict[str, Version]
    refuses_before_running: bool = False

    @property
    def refusal_means_not_run(self):
        """Whether a refused request certainly did not run."""
        return self.protocol is Protocol.CHAT or self.refuses_before_running


@dataclasses.dataclass(frozen=True, kw_only=True)
class SpendingLimit:
    """Most that one customer may spend in a period.

    Attributes
    ----------
    customer : str
        Customer that the limit is for.
    amount : decimal.Decimal
        Most to be spent, in the deployment's currency.
    period : datetime.timedelta
        Length of a period; periods start at the Unix epoch's multiples.
    price_per_1000_tokens : decimal.Decimal
        Price of generated and prompt tokens.
    price_per_request : decimal.Decimal
        Price of one request besides its tokens.
    """

    customer: str
    amount: decimal.Decimal
    period: datetime.timedelta = datetime.timedelta(days=1)
    price_per_1000_tokens: decimal.Decimal = decimal.Decimal("0.002")
    price_per_request: decimal.Decimal = decimal.Decimal(0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostLimit:
    """Bounds on the hosts that are started for one service.

    Attributes
    ----------
    service : str
        Service that the hosts run.
    streams_per_host : float
        Streams that a host carries within the latency target.
    least_hosts, most_hosts : int
        Fewest and most hosts at the same time.
    most_cost_per_hour : float
        Most that the hosts may cost in an hour, in the deployment's currency.
    on_demand_share : float
        Share of the needed hosts that the platform can't take back.
    lead : datetime.timedelta
        Time from the order of a host until it serves.
    """

    service: str
    streams_per_host: float = 60.0
    least_hosts: int = 2
    most_hosts: int = 100
    most_cost_per_hour: float = 1e9
    on_demand_share: float = 0.16
    lead: datetime.timedelta = datetime.timedelta(minutes=4)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """Move of a service's traffic from its current version to another one.

    Attributes
    ----------
    service : str
        Service whose traffic moves.
    to_version : str
        Version that traffic moves to.
    start : datetime.datetime
        When the move may start.
    finish_by : datetime.datetime
        When the move has to be finished or taken back.
    max_exposed_share : float
        Largest share of the service's requests on the new version before it is proved.
    """

    service: str
    to_version: str
    start: datetime.datetime
    finish_by: datetime.datetime
    max_exposed_share: float = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class Document:
    """A whole document at one revision.

    Attributes
    ----------
    revision : int
        Counts the accepted edits; 0 for a document that was not stored.
    owner_by_section : dict of str to str
        SHA-256 digest, in hex, of the key that may edit a section.
    """

    revision: int = 0
    owner_by_section: dict = dataclasses.field(default_factory=dict)
    route_by_name: dict = dataclasses.field(default_factory=dict)
    customer_by_name: dict = dataclasses.field(default_factory=dict)
    service_by_name: dict = dataclasses.field(default_factory=dict)
    limit_by_name: dict = dataclasses.field(default_factory=dict)
    move_by_name: dict = dataclasses.field(default_factory=dict)
    host_limit_by_name: dict = dataclasses.field(default_factory=dict)


def check_references(document):
    """Check that names used in one section are defined in another.

    Parameters
    ----------
    document : Document

    Raises
    ------
    peridothitch.errors.DocumentError
        With the path of the first undefined name.
    """
    for fault in document_checks.find_reference_faults(document):
        raise fault
