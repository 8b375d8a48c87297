"""Stand-in for the platform's API that one entry host calls on behalf of all."""

import json
import threading

from peridothitch.adapters import problems

__all__ = ["PlatformDutiesService"]


class PlatformDutiesService:
    """WSGI application that records the accepted reports and orders.

    Attributes
    ----------
    counts_by_window : dict of int to dict
        The accepted usage reports.
    conflicting_windows : list of int
        Windows that were reported more than once with different counts.
    orders : list of dict
        The accepted orders.
    sold_out : set of str
        Data centres that have no reclaimable hosts.
    answers_to_drop : int
        Number of upcoming calls that are applied but not answered.
    reused_fencing_numbers : list of int
        Fencing numbers that two holders used.
    holder_by_number : dict of int to str
        First holder that used each fencing number.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._highest_number_by_subject = {}
        self.counts_by_window = {}
        self.conflicting_windows = []
        self.orders = []
        self.sold_out = set()
        self.answers_to_drop = 0
        self.reused_fencing_numbers = []
        self.holder_by_number = {}

    def __call__(self, environ, start_response):
        """Answer one call."""
        body = json.loads(environ["wsgi.input"].read())
        number = int(environ["HTTP_PERIDOTHITCH_FENCING_TOKEN"])
        holder = environ["HTTP_PERIDOTHITCH_LEASE_HOLDER"]
        with self._lock:
            if self.holder_by_number.setdefault(number, holder) != holder:
                self.reused_fencing_numbers.append(number)
            status, text = self._apply(environ["PATH_INFO"], body, number)
            lost = self.answers_to_drop > 0
            self.answers_to_drop -= lost
        if lost:
            start_response(problems.status_line(200), [("Content-Length", "1000")])
            return [b""]
        answer = json.dumps({"error": text} if text else {}).encode()
        headers = [("Content-Length", str(len(answer)))]
        start_response(problems.status_line(status), headers)
        return [answer]

    def _apply(self, path, body, number):
        subject = path, body.get("service"), body.get("zone")
        if number < self._highest_number_by_subject.get(subject, 0):
            return 409, "a higher fence was seen"
        self._highest_number_by_subject[subject] = number
        if path == "/usage":
            return self._accept_usage(body)
        if body.get("spot_enabled") and body["zone"] in self.sold_out:
            return 409, "none of that kind is to be had"
        self.orders.append(body)
        return 200, ""

    def _accept_usage(self, body):
        window, counts = body["window_id"], body["counts"]
        if self.counts_by_window.setdefault(window, counts) != counts:
            self.conflicting_windows.append(window)
        return 200, ""
