"""One request on its way from its caller to an upstream."""

import dataclasses
import datetime
import hashlib

from peridothitch.policy import placement
from peridothitch.ports import forwarding, raw

__all__ = ["Job", "request_digest", "deadline_of"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """A request that was admitted.

    Attributes
    ----------
    request : peridothitch.ports.raw.RawRequest
    marks : peridothitch.ports.forwarding.RequestMetadata
    route : peridothitch.ports.forwarding.Route
    service : str
        The service drawn for it.
    customer : peridothitch.ports.forwarding.Customer or None
    table_version : int
        Version of the rules that it was admitted by.
    deadline : datetime.timedelta
        Monotonic time at which its caller stops waiting or the route's time is up.
    need : peridothitch.policy.placement.RequestNeed
    digest : str
        Equal for requests with the same route, customer and content.
    """

    request: raw.RawRequest
    metadata: forwarding.RequestMetadata
    route: forwarding.Route
    service: str
    customer: forwarding.Customer | None
    table_version: int
    deadline: datetime.timedelta
    need: placement.RequestNeed
    digest: str

    @property
    def request_id(self):
        """The caller's id of the request."""
        return self.metadata.request_id

    @property
    def customer_name(self):
        """Name of the customer, empty for anonymous requests."""
        return self.customer.name if self.customer is not None else ""

    @property
    def priority(self):
        """0 goes first; the customer's priority goes before the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def may_repeat(self):
        """Whether the request may run more than once."""
        return self.route.retry_policy is not forwarding.RetryPolicy.NEVER


def deadline_of(route, metadata, arrived):
    """Return the monotonic time until which a request may take."""
    allowed = route.timeout
    if metadata.deadline is not None:
        allowed = min(allowed, metadata.deadline)
    return arrived + allowed


def request_digest(route, customer_name, request):
    """Return the digest by which a request that comes again is recognized."""
    found = hashlib.blake2b(digest_size=12)
    for part in (route.name, customer_name, request.method, request.target):
        found.update(part.encode("latin-1", "replace") + b"\0")
    found.update(request.body)
    return found.hexdigest()
