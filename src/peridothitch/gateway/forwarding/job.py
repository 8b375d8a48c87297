"""One request that is forwarded from its caller to an upstream."""

import dataclasses
import datetime
import hashlib

from peridothitch.policy import placement
from peridothitch.ports import forwarding, raw

__all__ = ["Job", "request_digest", "deadline_of"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """A request with its route, customer and deadline.

    Attributes
    ----------
    request : peridothitch.ports.raw.RawRequest
    metadata : peridothitch.ports.forwarding.RequestMetadata
    route : peridothitch.ports.forwarding.Route
    service : str
        The service drawn from the route's shares.
    customer : peridothitch.ports.forwarding.Customer or None
    table_version : int
        Version of the routing table that applies to it.
    deadline : datetime.timedelta
        Monotonic time at which its caller stops waiting or the route's timeout ends,
        whichever is first.
    need : peridothitch.policy.placement.RequestNeed
        Work by which the upstream is chosen.
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
        """0 is served first; the customer's priority overrides the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def shared_parts(self):
        """Ids of the prompt's parts without the last, which is the request's own."""
        return tuple(part_id for part_id, _ in self.metadata.prompt_parts[:-1])

    @property
    def may_repeat(self):
        """Whether the request may run more than once."""
        return self.route.retry_policy is not forwarding.RetryPolicy.NEVER


def deadline_of(route, metadata, arrived):
    """Return the monotonic time by which a request must have ended."""
    time_allowed = route.timeout
    if metadata.deadline is not None:
        time_allowed = min(time_allowed, metadata.deadline)
    return arrived + time_allowed


def request_digest(route, customer_name, request):
    """Return the digest by which a repeated request is recognized."""
    hasher = hashlib.blake2b(digest_size=12)
    for part in (route.name, customer_name, request.method, request.target):
        hasher.update(part.encode("latin-1", "replace") + b"\0")
    hasher.update(request.body)
    return hasher.hexdigest()
