"""Learns how much work of each urgency a service was asked for and did not do in time.

Answers overload with requests of several urgencies: the less urgent ones make room for
as much work of the more urgent ones as was late in the last seconds, the least urgent
first, and customers yield what they ask beyond their fair share.
"""

import collections
import math

__all__ = ["DecayingSum", "ServicePressure"]

_HALF_LIFE_SECONDS = 3.0
_TOLERATED_LATE_SHARE = 0.05
"""Late work of one urgency that makes nothing yield."""

_MAX_YIELD_SHARE = 0.6
"""Every urgency keeps two fifths of its requests, so that no kind is starved."""

_MAX_EXCESS_SHARE = 0.7
_FAIR_FACTOR = 2.0
"""Multiple of its equal share from which a customer's use counts as excess."""

_MIN_CUSTOMER_REQUESTS = 6.0
"""Requests of a customer below which its share is chance."""

_MAX_CUSTOMERS = 1024


class DecayingSum:
    """A sum in which older amounts weigh less.

    Parameters
    ----------
    half_life : float
        In seconds.
    """

    def __init__(self, half_life=_HALF_LIFE_SECONDS):
        self._half_life = half_life
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount, now):
        """Add an amount at a monotonic time in seconds."""
        self._sum = self.value(now) + amount
        self._at = max(now, self._at)

    def value(self, now):
        """Return the sum at a monotonic time in seconds."""
        if not self._sum:
            return 0.0
        return self._sum * 0.5 ** (max(0.0, now - self._at) / self._half_life)


class ServicePressure:
    """Arrivals, late work and customers' use at one service; times in seconds."""

    def __init__(self):
        self._asked = collections.defaultdict(DecayingSum)
        self._late = collections.defaultdict(DecayingSum)
        self._unmet = collections.defaultdict(DecayingSum)
        self._admitted = collections.defaultdict(DecayingSum)
        self._use_by_customer = collections.OrderedDict()

    def record_arrival(self, priority, work, customer, weight, now):
        """Record a request.

        Parameters
        ----------
        priority : int
        work : float
            In any unit, the same for all requests of the service.
        customer : str
        weight : float
            Share that the customer is entitled to, relative to other customers.
        now : float
        """
        self._asked[priority].add(work, now)
        entry = self._use_by_customer.get(customer)
        if entry is None:
            entry = [DecayingSum(), DecayingSum(), weight]
            self._use_by_customer[customer] = entry
            while len(self._use_by_customer) > _MAX_CUSTOMERS:
                self._use_by_customer.popitem(last=False)
        self._use_by_customer.move_to_end(customer)
        use, count, _ = entry
        entry[2] = weight
        use.add(work, now)
        count.add(1.0, now)

    def record_admitted(self, priority, work, now):
        """Record that a request was admitted."""
        self._admitted[priority].add(work, now)

    def record_late(self, priority, work, now):
        """Record that an admitted request started late, or not at all."""
        self._late[priority].add(work, now)
        self._unmet[priority].add(work, now)

    def record_refused(self, priority, work, now):
        """Record that a request was refused for want of room."""
        self._unmet[priority].add(work, now)

    def strain(self, priority, now):
        """Return the share of an urgency's admitted work that was late.

        What was only expected to be late doesn't count: if the expectation is wrong,
        more is admitted until this shows how much is late indeed.
        """
        admitted = self._admitted[priority].value(now)
        return min(1.0, self._late[priority].value(now) / admitted) if admitted else 0.0

    def yield_share(self, priority, now):
        """Return the share of an urgency's requests that make room for more urgent."""
        due = self._excess_late(priority, now)
        # What is less urgent yields first.
        for other in sorted(self._asked, reverse=True):
            if other <= priority:
                break
            due -= _MAX_YIELD_SHARE * self._asked[other].value(now)
        asked = self._asked[priority].value(now)
        if due <= 0 or not asked:
            return 0.0
        return min(_MAX_YIELD_SHARE, due / asked)

    def _excess_late(self, priority, now):
        return sum(
            max(
                0.0, late.value(now) - _TOLERATED_LATE_SHARE * self._asked[p].value(now)
            )
            for p, late in list(self._unmet.items())
            if p < priority
        )

    def weighted_use(self, customer, now):
        """Return a customer's recent use over its entitlement."""
        entry = self._use_by_customer.get(customer)
        return entry[0].value(now) / entry[2] if entry is not None else 0.0

    def excess_share(self, customer, now):
        """Return the share of a customer's requests that is beyond its fair share."""
        entry = self._use_by_customer.get(customer)
        if entry is None or entry[1].value(now) < _MIN_CUSTOMER_REQUESTS:
            return 0.0
        total = weight = 0.0
        for use, count, other_weight in self._use_by_customer.values():
            if count.value(now) >= 0.5:
                total += use.value(now)
                weight += other_weight
        used = entry[0].value(now)
        others, other_weights = total - used, weight - entry[2]
        if others <= 0 or other_weights <= 0 or not math.isfinite(other_weights):
            return 0.0
        fair = _FAIR_FACTOR * others * entry[2] / other_weights
        return min(_MAX_EXCESS_SHARE, max(0.0, 1.0 - fair / used)) if used else 0.0
