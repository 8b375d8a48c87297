"""Simulates one move under the system's policy."""

import dataclasses
import datetime
import heapq
import itertools
import random

import move_model

from peridothitch import errors
from peridothitch.gateway import active_move
from peridothitch.policy import evidence, moves
from peridothitch.ports import clock, facts, outcomes

__all__ = ["Result", "run_move"]

TICK_S = 0.5
QUIET_S = 5.0
DECISION_S = 1.0
GOSSIP_S = (0.2, 1.0)
CHAT_TOKENS = 100
DATA_CENTRE_COUNT = 3
IMBALANCE = 0.2
LOAD_MEMORY_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What one move came to; times in seconds, NaN where there is none."""

    kind: str
    done: bool
    elapsed: float
    exposed: int
    requests: float
    stop_after_shown_s: float = float("nan")
    stop_after_onset_s: float = float("nan")
    reason: str = ""


def _at(second):
    return move_model.START + datetime.timedelta(seconds=second)


class _MoveClock(clock.Clock):
    """Stands at the start of the move."""

    def now(self):
        """Return the start."""
        return _at(0)

    def monotonic(self):
        """Return zero."""
        return datetime.timedelta(0)

    def wait(self, event, timeout):
        """Return at once."""
        return event.is_set()


class _CanaryHost:
    """One entry host that carries the move."""

    def __init__(self, host_id, active):
        self.host_id = host_id
        self.active = active
        self.fact_by_key = {}
        self.published_at = -QUIET_S
        self.last_report = None
        self.sequence = 0


class _Run:
    """State of one simulated move."""

    def __init__(self, deployment, kind, night, seed):
        self.random = random.Random(seed)
        self.deployment = deployment
        self.traffic = move_model.Traffic(deployment, night, self.random)
        self.fault = move_model.draw_fault(kind, deployment, self.random)
        self.routes = list(deployment.share_by_route)
        self.weights = list(deployment.share_by_route.values())
        self.quarantined = set()
        self.record = moves.MoveRecord(
            move_id=f"move-{seed}",
            name="move",
            service="service",
            from_version="v1",
            to_version="v2",
            start=_at(0),
            finish_by=_at(deployment.window_s),
            max_exposed_share=0.02,
        )
        self.canary_hosts = self._make_canary_hosts()
        self.rate_by_canary_host = [
            self.random.uniform(1 - IMBALANCE, 1 + IMBALANCE) / deployment.entry_hosts
            for _ in self.canary_hosts
        ]
        self.serial = itertools.count()
        self.completions = []
        self.news = []
        self.recent_new = []
        self.exposed = 0
        self.other_exposed = 0.0
        self.requests = 0.0
        self.last_new = self.first_faulty = self.shown = float("nan")
        self.oracle = evidence.VersionComparison(len(self.routes))

    def _make_canary_hosts(self):
        deployment = self.deployment
        host_ids = frozenset(f"entry-{i}" for i in range(deployment.entry_hosts))
        fleet = active_move.FleetSnapshot(
            host_ids=host_ids,
            new_host_count=deployment.new_hosts,
            old_host_count=deployment.replicas - deployment.new_hosts,
        )
        canary_hosts = []
        for host_id in sorted(host_ids):
            active = active_move.ActiveMove(
                self.record,
                host_id,
                len(self.routes),
                self.quarantined.__contains__,
                self.random,
                _MoveClock(),
            )
            active.update_fleet(fleet)
            if active.is_canary_host:
                canary_hosts.append(_CanaryHost(host_id, active))
        return canary_hosts

    def run(self):
        """Advance in ticks until the verdict; returns the `Result`."""
        second = 0.0
        while True:
            second += TICK_S
            self._deliver(second)
            self._complete(second)
            self._exchange(second)
            if second % DECISION_S == 0:
                decision = self._decide(second)
                if decision is not None:
                    return self._result(second, decision)
            self._arrive(second)

    def _deliver(self, second):
        while self.news and self.news[0][0] <= second:
            _, _, canary_host, fact = heapq.heappop(self.news)
            if fact.kind == "condemned":
                canary_host.active.condemnation = fact.value
                continue
            known = canary_host.fact_by_key.get(fact.key)
            if known is None or known.sequence < fact.sequence:
                canary_host.fact_by_key[fact.key] = fact

    def _spread(self, second, source, fact):
        for canary_host in self.canary_hosts:
            delay = 0.0 if canary_host is source else self.random.uniform(*GOSSIP_S)
            entry = (second + delay, next(self.serial), canary_host, fact)
            heapq.heappush(self.news, entry)
        self._deliver(second)

    def _exchange(self, second):
        for canary_host in self.canary_hosts:
            self._publish(second, canary_host)
            found = canary_host.active.evaluate(canary_host.fact_by_key, _at(second))
            if found is None or canary_host.active.condemnation is not None:
                continue
            if self.shown != self.shown:
                self.shown = second
            canary_host.active.condemnation = found
            fact = facts.Fact("condemned", "", 1, found)
            self._spread(second, canary_host, fact)

    def _publish(self, second, canary_host):
        report, has_adverse_news = canary_host.active.report(_at(second))
        is_quiet = not has_adverse_news and canary_host.last_report is not None
        if is_quiet and second - canary_host.published_at < QUIET_S:
            return
        if report == canary_host.last_report:
            return
        canary_host.last_report = report
        canary_host.published_at = second
        canary_host.sequence += 1
        value = active_move.msgspec.msgpack.encode(report)
        fact = facts.Fact("evidence", canary_host.host_id, canary_host.sequence, value)
        self._spread(second, canary_host, fact)

    def _decide(self, second):
        decider = self.canary_hosts[0].active
        evidence_summary = decider.summarize_evidence(self.routes)
        now = _at(second)
        decision = moves.decide(self.record, self.record, evidence_summary, now)
        if not isinstance(decision, moves.Prove):
            return decision
        self.record = active_move.msgspec.structs.replace(self.record, proved_at=now)
        for canary_host in self.canary_hosts:
            canary_host.active.record = self.record
        return None

    def _arrive(self, second):
        rate = self.traffic.rate(second)
        self.requests += rate * TICK_S
        for canary_host, share in zip(
            self.canary_hosts, self.rate_by_canary_host, strict=True
        ):
            mean = rate * TICK_S * share
            for _ in range(_poisson(mean, self.random)):
                self._send(second, canary_host)
        if self.record.proved_at is not None and not self._is_condemned():
            rest = 1.0 - sum(self.rate_by_canary_host)
            share = moves.ramp_share(self.record, _at(second))
            self.other_exposed += rate * TICK_S * rest * share

    def _is_condemned(self):
        return any(canary_host.active.condemnation for canary_host in self.canary_hosts)

    def _load(self, second):
        if self.record.proved_at is not None:
            return 1.0
        self.recent_new = [at for at in self.recent_new if at > second - LOAD_MEMORY_S]
        per_host = len(self.recent_new) / LOAD_MEMORY_S / self.deployment.new_hosts
        return per_host * self.deployment.replicas / self.traffic.rate(second)

    def _send(self, second, canary_host):
        (route,) = self.random.choices(self.routes, self.weights)
        version = canary_host.active.pick(route, _at(second))
        failing, slowdown = self.traffic.failure_rate(second), 1.0
        if version == "v2":
            self.exposed += 1
            self.last_new = second
            self.recent_new.append(second)
            elapsed = second / self.deployment.window_s
            more, slowdown = self.fault.effect(elapsed, route, self._load(second))
            failing += more
            is_hit = self.fault.is_bad and (more or slowdown != 1.0)
            if is_hit and self.first_faulty != self.first_faulty:
                self.first_faulty = second
        outcome = self._outcome(second, version, route, failing, slowdown)
        ended = (outcome.ended - move_model.START).total_seconds()
        entry = (ended, next(self.serial), canary_host, outcome)
        heapq.heappush(self.completions, entry)

    def _outcome(self, second, version, route, failing, slowdown):
        generator, traffic = self.random, self.traffic
        slowdown *= traffic.slowdown(second)
        first = slowdown * move_model.MEDIAN_FIRST_TOKEN_S
        first *= generator.lognormvariate(0, move_model.FIRST_TOKEN_SIGMA)
        gap = slowdown * move_model.MEDIAN_TOKEN_GAP_S
        gap *= generator.lognormvariate(0, move_model.TOKEN_GAP_SIGMA)
        duration = first + gap * (CHAT_TOKENS - 1)
        failed = generator.random() < failing
        fields = {"status": 200, "token_count": CHAT_TOKENS, "code": None}
        if failed:
            duration = first
            fields = {"status": 500, "code": errors.Code.UPSTREAM_FAILED}
        drops = failed and version == "v2" and self.fault.drops
        hosts = self._hosts(version)
        index = generator.randrange(hosts)
        data_centre = index % DATA_CENTRE_COUNT
        lost, leaving, request_id = drops, False, ""
        if traffic.is_reclaimed(second, generator):
            lost = leaving = True
        if traffic.is_cut(second + duration, data_centre):
            lost = True
        if version == "v2" and index == 0:
            lost = lost or traffic.crashed(second, second + duration)
        if traffic.is_poisoned(second, generator):
            lost, request_id = True, f"poison-{next(self.serial)}"
            if generator.random() < 0.8:
                self.quarantined.add(request_id)
        if lost:
            fields = {"status": 0, "code": errors.Code.STREAM_INTERRUPTED}
        return outcomes.AttemptOutcome(
            request_id=request_id,
            service="service",
            version=version,
            route=route,
            customer="",
            host_id=f"{version}-{index}",
            data_centre=str(data_centre),
            ended=_at(second + duration),
            first_byte=datetime.timedelta(seconds=first),
            duration=datetime.timedelta(seconds=duration),
            host_leaving=leaving,
            **fields,
        )

    def _hosts(self, version):
        new = self.deployment.new_hosts
        return new if version == "v2" else self.deployment.replicas - new

    def _complete(self, second):
        while self.completions and self.completions[0][0] <= second:
            ended, _, canary_host, outcome = heapq.heappop(self.completions)
            canary_host.active.observe(outcome)
            if outcome.version == "v2" and canary_host.active._has_new_adverse_events:
                self._ask_oracle(ended)

    def _ask_oracle(self, second):
        """Note when the whole fleet's evidence, known at once, shows the fault."""
        if self.shown == self.shown:
            return
        reports = [
            canary_host.active._counter.report() for canary_host in self.canary_hosts
        ]
        elapsed = second / self.deployment.window_s
        share = self.deployment.new_hosts / self.deployment.replicas
        merged = evidence.merge(reports)
        if self.oracle.update(merged, elapsed, share) is not None:
            self.shown = second

    def _result(self, second, decision):
        # Requests that arrive before the condemnation has reached every carrier.
        end = second
        while self._is_condemned() and not all(
            canary_host.active.condemnation for canary_host in self.canary_hosts
        ):
            end += TICK_S
            self._deliver(end)
            self._arrive(end)
        is_condemned = self._is_condemned()
        return Result(
            kind=self.fault.kind.value,
            done=decision.outcome is moves.Outcome.DONE,
            elapsed=second / self.deployment.window_s,
            exposed=int(self.exposed + self.other_exposed),
            requests=self.requests,
            stop_after_shown_s=max(0.0, self.last_new - self.shown)
            if is_condemned
            else float("nan"),
            stop_after_onset_s=self.last_new - self.first_faulty,
            reason=decision.detail or decision.reason.name,
        )


def _poisson(mean, generator):
    count, total = 0, generator.expovariate(1.0)
    while total < mean:
        count += 1
        total += generator.expovariate(1.0)
    return count


def run_move(deployment, kind, night, seed):
    """Simulate one move.

    Parameters
    ----------
    deployment : move_model.Deployment
    kind : move_model.Kind
    night : bool
    seed : int

    Returns
    -------
    Result
    """
    return _Run(deployment, kind, night, seed).run()
