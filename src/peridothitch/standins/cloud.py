"""Stand-in for the cloud API: starts, refuses, reclaims and ends machines."""

import dataclasses
import itertools
import threading

import msgspec

from peridothitch import errors
from peridothitch.adapters import http_cloud
from peridothitch.ports import cloud

__all__ = ["CloudService", "MemoryCloud"]

_JSON_HEADERS = [("content-type", "application/json")]


class MemoryCloud(cloud.Cloud):
    """Cloud API in memory.

    Parameters
    ----------
    offers : iterable of peridothitch.ports.cloud.Offer
    checks_fencing : bool
        Whether orders with an old fencing number are refused.

    Attributes
    ----------
    start_count_by_order_id : dict of str to int
        Number of hosts ever started for each order.
    """

    def __init__(self, offers, checks_fencing=True):
        self._lock = threading.Lock()
        self._offer_by_name = {offer.name: offer for offer in offers}
        self._checks_fencing = checks_fencing
        self._highest_fencing_number = 0
        self._machine_by_order_id = {}
        self._refused_offer_names = set()
        self._host_numbers = itertools.count(1)
        self.start_count_by_order_id = {}

    def offers(self):
        """Return the current offers."""
        with self._lock:
            return tuple(self._offer_by_name.values())

    def machines(self):
        """Return all machines."""
        with self._lock:
            return dict(self._machine_by_order_id)

    def start(self, order, fencing_number):
        """Start the host of an order."""
        with self._lock:
            self._check_fencing(fencing_number)
            if order.order_id in self._machine_by_order_id:
                return
            ended = order.order_id in self.start_count_by_order_id
            if ended or order.offer.name in self._refused_offer_names:
                raise errors.CloudError(errors.Code.START_REFUSED, order.offer.name)
            self.start_count_by_order_id[order.order_id] = 1
            host_id = f"{order.service}-{next(self._host_numbers)}"
            machine = cloud.Machine(host_id=host_id, order=order)
            self._machine_by_order_id[order.order_id] = machine

    def stop(self, host_id, fencing_number):
        """Set the machine of a host to leaving, so that it drains and ends."""
        with self._lock:
            self._check_fencing(fencing_number)
            self._set_state(host_id, cloud.MachineState.LEAVING)

    def finish_transitions(self):
        """Make all starting machines live and end the leaving ones."""
        with self._lock:
            for order_id, machine in list(self._machine_by_order_id.items()):
                if machine.state is cloud.MachineState.LEAVING:
                    del self._machine_by_order_id[order_id]
                else:
                    self._set_state(machine.host_id, cloud.MachineState.LIVE)

    def reclaim(self, data_centre):
        """Send a notice to all reclaimable machines of a data centre."""
        with self._lock:
            for machine in list(self._machine_by_order_id.values()):
                offer = machine.order.offer
                if offer.reclaimable and offer.data_centre == data_centre:
                    self._set_state(machine.host_id, cloud.MachineState.LEAVING)

    def end_data_centre(self, data_centre):
        """End all machines of a data centre at once."""
        with self._lock:
            self._machine_by_order_id = {
                order_id: machine
                for order_id, machine in self._machine_by_order_id.items()
                if machine.order.offer.data_centre != data_centre
            }

    def refuse_offers(self, names):
        """Refuse starts of the offers named."""
        with self._lock:
            self._refused_offer_names = set(names)

    def change_price(self, name, price_per_hour):
        """Change the price of an offer."""
        with self._lock:
            self._offer_by_name[name] = dataclasses.replace(
                self._offer_by_name[name], price_per_hour=price_per_hour
            )

    def _check_fencing(self, fencing_number):
        if not self._checks_fencing:
            return
        if fencing_number < self._highest_fencing_number:
            raise errors.CloudError(
                errors.Code.CLOUD_UNAVAILABLE, f"old fencing number {fencing_number}"
            )
        self._highest_fencing_number = fencing_number

    def _set_state(self, host_id, state):
        for order_id, machine in self._machine_by_order_id.items():
            if machine.host_id == host_id:
                changed = dataclasses.replace(machine, state=state)
                self._machine_by_order_id[order_id] = changed
                return


class CloudService:
    """WSGI application over a `MemoryCloud`.

    Parameters
    ----------
    memory_cloud : MemoryCloud
    """

    def __init__(self, memory_cloud):
        self._cloud = memory_cloud

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        try:
            answer = self._answer(environ)
        except errors.CloudError as error:
            refused = error.code is errors.Code.START_REFUSED
            start_response(
                "409 Conflict" if refused else "403 Forbidden", _JSON_HEADERS
            )
            return [msgspec.json.encode({"detail": error.detail})]
        start_response("200 OK", _JSON_HEADERS)
        return [msgspec.json.encode(answer)]

    def _answer(self, environ):
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        header = "HTTP_" + http_cloud.FENCING_HEADER.upper().replace("-", "_")
        fencing_number = int(environ.get(header, "0"))
        if method == "PUT":
            body = environ["wsgi.input"].read()
            order = msgspec.json.decode(body, type=cloud.Order)
            return self._cloud.start(order, fencing_number)
        if method == "DELETE":
            return self._cloud.stop(path.rpartition("/")[2], fencing_number)
        if path == "/v1/offers":
            return self._cloud.offers()
        self._cloud.finish_transitions()
        return list(self._cloud.machines().values())
