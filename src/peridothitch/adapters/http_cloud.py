"""Cloud API over HTTP and JSON."""

import datetime
import http
import http.client

import msgspec

from peridothitch import bounded_reader, errors
from peridothitch.adapters import boot_clock
from peridothitch.ports import cloud

__all__ = ["FENCING_HEADER", "HttpCloud"]

FENCING_HEADER = "x-fencing-number"
"""Request header with the lease's fencing number."""

_TIMEOUT = datetime.timedelta(seconds=1)
_MAX_RESPONSE_BYTES = 8 << 20
_JSON_CONTENT_TYPE = "application/json"


class HttpCloud(cloud.Cloud):
    """Client of the cloud API.

    Parameters
    ----------
    address : str
        IP address and port.
    timeout : datetime.timedelta
        Limit on the duration of one call; shorter than the lease's longest order.
    clock : peridothitch.ports.clock.Clock or None
    """

    def __init__(self, address, timeout=_TIMEOUT, clock=None):
        self._address = address
        self._timeout = timeout
        self._clock = clock or boot_clock.BootClock()

    def offers(self):
        """Read the current offers."""
        body = self._call("GET", "/v1/offers")
        return tuple(_decode(body, list[cloud.Offer]))

    def machines(self):
        """Read all machines."""
        found = _decode(self._call("GET", "/v1/machines"), list[cloud.Machine])
        return {machine.order.order_id: machine for machine in found}

    def start(self, order, fencing_number):
        """Start the host of an order."""
        path = f"/v1/machines/{order.order_id}"
        self._call("PUT", path, fencing_number, msgspec.json.encode(order))

    def stop(self, host_id, fencing_number):
        """Drain and stop a host."""
        self._call("DELETE", f"/v1/machines/{host_id}", fencing_number)

    def _call(self, method, path, fencing_number=None, body=None):
        name, _, port = self._address.rpartition(":")
        connection = http.client.HTTPConnection(
            name, int(port), timeout=self._timeout.total_seconds()
        )
        headers = {"content-type": _JSON_CONTENT_TYPE}
        if fencing_number is not None:
            headers[FENCING_HEADER] = str(fencing_number)
        try:
            connection.connect()
        except OSError as error:
            raise _to_error(errors.Code.CLOUD_UNAVAILABLE, error) from None
        try:
            connection.request(method, path, body, headers)
            with bounded_reader.open_response(
                connection,
                self._clock,
                _MAX_RESPONSE_BYTES,
                self._timeout,
                self._timeout,
            ) as response:
                payload = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise _to_error(errors.Code.CLOUD_UNCLEAR, error) from None
        finally:
            connection.close()
        if response.status == http.HTTPStatus.CONFLICT:
            raise _to_error(errors.Code.START_REFUSED, payload)
        if response.status != http.HTTPStatus.OK:
            raise _to_error(errors.Code.CLOUD_UNAVAILABLE, response.status)
        return payload


def _decode(body, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise _to_error(errors.Code.CLOUD_UNAVAILABLE, error) from None


def _to_error(code, detail):
    return errors.CloudError(code, f"cloud API: {detail!r}")
