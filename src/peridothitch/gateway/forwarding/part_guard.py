"""Refuses prompts with a part that crashes upstreams, at all entry hosts.

Each host reports the requests that a crashed upstream left without an answer, and when
answers on the suspected parts began. Reports spread by gossip; those of parts that
recur are also kept in the store, for hosts that start after a loss of power.
"""

import collections
import dataclasses
import datetime
import threading

import logbook
import msgspec

from peridothitch import errors
from peridothitch.gateway.forwarding import part_records
from peridothitch.policy import part_evidence, write_turns
from peridothitch.ports import facts

__all__ = ["ANSWER_KIND", "CRASH_KIND", "PartGuard", "crash_fact"]

CRASH_KIND = "prompt-crash"
ANSWER_KIND = "prompt-answer"
_PERIOD = datetime.timedelta(milliseconds=250)
_RETRY_PERIOD = datetime.timedelta(seconds=1)
_SETTLING_TIME = datetime.timedelta(milliseconds=300)
"""Time from a crash until it is reported.

Other requests with the same part are mostly answered meanwhile, and the listener of an
upstream may outlive its connections by some milliseconds.
"""

_RETRY_AFTER = datetime.timedelta(minutes=1)
"""A retry with the same prompt is refused as well."""

_MAX_CHECKS = 4
"""Upstreams checked in one period; each check takes up to 0.2 s."""

_MAX_PARTS_IN_REPORT = 24
"""Keeps a report within one message between hosts."""

_MAX_LOCAL_PARTS = 4096
_MAX_LOCAL_CRASHES = 64
_MILLISECONDS = 1000
_log = logbook.Logger("forwarding")


class _CrashFact(msgspec.Struct, frozen=True, array_like=True):
    service: str
    at: float
    sent_at_by_part: dict[str, float]


class _AnswerFact(msgspec.Struct, frozen=True, array_like=True):
    service: str
    part: str
    answered_at: float


@dataclasses.dataclass(eq=False)
class _Crash:
    """Requests without an answer that one upstream broke off."""

    host: object
    at: datetime.timedelta
    report: part_evidence.CrashReport
    is_down: bool = False
    is_settled: bool = False
    report_count: int = 0


class PartGuard:
    """Decides which prompts may be sent to upstreams.

    Parameters
    ----------
    host_id : str
        This entry host.
    fact_registry : peridothitch.ports.facts.FactRegistry
    records : peridothitch.gateway.forwarding.part_records.PartRecords
    is_down : callable
        Returns whether a `peridothitch.ports.upstream.Host` refuses connections.
    shared_clock : peridothitch.ports.clock.Clock
        Clock of the time that all entry hosts agree on.
    metrics : peridothitch.adapters.metrics.Metrics
    find_rank : callable
        See `peridothitch.policy.write_turns.WriteTurn`; by default this host is first.
    """

    def __init__(
        self,
        host_id,
        fact_registry,
        records,
        is_down,
        shared_clock,
        metrics,
        find_rank=lambda: 0,
    ):
        self._host_id = host_id
        self._fact_registry = fact_registry
        self._records = records
        self._is_down = is_down
        self._clock = shared_clock
        self._metrics = metrics
        self._turn = write_turns.WriteTurn(find_rank)
        self._lock = threading.RLock()
        self._evidence = part_evidence.PartEvidence()
        self._answered_at_by_key = collections.OrderedDict()
        self._crash_by_id = collections.OrderedDict()
        fact_registry.subscribe(CRASH_KIND, self._receive_crash)
        fact_registry.subscribe(ANSWER_KIND, self._receive_answer)

    def check(self, service, parts):
        """Refuse a prompt with a part that crashes upstreams of a service.

        Raises
        ------
        peridothitch.errors.RequestError
            PROMPT_SUSPENDED: the request was not sent.
        """
        blamed = self._evidence.blamed
        part = next((part for part in parts if (service, part) in blamed), None)
        if part is None:
            return
        self._metrics.count("suspended_requests", service=service)
        raise errors.RequestError(
            errors.Code.PROMPT_SUSPENDED,
            f"the part {part} of the prompt crashed upstreams of {service}",
            retry_after=_RETRY_AFTER,
        )

    def record_answer(self, service, parts):
        """Record that an upstream has begun to answer a prompt."""
        now = self._now()
        news = []
        with self._lock:
            for part in parts:
                key = service, part
                self._answered_at_by_key[key] = now
                self._answered_at_by_key.move_to_end(key)
                if self._evidence.is_suspect(key):
                    news.append(key)
            while len(self._answered_at_by_key) > _MAX_LOCAL_PARTS:
                self._answered_at_by_key.popitem(last=False)
        for key in news:
            self._publish_answer(key, now)

    def record_break(self, host, parts, sent_at, is_down):
        """Record that an upstream broke off a request before it began to answer.

        Parameters
        ----------
        host : peridothitch.ports.upstream.Host
        parts : sequence of str
            Shared parts of the prompt.
        sent_at : datetime.timedelta
            Monotonic time at which the request was sent.
        is_down : bool
            Whether the upstream refused connections afterwards.
        """
        if not parts:
            return
        now, moment = self._now(), self._clock.monotonic()
        sent = now - (moment - sent_at).total_seconds()
        crash_id = f"{host.host_id}/{host.incarnation}"
        report = part_evidence.CrashReport(
            crash_id=crash_id,
            service=host.service,
            at=now,
            sent_at_by_part=dict.fromkeys(parts, sent),
        )
        with self._lock:
            crash = self._crash_by_id.get(crash_id)
            if crash is None or (crash.is_settled and not crash.is_down):
                # An answer that was broken off before was no crash.
                crash = self._crash_by_id[crash_id] = _Crash(host, moment, report)
            crash.report = crash.report.join(report)
            crash.is_down = crash.is_down or is_down
            crash.is_settled = False
            while len(self._crash_by_id) > _MAX_LOCAL_CRASHES:
                self._crash_by_id.popitem(last=False)

    def run(self, stop):
        """Report crashes until the event `stop` is set."""
        while not self._clock.wait(stop, _PERIOD):
            self.report_crashes()

    def run_saves(self, stop):
        """Keep the store's record up to date until the event `stop` is set."""
        period = _PERIOD
        while not self._clock.wait(stop, period):
            try:
                self.save()
                period = _PERIOD
            except errors.StoreError as error:
                _log.info("crash record not written", reason=str(error))
                period = _RETRY_PERIOD

    def report_crashes(self):
        """Report the crashes whose requests have had time to be answered elsewhere."""
        latest = self._clock.monotonic() - _SETTLING_TIME
        with self._lock:
            due = [
                crash
                for crash in self._crash_by_id.values()
                if not crash.is_settled and crash.at <= latest
            ]
            unconfirmed = [crash for crash in due if not crash.is_down]
            postponed = unconfirmed[_MAX_CHECKS:]
            due = [crash for crash in due if crash not in postponed]
            for crash in due:
                crash.is_settled = True
        for crash in unconfirmed[:_MAX_CHECKS]:
            crash.is_down = self._is_down(crash.host) or crash.is_down
        for crash in due:
            if crash.is_down:
                self._report(crash)

    def _report(self, crash):
        report = crash.report
        with self._lock:
            sent_at_by_part = {
                part: sent_at
                for part, sent_at in report.sent_at_by_part.items()
                if self._answered_at_by_key.get((report.service, part), 0) < report.at
            }
            chosen = sorted(sent_at_by_part, key=self._report_order(report.service))
            crash.report_count += 1
        if crash.report_count == 1:
            self._metrics.count("upstream_crashes", service=report.service)
        if not chosen:
            return
        chosen = chosen[:_MAX_PARTS_IN_REPORT]
        told = dataclasses.replace(
            report, sent_at_by_part={part: sent_at_by_part[part] for part in chosen}
        )
        fact = crash_fact(self._host_id, told, crash.report_count)
        if not self._fact_registry.publish(fact):
            # The registry is full; this host's own evidence still counts here.
            self._receive_crash(fact)
        _log.info(
            "crash reported",
            host_id=crash.host.host_id,
            incarnation=crash.host.incarnation,
            service=report.service,
            shared_parts=" ".join(chosen),
            left_out=len(sent_at_by_part) - len(chosen),
        )

    def _report_order(self, service):
        """Return a sort key: suspected parts first, then those never answered."""

        def order(part):
            key = service, part
            return not self._evidence.is_suspect(key), key in self._answered_at_by_key

        return order

    def _receive_crash(self, fact):
        crash_id, _, _ = fact.key.rpartition("/")
        found = msgspec.msgpack.decode(fact.value, type=_CrashFact)
        self._add_report(
            part_evidence.CrashReport(
                crash_id=crash_id,
                service=found.service,
                at=found.at,
                sent_at_by_part=found.sent_at_by_part,
            )
        )

    def _add_report(self, report):
        known = []
        with self._lock:
            before = self._evidence.blamed
            if not self._evidence.add_report(report):
                return
            for part in report.sent_at_by_part:
                key = report.service, part
                answered_at = self._answered_at_by_key.get(key)
                if answered_at is not None:
                    known.append((key, answered_at))
        for key, answered_at in known:
            self._publish_answer(key, answered_at)
        self._log_changes(before)

    def _publish_answer(self, key, answered_at):
        service, part = key
        value = msgspec.msgpack.encode(_AnswerFact(service, part, answered_at))
        sequence = int(answered_at * _MILLISECONDS)
        fact = facts.Fact(ANSWER_KIND, f"{service}/{part}", sequence, value)
        self._fact_registry.publish(fact)
        self._receive_answer(fact)

    def _receive_answer(self, fact):
        found = msgspec.msgpack.decode(fact.value, type=_AnswerFact)
        self._add_answer((found.service, found.part), found.answered_at)

    def _add_answer(self, key, answered_at):
        with self._lock:
            before = self._evidence.blamed
            if not self._evidence.add_answer(key, answered_at):
                return
        self._log_changes(before)

    def _log_changes(self, before):
        with self._lock:
            blamed = self._evidence.blamed
            counts = {key: self._evidence.crash_count(key) for key in blamed - before}
        for (service, part), crashes in counts.items():
            _log.info("part suspended", service=service, part=part, crashes=crashes)
        for service, part in before - blamed:
            _log.info("part no longer suspended", service=service, part=part)
        if blamed != before:
            self._metrics.set("suspended_parts", len(blamed))

    def restore(self):
        """Add what the store's record contains."""
        for report in self._records.read().reports:
            self._add_report(report)

    def save(self):
        """Write the record if it lacks what this host knows, and its turn has come.

        Raises
        ------
        peridothitch.errors.StoreError
        """
        stored = self._records.read().reports
        with self._lock:
            lasting = self._evidence.lasting_reports()
            is_outdated = self._lacks_own(stored, lasting) or self._has_answered(stored)
        if not self._turn.is_due(is_outdated, self._clock.monotonic()):
            return
        is_written = self._records.write(part_records.PartRecord(tuple(lasting)))
        _log.info("crash record written", crashes=len(lasting), accepted=is_written)

    def _lacks_own(self, stored, lasting):
        """Return whether a crash that this host reported has to be recorded."""
        parts_by_id = {
            report.crash_id: set(report.sent_at_by_part) for report in stored
        }
        return any(
            not set(report.sent_at_by_part) <= parts_by_id.get(report.crash_id, set())
            for report in lasting
            if report.crash_id in self._crash_by_id
        )

    def _has_answered(self, stored):
        """Return whether this host has seen an answer on a part that is recorded."""
        return any(
            self._answered_at_by_key.get((report.service, part), 0) >= report.at
            for report in stored
            for part in report.sent_at_by_part
        )

    def _now(self):
        return self._clock.now().timestamp()


def crash_fact(host_id, report, sequence):
    """Return the fact by which an entry host tells a `CrashReport` to the others."""
    value = _CrashFact(report.service, report.at, report.sent_at_by_part)
    key = f"{report.crash_id}/{host_id}"
    return facts.Fact(CRASH_KIND, key, sequence, msgspec.msgpack.encode(value))
