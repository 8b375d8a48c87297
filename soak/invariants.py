"""Invariants of a soak, checked on the records of callers and upstreams."""

import collections

from soak import callers, environment, fault_plan

__all__ = ["check"]

_NOT_RUN_STATUSES = (408, 421, 429, 503)
_EVENT_COUNT = 6
_SIGNATURE_HEADER = "peridothitch-response-signature"
_SETTLE_SECONDS = 4.0
"""Time-bounded promises hold for hosts with all their links up for this long."""

_PLANNED_SECONDS = 9.0
"""A planned stop takes at most the grace period of the process and one second."""

_DISRUPTIVE_KINDS = frozenset(fault_plan.Kind) - {
    fault_plan.Kind.HOST_STOPPED,
    fault_plan.Kind.SETTINGS_CHANGED,
    fault_plan.Kind.RULES_CHANGED,
    fault_plan.Kind.BURST,
}
_DELIVERY_FAULT_KINDS = frozenset(
    {
        fault_plan.Kind.HOST_PAUSED,
        fault_plan.Kind.HOST_KILLED,
        fault_plan.Kind.ALL_KILLED,
        fault_plan.Kind.STORE_LINK,
        fault_plan.Kind.STORE_FAULT,
        fault_plan.Kind.UPSTREAM_LINK,
    }
)


def check(soak_environment, attempts, fault_intervals, timed=True):
    """Return a sentence for each violation of a promise.

    Parameters
    ----------
    soak_environment : soak.environment.SoakEnvironment
    attempts : list of soak.callers.Attempt
    fault_intervals : list of (float, float, soak.fault_plan.Fault)
        Start and end of each fault in monotonic seconds.
    timed : bool
        Whether time-bounded promises are checked.

    Returns
    -------
    list of str
    """
    run_counts = collections.Counter()
    for replica in soak_environment.replicas:
        run_counts.update(replica.executed_request_ids)
    attempt_by_id = {attempt.request_id: attempt for attempt in attempts}
    misbehaved = set().union(
        *(replica.faulty_request_ids for replica in soak_environment.replicas)
    )
    violations = []
    for attempt in attempts:
        violations += _check_attempt(attempt, run_counts[attempt.request_id])
        if timed and attempt.request_id not in misbehaved:
            violations += _check_planned(
                attempt, run_counts[attempt.request_id], fault_intervals
            )
    violations += [
        f"UNASKED {name} ran"
        for name in run_counts
        if not _is_sent_by_callers(name, attempt_by_id)
    ]
    violations += _check_received(soak_environment, attempt_by_id)
    if timed:
        violations += _check_leaving(soak_environment, fault_intervals)
    violations += [
        f"ONE window {w} has two counts"
        for w in soak_environment.duties.conflicting_windows
    ]
    violations += [
        f"ONE fence {n} has two holders"
        for n in soak_environment.duties.reused_fencing_numbers
    ]
    return violations


def _is_sent_by_callers(request_id, attempt_by_id):
    return request_id in attempt_by_id or request_id.startswith("probe-")


def _check_attempt(attempt, run_counts):
    route = callers.ROUTE_BY_NAME[attempt.route]
    name = f"{attempt.request_id} ({attempt.route}, {attempt.host})"
    if run_counts > (2 if route.repeatable else 1):
        yield f"TWICE {name} ran {run_counts} times"
    if attempt.status in _NOT_RUN_STATUSES and not route.repeatable and run_counts:
        yield f"REFUSED {name} got {attempt.status} and ran"
    if attempt.status in (400, 401, 404, 413, 431):
        yield f"DENIED {name} got {attempt.status}"
    if attempt.status == 200:
        yield from _check_success(attempt, route, name, run_counts)
    elif _SIGNATURE_HEADER in attempt.fields and attempt.status != 500:
        yield f"MIXED {name} got {attempt.status} with a signature"


def _check_success(attempt, route, name, run_counts):
    if _SIGNATURE_HEADER not in attempt.fields:
        yield f"MIXED {name} got a success without a signature"
    if not run_counts:
        yield f"MIXED {name} got a success but never ran"
    if route.streamed:
        event_ids = _event_ids(attempt.body)
        expected_ids = list(range(1, _EVENT_COUNT + 1))
        if attempt.complete and event_ids != expected_ids:
            yield f"ORDER {name} got events {event_ids}"
        if event_ids != expected_ids[: len(event_ids)]:
            yield f"ORDER {name} got events {event_ids}"
        return
    if attempt.complete and not attempt.body.endswith(f" of {attempt.path}\n".encode()):
        yield f"MIXED {name} got {attempt.body[:80]!r}"


def _event_ids(body):
    lines = body.decode("latin-1").split("\n")
    complete_lines = lines[:-1] if not body.endswith(b"\n") else lines
    return [int(line[4:]) for line in complete_lines if line.startswith("id: ")]


def _check_planned(attempt, run_counts, fault_intervals):
    """Check that stops, reloads and rule changes interrupt no response."""
    if attempt.complete or attempt.disconnects or not run_counts:
        return
    nearby_faults = [
        fault
        for begin, end, fault in fault_intervals
        if begin <= attempt.ended and end >= attempt.began - _SETTLE_SECONDS
    ]
    if any(fault.kind in _DISRUPTIVE_KINDS for fault in nearby_faults):
        return
    if attempt.ended - attempt.began >= callers.DEADLINE_SECONDS * 0.7:
        return
    kinds = sorted({fault.kind.value for fault in nearby_faults})
    yield f"LOST {attempt.request_id} at {attempt.host} after {kinds}"


def _check_received(soak_environment, attempt_by_id):
    for replica in soak_environment.replicas:
        for request in replica.received:
            request_id = request.value("Peridothitch-Attempt-Id")
            if request_id not in attempt_by_id:
                continue
            if request.target != attempt_by_id[request_id].path:
                yield f"UNASKED {request_id} arrived as {request.target}"
            if request.value("X-Api-Key"):
                yield f"UNASKED {request_id} arrived with its key"
            if request.value("Peridothitch-Tenant") != environment.CUSTOMER:
                yield f"UNASKED {request_id} arrived for another customer"
            deadline_ms = int(request.value("Peridothitch-Deadline-Ms") or 1 << 30)
            if deadline_ms > callers.DEADLINE_SECONDS * 1000:
                yield f"BUDGET {request_id} arrived with {deadline_ms} ms"


def _check_leaving(soak_environment, fault_intervals):
    for leaving in soak_environment.leaving:
        latest = leaving.since + environment.DRAIN_SECONDS
        late_requests = [r for r in leaving.replica.received if r.received_at > latest]
        for request in late_requests:
            if not _overlaps_delivery_fault(
                fault_intervals, leaving.since, request.received_at
            ):
                name = request.value("Peridothitch-Attempt-Id")
                yield f"DRAIN {name} reached {leaving.replica.replica_id}"


def _overlaps_delivery_fault(fault_intervals, begin, end):
    return any(
        fault.kind in _DELIVERY_FAULT_KINDS
        and first <= end
        and last + _SETTLE_SECONDS >= begin
        for first, last, fault in fault_intervals
    )
