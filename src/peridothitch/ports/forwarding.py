"""What is forwarded, to which services and on whose behalf.

A `RoutingTable` is one version of the operators' rules for requests that pass
unchanged. A `HeaderCodec` reads and writes the headers by which callers, entry hosts
and upstreams tell each other about a request.
"""

import abc
import dataclasses
import datetime
import enum

__all__ = [
    "ResponseMetadata",
    "CallerLimits",
    "Customer",
    "HeaderCodec",
    "Load",
    "OutboundMetadata",
    "Quota",
    "RetryPolicy",
    "RequestMetadata",
    "Route",
    "Scaling",
    "Service",
    "Share",
    "RoutingTable",
]

_SECOND = datetime.timedelta(seconds=1)


class RetryPolicy(enum.Enum):
    """What may be done again after a request may have run."""

    NEVER = "never"
    SAFE = "safe"
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True)
class Share:
    """Part of a route's requests that goes to one service.

    Attributes
    ----------
    service : str
    weight : float
        Relative to the other shares of the route.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Requests of one host name below one path prefix.

    Attributes
    ----------
    name : str
    host : str
        Host name without a port, in lower case.
    prefix : str
        Begins and ends with a slash.
    shares : tuple of Share
        At least one.
    repeat : Repeat
    streamed : bool
        Whether answers are streams of events.
    timeout : datetime.timedelta
        Longest time to the end of the answer.
    objective : datetime.timedelta
        Time to the answer, or to a stream's first event, that callers are promised.
    attempts : int
        Most upstreams that may run one request.
    priority : int
        0 goes first.
    anonymous : bool
        Whether callers need no key.
    caches_prompts : bool
        Whether upstreams keep the prompts that they have read.
    """

    name: str
    host: str
    prefix: str
    shares: tuple
    retry_policy: RetryPolicy = RetryPolicy.NEVER
    streamed: bool = False
    timeout: datetime.timedelta = 30 * _SECOND
    latency_objective: datetime.timedelta = _SECOND
    attempts: int = 1
    priority: int = 1
    anonymous: bool = False
    caches_prompts: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scaling:
    """Bounds and prices of the hosts that may be ordered for a service.

    Attributes
    ----------
    least, most : int
        Hosts in one data centre, of both kinds together.
    start_time : datetime.timedelta
        From an order until the host serves.
    reclaimable_price : float or None
        Price of a reclaimable host relative to another; None where none are offered.
    price_by_data_centre : dict of str to float
    """

    minimum: int
    maximum: int
    start_time: datetime.timedelta
    reclaimable_price: float | None = None
    price_by_data_centre: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service that requests are forwarded to.

    Attributes
    ----------
    name : str
    scaling : Scaling or None
        None where no hosts can be ordered.
    """

    name: str
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Quota:
    """What a customer may use over all entry hosts.

    Attributes
    ----------
    rate : float
        Units a second.
    burst : float
        Units that may be used at once after a pause.
    counts_tokens : bool
        Whether a unit is a token; otherwise it is a request.
    default_tokens : float
        Tokens of a request that doesn't declare them.
    """

    rate: float
    burst: float
    counts_tokens: bool = False
    default_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Customer:
    """A customer whose requests are forwarded.

    Attributes
    ----------
    name : str
    priority : int or None
        Goes before the route's priority.
    quota : Quota or None
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take.

    Attributes
    ----------
    header_bytes, body_bytes : int
    header_timeout : datetime.timedelta
        From a request's first byte to the end of its head.
    idle_timeout : datetime.timedelta
        Longest pause on a connection.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout: datetime.timedelta = 10 * _SECOND
    idle_timeout: datetime.timedelta = 60 * _SECOND


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingTable:
    """One version of the rules.

    Attributes
    ----------
    version : int
        The operators' number; grows with each change.
    routes : tuple of Route
    service_by_name : dict of str to Service
    customer_by_key : dict of str to Customer
        Empty where callers need no keys.
    limits : CallerLimits
    """

    version: int
    routes: tuple = ()
    service_by_name: dict = dataclasses.field(default_factory=dict)
    customer_by_key: dict = dataclasses.field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """What a caller's headers tell about its request.

    Attributes
    ----------
    request_id : str
        Empty if the caller sent none.
    key : str
        The customer's key, empty if none was sent.
    deadline : datetime.timedelta or None
        How long the caller waits.
    prompt_tokens, output_tokens : int
        Size of the prompt and bound on the answer; 0 if not declared.
    prompt_parts : tuple of (str, int)
        Ids and tokens of the prompt's parts in order; requests share leading parts.
    expected_tokens : int
        The caller's estimate of the answer's length; 0 if not declared.
    last_event_id : str
        Event after which a stream goes on; empty for a new one.
    """

    request_id: str = ""
    key: str = ""
    deadline: datetime.timedelta | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple = ()
    expected_tokens: int = 0
    last_event_id: str = ""

    @property
    def tokens(self):
        """Tokens that a quota counts; 0 if not declared."""
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True)
class Load:
    """Load of an upstream host as it tells itself.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in progress, requests queued, and how many can be in progress.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """What an upstream's headers tell about its answer.

    Attributes
    ----------
    request_id : str
        The request that is answered.
    signed : bool
        Whether the upstream stands for the answer.
    not_executed : bool
        Whether the upstream states that it did not run the request.
    host_id : str
        The upstream, where it tells.
    load : Load or None
    """

    request_id: str = ""
    signed: bool = False
    not_executed: bool = False
    host_id: str = ""
    load: Load | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutboundMetadata:
    """What an entry host adds to a request for one upstream.

    Attributes
    ----------
    host_id : str
        The upstream that is meant; another one at its address refuses.
    customer : str
        Empty for anonymous requests.
    time_left : datetime.timedelta
        How long the upstream may work.
    urgency : int or None
        0 to 9, 0 first; None where upstreams know no order.
    last_event_id : str
        Event after which a stream goes on.
    """

    host_id: str
    customer: str
    time_left: datetime.timedelta
    urgency: int | None = None
    last_event_id: str = ""


class HeaderCodec(abc.ABC):
    """Reads and writes the headers of requests and answers.

    Headers are tuples of name and value as they were sent.
    """

    @abc.abstractmethod
    def read_request(self, fields):
        """Return the `RequestMetadata` of a caller's headers.

        Raises
        ------
        peridothitch.errors.RequestError
            A header is malformed.
        """

    @abc.abstractmethod
    def read_response(self, fields):
        """Return the `ResponseMetadata` of an upstream's headers."""

    @abc.abstractmethod
    def to_upstream(self, fields, outbound):
        """Return a caller's end-to-end headers with what `outbound` adds."""

    @abc.abstractmethod
    def to_caller(self, fields):
        """Return an upstream's end-to-end headers as the caller gets them."""

    @abc.abstractmethod
    def without_signature(self, fields):
        """Return an upstream's headers without what vouches for the answer."""
