"""Routes, services and customers of forwarded requests, and their header metadata.

A `RoutingTable` is one version of the operators' rules for requests that are forwarded
unchanged. A `HeaderCodec` reads and writes the headers in which callers, entry hosts
and upstreams describe a request to each other.
"""

import abc
import dataclasses
import datetime
import enum
import math

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
    """Which retries are allowed after a request may have run."""

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
    retry_policy : RetryPolicy
    streamed : bool
        Whether responses are streams of events.
    timeout : datetime.timedelta
        Maximum time to the end of the response.
    latency_objective : datetime.timedelta
        Guaranteed time to the response, or to a stream's first event.
    attempts : int
        Maximum number of upstreams that may run one request.
    priority : int
        0 is the highest.
    anonymous : bool
        Whether callers need no key.
    caches_prompts : bool
        Whether upstreams cache the prompts that they have processed.
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
    minimum, maximum : int
        Bounds on the hosts in one data centre, of both kinds together.
    start_time : datetime.timedelta
        Time from an order until the host serves requests.
    reclaimable_price : float or None
        Price of a reclaimable host relative to an on-demand one; None where none are
        offered.
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
    """Usage that a customer is allowed, over all entry hosts.

    Attributes
    ----------
    rate : float
        Units per second.
    burst : float
        Units that may be used at once after an idle period.
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
        Overrides the route's priority.
    quota : Quota or None
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on the size and the duration of a caller's requests.

    Attributes
    ----------
    header_bytes, body_bytes : int
    header_timeout : datetime.timedelta
        From a request's first byte to the end of its head.
    idle_timeout : datetime.timedelta
        Maximum idle time of a connection.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout: datetime.timedelta = 10 * _SECOND
    idle_timeout: datetime.timedelta = 60 * _SECOND


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingTable:
    """One version of the forwarding rules.

    Attributes
    ----------
    version : int
        Number assigned by the operators; increases with each change.
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
    """Metadata in the headers of a caller's request.

    Attributes
    ----------
    request_id : str
        Empty if the caller sent none.
    key : str
        The customer's key, empty if none was sent.
    deadline : datetime.timedelta or None
        How long the caller waits for the response.
    prompt_tokens, output_tokens : int
        Size of the prompt and bound on the response; 0 if not declared.
    prompt_parts : tuple of (str, int)
        Ids and token counts of the prompt's parts in order; requests share leading
        parts.
    expected_tokens : int
        The caller's estimate of the response's length; 0 if not declared.
    last_event_id : str
        Event after which a stream resumes; empty for a new one.
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
    """Load of an upstream host as reported by the host.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in progress, requests queued, and how many can be in progress.
    pace : float or None
        How long work takes relative to usual; 1.0 is as usual, None if not told.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """Metadata in the headers of an upstream's response.

    Attributes
    ----------
    request_id : str
        Id of the request that the response belongs to.
    signed : bool
        Whether the response carries the upstream's signature.
    not_executed : bool
        Whether the upstream states that it did not run the request.
    host_id : str
        Id of the upstream; empty if not declared.
    load : Load or None
    request_limit : float
        Requests a second that the upstream takes from all entry hosts together;
        infinite if it names no limit, NaN if what it names is no such number.
    leaving : bool
        Whether the upstream tells that it leaves.
    retry_after : datetime.timedelta or None
        Time in which an upstream that refuses wants no request from this entry host.
    """

    request_id: str = ""
    signed: bool = False
    not_executed: bool = False
    host_id: str = ""
    load: Load | None = None
    request_limit: float = math.inf
    leaving: bool = False
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutboundMetadata:
    """Metadata that an entry host adds to a request for one upstream.

    Attributes
    ----------
    host_id : str
        Id of the intended upstream; another one at its address refuses the request.
    customer : str
        Empty for anonymous requests.
    time_left : datetime.timedelta
        Time until the deadline of the request.
    urgency : int or None
        0 to 9, 0 is the most urgent; None where upstreams don't order requests.
    last_event_id : str
        Event after which a stream resumes.
    """

    host_id: str
    customer: str
    time_left: datetime.timedelta
    urgency: int | None = None
    last_event_id: str = ""


class HeaderCodec(abc.ABC):
    """Reads and writes the headers of requests and responses.

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
        """Return an upstream's end-to-end headers as the caller receives them."""

    @abc.abstractmethod
    def without_signature(self, fields):
        """Return an upstream's headers without the signature of the response."""
