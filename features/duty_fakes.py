"""Stand-ins for what the duties use."""

import datetime

from peridothitch import errors
from peridothitch.coordination import lease
from peridothitch.ports import duties


class Platform(duties.PlatformDuties):
    """Records the reports; can lose a reply."""

    def __init__(self):
        self.reports = []
        self.lose_next = False
        self.highest = 0

    def report_usage(self, report, fencing_number):
        if fencing_number < self.highest:
            return duties.DutyAnswer(False, superseded=True)
        self.highest = fencing_number
        self.reports.append(report)
        if self.lose_next:
            self.lose_next = False
            raise errors.CloudError(errors.Code.CLOUD_UNCLEAR, "lost")
        return duties.DutyAnswer(True)

    def order_capacity(self, order, fencing_number):
        raise NotImplementedError


class Lease:
    """A lease that is held until it is abandoned."""

    def __init__(self, number):
        self.number = number
        self.abandoned = False

    def permit(self):
        if self.abandoned:
            raise errors.LeaseError("abandoned")
        return lease.Permit(self.number, datetime.timedelta(hours=1))

    def abandon(self):
        self.abandoned = True
