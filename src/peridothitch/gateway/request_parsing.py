"""Parses and checks callers' requests."""

import dataclasses
import datetime
import re
import secrets

import msgspec

from peridothitch import errors
from peridothitch.coordination import claim_records
from peridothitch.gateway import chat_bodies, customers, jobs
from peridothitch.policy import document as documents
from peridothitch.policy import route_table
from peridothitch.ports import messages

__all__ = ["RequestParser"]

_IDEMPOTENCY_KEY_HEADER = "idempotency-key"
_TIMEOUT_HEADER = "x-request-timeout-ms"
_MILLISECONDS = re.compile(r"[1-9][0-9]{0,9}")
_EVENT_ID = re.compile(r"[0-9]{1,18}")
_LAST_EVENT_HEADER = "last-event-id"
_KEY_BYTES = 16


class _DocumentIndexes:
    """Indexes of one document."""

    def __init__(self, document):
        self.document = document
        self.routes = route_table.RouteTable(document.route_by_name)
        self.customers = customers.CustomerIndex(document.customer_by_name)


class RequestParser:
    """Parses requests and checks them against the current document.

    Parameters
    ----------
    feed : peridothitch.coordination.feed.DocumentFeed
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, feed, clock):
        self._feed = feed
        self._clock = clock
        self._indexes = None

    def is_ready(self):
        """Return whether there is a document to check against."""
        return self._feed.current() is not None

    def parse(self, request):
        """Return the `peridothitch.gateway.jobs.Job` for a request.

        Raises
        ------
        peridothitch.errors.RequestError
        """
        indexes = self._current_indexes()
        customer = indexes.customers.find(request.header_by_name)
        return self._make_job(indexes, customer, request)

    def find_customer(self, request):
        """Return the customer that a request's key belongs to."""
        return self._current_indexes().customers.find(request.header_by_name)

    def restore(self, customer, accepted, request=None):
        """Return the job for a request that was accepted before.

        Parameters
        ----------
        customer : str
        accepted : peridothitch.coordination.claim_records.AcceptedRequest
        request : peridothitch.ports.messages.Request or None
            The request by which a caller asks for the answer again, if any.
        """
        header_by_name = {
            "content-type": accepted.content_type,
            _IDEMPOTENCY_KEY_HEADER: accepted.key,
        }
        fields = {}
        if request is not None:
            fields["caller_gone"] = request.caller_gone
            last_event_id = request.header_by_name.get(_LAST_EVENT_HEADER, "")
            header_by_name[_LAST_EVENT_HEADER] = last_event_id
        restored = messages.Request(
            method=accepted.method,
            path=accepted.path,
            query=accepted.query,
            header_by_name=header_by_name,
            body=accepted.body,
            **fields,
        )
        return self._make_job(self._current_indexes(), customer, restored)

    def _current_indexes(self):
        document = self._feed.current()
        if document is None:
            raise errors.RequestError(errors.Code.NOT_READY, "no document was read yet")
        if self._indexes is None or self._indexes.document is not document:
            self._indexes = _DocumentIndexes(document)
        return self._indexes

    def _make_job(self, indexes, customer, request):
        match = indexes.routes.find(request.method, request.path)
        key = request.header_by_name.get(_IDEMPOTENCY_KEY_HEADER) or secrets.token_hex(
            _KEY_BYTES
        )
        target = f"{request.path}?{request.query}" if request.query else request.path
        chat = _parse_chat(request, match.route, indexes.document)
        return jobs.Job(
            request=_limit_tokens(request, chat, match.route),
            document=indexes.document,
            match=match,
            customer=customer,
            request_id=claim_records.make_request_id(customer, key),
            key=key,
            digest=claim_records.digest_body(request.method, target, request.body),
            deadline=self._deadline(request, match.route),
            chat=chat,
            last_event_id=_parse_last_event_id(request),
        )

    def _deadline(self, request, route):
        timeout = route.timeout
        text = request.header_by_name.get(_TIMEOUT_HEADER)
        if text is not None:
            if not _MILLISECONDS.fullmatch(text):
                raise errors.RequestError(
                    errors.Code.MALFORMED_REQUEST,
                    f"{_TIMEOUT_HEADER} is not a whole number from 1 to 9999999999",
                )
            timeout = min(timeout, datetime.timedelta(milliseconds=int(text)))
        return self._clock.monotonic() + timeout


def _parse_last_event_id(request):
    text = request.header_by_name.get(_LAST_EVENT_HEADER, "")
    if not text:
        return -1
    if not _EVENT_ID.fullmatch(text):
        raise errors.RequestError(
            errors.Code.MALFORMED_REQUEST,
            f"{_LAST_EVENT_HEADER} is not a number",
        )
    return int(text)


def _parse_chat(request, route, document):
    service = document.service_by_name[route.service]
    if service.protocol is not documents.Protocol.CHAT:
        return None
    return chat_bodies.parse_chat(request.body)


def _limit_tokens(request, chat, route):
    """Limit the answer's tokens to the number that spending is reserved for."""
    if chat is None or chat.get("max_tokens") or chat.get("max_completion_tokens"):
        return request
    chat["max_completion_tokens"] = route.max_tokens
    return dataclasses.replace(request, body=msgspec.json.encode(chat))
