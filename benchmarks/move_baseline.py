"""Simulates one move under a canary of fixed percentages by time."""

import math
import random

import move_model
import move_runs
import numpy

from peridothitch.policy import evidence

__all__ = ["run_baseline"]

TICK_S = 10.0
CHECK_S = 60.0
SPREAD_S = 3.0
SHARE_BY_BEGIN = {0.0: 0.01, 0.2: 0.05, 0.4: 0.25, 0.6: 0.5, 0.8: 1.0}
DONE_AT = 0.9
MIN_REQUESTS = 20
FAILURE_FACTOR, FAILURE_MARGIN = 2.0, 0.02
SLOW_FACTOR = 1.5
SLOW_MARGIN = 1.25
SLOW_Z = 1.2816


def _tail(slowdown, sigma):
    """Return the share of answers above the old version's tail bound."""
    z = SLOW_Z + (math.log(SLOW_MARGIN) - math.log(slowdown)) / sigma
    return 0.5 * math.erfc(z / math.sqrt(2.0))


class _Totals:
    """Figures of one version since the last step."""

    def __init__(self):
        self.requests = self.failures = 0
        self.first_token_s = 0.0

    def add(self, requests, failures, first_token_s):
        self.requests += requests
        self.failures += failures
        self.first_token_s += first_token_s

    @property
    def failure_rate(self):
        return self.failures / max(1, self.requests)

    @property
    def mean_first_token_s(self):
        return self.first_token_s / max(1, self.requests)


def _is_worse(new, old):
    if new.requests < MIN_REQUESTS:
        return False
    if new.failure_rate > FAILURE_FACTOR * old.failure_rate + FAILURE_MARGIN:
        return True
    return new.mean_first_token_s > SLOW_FACTOR * old.mean_first_token_s > 0


class _Oracle:
    """Tells when all evidence, known at once, shows the fault."""

    def __init__(self, routes):
        self._judge = evidence.VersionComparison(len(routes))
        self._pair_by_stratum = {}
        self.shown = float("nan")

    def add(self, index, route, counts_by_measure):
        for measure, counts in counts_by_measure.items():
            stratum = evidence.Stratum(route, measure)
            zero = (evidence.Counts(), evidence.Counts())
            pair = list(self._pair_by_stratum.get(stratum, zero))
            pair[index] += counts
            self._pair_by_stratum[stratum] = tuple(pair)

    def look(self, second, elapsed):
        found = self._judge.update(self._pair_by_stratum, elapsed)
        if found is not None and self.shown != self.shown:
            self.shown = second


class _Run:
    def __init__(self, deployment, kind, night, seed):
        generator = random.Random(seed)
        self.generator = generator
        self.deployment = deployment
        self.traffic = move_model.Traffic(deployment, night, generator)
        self.fault = move_model.draw_fault(kind, deployment, generator)
        self.numbers = numpy.random.default_rng(seed)
        self.oracle = _Oracle(deployment.share_by_route)
        self.new, self.old = _Totals(), _Totals()
        self.exposed = self.requests = 0
        self.first_faulty = self.last_new = float("nan")

    def run(self):
        window = self.deployment.window_s
        second, step = 0.0, None
        while second < DONE_AT * window:
            elapsed = second / window
            begin = max(begin for begin in SHARE_BY_BEGIN if begin <= elapsed)
            if begin != step:
                step, self.new, self.old = begin, _Totals(), _Totals()
            self._tick(second, elapsed, SHARE_BY_BEGIN[begin])
            second += TICK_S
            self.oracle.look(second, second / window)
            if second % CHECK_S == 0 and _is_worse(self.new, self.old):
                self._tick(second, elapsed, SHARE_BY_BEGIN[begin], SPREAD_S)
                return self._result(second, False, "rates differ")
        return self._result(second, True, "time passed")

    def _tick(self, second, elapsed, share, length=TICK_S):
        mean = self.traffic.rate(second) * length
        deployment = self.deployment
        load = min(1.0, share * deployment.replicas / deployment.new_hosts)
        for route, weight in deployment.share_by_route.items():
            more, slowdown = self.fault.effect(elapsed, route, load)
            new = int(self.numbers.poisson(mean * weight * share))
            old = int(self.numbers.poisson(mean * weight * (1 - share)))
            self.requests += new + old
            self.exposed += new
            if new:
                self.last_new = second + length
                is_hit = self.fault.is_bad and (more or slowdown != 1.0)
                if is_hit and self.first_faulty != self.first_faulty:
                    self.first_faulty = second
            self._count(second, 0, route, new, more, slowdown)
            self._count(second, 1, route, old, 0.0, 1.0)

    def _count(self, second, index, route, requests, failing, slowdown):
        traffic, numbers = self.traffic, self.numbers
        rate = min(1.0, traffic.failure_rate(second) + failing)
        answered_badly = int(numbers.binomial(requests, rate))
        disturbed = self._disturbed(second, index, requests)
        failures = min(requests, answered_badly + disturbed)
        mean = slowdown * traffic.slowdown(second) * move_model.MEDIAN_FIRST_TOKEN_S
        sigma = move_model.FIRST_TOKEN_SIGMA
        first = mean * numbers.lognormal(0, sigma, requests).sum() if requests else 0.0
        totals = self.old if index else self.new
        totals.add(requests, failures, first)
        served = requests - answered_badly
        slow_firsts = int(numbers.binomial(served, _tail(slowdown, sigma)))
        gap_tail = _tail(slowdown, move_model.TOKEN_GAP_SIGMA)
        slow_gaps = int(numbers.binomial(served, gap_tail))
        self.oracle.add(
            index,
            route,
            {
                evidence.Measure.FAILED: evidence.Counts(
                    requests, answered_badly, requests
                ),
                evidence.Measure.FIRST_TOKEN: evidence.Counts(
                    served, slow_firsts, requests
                ),
                evidence.Measure.TOKEN_GAP: evidence.Counts(
                    served, slow_gaps, requests
                ),
            },
        )

    def _disturbed(self, second, index, requests):
        traffic, generator = self.traffic, self.generator
        count = 0
        for _ in range(requests):
            data_centre = generator.randrange(move_runs.DATA_CENTRE_COUNT)
            lost = traffic.is_reclaimed(second, generator)
            lost = lost or traffic.is_cut(second, data_centre)
            lost = lost or traffic.is_poisoned(second, generator)
            if index == 0:
                lost = lost or traffic.crashed(second, second + TICK_S)
            count += lost
        return count

    def _result(self, second, done, reason):
        shown = self.oracle.shown
        return move_runs.Result(
            kind=self.fault.kind.value,
            done=done,
            elapsed=second / self.deployment.window_s,
            exposed=self.exposed,
            requests=self.requests,
            stop_after_shown_s=max(0.0, self.last_new - shown),
            stop_after_onset_s=self.last_new - self.first_faulty,
            reason=reason,
        )


def run_baseline(deployment, kind, night, seed):
    """Simulate one move under the baseline; returns a `move_runs.Result`."""
    return _Run(deployment, kind, night, seed).run()
