"""Reports whether a revision is in force fleet-wide and which hosts lack it.

The hosts are queried when an operator asks: confirmations of every host for every
change would cost more bytes than the changes themselves.
"""

import dataclasses
import datetime
import threading

import msgspec

from peridothitch import errors
from peridothitch.coordination import document_messages as wire

__all__ = ["FleetReport", "FleetStatus"]

_CALL_TIMEOUT = datetime.timedelta(seconds=1)
_MAX_REPORT_AGE = datetime.timedelta(seconds=1)
_MAX_CONFIRMED_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetReport:
    """State of the document at all hosts.

    Attributes
    ----------
    revision : int
        Highest revision that any host reports.
    done : bool
        Whether every live host has it in force and one of them has recently confirmed
        that the store has nothing newer.
    lacking : list of str
        Hosts that answer and have an older revision in force.
    unreachable : list of str
        Hosts that are members or listed as live but don't answer this one.
    confirmed_seconds : float
        Shortest time since a host confirmed that there is no newer revision.
    report_by_host : dict of str to peridothitch.coordination.document_messages.Report
    """

    revision: int
    done: bool
    lacking: list
    unreachable: list
    confirmed_seconds: float
    report_by_host: dict


class FleetStatus:
    """Queries all members for their revision.

    Parameters
    ----------
    feed : peridothitch.coordination.feed.DocumentFeed
    peers : peridothitch.ports.peers.Peers
    executor : concurrent.futures.Executor
        Bounds the calls made at the same time.
    clock : peridothitch.ports.clock.Clock
    listed : callable
        Returns the ids of the entry hosts that the platform lists as live.
    """

    def __init__(self, feed, peers, executor, clock, listed=tuple):
        self._feed = feed
        self._peers = peers
        self._executor = executor
        self._clock = clock
        self._listed = listed
        self._lock = threading.Lock()
        self._report = None
        self._collected_at = clock.monotonic()

    def collect(self):
        """Return a `FleetReport` that is at most a second old."""
        with self._lock:
            now = self._clock.monotonic()
            if self._report is None or now - self._collected_at > _MAX_REPORT_AGE:
                self._report = self._ask_all()
                self._collected_at = self._clock.monotonic()
            return self._report

    def _ask_all(self):
        own = self._feed.report()
        expected = (set(self._peers.members()) | set(self._listed())) - {own.host_id}
        answers = self._executor.map(self._ask, sorted(expected))
        report_by_host = {own.host_id: own} | {
            report.host_id: report for report in answers if report is not None
        }
        reports = report_by_host.values()
        revision = max(
            max(report.revision, report.rejected_revision) for report in reports
        )
        revision = max(revision, self._feed.newest_known_revision)
        lacking = [report.host_id for report in reports if report.revision < revision]
        unreachable = sorted(expected - set(report_by_host))
        confirmed = min(report.confirmed_seconds for report in reports)
        is_known = revision > 0 and confirmed <= _MAX_CONFIRMED_SECONDS
        return FleetReport(
            revision=revision,
            done=is_known and not lacking and not unreachable,
            lacking=sorted(lacking),
            unreachable=unreachable,
            confirmed_seconds=confirmed,
            report_by_host=report_by_host,
        )

    def _ask(self, host_id):
        try:
            payload = self._peers.call(host_id, wire.REPORT, b"", _CALL_TIMEOUT)
            return msgspec.msgpack.decode(payload, type=wire.Report)
        except (errors.PeerError, msgspec.MsgspecError):
            return None
