"""A caller's request after it was checked."""

import dataclasses
import datetime

from peridothitch.policy import document as documents
from peridothitch.policy import resumption, route_table
from peridothitch.ports import messages

__all__ = ["Job"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """A checked request.

    Attributes
    ----------
    request : peridothitch.ports.messages.Request
    document : peridothitch.policy.document.Document
        The document that the request was checked against.
    match : peridothitch.policy.route_table.RouteMatch
    customer : str
        Name of the customer.
    request_id : str
        Identifies the request in the whole system.
    key : str
        Idempotency key, the caller's or a generated one.
    deadline : datetime.timedelta
        Monotonic time by which the answer has to end.
    digest : str
        Digest of method, path and body.
    chat : dict or None
        Parsed body of a chat request.
    resume : peridothitch.policy.resumption.ResumePoint or None
        Position in the answer from which the next attempt resumes.
    last_event_id : int
        Number of the last event that the caller received; -1 for none.
    """

    request: messages.Request
    document: documents.Document
    match: route_table.RouteMatch
    customer: str
    request_id: str
    key: str
    deadline: datetime.timedelta
    digest: str = ""
    chat: dict | None = None
    resume: resumption.ResumePoint | None = None
    last_event_id: int = -1

    @property
    def route(self):
        """The request's route."""
        return self.match.route

    @property
    def service(self):
        """The service that answers."""
        return self.document.service_by_name[self.route.service]

    @property
    def streamed(self):
        """Whether the caller wants a stream of events."""
        return self.chat is not None and self.chat.get("stream") is True

    @property
    def max_tokens(self):
        """Largest number of tokens of a chat answer, over all choices."""
        bound = self.chat.get("max_tokens") or self.chat.get("max_completion_tokens")
        tokens = bound or self.route.max_tokens
        return tokens * (self.chat.get("n") or 1)

    def headers(self):
        """Return the headers that every answer carries."""
        return {"x-request-id": self.request_id, "idempotency-key": self.key}
