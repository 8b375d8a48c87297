"""Simulates one version move under the system's policy."""

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
REPORT_INTERVAL_S = 5.0
DECISION_INTERVAL_S = 1.0
GOSSIP_S = (0.2, 1.0)
CHAT_TOKENS = 100
DATA_CENTRE_COUNT = 3
RATE_IMBALANCE_SHARE = 0.2
LOAD_WINDOW_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Result of one move; times in seconds, NaN if not applicable."""

    kind: str
    done: bool
    elapsed: float
    exposed: int
    requests: float
    stop_after_shown_s: float = float("nan")
    stop_after_onset_s: float = float("nan")
    reason: str = ""


def _time_at(second):
    return move_model.START + datetime.timedelta(seconds=second)


class _MoveClock(clock.Clock):
    """Clock that always returns the start of the move."""

    def now(self):
        """Return the start of the move."""
        return _time_at(0)

    def monotonic(self):
        """Return zero."""
        return datetime.timedelta(0)

    def wait(self, event, timeout):
        """Return without waiting."""
        return event.is_set()


class _CanaryHost:
    """One entry host that sends requests to the new version."""

    def __init__(self, host_id, active):
        self.host_id = host_id
        self.active = active
        self.fact_by_key = {}
        self.published_at = -REPORT_INTERVAL_S
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
            start=_time_at(0),
            finish_by=_time_at(deployment.window_s),
            max_exposed_share=0.02,
        )
        self.canary_hosts = self._make_canary_hosts()
        self.rate_by_canary_host = [
            self.random.uniform(1 - RATE_IMBALANCE_SHARE, 1 + RATE_IMBALANCE_SHARE)
            / deployment.entry_hosts
            for _ in self.canary_hosts
        ]
        self.serial = itertools.count()
        self.completions = []
        self.pending_facts = []
        self.recent_new_at = []
        self.exposed = 0
        self.exposed_elsewhere = 0.0
        self.requests = 0.0
        self.last_new_at = self.first_faulty_at = self.shown_at = float("nan")
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
            self._deliver_facts(second)
            self._observe_completions(second)
            self._exchange_evidence(second)
            if second % DECISION_INTERVAL_S == 0:
                decision = self._decide(second)
                if decision is not None:
                    return self._result(second, decision)
            self._send_arrivals(second)

    def _deliver_facts(self, second):
        while self.pending_facts and self.pending_facts[0][0] <= second:
            _, _, canary_host, fact = heapq.heappop(self.pending_facts)
            if fact.kind == "condemned":
                canary_host.active.condemnation = fact.value
                continue
            known_fact = canary_host.fact_by_key.get(fact.key)
            if known_fact is None or known_fact.sequence < fact.sequence:
                canary_host.fact_by_key[fact.key] = fact

    def _gossip(self, second, source, fact):
        for canary_host in self.canary_hosts:
            delay = 0.0 if canary_host is source else self.random.uniform(*GOSSIP_S)
            entry = (second + delay, next(self.serial), canary_host, fact)
            heapq.heappush(self.pending_facts, entry)
        self._deliver_facts(second)

    def _exchange_evidence(self, second):
        for canary_host in self.canary_hosts:
            self._publish(second, canary_host)
            new_condemnation = canary_host.active.evaluate(
                canary_host.fact_by_key, _time_at(second)
            )
            if new_condemnation is None or canary_host.active.condemnation is not None:
                continue
            if self.shown_at != self.shown_at:
                self.shown_at = second
            canary_host.active.condemnation = new_condemnation
            fact = facts.Fact("condemned", "", 1, new_condemnation)
            self._gossip(second, canary_host, fact)

    def _publish(self, second, canary_host):
        report, has_adverse_news = canary_host.active.report(_time_at(second))
        may_skip = not has_adverse_news and canary_host.last_report is not None
        if may_skip and second - canary_host.published_at < REPORT_INTERVAL_S:
            return
        if report == canary_host.last_report:
            return
        canary_host.last_report = report
        canary_host.published_at = second
        canary_host.sequence += 1
        value = active_move.msgspec.msgpack.encode(report)
        fact = facts.Fact("evidence", canary_host.host_id, canary_host.sequence, value)
        self._gossip(second, canary_host, fact)

    def _decide(self, second):
        decider = self.canary_hosts[0].active
        evidence_summary = decider.summarize_evidence(self.routes)
        now = _time_at(second)
        decision = moves.decide(self.record, self.record, evidence_summary, now)
        if not isinstance(decision, moves.Prove):
            return decision
        self.record = active_move.msgspec.structs.replace(self.record, proved_at=now)
        for canary_host in self.canary_hosts:
            canary_host.active.record = self.record
        return None

    def _send_arrivals(self, second):
        rate = self.traffic.rate(second)
        self.requests += rate * TICK_S
        for canary_host, share in zip(
            self.canary_hosts, self.rate_by_canary_host, strict=True
        ):
            mean = rate * TICK_S * share
            for _ in range(_poisson(mean, self.random)):
                self._send(second, canary_host)
        if self.record.proved_at is not None and not self._is_condemned():
            other_rate_share = 1.0 - sum(self.rate_by_canary_host)
            share = moves.ramp_share(self.record, _time_at(second))
            self.exposed_elsewhere += rate * TICK_S * other_rate_share * share

    def _is_condemned(self):
        return any(canary_host.active.condemnation for canary_host in self.canary_hosts)

    def _load(self, second):
        if self.record.proved_at is not None:
            return 1.0
        self.recent_new_at = [
            at for at in self.recent_new_at if at > second - LOAD_WINDOW_S
        ]
        per_host = len(self.recent_new_at) / LOAD_WINDOW_S / self.deployment.new_hosts
        return per_host * self.deployment.replicas / self.traffic.rate(second)

    def _send(self, second, canary_host):
        (route,) = self.random.choices(self.routes, self.weights)
        version = canary_host.active.pick(route, _time_at(second))
        total_failure_rate, slowdown = self.traffic.failure_rate(second), 1.0
        if version == "v2":
            self.exposed += 1
            self.last_new_at = second
            self.recent_new_at.append(second)
            elapsed = second / self.deployment.window_s
            added_failure_rate, slowdown = self.fault.effect(
                elapsed, route, self._load(second)
            )
            total_failure_rate += added_failure_rate
            is_faulty = self.fault.is_bad and (added_failure_rate or slowdown != 1.0)
            if is_faulty and self.first_faulty_at != self.first_faulty_at:
                self.first_faulty_at = second
        outcome = self._outcome(second, version, route, total_failure_rate, slowdown)
        ended = (outcome.ended - move_model.START).total_seconds()
        entry = (ended, next(self.serial), canary_host, outcome)
        heapq.heappush(self.completions, entry)

    def _outcome(self, second, version, route, total_failure_rate, slowdown):
        generator, traffic = self.random, self.traffic
        slowdown *= traffic.slowdown(second)
        first = slowdown * move_model.MEDIAN_FIRST_TOKEN_S
        first *= generator.lognormvariate(0, move_model.FIRST_TOKEN_SIGMA)
        gap = slowdown * move_model.MEDIAN_TOKEN_GAP_S
        gap *= generator.lognormvariate(0, move_model.TOKEN_GAP_SIGMA)
        duration = first + gap * (CHAT_TOKENS - 1)
        failed = generator.random() < total_failure_rate
        fields = {"status": 200, "token_count": CHAT_TOKENS, "code": None}
        if failed:
            duration = first
            fields = {"status": 500, "code": errors.Code.UPSTREAM_FAILED}
        drops = failed and version == "v2" and self.fault.drops
        hosts = self._hosts(version)
        index = generator.randrange(hosts)
        data_centre = index % DATA_CENTRE_COUNT
        is_lost, is_leaving, request_id = drops, False, ""
        if traffic.is_reclaimed(second, generator):
            is_lost = is_leaving = True
        if traffic.is_cut(second + duration, data_centre):
            is_lost = True
        if version == "v2" and index == 0:
            is_lost = is_lost or traffic.crashed(second, second + duration)
        if traffic.is_poisoned(second, generator):
            is_lost, request_id = True, f"poison-{next(self.serial)}"
            if generator.random() < 0.8:
                self.quarantined.add(request_id)
        if is_lost:
            fields = {"status": 0, "code": errors.Code.STREAM_INTERRUPTED}
        return outcomes.AttemptOutcome(
            request_id=request_id,
            service="service",
            version=version,
            route=route,
            customer="",
            host_id=f"{version}-{index}",
            data_centre=str(data_centre),
            ended=_time_at(second + duration),
            first_byte=datetime.timedelta(seconds=first),
            duration=datetime.timedelta(seconds=duration),
            host_leaving=is_leaving,
            **fields,
        )

    def _hosts(self, version):
        new = self.deployment.new_hosts
        return new if version == "v2" else self.deployment.replicas - new

    def _observe_completions(self, second):
        while self.completions and self.completions[0][0] <= second:
            ended, _, canary_host, outcome = heapq.heappop(self.completions)
            canary_host.active.observe(outcome)
            if outcome.version == "v2" and canary_host.active._has_adverse_news:
                self._update_oracle(ended)

    def _update_oracle(self, second):
        """Record when the fleet's evidence shows the fault, if shared without delay."""
        if self.shown_at == self.shown_at:
            return
        reports = [
            canary_host.active._counter.report() for canary_host in self.canary_hosts
        ]
        elapsed = second / self.deployment.window_s
        share = self.deployment.new_hosts / self.deployment.replicas
        merged_evidence = evidence.merge(reports)
        if self.oracle.update(merged_evidence, elapsed, share) is not None:
            self.shown_at = second

    def _result(self, second, decision):
        # Includes requests until the condemnation has reached every canary host.
        end = second
        while self._is_condemned() and not all(
            canary_host.active.condemnation for canary_host in self.canary_hosts
        ):
            end += TICK_S
            self._deliver_facts(end)
            self._send_arrivals(end)
        is_condemned = self._is_condemned()
        return Result(
            kind=self.fault.kind.value,
            done=decision.outcome is moves.Outcome.DONE,
            elapsed=second / self.deployment.window_s,
            exposed=int(self.exposed + self.exposed_elsewhere),
            requests=self.requests,
            stop_after_shown_s=max(0.0, self.last_new_at - self.shown_at)
            if is_condemned
            else float("nan"),
            stop_after_onset_s=self.last_new_at - self.first_faulty_at,
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
