"""Simulates one version move under a canary with fixed percentages by time."""

import math
import random

import move_model
import move_runs
import numpy

from peridothitch.policy import evidence

__all__ = ["run_baseline"]

TICK_S = 10.0
CHECK_S = 60.0
ROLLBACK_DELAY_S = 3.0
SHARE_BY_BEGIN = {0.0: 0.01, 0.2: 0.05, 0.4: 0.25, 0.6: 0.5, 0.8: 1.0}
DONE_ELAPSED_SHARE = 0.9
MIN_REQUEST_COUNT = 20
FAILURE_FACTOR, FAILURE_RATE_MARGIN = 2.0, 0.02
SLOW_MEAN_FACTOR = 1.5
SLOW_TAIL_FACTOR = 1.25
SLOW_Z = 1.2816


def _slow_share(slowdown, sigma):
    """Return the share of responses slower than the old version's tail bound."""
    z = SLOW_Z + (math.log(SLOW_TAIL_FACTOR) - math.log(slowdown)) / sigma
    return 0.5 * math.erfc(z / math.sqrt(2.0))


class _Totals:
    """Totals of one version since the last step."""

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
    if new.requests < MIN_REQUEST_COUNT:
        return False
    if new.failure_rate > FAILURE_FACTOR * old.failure_rate + FAILURE_RATE_MARGIN:
        return True
    return new.mean_first_token_s > SLOW_MEAN_FACTOR * old.mean_first_token_s > 0


class _Oracle:
    """Computes when the evidence shows the fault if all hosts share it at once."""

    def __init__(self, routes):
        self._comparison = evidence.VersionComparison(len(routes))
        self._pair_by_stratum = {}
        self.shown_at = float("nan")

    def add(self, index, route, counts_by_measure):
        for measure, counts in counts_by_measure.items():
            stratum = evidence.Stratum(route, measure)
            zero = (evidence.Counts(), evidence.Counts())
            pair = list(self._pair_by_stratum.get(stratum, zero))
            pair[index] += counts
            self._pair_by_stratum[stratum] = tuple(pair)

    def check(self, second, elapsed):
        found = self._comparison.update(self._pair_by_stratum, elapsed)
        if found is not None and self.shown_at != self.shown_at:
            self.shown_at = second


class _Run:
    def __init__(self, deployment, kind, night, seed):
        generator = random.Random(seed)
        self.generator = generator
        self.deployment = deployment
        self.traffic = move_model.Traffic(deployment, night, generator)
        self.fault = move_model.draw_fault(kind, deployment, generator)
        self.numpy_generator = numpy.random.default_rng(seed)
        self.oracle = _Oracle(deployment.share_by_route)
        self.new, self.old = _Totals(), _Totals()
        self.exposed = self.requests = 0
        self.first_faulty_at = self.last_new_at = float("nan")

    def run(self):
        window = self.deployment.window_s
        second, step = 0.0, None
        while second < DONE_ELAPSED_SHARE * window:
            elapsed = second / window
            begin = max(begin for begin in SHARE_BY_BEGIN if begin <= elapsed)
            if begin != step:
                step, self.new, self.old = begin, _Totals(), _Totals()
            self._tick(second, elapsed, SHARE_BY_BEGIN[begin])
            second += TICK_S
            self.oracle.check(second, second / window)
            if second % CHECK_S == 0 and _is_worse(self.new, self.old):
                self._tick(second, elapsed, SHARE_BY_BEGIN[begin], ROLLBACK_DELAY_S)
                return self._result(second, False, "rates differ")
        return self._result(second, True, "time passed")

    def _tick(self, second, elapsed, share, length=TICK_S):
        mean = self.traffic.rate(second) * length
        deployment = self.deployment
        load = min(1.0, share * deployment.replicas / deployment.new_hosts)
        for route, weight in deployment.share_by_route.items():
            added_failure_rate, slowdown = self.fault.effect(elapsed, route, load)
            new = int(self.numpy_generator.poisson(mean * weight * share))
            old = int(self.numpy_generator.poisson(mean * weight * (1 - share)))
            self.requests += new + old
            self.exposed += new
            if new:
                self.last_new_at = second + length
                is_faulty = self.fault.is_bad and (
                    added_failure_rate or slowdown != 1.0
                )
                if is_faulty and self.first_faulty_at != self.first_faulty_at:
                    self.first_faulty_at = second
            self._count(second, 0, route, new, added_failure_rate, slowdown)
            self._count(second, 1, route, old, 0.0, 1.0)

    def _count(self, second, index, route, requests, failing, slowdown):
        traffic, numpy_generator = self.traffic, self.numpy_generator
        rate = min(1.0, traffic.failure_rate(second) + failing)
        failed_responses = int(numpy_generator.binomial(requests, rate))
        interrupted = self._count_interrupted(second, index, requests)
        failures = min(requests, failed_responses + interrupted)
        mean = slowdown * traffic.slowdown(second) * move_model.MEDIAN_FIRST_TOKEN_S
        sigma = move_model.FIRST_TOKEN_SIGMA
        first_token_sum_s = (
            mean * numpy_generator.lognormal(0, sigma, requests).sum()
            if requests
            else 0.0
        )
        totals = self.old if index else self.new
        totals.add(requests, failures, first_token_sum_s)
        served = requests - failed_responses
        slow_firsts = int(
            numpy_generator.binomial(served, _slow_share(slowdown, sigma))
        )
        slow_gap_share = _slow_share(slowdown, move_model.TOKEN_GAP_SIGMA)
        slow_gaps = int(numpy_generator.binomial(served, slow_gap_share))
        self.oracle.add(
            index,
            route,
            {
                evidence.Measure.FAILED: evidence.Counts(
                    requests, failed_responses, requests
                ),
                evidence.Measure.FIRST_TOKEN: evidence.Counts(
                    served, slow_firsts, requests
                ),
                evidence.Measure.TOKEN_GAP: evidence.Counts(
                    served, slow_gaps, requests
                ),
            },
        )

    def _count_interrupted(self, second, index, requests):
        traffic, generator = self.traffic, self.generator
        count = 0
        for _ in range(requests):
            data_centre = generator.randrange(move_runs.DATA_CENTRE_COUNT)
            is_lost = traffic.is_reclaimed(second, generator)
            is_lost = is_lost or traffic.is_cut(second, data_centre)
            is_lost = is_lost or traffic.is_poisoned(second, generator)
            if index == 0:
                is_lost = is_lost or traffic.crashed(second, second + TICK_S)
            count += is_lost
        return count

    def _result(self, second, done, reason):
        shown_at = self.oracle.shown_at
        return move_runs.Result(
            kind=self.fault.kind.value,
            done=done,
            elapsed=second / self.deployment.window_s,
            exposed=self.exposed,
            requests=self.requests,
            stop_after_shown_s=max(0.0, self.last_new_at - shown_at),
            stop_after_onset_s=self.last_new_at - self.first_faulty_at,
            reason=reason,
        )


def run_baseline(deployment, kind, night, seed):
    """Simulate one move under the baseline; returns a `move_runs.Result`."""
    return _Run(deployment, kind, night, seed).run()
