"""Finds the parts of prompts that crash every upstream that answers them.

An entry host knows the parts of the prompts whose answers an upstream broke off when it
crashed. Other requests run beside the one to blame, and upstreams crash for other
reasons, so a part is blamed only if no answer to a prompt with it has begun since
several crashes, each of which was caused by a request sent after the one before. Parts
whose crashes a blamed part explains are excused. Crash reports and the times of answers
only grow, so all hosts that know the same of them blame the same parts.
"""

import collections
import dataclasses
import math

__all__ = ["CrashReport", "PartEvidence", "find_blamed"]

_MIN_CRASHES = 3
"""One crash may have another cause, and a bystander may be retried into a second."""

_MIN_CRASHES_UNSEPARATED = 4
"""For parts that occurred in the same crashes, so that one of them can be cleared."""

_MIN_CRASHES_ONCE_ANSWERED = 6
"""For parts that upstreams answered before: a shared part runs at most crashes."""

_MIN_UNEXPLAINED = 2
"""Crashes without a part that is blamed already; a bystander may have one."""

_MAX_CRASHES = 256
_MAX_LASTING_CRASHES = 32
_MAX_ANSWERED_PARTS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport:
    """Requests without an answer at one crash, as one or several entry hosts saw it.

    Attributes
    ----------
    crash_id : str
        Incarnation of the upstream that crashed.
    service : str
    at : float
        Unix seconds.
    sent_at_by_part : dict of str to float
        Unix seconds at which the last request with a part was sent; the last part of a
        prompt is the request's own and left out.
    """

    crash_id: str
    service: str
    at: float
    sent_at_by_part: dict

    def join(self, other):
        """Return the union with another host's report of the same crash."""
        sent_at_by_part = dict(self.sent_at_by_part)
        for part, sent_at in other.sent_at_by_part.items():
            sent_at_by_part[part] = max(sent_at, sent_at_by_part.get(part, -math.inf))
        return dataclasses.replace(
            self, at=min(self.at, other.at), sent_at_by_part=sent_at_by_part
        )


def find_blamed(reports, answered_at_by_key):
    """Return the parts to blame for crashes.

    Parameters
    ----------
    reports : iterable of CrashReport
        One for each crash.
    answered_at_by_key : dict of (str, str) to float
        Unix seconds at which an answer on a service and part last began.

    Returns
    -------
    frozenset of (str, str)
        Services and parts.
    """
    reports_by_key = collections.defaultdict(list)
    for report in sorted(reports, key=lambda report: report.at):
        for part in report.sent_at_by_part:
            key = report.service, part
            if answered_at_by_key.get(key, -math.inf) < report.at:
                reports_by_key[key].append(report)
    accused = [
        key
        for key in reports_by_key
        if _is_accused(key, reports_by_key, answered_at_by_key)
    ]
    blamed = set()
    while accused:
        most = max(len(reports_by_key[key]) for key in accused)
        blamed.update(key for key in accused if len(reports_by_key[key]) == most)
        accused = [
            key
            for key in accused
            if key not in blamed
            and _count_unexplained(reports_by_key[key], blamed) >= _MIN_UNEXPLAINED
        ]
    return frozenset(blamed)


def _is_accused(key, reports_by_key, answered_at_by_key):
    crashes = _count_successive(reports_by_key[key], key[1])
    if key in answered_at_by_key:
        return crashes >= _MIN_CRASHES_ONCE_ANSWERED
    if crashes < _MIN_CRASHES:
        return False
    own = {report.crash_id for report in reports_by_key[key]}
    for other, others in reports_by_key.items():
        if other == key or other in answered_at_by_key or len(others) < len(own):
            continue
        if not own <= {report.crash_id for report in others}:
            continue
        if len(others) > len(own) or crashes < _MIN_CRASHES_UNSEPARATED:
            return False
    return True


def _count_unexplained(reports, blamed):
    return sum(
        blamed.isdisjoint((report.service, part) for part in report.sent_at_by_part)
        for report in reports
    )


def _count_successive(reports, part):
    """Count crashes of which each has a request that was sent after the one before.

    Upstreams that crash at the same moment, for whatever reason, count once.
    """
    count = 0
    last = -math.inf
    for report in reports:
        if report.sent_at_by_part[part] >= last:
            count += 1
            last = report.at
    return count


class PartEvidence:
    """Known crashes and answers, bounded in size; not thread-safe.

    Attributes
    ----------
    blamed : frozenset of (str, str)
        Services and parts that are to blame according to what was added.
    """

    def __init__(self):
        self._report_by_id = {}
        self._answered_at_by_key = collections.OrderedDict()
        self.blamed = frozenset()

    def add_report(self, report):
        """Add a `CrashReport`; returns whether it told anything new."""
        known = self._report_by_id.get(report.crash_id)
        joined = report if known is None else known.join(report)
        if joined == known:
            return False
        self._report_by_id[report.crash_id] = joined
        if len(self._report_by_id) > _MAX_CRASHES:
            self._forget_report()
        self._update()
        return True

    def add_answer(self, key, answered_at):
        """Add that an answer on a service and part began; returns whether it is new."""
        if self._answered_at_by_key.get(key, -math.inf) >= answered_at:
            return False
        self._answered_at_by_key[key] = answered_at
        self._answered_at_by_key.move_to_end(key)
        if len(self._answered_at_by_key) > _MAX_ANSWERED_PARTS:
            self._answered_at_by_key.popitem(last=False)
        self._update()
        return True

    def answered_at(self, key):
        """Return when an answer on a service and part last began, None if unknown."""
        return self._answered_at_by_key.get(key)

    def suspects(self):
        """Return the services and parts with a crash since their last answer."""
        return {
            key
            for report in self._report_by_id.values()
            for key in self._open_keys(report)
        }

    def crash_count(self, key):
        """Return the number of crashes of a service and part since its last answer."""
        return self._crash_count_by_key().get(key, 0)

    def lasting_reports(self):
        """Return what a fleet that starts has to know, the newest crashes first.

        These are the crashes of parts that are blamed, and of parts that were never
        answered and had several crashes.
        """
        count_by_key = self._crash_count_by_key()
        lasting_keys = self.blamed | {
            key
            for key, count in count_by_key.items()
            if count > 1 and key not in self._answered_at_by_key
        }
        lasting = []
        for report in sorted(
            self._report_by_id.values(), key=lambda report: report.at, reverse=True
        ):
            sent_at_by_part = {
                part: report.sent_at_by_part[part]
                for service, part in self._open_keys(report)
                if (service, part) in lasting_keys
            }
            if sent_at_by_part:
                lasting.append(
                    dataclasses.replace(report, sent_at_by_part=sent_at_by_part)
                )
        lasting.sort(key=self._is_explained, reverse=True)
        return lasting[:_MAX_LASTING_CRASHES]

    def _is_explained(self, report):
        return any(
            (report.service, part) in self.blamed for part in report.sent_at_by_part
        )

    def _crash_count_by_key(self):
        return collections.Counter(
            key
            for report in self._report_by_id.values()
            for key in self._open_keys(report)
        )

    def _open_keys(self, report):
        keys = [(report.service, part) for part in report.sent_at_by_part]
        return [
            key
            for key in keys
            if self._answered_at_by_key.get(key, -math.inf) < report.at
        ]

    def _forget_report(self):
        """Drop the oldest of the crashes whose parts recur least."""
        count_by_key = self._crash_count_by_key()
        least = min(
            self._report_by_id.values(),
            key=lambda report: (
                max((count_by_key[key] for key in self._open_keys(report)), default=0),
                report.at,
            ),
        )
        del self._report_by_id[least.crash_id]

    def _update(self):
        self.blamed = find_blamed(self._report_by_id.values(), self._answered_at_by_key)
