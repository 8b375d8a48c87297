import itertools
import math
import pathlib
import tempfile

import behave
import processes
import provisioning_fleet as fleets
from hypothesis import given
from hypothesis import strategies as drawing

from peridothitch import errors
from peridothitch.adapters import http_cloud, wsgi_server
from peridothitch.coordination import host_orders
from peridothitch.gateway import embedded
from peridothitch.policy import fleet_size
from peridothitch.ports import cloud
from peridothitch.standins import cloud as clouds

NEEDED_HOST_COUNT = 4
EXPECTED_HOST_COUNT = 6
MAX_CALL_POSITION = 40

drawn_offers = drawing.lists(
    drawing.builds(
        cloud.Offer,
        data_centre=drawing.sampled_from(["a", "b", "c", "d"]),
        reclaimable=drawing.booleans(),
        price_per_hour=drawing.integers(1, 9).map(float),
    ),
    min_size=1,
    max_size=8,
    unique_by=lambda offer: offer.name,
)


def count_remaining(count_by_offer):
    """Return how many hosts remain when the largest data centre is lost."""
    count_by_centre = {}
    for offer, count in count_by_offer.items():
        centre = offer.data_centre
        count_by_centre[centre] = count_by_centre.get(centre, 0) + count
    counts = count_by_centre.values()
    return sum(counts) - max(counts, default=0)


@behave.then(
    "generated plans meet the need without any one data centre, within their limits"
)
def check_plans(context):
    @given(
        drawn_offers,
        drawing.integers(0, 30),
        drawing.integers(1, 60),
        drawing.integers(1, 200),
        drawing.dictionaries(drawing.sampled_from("abcd"), drawing.integers(0, 5)),
    )
    def holds(offers, needed, most_hosts, most_cost, most_by_centre):
        limits = fleet_size.FleetLimits(
            most_hosts=most_hosts, least_hosts=0, most_cost_per_hour=float(most_cost)
        )
        most_by_name = {
            offer.name: most_by_centre[offer.data_centre]
            for offer in offers
            if offer.reclaimable and offer.data_centre in most_by_centre
        }
        plan = fleet_size.plan_fleet(needed, offers, limits, most_by_name)
        assert sum(plan.count_by_offer.values()) <= most_hosts
        assert plan.cost_per_hour <= most_cost
        for offer, count in plan.count_by_offer.items():
            assert 0 < count <= most_by_name.get(offer.name, count)
        if len({offer.data_centre for offer in offers}) > 1 and not any(
            most == 0 for most in most_by_name.values()
        ):
            assert count_remaining(plan.count_by_offer) >= needed - plan.shortfall

    holds()


@behave.then(
    "generated small plans cost as little as the best one of an exhaustive search"
)
def check_cheapest(context):
    @given(drawn_offers.filter(lambda offers: len(offers) <= 4), drawing.integers(1, 3))
    def holds(offers, needed):
        limits = fleet_size.FleetLimits(least_hosts=0, on_demand_share=0.0)
        plan = fleet_size.plan_fleet(needed, offers, limits)
        if len({offer.data_centre for offer in offers}) < 2:
            return
        best = min(
            sum(
                offer.price_per_hour * n
                for offer, n in zip(offers, counts, strict=True)
            )
            for counts in itertools.product(range(needed * 2 + 1), repeat=len(offers))
            if count_remaining(dict(zip(offers, counts, strict=True))) >= needed
        )
        assert plan.cost_per_hour == best, (plan, best)

    holds()


@behave.given("three data centres and two entry hosts that may provision")
def set_up(context):
    context.make_fleet = fleets.ProvisioningFleet


@behave.when('"{fault}" occurs at every step in turn while 6 hosts are needed')
def inject_at_every_step(context, fault):
    context.fleets = []
    for position in range(1, MAX_CALL_POSITION):
        fleet = context.make_fleet(fault, position, 6 if "down" in fault else 1)
        fleet.run_rounds(30)
        context.fleets.append(fleet)
        if not fleet.faults.is_triggered and fleet.faults.calls < position:
            break


@behave.then("no run started a host twice and each ended with the hosts that it needs")
def check_started_once(context):
    triggered = [fleet for fleet in context.fleets if fleet.faults.is_triggered]
    assert len(triggered) >= 3, len(triggered)
    for fleet in context.fleets:
        where = fleet.faults.kind, fleet.faults.position
        assert len(fleet.cloud.start_count_by_order_id) == EXPECTED_HOST_COUNT, where
        assert fleet.max_serving_count == EXPECTED_HOST_COUNT, where
        assert fleet.survives(NEEDED_HOST_COUNT), where


@behave.then("only one of two orders for the same slot is written")
def check_race(context):
    fleet = fleets.ProvisioningFleet()
    orders = host_orders.HostOrders(fleet.store, fleet.clock)
    read = orders.read()
    written = [orders.order("model", "v1", fleets.OFFERS[0], read) for _ in range(2)]
    assert written[0] is not None and written[1] is None
    (slot,) = orders.read().values()
    assert slot == written[0]
    assert orders.set_state(slot, host_orders.SlotState.SEEN) is not None
    assert orders.set_state(slot, host_orders.SlotState.REFUSED) is None
    assert not orders.free(slot)


@behave.then("the naive loop over the same faults starts more hosts than needed")
def check_naive(context):
    worst = 0
    for position in range(1, 20):
        fleet = fleets.ProvisioningFleet(
            "cloud reply lost", position, provisioner=fleets.NaiveProvisioner
        )
        fleet.run_rounds(10)
        worst = max(worst, len(fleet.cloud.start_count_by_order_id))
    assert worst > EXPECTED_HOST_COUNT, worst


@behave.when('the fleet serves 6 hosts\' load and "{event}"')
def serve_and_inject(context, event):
    fleet = context.make_fleet()
    fleet.run_rounds(12)
    assert fleet.survives(NEEDED_HOST_COUNT)
    started = set(fleet.cloud.start_count_by_order_id)
    context.fleet = fleet
    context.max_starts = None
    cheapest = fleets.OFFERS[0]
    if event == "a reclaim wave hits a data centre":
        fleet.cloud.reclaim("lothian")
    if event == "a data centre is lost":
        fleet.cloud.end_data_centre("fife")
    if event == "an offer is refused":
        fleet.cloud.refuse_offers([cheapest.name])
        fleet.cloud.reclaim("lothian")
    if event == "an offer's price triples":
        fleet.min_spare = math.inf
        fleet.cloud.change_price(cheapest.name, 3 * cheapest.price_per_hour)
    if event == "the list of machines has a gap":
        saved_machines = fleet.cloud._machine_by_order_id
        fleet.cloud._machine_by_order_id = {}
        fleet.run_round()
        fleet.cloud._machine_by_order_id = saved_machines
        context.max_starts = len(started)
    if event == "a host without an order appears":
        order = cloud.Order(
            order_id="stray", service="model", version="v1", offer=cheapest
        )
        fleet.cloud.start(order, 1 << 40)
        fleet.cloud._highest_fencing_number = 0
    context.event = event
    fleet.run_rounds(60)


@behave.then("the fleet ends able to lose any one data centre")
def check_replaced(context):
    fleet = context.fleet
    assert fleet.survives(NEEDED_HOST_COUNT), fleet.cloud.machines()
    if context.event == "an offer's price triples":
        assert fleet.min_spare >= NEEDED_HOST_COUNT, (
            "released before the new hosts were live"
        )
    assert "stray" not in fleet.cloud.machines()
    assert len(fleet.serving()) <= EXPECTED_HOST_COUNT + 2, len(fleet.serving())
    if context.max_starts is not None:
        count = len(fleet.cloud.start_count_by_order_id)
        assert count == context.max_starts, count


@behave.then("a load that rises steadily finds its hosts live")
def check_ahead(context):
    fleet = fleets.ProvisioningFleet()
    fleet.run_rounds(20)
    for _ in range(60):
        fleet.streams += 1.0
        fleet.run_round()
        needed = math.ceil(fleet.streams / fleets.STREAMS_PER_HOST)
        assert fleet.survives(min(needed, NEEDED_HOST_COUNT)), fleet.streams
    live = len(fleet.serving())
    assert live >= math.ceil(fleet.streams / fleets.STREAMS_PER_HOST), live


@behave.given("a store, a cloud of three data centres and two entry hosts as processes")
def start_processes(context):
    fleet = processes.ProcessFleet()
    context.fleet = fleet
    context.add_cleanup(fleet.stop_all)
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    store = fleet.start("store", "standin", "store")
    host_list = fleet.start("hosts", "standin", "hosts")
    offers = []
    for centre in fleets.CENTRES:
        offers += ["--offer", f"{centre},standard,reclaimable,1.0"]
        offers += ["--offer", f"{centre},standard,on-demand,3.0"]
    fleet.start("cloud", "standin", "cloud", *offers)
    document = pathlib.Path(context.folder.name) / "document.yaml"
    document.write_text(embedded.EXAMPLE_DOCUMENT, encoding="utf-8")
    done = fleet.run("config", "create", "--store", store, document)
    assert done.returncode == 0, done.stderr
    for index in range(2):
        fleet.start(
            f"entry-{index}",
            "serve",
            *("--host-id", f"entry-{index}"),
            *("--data-centre", "lothian"),
            *("--listen", "127.0.0.1:0"),
            *("--store", store),
            *("--host-list", host_list),
            *("--cloud", fleet.address_by_name["cloud"]),
        )


@behave.when('an operator adds a service\'s limits to the section "hosts"')
def add_limits(context):
    path = pathlib.Path(context.folder.name) / "hosts.yaml"
    path.write_text("model: {service: assistant, least_hosts: 4}\n", encoding="utf-8")
    store = context.fleet.address_by_name["store"]
    done = context.fleet.run("config", "edit", "--store", store, "hosts", path)
    assert done.returncode == 0, done.stderr


@behave.then("the cloud runs what survives a lost data centre and never more")
def check_processes(context):
    client = http_cloud.HttpCloud(context.fleet.address_by_name["cloud"])

    def is_served():
        machines = client.machines().values()
        assert len(machines) <= EXPECTED_HOST_COUNT, machines
        return fleet_size.survives_loss(machines, NEEDED_HOST_COUNT)

    processes.wait_until(is_served)
    kinds = [m.order.offer.reclaimable for m in client.machines().values()]
    assert sorted(kinds) == [False] + [True] * 5, kinds


@behave.then("orders, refusals and old fencing numbers pass through the HTTP adapter")
def check_http(context):
    memory = clouds.MemoryCloud(fleets.OFFERS)
    server = wsgi_server.WsgiServer(clouds.CloudService(memory), "127.0.0.1:0")
    server.start()
    context.add_cleanup(server.close)
    client = http_cloud.HttpCloud(f"127.0.0.1:{server.port}")
    assert client.offers() == fleets.OFFERS
    order = cloud.Order(
        order_id="o1", service="model", version="v1", offer=fleets.OFFERS[0]
    )
    client.start(order, 7)
    client.start(order, 7)
    (machine,) = client.machines().values()
    assert machine.order == order and memory.start_count_by_order_id == {"o1": 1}
    assert code_of(client.stop, machine.host_id, 6) is errors.Code.CLOUD_UNAVAILABLE
    client.stop(machine.host_id, 8)
    client.machines()
    assert code_of(client.start, order, 8) is errors.Code.START_REFUSED
    nobody = http_cloud.HttpCloud("127.0.0.1:1")
    assert code_of(nobody.offers) is errors.Code.CLOUD_UNAVAILABLE


def code_of(function, *arguments):
    try:
        function(*arguments)
    except errors.CloudError as error:
        return error.code
    return None
