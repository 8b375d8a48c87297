"""Calls to the platform that one entry host makes for all."""

import datetime

import logbook

from peridothitch import errors
from peridothitch.platform import client
from peridothitch.ports import duties

__all__ = ["HttpDuties"]

_CALL_TIMEOUT = datetime.timedelta(seconds=1.5)
"""Short compared with the term of the lease under which the calls are made."""

_OK = 200
_CONFLICT = 409
_TOO_MANY = 429
_UNAVAILABLE = 503
_NO_HOSTS_TEXT = "to be had"
_log = logbook.Logger(__name__)


class HttpDuties(duties.PlatformDuties):
    """Client of the platform's interface for duties.

    Parameters
    ----------
    address : str
        IP number and port.
    holder : str
        Name of this host.
    clock : peridothitch.ports.clock.Clock
    """

    def __init__(self, address, holder, clock):
        self._client = client.Client(address, clock)
        self._holder = holder

    def close(self):
        """Close the idle connections."""
        self._client.close()

    def report_usage(self, report, fencing_number):
        """Send a usage report."""
        body = {"window_id": report.window, "counts": report.count_by_customer}
        return self._call("/usage", body, fencing_number)

    def order_capacity(self, order, fencing_number):
        """Send an order for hosts."""
        body = {
            "service": order.service,
            "zone": order.data_centre,
            "desired_count": order.count,
        }
        if order.reclaimable:
            body["spot_enabled"] = True
        return self._call("/capacity", body, fencing_number)

    def _call(self, path, body, fencing_number):
        headers = {
            "Peridothitch-Lease-Holder": self._holder,
            "Peridothitch-Fencing-Token": str(fencing_number),
        }
        try:
            answer = self._client.call(
                "POST", path, _CALL_TIMEOUT, body=body, headers=headers
            )
        except client.CallError as error:
            unclear = errors.Code.CLOUD_UNCLEAR
            code = unclear if error.sent else errors.Code.CLOUD_UNAVAILABLE
            raise errors.CloudError(code, str(error)) from None
        if answer.status == _OK:
            return duties.DutyAnswer(True)
        detail = f"status {answer.status} {answer.error_text}".strip()
        if answer.status in (_TOO_MANY, _UNAVAILABLE):
            raise errors.CloudError(errors.Code.CLOUD_UNAVAILABLE, detail)
        return duties.DutyAnswer(False, _is_superseded(answer), detail)


def _is_superseded(answer):
    """Return whether a refusal is about the fencing number.

    An order is also refused with this status when no hosts are available; only the
    error text distinguishes the two.
    """
    if answer.status != _CONFLICT:
        return False
    return _NO_HOSTS_TEXT not in answer.error_text
