"""What must hold after a soak, from what callers and upstreams saw."""

import collections

from soak import callers, environment, fault_plan

__all__ = ["check"]

_PROMISES = (408, 421, 429, 503)
_EVENTS = 6
_SIGNATURE = "peridothitch-response-signature"
_SETTLE_SECONDS = 4.0
"""Hosts in touch with everything for that long keep the promises with a bound."""

_PLANNED_SECONDS = 9.0
"""A stop takes at most the grace of its process, and a second."""

_UNPLANNED = frozenset(fault_plan.Kind) - {
    fault_plan.Kind.HOST_STOPPED,
    fault_plan.Kind.SETTINGS_CHANGED,
    fault_plan.Kind.RULES_CHANGED,
    fault_plan.Kind.BURST,
}
_DELIVERY_FAULTS = frozenset(
    {
        fault_plan.Kind.HOST_PAUSED,
        fault_plan.Kind.HOST_KILLED,
        fault_plan.Kind.ALL_KILLED,
        fault_plan.Kind.STORE_LINK,
        fault_plan.Kind.STORE_FAULT,
        fault_plan.Kind.UPSTREAM_LINK,
    }
)


def check(found, attempts, struck, timed=True):
    """Return the promises that were broken, a sentence each.

    Parameters
    ----------
    found : soak.environment.SoakEnvironment
    attempts : list of soak.callers.Attempt
    struck : list of (float, float, soak.fault_plan.Fault)
        Begin and end of each fault in monotonic seconds.
    timed : bool
        Whether promises with a time are checked.

    Returns
    -------
    list of str
    """
    runs = collections.Counter()
    for replica in found.replicas:
        runs.update(replica.executed_request_ids)
    by_id = {attempt.request_id: attempt for attempt in attempts}
    misbehaved = set().union(
        *(replica.faulty_request_ids for replica in found.replicas)
    )
    broken = []
    for attempt in attempts:
        broken += _check_attempt(attempt, runs[attempt.request_id])
        if timed and attempt.request_id not in misbehaved:
            broken += _check_planned(attempt, runs[attempt.request_id], struck)
    broken += [f"UNASKED {name} ran" for name in runs if not _is_known(name, by_id)]
    broken += _check_received(found, by_id)
    if timed:
        broken += _check_leaving(found, struck)
    broken += [
        f"ONE window {w} has two counts" for w in found.duties.conflicting_windows
    ]
    broken += [
        f"ONE fence {n} has two holders" for n in found.duties.reused_fencing_numbers
    ]
    return broken


def _is_known(request_id, by_id):
    return request_id in by_id or request_id.startswith("probe-")


def _check_attempt(attempt, runs):
    route = callers.ROUTE_BY_NAME[attempt.route]
    name = f"{attempt.request_id} ({attempt.route}, {attempt.host})"
    if runs > (2 if route.repeatable else 1):
        yield f"TWICE {name} ran {runs} times"
    if attempt.status in _PROMISES and not route.repeatable and runs:
        yield f"REFUSED {name} got {attempt.status} and ran"
    if attempt.status in (400, 401, 404, 413, 431):
        yield f"DENIED {name} got {attempt.status}"
    if attempt.status == 200:
        yield from _check_success(attempt, route, name, runs)
    elif _SIGNATURE in attempt.fields and attempt.status != 500:
        yield f"MIXED {name} got {attempt.status} with a signature"


def _check_success(attempt, route, name, runs):
    if _SIGNATURE not in attempt.fields:
        yield f"MIXED {name} got a success without signature"
    if not runs:
        yield f"MIXED {name} got a success and never ran"
    if route.streamed:
        numbers = _event_numbers(attempt.body)
        expected = list(range(1, _EVENTS + 1))
        if attempt.complete and numbers != expected:
            yield f"ORDER {name} got events {numbers}"
        if numbers != expected[: len(numbers)]:
            yield f"ORDER {name} got events {numbers}"
        return
    if attempt.complete and not attempt.body.endswith(f" of {attempt.path}\n".encode()):
        yield f"MIXED {name} got {attempt.body[:80]!r}"


def _event_numbers(body):
    lines = body.decode("latin-1").split("\n")
    whole = lines[:-1] if not body.endswith(b"\n") else lines
    return [int(line[4:]) for line in whole if line.startswith("id: ")]


def _check_planned(attempt, runs, struck):
    """Check that a stop, a reload and a change of the rules cut nothing off."""
    if attempt.complete or attempt.left or not runs:
        return
    around = [
        fault
        for begin, end, fault in struck
        if begin <= attempt.ended and end >= attempt.began - _SETTLE_SECONDS
    ]
    if any(fault.kind in _UNPLANNED for fault in around):
        return
    if attempt.ended - attempt.began >= callers.DEADLINE_SECONDS * 0.7:
        return
    kinds = sorted({fault.kind.value for fault in around})
    yield f"LOST {attempt.request_id} at {attempt.host} after {kinds}"


def _check_received(found, by_id):
    for replica in found.replicas:
        for request in replica.received:
            request_id = request.value("Peridothitch-Attempt-Id")
            if request_id not in by_id:
                continue
            if request.target != by_id[request_id].path:
                yield f"UNASKED {request_id} arrived as {request.target}"
            if request.value("X-Api-Key"):
                yield f"UNASKED {request_id} arrived with its key"
            if request.value("Peridothitch-Tenant") != environment.CUSTOMER:
                yield f"UNASKED {request_id} arrived for another customer"
            left = int(request.value("Peridothitch-Deadline-Ms") or 1 << 30)
            if left > callers.DEADLINE_SECONDS * 1000:
                yield f"BUDGET {request_id} arrived with {left} ms"


def _check_leaving(found, struck):
    for leaving in found.leaving:
        latest = leaving.since + environment.DRAIN_SECONDS
        late = [r for r in leaving.replica.received if r.at > latest]
        for request in late:
            if not _is_disturbed(struck, leaving.since, request.received_at):
                name = request.value("Peridothitch-Attempt-Id")
                yield f"DRAIN {name} reached {leaving.replica.replica_id}"


def _is_disturbed(struck, begin, end):
    return any(
        fault.kind in _DELIVERY_FAULTS
        and first <= end
        and last + _SETTLE_SECONDS >= begin
        for first, last, fault in struck
    )
