import datetime
import itertools

import behave
import fake_network
import hypothesis
from hypothesis import strategies

from peridothitch.coordination import fact_table
from peridothitch.ports import facts

SECOND = datetime.timedelta(seconds=1)
MAX_CONVERGENCE_TIME = 60 * SECOND

wire_facts = strategies.builds(
    fact_table.WireFact,
    kind=strategies.sampled_from(["load", "condemned"]),
    key=strategies.sampled_from(["a", "b", "c"]),
    sequence=strategies.integers(0, 4),
    value=strategies.binary(max_size=2),
    remaining_seconds=strategies.just(60),
)


def make_table(wires=()):
    table = fact_table.FactTable(fake_network.VirtualClock())
    for wire in wires:
        table.merge([wire])
    return table


def contents(table):
    return {kind: table.facts(kind) for kind in ("load", "condemned")}


@behave.then(
    "any facts merged in any order give equal tables whose sequences never fall"
)
def check_merge(context):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.lists(wire_facts, max_size=12), strategies.data())
    def merge_in_any_order(wires, data):
        shuffled = data.draw(strategies.permutations(wires + wires))
        first, second = make_table(wires), make_table(shuffled)
        assert contents(first) == contents(second)
        assert first.digests() == second.digests()
        assert first.merge(wires) == []
        table = make_table()
        for wire in shuffled:
            before = table.get(wire.kind, wire.key)
            table.merge([wire])
            after = table.get(wire.kind, wire.key)
            assert before is None or before.sequence <= after.sequence

    merge_in_any_order()


@behave.then("a fact is gone at all hosts after its lifetime")
def check_expiry(context):
    fleet = fake_network.FakeFleet(5, context.seed)
    fleet.run(10 * SECOND)
    fact_registry = fleet.node_by_id["entry-0"].gossip
    fact_registry._table._lifetime_by_kind["load"] = 30 * SECOND
    fact_registry.publish(facts.Fact("load", "entry-0", 1, b"x"))

    def presences():
        return [bool(node.gossip.facts("load")) for node in fleet.node_by_id.values()]

    fleet.run_until(lambda: all(presences()), 10 * SECOND)
    fleet.run(31 * SECOND)
    assert not any(presences())
    fleet.run(30 * SECOND)
    assert not any(presences())


@behave.given("a fleet of {count:d} hosts that agree on the members")
def start_fake_fleet(context, count):
    context.fake_fleet = fake_network.FakeFleet(count, context.seed)
    context.fake_fleet.run_until(context.fake_fleet.agrees, 120 * SECOND)
    context.fake_fleet.run(20 * SECOND)


@behave.given("{count:d} hosts start at the same moment with {seeds:d} seeds each")
def start_at_once(context, count, seeds):
    context.fake_fleet = fake_network.FakeFleet(0, context.seed)
    fleet = context.fake_fleet
    addresses = [fake_network.address_of(index) for index in range(count)]
    for _ in range(count):
        fleet.add(seeds=fleet.random.sample(addresses, seeds))


@behave.then("each of 20 kills is detected by all others within {seconds:d} seconds")
def check_kills(context, seconds):
    fleet = context.fake_fleet
    for _ in range(20):
        fleet.kill(fleet.random.choice(sorted(fleet.live())))
        fleet.run_until(fleet.agrees, seconds * SECOND)
        fleet.add()
        fleet.run_until(fleet.agrees, 10 * SECOND)
        fleet.run(fleet.random.randrange(8) * fake_network.STEP)


@behave.when('host "{host_id}" freezes for {seconds:d} seconds and resumes')
def freeze_and_resume(context, host_id, seconds):
    fleet = context.fake_fleet
    fleet.freeze(host_id)
    fleet.run(seconds * SECOND)
    assert fleet.agrees()
    fleet.resume(host_id)


@behave.when('all hosts of data centre "{data_centre}" are killed')
def kill_data_centre(context, data_centre):
    fleet = context.fake_fleet
    members = next(iter(fleet.node_by_id.values())).membership.members()
    for host_id, peer in members.items():
        if peer.data_centre == data_centre:
            fleet.kill(host_id)


@behave.when(
    'the hosts of "{first}" and "{second}" are partitioned from the others'
    " for {seconds:d} seconds"
)
def split_regions(context, first, second, seconds):
    fleet = context.fake_fleet
    members = fleet.node_by_id["entry-0"].membership.members()
    fleet.split(
        host_id
        for host_id, peer in members.items()
        if peer.data_centre in (first, second)
    )
    fleet.run(seconds * SECOND)
    assert len(fleet.node_by_id["entry-0"].membership.members()) == len(members) / 2
    fleet.heal()
    fleet.network.bytes_by_address.clear()


@behave.then("all hosts agree on the members within {seconds:d} seconds")
def check_agreement(context, seconds):
    fleet = context.fake_fleet
    context.agreement_time = fleet.run_until(fleet.agrees, seconds * SECOND)


@behave.then(
    "no host transfers more than {limit:d} bytes a second"
    " in the first {seconds:d} seconds"
)
def check_bytes(context, limit, seconds):
    fleet = context.fake_fleet
    fleet.run(max(0 * SECOND, seconds * SECOND - context.agreement_time))
    max_bytes = max(fleet.network.bytes_by_address.values())
    assert max_bytes / seconds <= limit, (max_bytes, context.agreement_time)


@behave.when('a host joins with the address of "{host_id}" alone')
def join_by_seed(context, host_id):
    fleet = context.fake_fleet
    fleet.add(seeds=(fleet.node_by_id[host_id].transport.address,))


@behave.when('host "{host_id}" is killed and started again in the same second, twice')
def restart_at_once(context, host_id):
    fleet = context.fake_fleet
    for _ in range(2):
        fleet.kill(host_id)
        fleet.add(host_id=host_id)
        fleet.node_by_id[host_id].membership.tick()


@behave.then('all hosts have the last address of "{host_id}"')
def check_address(context, host_id):
    fleet = context.fake_fleet
    address = fleet.node_by_id[host_id].transport.address

    def is_address_current():
        return all(
            node.membership.members()[host_id].address == address
            for node in fleet.node_by_id.values()
        )

    fleet.run_until(is_address_current, 10 * SECOND)


def apply_fault(fleet, fault):
    kind, index, seconds = fault
    live = sorted(fleet.live())
    host_id = live[index % len(live)]
    if kind == "kill" and len(live) > 3:
        fleet.kill(host_id)
        fleet.add()
    elif kind == "freeze" and len(live) > 3:
        fleet.freeze(host_id)
    elif kind == "split":
        fleet.split(itertools.islice(live, index % len(live)))
    elif kind == "lose":
        fleet.network.loss_rate = 0.3
    fleet.run(seconds * SECOND)


@behave.then("after any mix of kills, freezes, partitions and losses the hosts agree")
def check_mixes(context):
    fault = strategies.tuples(
        strategies.sampled_from(["kill", "freeze", "split", "lose"]),
        strategies.integers(0, 6),
        strategies.integers(0, 20),
    )

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(strategies.lists(fault, max_size=6))
    def converge_after(faults):
        fleet = fake_network.FakeFleet(7, context.seed)
        fleet.run_until(fleet.agrees, MAX_CONVERGENCE_TIME)
        for generated in faults:
            apply_fault(fleet, generated)
        fleet.heal()
        fleet.run_until(fleet.agrees, MAX_CONVERGENCE_TIME)

    converge_after()
