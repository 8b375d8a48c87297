"""Steps for the quotas of one host."""

import datetime

import behave
import quota_fleet
import virtual_clock

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.coordination import single_host
from peridothitch.gateway.forwarding import fleet_messages, quota_limiter
from peridothitch.policy import token_quota
from peridothitch.ports import forwarding, peers

_HOST_COUNT = 7
_TOKENS_PER_REQUEST = 1000


@behave.given("a host with a report that a customer is far below its quota")
def report_low_use(context):
    context.clock = virtual_clock.VirtualClock()
    context.customer = forwarding.Customer(
        name=quota_fleet.CUSTOMER, quota=quota_fleet.QUOTA
    )
    context.limiter = quota_limiter.QuotaLimiter(
        quota_fleet.BOUNDS,
        lambda: _HOST_COUNT,
        single_host.SingleHostPeers(
            peers.Peer(host_id="edge-1", address="", data_centre="lothian-a")
        ),
        context.clock,
        metrics.Metrics(),
    )
    table = forwarding.RoutingTable(version=1, customer_by_key={"k": context.customer})
    context.limiter.update_table(table)
    context.clock.advance(datetime.timedelta(seconds=10))
    demand = {quota_fleet.CUSTOMER: 0.1 * quota_fleet.QUOTA.rate}
    share = {quota_fleet.CUSTOMER: 1 / _HOST_COUNT}
    context.limiter.apply_view(
        fleet_messages.FleetView(_HOST_COUNT, demand, share, 60.0)
    )


@behave.when(
    "it receives nothing for {seconds:d} seconds and is asked for 4 times its share"
)
def request_excess(context, seconds):
    context.clock.advance(datetime.timedelta(seconds=seconds))
    full_limit = token_quota.window_limit(quota_fleet.QUOTA, quota_fleet.BOUNDS)
    context.share = full_limit / _HOST_COUNT
    context.admitted = 0.0
    requested_tokens = 0.0
    while requested_tokens < 4 * context.share:
        requested_tokens += _TOKENS_PER_REQUEST
        try:
            reservation = context.limiter.reserve(context.customer, _TOKENS_PER_REQUEST)
            context.admitted += reservation.units
        except errors.RequestError:
            continue


@behave.then("it admits no more in a span than its share")
def check(context):
    assert context.admitted <= context.share + _TOKENS_PER_REQUEST, (
        context.admitted,
        context.share,
    )
