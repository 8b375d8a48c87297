"""Outcomes of attempts at upstreams, and the interface of their observers."""

import abc
import dataclasses
import datetime

from peridothitch import errors

__all__ = ["AttemptObserver", "AttemptOutcome"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptOutcome:
    """Result of one attempt of a request at one upstream host.

    Attributes
    ----------
    request_id : str
        Id of the request, the same for all its attempts.
    service, version, route, customer : str
        Names in the document.
    host_id : str
        Upstream host.
    data_centre : str
        Data centre of the upstream host.
    ended : datetime.datetime
        When the attempt ended.
    first_byte : datetime.timedelta or None
        Time to the response's first byte; None when none was received.
    duration : datetime.timedelta
        Time to the end of the attempt.
    status : int
        HTTP status, 0 when none was received.
    code : peridothitch.errors.Code or None
        Why the attempt failed; None for success.
    ran : peridothitch.errors.Ran
        Whether the upstream executed the request.
    token_count : int
        Tokens received.
    host_leaving : bool
        Whether the upstream was being reclaimed when the attempt ended.
    latency_objective : datetime.timedelta or None
        Time to the first byte within which the answer is on time, None if unknown.
    caused_by_request : bool
        Whether a quarantined request caused the failure, so that it says nothing
        about the version.
    """

    request_id: str
    service: str
    version: str
    route: str
    customer: str
    host_id: str
    data_centre: str
    ended: datetime.datetime
    first_byte: datetime.timedelta | None
    duration: datetime.timedelta
    status: int = 0
    code: errors.Code | None = None
    ran: errors.Ran = errors.Ran.YES
    token_count: int = 0
    host_leaving: bool = False
    latency_objective: datetime.timedelta | None = None
    caused_by_request: bool = False


class AttemptObserver(abc.ABC):
    """Receives outcomes; called on the request's thread, so it must return quickly."""

    @abc.abstractmethod
    def observe(self, outcome):
        """Process one `AttemptOutcome`."""
