"""Reports answers that an upstream interrupted, so that crashes find their cause."""

import logbook

from peridothitch import errors

__all__ = ["report"]

_MILLISECONDS = 1000
_log = logbook.Logger("forwarding")


def report(deps, job, attempt, error):
    """Report an interrupted answer to the upstream pool and the crash guards.

    Parameters
    ----------
    deps : peridothitch.gateway.forwarding.attempt.AttemptDependencies
    job : peridothitch.gateway.forwarding.job.Job
    attempt : peridothitch.gateway.forwarding.attempt.Attempt
    error : peridothitch.errors.UpstreamError
    """
    host = attempt.host
    if error.code is errors.Code.UPSTREAM_SILENT:
        if deps.transport.has_lost_path(host):
            _log_path_failure(job, host, error)
            return
        attempt.fail(error)
        deps.upstreams.suspend(host, "silent")
        return
    is_down = deps.transport.is_down(host)
    is_path_failure = (
        error.code is errors.Code.PEER_FAILED or deps.transport.has_lost_path(host)
    )
    if is_path_failure and not is_down:
        _log_path_failure(job, host, error)
        return
    attempt.fail(error)
    _log.info(
        "broken off",
        id=job.request_id,
        host_id=host.host_id,
        incarnation=host.incarnation,
        down=is_down,
        events=attempt.event_count,
        shared_parts=" ".join(job.shared_parts),
        run_ms=int(attempt.elapsed_seconds * _MILLISECONDS),
    )
    if not attempt.has_answer:
        deps.part_guard.record_break(host, job.shared_parts, attempt.sent_at, is_down)
    if not is_down:
        deps.upstreams.record_result(host, failed=True)
        return
    deps.upstreams.suspend(host, "down")
    deps.crash_guard.publish_crash(job.digest, f"{host.host_id}/{host.incarnation}")
    if deps.crash_guard.decide_quarantine(job.digest):
        _log.info(
            "request suspended",
            id=job.request_id,
            digest=job.digest,
            crashes=deps.crash_guard.crash_count(job.digest),
        )


def _log_path_failure(job, host, error):
    """Log a failure that says nothing about the upstream, the request or a version."""
    _log.info(
        "path failed", id=job.request_id, host_id=host.host_id, reason=error.detail
    )
