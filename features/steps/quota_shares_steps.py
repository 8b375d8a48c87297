"""Steps for the shares that one host grants to all."""

import datetime

import behave
import hypothesis
from hypothesis import strategies as st

from peridothitch.policy import quota_shares
from peridothitch.ports import peers

_SETTINGS = hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
_SECOND = datetime.timedelta(seconds=1)
_LARGE_LIMIT = 1000.0
"""Limit in requests of a quota of which every host owns a share."""

_SMALL_LIMIT = 10.0
"""Limit of one that a few hosts own."""


@behave.then(
    "in every history of reports, pauses and restarts the shares in use add up to"
    " at most 1"
)
def check_shares(context):
    events = st.lists(
        st.tuples(
            st.integers(0, 4),
            st.sampled_from(("report", "restart", "wait")),
            st.floats(0.0, 1000.0),
            st.floats(0.0, 1.0),
        ),
        max_size=60,
    )

    @_SETTINGS
    @hypothesis.given(events, st.sampled_from((_LARGE_LIMIT, _SMALL_LIMIT)))
    def run(history, limit):
        _simulate_shares(history, limit)

    run()


def _simulate_shares(history, limit):
    ledger = quota_shares.QuotaShares()
    count = 5
    terms_by_customer = {"c": quota_shares.QuotaTerms(limit=limit)}
    peer_by_id = {
        str(number): peers.Peer(
            host_id=str(number), address="", data_centre=f"dc-{number % 2}"
        )
        for number in range(count)
    }
    share_by_host = {number: 1 / count for number in range(count)}
    granted_at_by_host = dict.fromkeys(range(count), datetime.timedelta(0))
    incarnation_by_host = dict.fromkeys(range(count), 0)
    now = datetime.timedelta(0)
    for host, kind, demand, elapsed in history:
        now += elapsed * _SECOND
        if kind == "wait":
            continue
        if kind == "restart":
            incarnation_by_host[host] += 1
        report = quota_shares.QuotaReport(
            host_id=str(host),
            incarnation=str(incarnation_by_host[host]),
            share_by_customer={"c": share_by_host[host]},
            used_by_customer={"c": share_by_host[host]},
            demand_by_customer={"c": demand},
        )
        grant = ledger.grant(report, peer_by_id, now, terms_by_customer)
        share_by_host[host] = grant.share_by_customer.get("c", 1 / count)
        granted_at_by_host[host] = now
        total = sum(
            quota_shares.usable_share(share, 1 / count, now - granted_at_by_host[other])
            for other, share in share_by_host.items()
        )
        assert total <= 1 + 1e-9, share_by_host
