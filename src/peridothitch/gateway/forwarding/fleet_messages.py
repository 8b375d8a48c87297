"""Messages between entry hosts and the holder of the duties; see `fleet_reports`."""

import msgspec

__all__ = [
    "Answers",
    "FleetView",
    "HostReport",
    "Line",
    "ProcessCounts",
    "ServiceSpeed",
    "statement_fields",
]


class ProcessCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one process, forwarded by another host once it no longer reports."""

    host_id: str
    incarnation: str
    counts_by_window: dict[int, dict[str, int]]


class Answers(msgspec.Struct, frozen=True, array_like=True):
    """Measurements of one service; see `upstream_model.ServiceModel.take_pending`."""

    pieces: tuple[tuple[str, float, float], ...]
    streams: tuple[tuple[float, float], ...]


class Line(msgspec.Struct, frozen=True, array_like=True):
    """A `peridothitch.policy.sampled_line.LineFit` with its age in seconds."""

    intercept: float
    slope: float
    weight: int
    spread: float
    age_seconds: float
    span: float


class ServiceSpeed(msgspec.Struct, frozen=True, array_like=True):
    """A `peridothitch.policy.upstream_speeds.SharedSpeed`."""

    reads: Line | None
    tokens: Line | None
    wait_seconds: float
    mean_speed: float
    deviation_by_host: dict[str, float]


class HostReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one entry host.

    Attributes
    ----------
    host_id, incarnation : str
        The host, and its process, whose counts start at 0.
    counts_by_window : dict of int to dict of str to int
        Requests started, by window and customer, for the last windows.
    demand_by_customer : dict of str to float
        Units of the quotas requested per second.
    share_by_customer : dict of str to float
        Shares of the quotas that this host may use.
    used_by_customer : dict of str to float
        Shares of the quotas that it used in the last window.
    busy_by_service : dict of str to float
        Upstream hosts kept busy by this host's requests.
    settled_seconds : float
        How long the demand of all hosts has been known, according to the last view.
    departed : tuple of ProcessCounts
        Counts of processes that have stopped reporting to this host.
    is_final : bool
        Whether the process is stopping; other hosts then forward its counts.
    size_by_customer : dict of str to float
        Mean units of the quotas that a request requires.
    lenders_digest : int
        Digest of the lenders that this host knows, 0 if it knows none.
    final_counts_by_window : dict of int to dict of str to int
        Counts that this host has reported to the platform as the holder of the duties.
    complete_number : int
        Fencing number under which this process held them last, in an era of the store
        that has ended; 0 if there is none, or if it doesn't know all counts until then.
        Hosts of earlier builds send it in the era, too.
    store_era : int
        Era of the store that this host knows of; hosts of earlier builds tell 0.
    seen_numbers : tuple of int
        Highest fencing number of a holder that it has seen in each of the last eras.
    ended_number, unknown_window : int
        See `peridothitch.gateway.forwarding.final_counts.Statement`.
    answers_by_service : dict of str to Answers
        What this host has measured since its last report, of modelled services.
    """

    host_id: str
    incarnation: str
    counts_by_window: dict[int, dict[str, int]]
    demand_by_customer: dict[str, float]
    share_by_customer: dict[str, float]
    used_by_customer: dict[str, float]
    busy_by_service: dict[str, float]
    settled_seconds: float = 0.0
    departed: tuple[ProcessCounts, ...] = ()
    is_final: bool = False
    size_by_customer: dict[str, float] = {}
    lenders_digest: int = 0
    final_counts_by_window: dict[int, dict[str, int]] = {}
    complete_number: int = 0
    store_era: int = 0
    seen_numbers: tuple[int, ...] = ()
    ended_number: int = 0
    unknown_window: int = 0
    answers_by_service: dict[str, Answers] = {}


def statement_fields(statement):
    """Return the fields of a `HostReport` that tell a `final_counts.Statement`."""
    return {
        "final_counts_by_window": statement.counts_by_window,
        "complete_number": statement.complete_number,
        "store_era": statement.era,
        "seen_numbers": statement.seen_numbers,
        "ended_number": statement.ended_number,
        "unknown_window": statement.unknown_window,
    }


class FleetView(msgspec.Struct, frozen=True, array_like=True):
    """Reply of the holder of the duties to a host's report.

    Attributes
    ----------
    host_count : int
    demand_by_customer : dict of str to float
        Units of the quotas requested per second at all hosts.
    share_by_customer : dict of str to float
        Shares of the quotas that the host may use from now on; 0 for the other
        customers of which it knows lenders.
    age_seconds : float
        How long the demand of all hosts has been known: by the holder, or by a host
        that has reported recently, whichever is longer.
    lenders_by_customer : dict of str to tuple of str, or None
        Hosts to ask for what does not fit into the own share; None if the host that
        reports knows them.
    lenders_digest : int
    speed_by_service : dict of str to ServiceSpeed
        What all hosts have learnt together of modelled services.
    """

    host_count: int
    demand_by_customer: dict[str, float]
    share_by_customer: dict[str, float]
    age_seconds: float
    lenders_by_customer: dict[str, tuple[str, ...]] | None = None
    lenders_digest: int = 0
    speed_by_service: dict[str, ServiceSpeed] = {}
