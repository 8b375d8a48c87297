"""Requests that run at most once: claimed before they run, recorded afterwards."""

import datetime

from peridothitch import errors
from peridothitch.coordination import claim_records
from peridothitch.ports import messages

__all__ = [
    "AtMostOnceRequests",
    "check_digest",
    "claim_job",
    "in_progress",
    "outcome_unknown",
    "read_answer",
    "replay",
]

_IN_PROGRESS_RETRY_AFTER = datetime.timedelta(seconds=1)
_JSON = "application/json"


class AtMostOnceRequests:
    """Runs requests whose effect must not be repeated.

    Parameters
    ----------
    claim_store : peridothitch.coordination.claims.ClaimStore
    dispatcher : peridothitch.gateway.dispatch.Dispatcher
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, claim_store, dispatcher, metrics):
        self._claims = claim_store
        self._dispatcher = dispatcher
        self._metrics = metrics

    def answer(self, job, span):
        """Run a request, or answer with its recorded outcome.

        Returns
        -------
        peridothitch.ports.messages.Reply
        """
        stored = claim_job(self._claims, job)
        if not stored.owned:
            return self._answer_claimed(job, stored)
        try:
            reply = read_answer(self._dispatcher.search(job, span), job)
        except errors.RequestError as error:
            raise self._settle_failure(stored, error) from None
        self._record(stored, reply)
        return reply

    def _answer_claimed(self, job, stored):
        claim = stored.claim
        check_digest(job, claim)
        if claim.state is claim_records.ClaimState.DONE:
            return replay(job.headers(), claim)
        if self._claims.may_be_running(claim):
            raise in_progress(claim)
        raise outcome_unknown(claim)

    def _record(self, stored, reply):
        content_type = reply.header_by_name.get("content-type", "")
        try:
            self._claims.finish(stored, reply.status, content_type, reply.chunks[0])
        except errors.StoreError:
            self._metrics.count("claim_record_failures")

    def _settle_failure(self, stored, error):
        if error.ran is not errors.Ran.NO:
            return error
        if self._claims.release(stored):
            return error
        self._metrics.count("claim_release_failures")
        return errors.RequestError(
            errors.Code.OUTCOME_UNKNOWN,
            f"the claim could not be released: {error.detail}",
            errors.Ran.UNKNOWN,
        )


def claim_job(claim_store, job, request=None):
    """Claim a job; the request must not run unless the stored claim is owned.

    Parameters
    ----------
    claim_store : peridothitch.coordination.claims.ClaimStore
    job : peridothitch.gateway.jobs.Job
    request : peridothitch.coordination.claim_records.AcceptedRequest or None
        Stored with the claim, so that another host can run a durable request.

    Raises
    ------
    peridothitch.errors.RequestError
        No claim was made; the request did not run.
    """
    lifetime = job.route.timeout
    try:
        return claim_store.claim(
            job.customer, job.request_id, job.digest, lifetime, request
        )
    except errors.StoreError as error:
        raise errors.RequestError(error.code, error.detail) from None


def check_digest(job, claim):
    """Refuse an idempotency key that was used with another request.

    Raises
    ------
    peridothitch.errors.RequestError
        The code is KEY_REUSED.
    """
    if claim.digest != job.digest:
        raise errors.RequestError(errors.Code.KEY_REUSED, "the body differs")


def in_progress(claim):
    """Return the error for a request that the host in its claim may still run."""
    return errors.RequestError(
        errors.Code.REQUEST_IN_PROGRESS,
        f"claimed by {claim.host_id}",
        errors.Ran.UNKNOWN,
        retry_after=_IN_PROGRESS_RETRY_AFTER,
    )


def outcome_unknown(claim):
    """Return the error for a request whose host ended before it recorded an outcome."""
    return errors.RequestError(
        errors.Code.OUTCOME_UNKNOWN,
        f"{claim.host_id} ended while it ran the request",
        errors.Ran.UNKNOWN,
    )


def replay(header_by_name, claim, body=None):
    """Return the recorded answer, marked by the header Idempotent-Replayed.

    Parameters
    ----------
    header_by_name : dict of str to str
    claim : peridothitch.coordination.claim_records.Claim
    body : bytes or None
        Sent instead of the recorded body.
    """
    header_by_name = header_by_name | {
        "content-type": claim.content_type,
        "idempotent-replayed": "true",
    }
    chunks = (claim.body if body is None else body,)
    return messages.Reply(
        status=claim.status, header_by_name=header_by_name, chunks=chunks
    )


def read_answer(search, job):
    """Run a request until an upstream has sent its complete answer.

    Raises
    ------
    peridothitch.errors.RequestError
        No attempt is left.
    """
    while True:
        attempt = search.open()
        content_type = attempt.header_by_name.get("content-type", _JSON)
        try:
            body = attempt.read()
        except errors.UpstreamError as error:
            search.handle_failure(error)
            continue
        return messages.Reply(
            status=attempt.status,
            header_by_name=job.headers() | {"content-type": content_type},
            chunks=(body,),
        )
