"""Steps for the quotas of one host."""

import datetime

import behave
import quota_fleet
import virtual_clock

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import fleet_reports, quota_limiter
from peridothitch.policy import token_quota
from peridothitch.ports import forwarding

_HOSTS = 7
_TOKENS = 1000


@behave.given("a host that was told that a customer is far from its quota")
def report_low_use(context):
    context.clock = virtual_clock.VirtualClock()
    context.customer = forwarding.Customer(
        name=quota_fleet.CUSTOMER, quota=quota_fleet.QUOTA
    )
    context.limiter = quota_limiter.QuotaLimiter(
        quota_fleet.BOUNDS, lambda: _HOSTS, context.clock, metrics.Metrics()
    )
    table = forwarding.RoutingTable(version=1, customer_by_key={"k": context.customer})
    context.limiter.update_table(table)
    context.clock.advance(datetime.timedelta(seconds=10))
    demand = {quota_fleet.CUSTOMER: 0.1 * quota_fleet.QUOTA.rate}
    share = {quota_fleet.CUSTOMER: 1 / _HOSTS}
    context.limiter.apply_view(fleet_reports.FleetView(_HOSTS, demand, share, 60.0))


@behave.when(
    "it hears nothing for {seconds:d} seconds and is asked for 4 times its share"
)
def ask(context, seconds):
    context.clock.advance(datetime.timedelta(seconds=seconds))
    full_limit = token_quota.window_limit(quota_fleet.QUOTA, quota_fleet.BOUNDS)
    context.share = full_limit / _HOSTS
    context.admitted = 0.0
    asked = 0.0
    while asked < 4 * context.share:
        asked += _TOKENS
        try:
            context.admitted += context.limiter.reserve(context.customer, _TOKENS)
        except errors.RequestError:
            continue


@behave.then("it lets no more pass in a span than its share")
def check(context):
    assert context.admitted <= context.share + _TOKENS, (
        context.admitted,
        context.share,
    )
