"""Holds customers to their quotas over all entry hosts."""

import datetime
import threading

from peridothitch import errors
from peridothitch.policy import quota_shares, token_quota

__all__ = ["QuotaBook"]

_LONGEST_RETRY_AFTER = datetime.timedelta(seconds=5)
_EXPIRED_PART = 0.25
"""Part of an even share that is used once others may have been granted it."""


class QuotaBook:
    """Token buckets of all customers at this host.

    Parameters
    ----------
    promises : peridothitch.ports.site.Promises
    host_count : callable
        Returns the number of entry hosts believed live.
    clock : peridothitch.ports.clock.Clock
    metrics : peridothitch.adapters.metrics.Metrics
    """

    def __init__(self, promises, host_count, clock, metrics):
        self._promises = promises
        self._host_count = host_count
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._bucket_by_name = {}
        self._share_by_name = {}
        self._total_by_name = {}
        self._granted_at = None

    def take(self, customer, tokens):
        """Take what a request needs.

        Parameters
        ----------
        customer : peridothitch.ports.forwarding.Customer
        tokens : int
            What the request declares, 0 if nothing.

        Returns
        -------
        float
            Units taken; to be given back if the request does not run.

        Raises
        ------
        peridothitch.errors.RequestError
            QUOTA_REACHED
        """
        quota = customer.quota
        if quota is None:
            return 0.0
        units = 1.0
        if quota.counts_tokens:
            units = float(tokens or quota.default_tokens)
        now = self._clock.monotonic().total_seconds()
        with self._lock:
            bucket = self._bucket(customer, now)
            if bucket.ask(units, now):
                return units
            wait = datetime.timedelta(seconds=min(60.0, bucket.wait_seconds()))
        self._metrics.count("quota_refusals", customer=customer.name)
        raise errors.RequestError(
            errors.Code.QUOTA_REACHED,
            f"customer {customer.name} may use {quota.rate:.0f} a second; here "
            f"{bucket.rate:.0f}, asked for {bucket.demand:.0f}, wanted {units:.0f}",
            retry_after=min(wait, _LONGEST_RETRY_AFTER),
        )

    def give_back(self, customer, units):
        """Return the units of a request that did not run."""
        with self._lock:
            bucket = self._bucket_by_name.get(customer.name)
            if bucket is not None and units:
                bucket.give_back(units)

    def demand(self):
        """Return the units a second asked for here, by customer."""
        with self._lock:
            return {
                name: round(bucket.demand, 1)
                for name, bucket in self._bucket_by_name.items()
                if bucket.demand >= 1.0
            }

    def shares(self):
        """Return the shares that this host uses, by customer."""
        with self._lock:
            return dict(self._share_by_name)

    def take_view(self, view):
        """Take in a `peridothitch.gateway.forwarding.fleet_reports.FleetView`."""
        with self._lock:
            self._total_by_name = dict(view.demand_by_customer)
            self._share_by_name = dict(view.share_by_customer)
            self._granted_at = self._clock.monotonic()

    def _share(self, name):
        even = 1.0 / self._host_count()
        share = self._share_by_name.get(name, even)
        if self._granted_at is None:
            return share
        age = self._clock.monotonic() - self._granted_at
        if age > quota_shares.GRANT_LIFETIME:
            return min(share, _EXPIRED_PART * even)
        return share

    def _bucket(self, customer, now):
        bucket = self._bucket_by_name.get(customer.name)
        if bucket is None:
            bucket = token_quota.CustomerBucket()
            self._bucket_by_name[customer.name] = bucket
        share = self._share(customer.name)
        total = self._total_by_name.get(customer.name, 0.0)
        depth = token_quota.bucket_depth(customer.quota, self._promises, total)
        bucket.set_share(share * customer.quota.rate, share * depth, now)
        return bucket
