"""Embeds the coordination components in one program, without the daemon.

Three nodes stand for three processes.

Run it with ``PYTHONPATH=src python examples/embed_coordination.py``.
"""

import concurrent.futures
import datetime
import random
import threading

from peridothitch.adapters import memory_store, metrics, system_clock, thrift_transport
from peridothitch.coordination import gossip, lease, membership, reconciliation
from peridothitch.ports import facts, peers

SECOND = datetime.timedelta(seconds=1)
WAIT_TIMEOUT_SECONDS = 20


class Node:
    """A member of the fleet that competes for one lease."""

    def __init__(self, name, service, clock, executor, seeds):
        metrics_registry = metrics.Metrics()
        self.name = name
        self.transport = thrift_transport.ThriftTransport(
            name, "127.0.0.1:0", metrics_registry
        )
        self.facts = gossip.Gossip(clock, metrics_registry)
        self.members = membership.Membership(
            peers.Peer(
                host_id=name, address=self.transport.address, data_centre="local"
            ),
            self.transport,
            self.facts,
            clock,
            metrics_registry,
            random_source=random.SystemRandom(),
            executor=executor,
            seeds=seeds,
        )
        terms = lease.LeaseTerms(
            name="painter", ttl=3 * SECOND, max_order_time=SECOND / 2
        )
        self.lease = lease.FencedLease(service, terms, name, clock)
        self.transport.start()


class Wall(reconciliation.OrderTarget):
    """Accepts orders and checks their fencing numbers."""

    def __init__(self):
        self.colour = "white"
        self.highest_number = 0

    def read(self):
        """Return the colour."""
        return self.colour

    def order(self, state, permit):
        """Set the colour unless a later holder has set one."""
        if permit.fencing_number >= self.highest_number:
            self.highest_number = permit.fencing_number
            self.colour = state


def wait_until(condition):
    """Wait until `condition()` is true."""
    tick = threading.Event()
    for _ in range(WAIT_TIMEOUT_SECONDS * 10):
        if condition():
            return
        tick.wait(0.1)
    raise SystemExit(f"condition not met within {WAIT_TIMEOUT_SECONDS} seconds")


def main():
    """Let three nodes discover each other, share a fact and hand over a lease."""
    clock = system_clock.SystemClock()
    service = memory_store.MemoryStore(clock)
    stop = threading.Event()
    executor = concurrent.futures.ThreadPoolExecutor(12)
    first = Node("first", service, clock, executor, ())
    seeds = (first.transport.address,)
    nodes = [first] + [
        Node(name, service, clock, executor, seeds) for name in ("second", "third")
    ]
    for node in nodes:
        executor.submit(node.members.run, stop)
    wait_until(lambda: all(len(node.members.members()) == 3 for node in nodes))
    print("three nodes know each other")

    first.facts.publish(facts.Fact("colour", "door", 1, b"green"))
    wait_until(lambda: all(node.facts.facts("colour") for node in nodes))
    print("a fact has reached all nodes")

    wall = Wall()
    for node in nodes[:2]:
        wait_until(lambda node=node: node.lease.step() and node.lease.is_held())
        outcome = reconciliation.Reconciler(node.lease).reconcile(
            wall, f"{node.name}'s blue"
        )
        number = node.lease.fencing_number
        print(f"{node.name} holds the lease with {number}: {outcome.value}")
        node.lease.release()

    stop.set()
    executor.shutdown()
    for node in nodes:
        node.transport.close()


if __name__ == "__main__":
    main()
