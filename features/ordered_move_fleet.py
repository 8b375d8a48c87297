"""Runs entry hosts that execute operators' move orders, on a virtual clock."""

import json
import types

import move_fleet
import restorable_store

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.coordination import lease, mirror, ranked_leadership
from peridothitch.gateway.forwarding import move_duty, move_records, version_moves
from peridothitch.platform import record_codec as platform_record_codec
from peridothitch.ports import forwarding, outcomes, record_codec

STATUS_KEY = f"status/rollout/{move_fleet.SERVICE}"
EXPOSED_SHARE = 0.1
EXPOSED_ALLOWANCE = 50.0
SLOW_FIRST_BYTE = 1.2 * move_fleet.SECOND
TIMEOUT = 4 * move_fleet.SECOND


class _Guard:
    def is_quarantined(self, digest):
        return False


class MoveHost:
    """The components of one entry host that handle moves."""

    def __init__(self, fleet, host_id, fact_registry):
        self._fleet = fleet
        members = move_fleet.Members(fleet, host_id)
        self._leadership = ranked_leadership.RankedLeadership(members, "moves")
        self._leases = mirror.Mirror(
            lease.PREFIX, fleet.store, fleet.clock, metrics.Metrics()
        )
        catalogue = types.SimpleNamespace(
            move_by_service=fleet.move_by_service, hosts=fleet.hosts, table=fleet.table
        )
        records = move_records.MoveRecords(
            fleet.store, self._leases, platform_record_codec.PlatformRecordCodec({})
        )
        self._moves = version_moves.VersionMoves(
            catalogue,
            records,
            members,
            fact_registry,
            _Guard(),
            fleet.clock,
            metrics.Metrics(),
            fleet.random,
        )
        self._duty = move_duty.MoveDuty(
            catalogue, records, self._moves, EXPOSED_SHARE, fleet.clock, host_id
        )

    def pick(self, job):
        """Return the version that serves one request, None if no host may run it."""
        service = job.route.service
        versions = self._moves.versions_for_request(service, job.match.name)
        if versions is None:
            versions = {host.version for host in self._fleet.hosts().values()}
        live_versions = {host.version for host in self._fleet.hosts().values()}
        return self._fleet.random.choice(sorted(versions & live_versions) or [None])

    def observe(self, outcome):
        """Record one outcome."""
        self._fleet.record_outcome(outcome)
        self._moves.observe(outcome)

    def count_slow_answer(self, first_byte):
        """Observe an answer of the new version; returns how many counted as slow."""
        active = self._moves._active_by_service[move_fleet.SERVICE]
        active.observe(
            outcomes.AttemptOutcome(
                request_id="",
                service=move_fleet.SERVICE,
                version="v2",
                route="chat",
                customer="",
                host_id="",
                data_centre="",
                ended=self._fleet.clock.now(),
                first_byte=first_byte,
                duration=first_byte,
                status=200,
            )
        )
        counts, _ = active.report(self._fleet.clock.now())
        return counts.new["chat"].slow_firsts

    def tick(self):
        """Run one tick of the host's background threads."""
        try:
            self._leases.read()
            self._moves.tick()
            if self._leadership.is_held():
                self._duty.step(types.SimpleNamespace(fencing_number=1))
        except errors.StoreError:
            return


class OrderedMoveFleet(move_fleet.Fleet):
    """A fleet whose operators order moves and read their states.

    Parameters
    ----------
    seed : int
    version : move_fleet.Version
    window : datetime.timedelta
    rate : float
        Requests a second.
    host_count : int
    served : datetime.timedelta or None
        How long the fleet served before the move is ordered.

    Attributes
    ----------
    reported_states : list of (float, str)
        States that operators could read, with the seconds of each change.
    bad_answer_times : list of datetime.timedelta
        Times of the bad answers of the new version.
    """

    def __init__(self, seed, version, window, rate, host_count=7, served=None):
        self.move_by_service = {}
        self.reported_states = []
        self.bad_answer_times = []
        self.is_old_version_removed = False
        routes = [
            forwarding.Route(
                name=name,
                host="",
                prefix="/",
                shares=(forwarding.Share(move_fleet.SERVICE),),
                retry_policy=forwarding.RetryPolicy.NEVER,
                streamed=False,
                timeout=TIMEOUT,
                latency_objective=TIMEOUT,
                attempts=1,
                priority=1,
                anonymous=False,
                caches_prompts=False,
            )
            for name in ("chat", "booking")
        ]
        self.table = types.SimpleNamespace(routes=routes)
        self.is_new_version_started = False
        super().__init__(seed, version, host_count, rate=rate, window=window)
        self.store._inner = restorable_store.RestorableStore(self.clock)
        if served is not None:
            self.run(served)
        self.is_new_version_started = True
        self.order("v2")

    def order(self, version):
        """Write an operators' order."""
        self.ordered_at = self.clock.elapsed
        previous = self.move_by_service.get(move_fleet.SERVICE)
        self.move_by_service[move_fleet.SERVICE] = record_codec.OrderedMove(
            service=move_fleet.SERVICE,
            version=version,
            duration=self.window,
            revision=previous.revision + 1 if previous else 1,
        )

    def copy_store(self):
        """Return a copy of the store."""
        return self.store._inner.copy()

    def restore_store(self, copied):
        """Let the store come back from a copy."""
        self.store._inner.restore(copied)

    def hosts(self):
        """Return the upstream hosts by id."""
        return {
            host.host_id: host
            for host in move_fleet.upstream_hosts(move_fleet.SERVICE)
            if not (self.is_old_version_removed and host.version == "v1")
            and (self.is_new_version_started or host.version == "v1")
        }

    def add_host(self):
        """Start an entry host; returns its id."""
        host_id = f"entry-{next(self._names)}"
        fact_registry = move_fleet.PropagatingFactRegistry(self.network, host_id)
        self.network.copy_all(fact_registry)
        self.network.fact_registry_by_host[host_id] = fact_registry
        self.host_by_id[host_id] = MoveHost(self, host_id, fact_registry)
        return host_id

    def record_outcome(self, outcome):
        """Count a bad answer of the new version: failed, or slower than good ones."""
        is_bad = outcome.first_byte > SLOW_FIRST_BYTE or outcome.code is not None
        if outcome.version == "v2" and is_bad:
            self.bad_answer_times.append(self.clock.elapsed)

    def _check_verdicts(self):
        item = self.store._inner.get(STATUS_KEY)
        if item is None:
            return
        state = json.loads(item.value)["state"]
        if not self.reported_states or self.reported_states[-1][1] != state:
            self.reported_states.append((self.clock.elapsed.total_seconds(), state))

    @property
    def state(self):
        """The last state that operators could read."""
        return self.reported_states[-1][1] if self.reported_states else ""
