"""Measures calls and bytes of the exchange of loads on a virtual fleet.

Run: PYTHONPATH=src python benchmarks/load_exchange.py
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "features"))

import load_fleet  # noqa: E402

from peridothitch.policy import shared_loads  # noqa: E402
from peridothitch.ports import forwarding  # noqa: E402

_FLEETS = ((7, 3, 20, 10), (84, 6, 144, 10), (380, 4, 630, 137))
"""Hosts, data centres, upstreams, requests in progress at each host."""

_WARM_SECONDS = 5
_SECONDS = 4


def _measure(host_count, centres, upstream_count, in_progress):
    fleet = load_fleet.LoadFleet(host_count, data_centre_count=centres)
    keys = [
        shared_loads.upstream_key(f"i-{number}", 0) for number in range(upstream_count)
    ]
    hosts = list(fleet.host_by_id.values())
    for host in hosts:
        for _ in range(in_progress):
            key = fleet.random.choice(keys)
            count, tokens = host.use_by_upstream.get(key, (0, 0.0))
            host.use_by_upstream[key] = count + 1, tokens + 2000.0

    def tell_loads():
        # An answer with a load for each upstream and quarter of a second.
        now = fleet.seconds
        for key in fleet.random.sample(keys, max(1, len(keys) // 10)):
            host = fleet.random.choice(hosts)
            load = forwarding.Load(20, 3, 32, 1.2)
            host.seen_by_upstream[key] = shared_loads.SeenLoad(load, now)

    fleet.run(_WARM_SECONDS, tell_loads)
    for counter in (fleet.calls_by_host, fleet.answers_by_host, fleet.bytes_by_host):
        counter.clear()
    began = time.process_time()
    fleet.run(_SECONDS, tell_loads)
    used = time.process_time() - began
    relays = shared_loads.relays(hosts[0].members())
    print(f"{host_count} hosts, {upstream_count} upstreams, {len(relays)} relays")
    for name, chosen in (("hosts", set(fleet.host_by_id) - relays), ("relays", relays)):
        for what, counter in (
            ("calls made", fleet.calls_by_host),
            ("calls answered", fleet.answers_by_host),
            ("bytes", fleet.bytes_by_host),
        ):
            rates = [counter[host_id] / _SECONDS for host_id in chosen] or [0]
            mean = sum(rates) / len(rates)
            print(f"  {name}, {what} a second: {mean:.1f} ({max(rates):.1f} at most)")
    print(f"  processor, of a core and host: {used / _SECONDS / host_count:.4f}")


def main():
    """Print the figures, one a line."""
    for fleet in _FLEETS:
        _measure(*fleet)


if __name__ == "__main__":
    main()
