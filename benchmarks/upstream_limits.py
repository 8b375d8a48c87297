"""Measures time and messages of limits that upstreams name, at several fleet sizes.

Run: PYTHONPATH=src python benchmarks/upstream_limits.py
"""

import time
import tracemalloc

from peridothitch.adapters import metrics, system_clock
from peridothitch.coordination import fact_table, single_host
from peridothitch.gateway.forwarding import upstream_limits
from peridothitch.policy import upstream_limits as policy
from peridothitch.ports import upstream

_HOST_COUNTS = (7, 85, 380)
_LIMITED_COUNT = 1024
_REPEATS = 200


class _Facts(single_host.LocalFactRegistry):
    size = 0

    def publish(self, fact):
        self.size = fact_table.wire_size(fact)
        return super().publish(fact)


class _Peers:
    def __init__(self, count):
        self.host_id = "edge-lothian-a-0"
        self._members = {f"edge-lothian-a-{number}": None for number in range(count)}

    def members(self):
        return dict(self._members)


def _host(number):
    return upstream.Host(
        host_id=f"i-{number:010x}",
        address="",
        service="model",
        version="v1",
        data_centre="lothian-a",
        price_per_hour=1.0,
        state=upstream.HostState.LIVE,
        incarnation=1769792456399,
    )


def main():
    """Print the figures, one a line."""
    for count in _HOST_COUNTS:
        peers = _Peers(count)
        began = time.process_time()
        for number in range(_REPEATS):
            policy.choose_owners(f"i-{number}/1", peers.members())
        seconds = (time.process_time() - began) / _REPEATS
        print(f"owners among {count} hosts: {seconds * 1e6:.0f} us")
    tracemalloc.start()
    registry = _Facts()
    limits = upstream_limits.UpstreamLimits(
        _Peers(380), registry, system_clock.SystemClock(), metrics.Metrics()
    )
    before = tracemalloc.get_traced_memory()[0]
    hosts = [_host(number) for number in range(_LIMITED_COUNT)]
    for host in hosts:
        limits.record(host, 1.8)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"{_LIMITED_COUNT} limits with their facts: {used / 1e6:.2f} MB")
    print(f"a limit's fact: {registry.size} bytes")
    limits.may_send(hosts[0])
    began = time.process_time()
    for _ in range(_REPEATS):
        limits.may_send(hosts[0])
    seconds = (time.process_time() - began) / _REPEATS
    print(f"a look at a limited upstream: {seconds * 1e6:.1f} us")


if __name__ == "__main__":
    main()
