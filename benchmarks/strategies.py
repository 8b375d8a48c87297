"""The choice that entry hosts make, and the baselines that it is measured with."""

import queueing

from peridothitch.policy import (
    affinity,
    cache_estimates,
    host_choice,
    host_selector,
    load_estimates,
)


class Strategy:
    """One entry host's way to choose."""

    def __init__(self, deployment, index, source):
        centres = list(deployment.regions)
        self.data_centre = centres[index % len(centres)]
        self.region = deployment.regions[self.data_centre]
        self.entry_hosts = deployment.entry_hosts
        self.source = source

    def choose(self, hosts, request, tried, now):
        """Return the host of an attempt."""
        raise NotImplementedError

    def record_start(self, host, request, now):
        """Learn that an attempt starts."""

    def record_first_token(self, host, request, report, cached, now):
        """Learn from the reply's first token and headers."""

    def record_end(self, host, request, now):
        """Learn that an attempt ended."""

    def record_report(self, host_id, report, now):
        """Learn from a report that was shared or polled."""

    def record_events(self, host_id, events, now):
        """Learn from cache events."""


class RandomChoice(Strategy):
    """Any host."""

    def choose(self, hosts, request, tried, now):
        """Return the host of an attempt."""
        return self.source.choice(hosts)


class RoundRobin(Strategy):
    """One host after another."""

    def __init__(self, deployment, index, source):
        super().__init__(deployment, index, source)
        self._turn = source.randrange(1 << 16)

    def choose(self, hosts, request, tried, now):
        """Return the host of an attempt."""
        self._turn += 1
        return hosts[self._turn % len(hosts)]


class LeastLoaded(Strategy):
    """The fewest requests by the same load estimate that the cost choice uses."""

    def __init__(self, deployment, index, source):
        super().__init__(deployment, index, source)
        self.loads = load_estimates.LoadEstimates(self.entry_hosts)

    def choose(self, hosts, request, tried, now):
        """Return the host of an attempt."""
        return min(self._shuffled(hosts), key=lambda host: self._rank(host, now))

    def _shuffled(self, hosts):
        start = self.source.randrange(len(hosts))
        return hosts[start:] + hosts[:start]

    def _rank(self, host, now):
        rate = queueing.PROFILE.prefill_tokens_per_second
        return self.loads.estimate(host.host_id, now, rate).running

    def record_start(self, host, request, now):
        """Learn that an attempt starts."""
        rate = queueing.PROFILE.prefill_tokens_per_second
        self.loads.record_start(host.host_id, request.prompt_tokens, now, rate)

    def record_first_token(self, host, request, report, cached, now):
        """Learn from the reply's first token and headers."""
        self.loads.record_report(host.host_id, report, now)

    def record_end(self, host, request, now):
        """Learn that an attempt ended."""
        self.loads.record_end(host.host_id)

    def record_report(self, host_id, report, now):
        """Learn from a report that was shared or polled."""
        self.loads.record_report(host_id, report, now)


class Nearest(LeastLoaded):
    """The least loaded host of the nearest data centre."""

    def _rank(self, host, now):
        far = host.data_centre != self.data_centre
        return far, host.region != self.region, super()._rank(host, now)


class ExpectedCost(Strategy):
    """The selector of the entry hosts."""

    prefix = True

    def __init__(self, deployment, index, source):
        super().__init__(deployment, index, source)
        estimates = host_choice.UpstreamEstimates(
            loads=load_estimates.LoadEstimates(self.entry_hosts),
            caches=cache_estimates.CacheEstimates(),
            profile_by_machine_class={"standard": queueing.PROFILE},
        )
        self.selector = host_selector.HostSelector(
            estimates, self.data_centre, self.region, source
        )
        self._output_by_priority = {}
        self._reuse_by_priority = {}
        self._decision_by_request = {}

    def choose(self, pool, request, tried, now):
        """Return the host of an attempt."""
        expected = self._output_by_priority.get(request.priority, 200.0)
        reuse = self._reuse_by_priority.get(request.priority, 0.3)
        reuse += 0.05 * (request.prefix.continued - reuse)
        self._reuse_by_priority[request.priority] = reuse
        need = host_selector.AttemptNeed(
            version="v1",
            prefix=request.prefix if self.prefix else affinity.NO_PREFIX,
            demand=request.demand(expected, reuse, now),
            tried=tried,
        )
        decision = self.selector.choose(pool, need, now)
        self._decision_by_request[id(request)] = decision, need
        return decision.host

    def record_start(self, host, request, now):
        """Learn that an attempt starts."""
        decision, need = self._decision_by_request.pop(id(request))
        self.selector.prepare(id(request), decision, need)
        self.selector.start(id(request), host.host_id, now)

    def record_first_token(self, host, request, report, cached, now):
        """Learn from the reply's first token and headers."""
        self.selector.record_report(host.host_id, report, now)
        self.selector.record_first_token(id(request), now - request.started, now)
        tokens = cached * queueing.TOKENS_PER_BLOCK
        self.selector.record_cached_tokens(id(request), tokens, now)

    def record_end(self, host, request, now):
        """Learn that an attempt ended."""
        self.selector.end(host.host_id)
        if request.ended and request.output_tokens > 8:
            gap = (request.ended - request.first_token) / request.output_tokens
            self.selector.record_gap(id(request), gap, now)
        self.selector.drop_attempt(id(request))
        known = self._output_by_priority.get(request.priority, 200.0)
        known += 0.05 * (request.output_tokens - known)
        self._output_by_priority[request.priority] = known

    def record_report(self, host_id, report, now):
        """Learn from a report that was shared or polled."""
        self.selector.record_report(host_id, report, now)

    def record_events(self, host_id, events, now):
        """Learn from cache events."""
        self.selector.estimates.caches.record_events(host_id, events, now)


class CostWithoutPrefix(ExpectedCost):
    """The selector without knowledge of prefixes."""

    prefix = False


STRATEGY_BY_NAME = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least loaded": LeastLoaded,
    "nearest": Nearest,
    "expected cost": ExpectedCost,
    "cost, no prefix": CostWithoutPrefix,
}
BASELINES = ("random", "round robin", "least loaded", "nearest")
