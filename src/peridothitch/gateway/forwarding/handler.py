"""Admits callers' requests and answers each of them once."""

import datetime
import random
import threading

import logbook

from peridothitch import errors
from peridothitch.adapters import problems
from peridothitch.gateway.forwarding import (
    delivery,
    refusals,
    retrying_sender,
    room_keeper,
)
from peridothitch.gateway.forwarding import job as jobs
from peridothitch.policy import admission, placement, route_index

__all__ = ["ForwardingHandler"]

_TABLE_TIMEOUT = datetime.timedelta(milliseconds=150)
"""How long a request waits for the routing table and the upstream hosts.

A starting host loads them in less time.
"""

_NOT_READY_RETRY_AFTER = datetime.timedelta(milliseconds=400)
_DRAINING_RETRY_AFTER = datetime.timedelta(milliseconds=20)
"""Short, because a retry reaches another entry host."""

_SUSPENDED_RETRY_AFTER = datetime.timedelta(seconds=5)
_SECOND = datetime.timedelta(seconds=1)
_log = logbook.Logger("forwarding")


class ForwardingHandler:
    """Answers the requests of callers.

    Parameters
    ----------
    catalogue : peridothitch.gateway.forwarding.catalogue.Catalogue
    deps : peridothitch.gateway.forwarding.attempt.AttemptDependencies
    quotas : peridothitch.gateway.forwarding.quota_limiter.QuotaLimiter
    busy_host_meter : peridothitch.gateway.forwarding.busy_host_meter.BusyHostMeter
    """

    def __init__(self, catalogue, deps, quotas, busy_host_meter):
        self._catalogue = catalogue
        self._deps = deps
        self._quotas = quotas
        self._busy_host_meter = busy_host_meter
        self._random = random.Random()
        self._room = room_keeper.RoomKeeper(
            deps.room, self._choose, lambda: self._active, deps.clock, deps.metrics
        )
        self._active_lock = threading.Condition()
        self._active = 0
        self._last_arrival = deps.clock.monotonic()
        self._draining_since = None
        self._stops_at = None

    def drain(self, stops_at):
        """Refuse requests that would not end before a monotonic time."""
        self._draining_since = self._deps.clock.monotonic()
        self._stops_at = stops_at

    @property
    def active(self):
        """Number of requests in progress."""
        return self._active

    @property
    def last_arrival(self):
        """Monotonic time at which the last request arrived."""
        return self._last_arrival

    def count_unreadable(self, error):
        """Count and log a request that the server could not receive or parse."""
        self._deps.metrics.count("requests", code=int(error.code), route="")
        _log.info("unreadable request", code=int(error.code), reason=error.detail[:200])

    def handle_request(self, request, response_writer):
        """Answer one request."""
        self._change_active(1)
        self._last_arrival = self._deps.clock.monotonic()
        route = ""
        code = 0
        try:
            job = self._create_job(request)
            route = job.route.name
            self._forward(job, response_writer)
        except errors.RequestError as error:
            code = int(error.code)
            self._answer_error(request, response_writer, error)
        finally:
            self._change_active(-1)
        elapsed_time = self._deps.clock.monotonic() - request.arrived
        metrics = self._deps.metrics
        metrics.count("requests", code=code, route=route)
        metrics.observe("request", elapsed_time, route=route)

    def _change_active(self, amount):
        with self._active_lock:
            self._active += amount
            self._deps.metrics.set("active_requests", self._active)

    def _create_job(self, request):
        catalogue = self._catalogue
        is_loaded = catalogue.wait_until_loaded(_TABLE_TIMEOUT)
        table, routes = catalogue.table, catalogue.routes
        if not is_loaded:
            raise errors.RequestError(
                errors.Code.NOT_READY,
                "rules or hosts are not known yet",
                retry_after=_NOT_READY_RETRY_AFTER,
            )
        route = routes.find(request.value("host"), request.path)
        if route is None:
            raise errors.RequestError(errors.Code.UNKNOWN_ROUTE, request.path)
        metadata = self._deps.header_codec.read_request(request.fields)
        customer = self._find_customer(table, route, metadata)
        need = placement.RequestNeed(
            prompt_tokens=metadata.prompt_tokens,
            prompt_parts=metadata.prompt_parts,
            homes=refusals.find_homes(route, customer),
        )
        name = customer.name if customer is not None else ""
        return jobs.Job(
            request=request,
            metadata=metadata,
            route=route,
            service=route_index.choose_service(route, self._random),
            customer=customer,
            table_version=table.version,
            deadline=jobs.deadline_of(route, metadata, request.arrived),
            need=need,
            digest=jobs.request_digest(route, name, request),
        )

    def _find_customer(self, table, route, metadata):
        if not table.customer_by_key:
            return None
        customer = table.customer_by_key.get(metadata.key)
        if customer is None and not route.anonymous:
            raise errors.RequestError(
                errors.Code.UNAUTHENTICATED, "the key is missing or unknown"
            )
        return customer

    def _forward(self, job, response_writer):
        deps = self._deps
        deps.budgets.record_request(job.service)
        if deps.crash_guard.is_quarantined(job.digest):
            raise errors.RequestError(
                errors.Code.REQUEST_SUSPENDED,
                "it crashed upstreams",
                retry_after=_SUSPENDED_RETRY_AFTER,
            )
        deps.part_guard.check(job.service, job.shared_parts)
        reservation = None
        if job.customer is not None:
            reservation = self._quotas.reserve(job.customer, job.metadata.tokens)
        try:
            sender = retrying_sender.RetryingSender(
                deps, job, self._admit(job, response_writer)
            )
            if job.may_repeat or job.route.streamed:
                response_writer.on_disconnect(sender.cancel)
            status = delivery.deliver(deps, job, sender, response_writer)
        except errors.RequestError as error:
            if error.ran is errors.Ran.NO and reservation is not None:
                self._quotas.release(job.customer, reservation)
            raise
        elapsed_time = deps.clock.monotonic() - job.request.arrived
        _log.info(
            "answered",
            id=job.request_id,
            route=job.route.name,
            status=status,
            sends=sender.send_count,
            ms=int(elapsed_time.total_seconds() * 1000),
        )

    def _choose(self, job):
        versions = self._deps.moves.versions_for_request(job.service, job.route.name)
        return self._deps.upstreams.choose(job.service, job.need, versions=versions)

    def _admit(self, job, response_writer):
        """Refuse requests that can't end in time.

        Returns
        -------
        tuple or None
            The upstream to try first and the estimate for it, None if there is none.
        """
        deps = self._deps
        now = deps.clock.monotonic()
        remaining = job.deadline - now
        if remaining <= datetime.timedelta(0):
            raise errors.RequestError(
                errors.Code.DEADLINE_EXCEEDED, "it arrived too late"
            )
        self._check_drain(job, now)
        chosen = self._choose(job)
        if chosen is None:
            return None
        _, estimate = chosen
        self._busy_host_meter.record_request(job)
        if estimate.is_modelled and deps.room.decides:
            return self._room.admit(job, chosen, response_writer)
        expected = datetime.timedelta(seconds=estimate.seconds)
        # The time that a slow caller takes to send its body doesn't make it late.
        elapsed = now - (job.request.received or job.request.arrived)
        retry_after = admission.refusal_delay(
            expected + elapsed, job.route.latency_objective, remaining, job.priority
        )
        if retry_after is None:
            return chosen
        raise errors.RequestError(
            errors.Code.OVERLOADED,
            f"expected to take {estimate.seconds:.2f} s",
            retry_after=retry_after,
        )

    def _check_drain(self, job, now):
        if self._stops_at is None:
            return
        if admission.can_finish_in_time(
            self._stops_at - now,
            job.route.latency_objective,
            job.metadata.expected_tokens,
            job.metadata.output_tokens,
            now - self._draining_since,
            job.deadline - now,
        ):
            return
        raise errors.RequestError(
            errors.Code.DRAINING,
            "this entry host ends before the request would",
            retry_after=_DRAINING_RETRY_AFTER,
        )

    def _answer_error(self, request, response_writer, error):
        request_id = _request_id(self._deps.header_codec, request)
        elapsed_time = self._deps.clock.monotonic() - request.arrived
        _log.info(
            "refused" if error.ran is errors.Ran.NO else "failed",
            id=request_id,
            code=int(error.code),
            ran=error.ran.value,
            reason=error.detail[:300],
            ms=int(elapsed_time.total_seconds() * 1000),
        )
        if response_writer.has_begun or error.code is errors.Code.CALLER_GONE:
            response_writer.abort()
            return
        reply = problems.to_reply(error)
        fields = [("Content-Type", reply.header_by_name["content-type"])]
        if error.retry_after is not None:
            fields.append(("Retry-After", f"{error.retry_after / _SECOND:.3f}"))
        body = b"".join(reply.chunks)
        try:
            response_writer.begin(reply.status, "", fields, len(body))
            response_writer.write(body)
            response_writer.end()
        except errors.RequestError:
            response_writer.abort()


def _request_id(header_codec, request):
    try:
        return header_codec.read_request(request.fields).request_id
    except errors.RequestError:
        return ""
