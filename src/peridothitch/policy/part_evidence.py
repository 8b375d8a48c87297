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
_MAX_PARTS_OF_CRASH = 96
"""More than a full upstream has of requests without an answer."""

_MAX_LASTING_CRASHES = 32
_MAX_LASTING_PARTS = 8
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

    def keys(self):
        """Return the services and parts of the report as a list of (str, str)."""
        return [(self.service, part) for part in self.sent_at_by_part]

    def join(self, other):
        """Return the union with another host's report of the same crash."""
        sent_at_by_part = dict(self.sent_at_by_part)
        for part, sent_at in other.sent_at_by_part.items():
            sent_at_by_part[part] = max(sent_at, sent_at_by_part.get(part, -math.inf))
        return dataclasses.replace(
            self, at=min(self.at, other.at), sent_at_by_part=sent_at_by_part
        )


def find_blamed(reports_by_key, answered_at_by_key):
    """Return the parts to blame for crashes.

    Parameters
    ----------
    reports_by_key : dict of (str, str) to list of CrashReport
        Crashes since the last answer, by service and part, in order of time; parts with
        fewer than three crashes may be left out.
    answered_at_by_key : dict of (str, str) to float
        Unix seconds at which an answer on a service and part last began.

    Returns
    -------
    frozenset of (str, str)
        Services and parts.
    """
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
    return sum(blamed.isdisjoint(report.keys()) for report in reports)


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
        self._crash_ids_by_key = {}
        self._repeated_keys = set()
        self._answered_at_by_key = collections.OrderedDict()
        self.blamed = frozenset()

    def add_report(self, report):
        """Add a `CrashReport`; returns whether it told anything new."""
        known = self._report_by_id.get(report.crash_id)
        joined = report if known is None else known.join(report)
        joined = self._shorten(joined, _MAX_PARTS_OF_CRASH)
        if joined == known:
            return False
        self._report_by_id[report.crash_id] = joined
        if known is not None:
            self._remove_keys(report.crash_id, set(known.keys()) - set(joined.keys()))
        for key in joined.keys():
            crash_ids = self._crash_ids_by_key.setdefault(key, set())
            crash_ids.add(report.crash_id)
            if len(crash_ids) > 1:
                self._repeated_keys.add(key)
        if len(self._report_by_id) > _MAX_CRASHES:
            self._forget_report()
        self._update(joined.keys())
        return True

    def _shorten(self, report, max_parts):
        """Leave out parts of a report, the blamed ones and those that recur last."""
        if len(report.sent_at_by_part) <= max_parts:
            return report

        def order(part):
            key = report.service, part
            return key not in self.blamed, key not in self._repeated_keys

        chosen = sorted(report.sent_at_by_part, key=order)[:max_parts]
        sent_at_by_part = {part: report.sent_at_by_part[part] for part in chosen}
        return dataclasses.replace(report, sent_at_by_part=sent_at_by_part)

    def add_answer(self, key, answered_at):
        """Add that an answer on a service and part began; returns whether it is new."""
        if self._answered_at_by_key.get(key, -math.inf) >= answered_at:
            return False
        self._answered_at_by_key[key] = answered_at
        self._answered_at_by_key.move_to_end(key)
        if len(self._answered_at_by_key) > _MAX_ANSWERED_PARTS:
            self._answered_at_by_key.popitem(last=False)
        self._update((key,))
        return True

    @property
    def size(self):
        """Number of parts in all reports together."""
        return sum(len(crash_ids) for crash_ids in self._crash_ids_by_key.values())

    def is_suspect(self, key):
        """Return whether a service and part has a crash since its last answer."""
        return bool(self._open_reports(key))

    def crash_count(self, key):
        """Return the number of crashes of a service and part since its last answer."""
        return len(self._open_reports(key))

    def lasting_reports(self):
        """Return what a fleet that starts has to know, the newest crashes first.

        These are the crashes of parts that are blamed, and of parts that were never
        answered and had several crashes.
        """
        sent_at_by_part_by_id = {}
        for key in self._repeated_keys:
            if key in self._answered_at_by_key and key not in self.blamed:
                continue
            for report in self._open_reports(key):
                kept = sent_at_by_part_by_id.setdefault(report.crash_id, {})
                kept[key[1]] = report.sent_at_by_part[key[1]]
        lasting = [
            self._shorten(
                dataclasses.replace(
                    self._report_by_id[crash_id],
                    sent_at_by_part=dict(sorted(kept.items())),
                ),
                _MAX_LASTING_PARTS,
            )
            for crash_id, kept in sent_at_by_part_by_id.items()
        ]
        lasting.sort(
            key=lambda report: (not self.blamed.isdisjoint(report.keys()), report.at),
            reverse=True,
        )
        return lasting[:_MAX_LASTING_CRASHES]

    def _open_reports(self, key):
        """Return the crashes of a service and part since its last answer, in order."""
        answered_at = self._answered_at_by_key.get(key, -math.inf)
        reports = [self._report_by_id[i] for i in self._crash_ids_by_key.get(key, ())]
        found = [report for report in reports if report.at > answered_at]
        return sorted(found, key=lambda report: report.at)

    def _forget_report(self):
        """Drop the oldest crash, if possible one whose parts had no other crash."""
        oldest = min(
            self._report_by_id.values(),
            key=lambda report: (
                not self._repeated_keys.isdisjoint(report.keys()),
                report.at,
            ),
        )
        del self._report_by_id[oldest.crash_id]
        self._remove_keys(oldest.crash_id, oldest.keys())

    def _remove_keys(self, crash_id, keys):
        for key in keys:
            crash_ids = self._crash_ids_by_key[key]
            crash_ids.discard(crash_id)
            if len(crash_ids) < 2:
                self._repeated_keys.discard(key)
            if not crash_ids:
                del self._crash_ids_by_key[key]

    def _update(self, changed_keys):
        if self._repeated_keys.isdisjoint(changed_keys) and self.blamed.isdisjoint(
            changed_keys
        ):
            return
        reports_by_key = {key: self._open_reports(key) for key in self._repeated_keys}
        self.blamed = find_blamed(
            {
                key: reports
                for key, reports in reports_by_key.items()
                if len(reports) >= _MIN_CRASHES
            },
            self._answered_at_by_key,
        )
