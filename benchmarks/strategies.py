"""Strategies of host choice: the one of the entry hosts, and baselines."""

import queueing

from peridothitch.policy import (
    affinity,
    cache_estimates,
    host_choice,
    host_selector,
    load_estimates,
)


class Strategy:
    """Base class: the host choice of one entry host."""

    def __init__(self, deployment, index, random_source):
        data_centres = list(deployment.regions)
        self.data_centre = data_centres[index % len(data_centres)]
        self.region = deployment.regions[self.data_centre]
        self.entry_hosts = deployment.entry_hosts
        self.random_source = random_source

    def choose(self, hosts, request, tried, now):
        """Return the host for an attempt."""
        raise NotImplementedError

    def record_start(self, host, request, now):
        """Record the start of an attempt."""

    def record_first_token(self, host, request, report, cached, now):
        """Record the first token and the headers of a reply."""

    def record_end(self, host, request, now):
        """Record the end of an attempt."""

    def record_report(self, host_id, report, now):
        """Record a load report that was shared or polled."""

    def record_events(self, host_id, events, now):
        """Record cache events."""


class RandomChoice(Strategy):
    """Chooses a random host."""

    def choose(self, hosts, request, tried, now):
        """Return the host for an attempt."""
        return self.random_source.choice(hosts)


class RoundRobin(Strategy):
    """Chooses the hosts in turn."""

    def __init__(self, deployment, index, random_source):
        super().__init__(deployment, index, random_source)
        self._next_index = random_source.randrange(1 << 16)

    def choose(self, hosts, request, tried, now):
        """Return the host for an attempt."""
        self._next_index += 1
        return hosts[self._next_index % len(hosts)]


class LeastLoaded(Strategy):
    """Chooses the fewest requests by the load estimate that `ExpectedCost` uses too."""

    def __init__(self, deployment, index, random_source):
        super().__init__(deployment, index, random_source)
        self.loads = load_estimates.LoadEstimates(self.entry_hosts)

    def choose(self, hosts, request, tried, now):
        """Return the host for an attempt."""
        return min(self._shuffled(hosts), key=lambda host: self._rank(host, now))

    def _shuffled(self, hosts):
        start = self.random_source.randrange(len(hosts))
        return hosts[start:] + hosts[:start]

    def _rank(self, host, now):
        rate = queueing.PROFILE.prefill_tokens_per_second
        return self.loads.estimate(host.host_id, now, rate).running

    def record_start(self, host, request, now):
        """Record the start of an attempt."""
        rate = queueing.PROFILE.prefill_tokens_per_second
        self.loads.record_start(host.host_id, request.prompt_tokens, now, rate)

    def record_first_token(self, host, request, report, cached, now):
        """Record the first token and the headers of a reply."""
        self.loads.record_report(host.host_id, report, now)

    def record_end(self, host, request, now):
        """Record the end of an attempt."""
        self.loads.record_end(host.host_id)

    def record_report(self, host_id, report, now):
        """Record a load report that was shared or polled."""
        self.loads.record_report(host_id, report, now)


class Nearest(LeastLoaded):
    """Chooses the least loaded host of the nearest data centre."""

    def _rank(self, host, now):
        is_remote = host.data_centre != self.data_centre
        return is_remote, host.region != self.region, super()._rank(host, now)


class ExpectedCost(Strategy):
    """Chooses by expected cost, with the host selector of the entry hosts."""

    prefix = True

    def __init__(self, deployment, index, random_source):
        super().__init__(deployment, index, random_source)
        estimates = host_choice.UpstreamEstimates(
            loads=load_estimates.LoadEstimates(self.entry_hosts),
            caches=cache_estimates.CacheEstimates(),
            profile_by_machine_class={"standard": queueing.PROFILE},
        )
        self.selector = host_selector.HostSelector(
            estimates, self.data_centre, self.region, random_source
        )
        self._output_by_priority = {}
        self._reuse_by_priority = {}
        self._decision_by_request = {}

    def choose(self, pool, request, tried, now):
        """Return the host for an attempt."""
        expected_tokens = self._output_by_priority.get(request.priority, 200.0)
        reuse = self._reuse_by_priority.get(request.priority, 0.3)
        reuse += 0.05 * (request.prefix.continued - reuse)
        self._reuse_by_priority[request.priority] = reuse
        need = host_selector.AttemptNeed(
            version="v1",
            prefix=request.prefix if self.prefix else affinity.NO_PREFIX,
            demand=request.demand(expected_tokens, reuse, now),
            tried=tried,
        )
        decision = self.selector.choose(pool, need, now)
        self._decision_by_request[id(request)] = decision, need
        return decision.host

    def record_start(self, host, request, now):
        """Record the start of an attempt."""
        decision, need = self._decision_by_request.pop(id(request))
        self.selector.prepare(id(request), decision, need)
        self.selector.start(id(request), host.host_id, now)

    def record_first_token(self, host, request, report, cached, now):
        """Record the first token and the headers of a reply."""
        self.selector.record_report(host.host_id, report, now)
        self.selector.record_first_token(id(request), now - request.started, now)
        tokens = cached * queueing.TOKENS_PER_BLOCK
        self.selector.record_cached_tokens(id(request), tokens, now)

    def record_end(self, host, request, now):
        """Record the end of an attempt."""
        self.selector.end(host.host_id)
        if request.ended and request.output_tokens > 8:
            gap = (request.ended - request.first_token) / request.output_tokens
            self.selector.record_gap(id(request), gap, now)
        self.selector.drop_attempt(id(request))
        expected_output = self._output_by_priority.get(request.priority, 200.0)
        expected_output += 0.05 * (request.output_tokens - expected_output)
        self._output_by_priority[request.priority] = expected_output

    def record_report(self, host_id, report, now):
        """Record a load report that was shared or polled."""
        self.selector.record_report(host_id, report, now)

    def record_events(self, host_id, events, now):
        """Record cache events."""
        self.selector.estimates.caches.record_events(host_id, events, now)


class CostWithoutPrefix(ExpectedCost):
    """Chooses by expected cost without using prompt prefixes."""

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
