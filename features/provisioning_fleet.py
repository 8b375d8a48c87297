"""Two host provisioners over one store and one cloud that fail at a chosen call."""

import datetime
import math

import virtual_clock

from peridothitch import errors
from peridothitch.adapters import memory_store, metrics
from peridothitch.coordination import host_orders, lease, provisioning
from peridothitch.policy import fleet_size
from peridothitch.ports import cloud
from peridothitch.standins import cloud as clouds

SECOND = datetime.timedelta(seconds=1)
TERMS = lease.LeaseTerms(name="hosts", ttl=10 * SECOND, max_order_time=2 * SECOND)
CENTRES = ("lothian", "fife", "ayrshire")
STREAMS_PER_HOST = 10.0
LAG_ROUNDS = 2
OFFERS = tuple(
    cloud.Offer(
        data_centre=centre,
        machine_class="standard",
        reclaimable=reclaimable,
        price_per_hour=price + index / 10,
    )
    for index, centre in enumerate(CENTRES)
    for reclaimable, price in ((True, 1.0), (False, 3.0))
)


class ProcessDiedError(Exception):
    """Ends a provisioner's step at once, as the death of its process does."""


class Faults:
    """Injects a fault into `count` calls of a provisioner from the nth on."""

    def __init__(self, clock, kind="", position=0, count=1):
        self.clock = clock
        self.kind = kind
        self.position = position
        self.count = count
        self.calls = 0
        self.is_triggered = False

    def call(self, target, function, *arguments):
        self.calls += 1
        last = self.position + self.count
        if not self.position <= self.calls < last or not self.position:
            return function(*arguments)
        self.is_triggered = True
        if self.kind == "holder pauses":
            self.clock.advance(60 * SECOND)
            return function(*arguments)
        if self.kind == "holder dies":
            # Odd positions die after the call, even ones before it.
            if self.position % 2:
                function(*arguments)
            raise ProcessDiedError
        if self.kind == f"{target} reply lost":
            function(*arguments)
            raise _unclear(target)
        if self.kind == f"{target} down":
            raise _unavailable(target)
        return function(*arguments)


def _unclear(target):
    if target == "store":
        return errors.StoreUnclearError("lost")
    return errors.CloudError(errors.Code.CLOUD_UNCLEAR, "lost")


def _unavailable(target):
    if target == "store":
        return errors.StoreUnavailableError("down")
    return errors.CloudError(errors.Code.CLOUD_UNAVAILABLE, "down")


class FaultyProxy:
    """Forwards method calls and injects faults into them."""

    def __init__(self, target, inner, faults):
        self._target = target
        self._inner = inner
        self._faults = faults

    def __getattr__(self, name):
        function = getattr(self._inner, name)

        def call(*arguments):
            return self._faults.call(self._target, function, *arguments)

        return call


class LaggingCloud:
    """Returns the list of machines of some rounds ago."""

    def __init__(self, inner, round_count):
        self._inner = inner
        self._snapshots = [{}] * round_count

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def machines(self):
        return self._snapshots[0]

    def end_round(self):
        self._snapshots = [*self._snapshots[1:], self._inner.machines()]


class ProvisioningFleet:
    """Provisioners a and b; faults are injected into the calls of a."""

    def __init__(
        self, fault="", position=0, count=1, provisioner=provisioning.HostProvisioner
    ):
        self.clock = virtual_clock.VirtualClock()
        self.store = memory_store.MemoryStore(self.clock)
        self.cloud = clouds.MemoryCloud(OFFERS)
        self.lagging_cloud = LaggingCloud(self.cloud, LAG_ROUNDS)
        self.faults = Faults(self.clock, fault, position, count)
        self.streams = 40.0
        self.alive = {"a", "b"}
        self.max_serving_count = 0
        self.min_spare = math.inf
        self.lease_by_name = {}
        self.provisioner_by_name = {}
        self.metrics = metrics.Metrics()
        for name in ("a", "b"):
            no_faults = Faults(self.clock)
            faults = self.faults if name == "a" else no_faults
            self.lease_by_name[name] = lease.FencedLease(
                self.store, TERMS, name, self.clock
            )
            orders = host_orders.HostOrders(
                FaultyProxy("store", self.store, faults), self.clock
            )
            self.provisioner_by_name[name] = provisioner(
                orders,
                FaultyProxy("cloud", self.lagging_cloud, faults),
                self.lease_by_name[name],
                self.clock,
                self.metrics,
                self.needs,
            )

    def needs(self):
        yield provisioning.ServiceNeed(
            service="model",
            version="v1",
            streams=self.streams,
            streams_per_host=STREAMS_PER_HOST,
            limits=fleet_size.FleetLimits(most_hosts=30),
        )

    def run_round(self):
        for name in sorted(self.alive):
            self.lease_by_name[name].step()
            try:
                self.provisioner_by_name[name].step()
            except ProcessDiedError:
                self.alive.discard(name)
        self.max_serving_count = max(self.max_serving_count, len(self.serving()))
        self.min_spare = min(self.min_spare, self.spare())
        self.cloud.finish_transitions()
        self.lagging_cloud.end_round()
        self.clock.advance(4 * SECOND)

    def run_rounds(self, count):
        for _ in range(count):
            self.run_round()

    def serving(self):
        return [
            machine
            for machine in self.cloud.machines().values()
            if machine.state is not cloud.MachineState.LEAVING
        ]

    def spare(self):
        """Return how many live hosts remain when the largest data centre is lost."""
        serving_count = len(self.serving())
        return max((n for n in range(serving_count + 1) if self.survives(n)), default=0)

    def survives(self, needed):
        return fleet_size.survives_loss(self.cloud.machines().values(), needed)


class NaiveProvisioner(provisioning.HostProvisioner):
    """Starts the hosts that are missing in the current list, without records."""

    def step(self):
        if not self._lease.is_held():
            return
        try:
            listed = self._cloud.machines()
            for need in self._needs():
                wanted = round(need.streams / need.streams_per_host) + 2
                missing = wanted - len(listed)
                for number in range(missing):
                    self._start(need, number)
        except errors.CodedError:
            return

    def _start(self, need, number):
        now = self._clock.monotonic()
        order = cloud.Order(
            order_id=f"{now}-{number}",
            service=need.service,
            version=need.version,
            offer=OFFERS[0],
        )
        permit = self._lease.permit()
        try:
            self._cloud.start(order, permit.fencing_number)
        except errors.CloudError:
            again = cloud.Order(
                order_id=f"{now}-{number}-again",
                service=need.service,
                version=need.version,
                offer=OFFERS[0],
            )
            self._cloud.start(again, permit.fencing_number)
