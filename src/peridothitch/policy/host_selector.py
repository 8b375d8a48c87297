"""Chooses upstream hosts and updates the estimates from the attempts' results."""

import collections
import dataclasses
import random

from peridothitch.policy import affinity, cost, host_choice, load_estimates

__all__ = ["TOKENS_PER_BLOCK", "Attempt", "AttemptNeed", "HostSelector"]

TOKENS_PER_BLOCK = host_choice.TOKENS_PER_BLOCK
_MAX_ATTEMPT_COUNT = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptNeed:
    """Requirements of one attempt of a request.

    Attributes
    ----------
    version, adapter : str
    prefix : peridothitch.policy.affinity.Prefix
    demand : peridothitch.policy.cost.Demand
    tried : frozenset of str
        Host ids of earlier attempts.
    """

    version: str
    adapter: str = ""
    prefix: affinity.Prefix = affinity.NO_PREFIX
    demand: cost.Demand = cost.Demand()
    tried: frozenset = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """An attempt whose host was chosen.

    Attributes
    ----------
    decision : peridothitch.policy.host_choice.Decision or None
    blocks : tuple of int
    uncached_tokens : float
        Prompt tokens that the host is expected to compute.
    """

    decision: host_choice.Decision | None = None
    blocks: tuple = ()
    uncached_tokens: float = 0.0


_UNPREPARED = Attempt()


class HostSelector:
    """Chooses hosts; not safe for use by several threads at once.

    All times are monotonic seconds as float.

    Parameters
    ----------
    estimates : peridothitch.policy.host_choice.UpstreamEstimates
    data_centre, region : str
        Location of this entry host.
    random_source : random.Random
    """

    def __init__(self, estimates, data_centre="", region="", random_source=None):
        self.estimates = estimates
        self.region = region
        self._data_centre = data_centre
        self._random_source = random_source or random.Random()
        self._attempt_by_id = collections.OrderedDict()

    def choose(self, pool, need, now, leaving=frozenset()):
        """Return the `Decision` for an attempt, None when no host is left."""
        context = host_choice.ChoiceContext(
            version=need.version,
            adapter=need.adapter,
            data_centre=self._data_centre,
            region=self.region,
            tried=need.tried,
            leaving=leaving,
            prefix=need.prefix,
            demand=need.demand,
            now=now,
            estimates=self.estimates,
            random_source=self._random_source,
        )
        return host_choice.choose(pool, context)

    def prepare(self, attempt_id, decision, need):
        """Store a decision until its attempt has started and ended."""
        uncached = max(0.0, need.demand.prompt_tokens - decision.cached_tokens)
        self._attempt_by_id[attempt_id] = Attempt(
            decision=decision, blocks=need.prefix.blocks, uncached_tokens=uncached
        )
        while len(self._attempt_by_id) > _MAX_ATTEMPT_COUNT:
            self._attempt_by_id.popitem(last=False)

    def start(self, attempt_id, host_id, now):
        """Record the start of an attempt, with or without a stored decision."""
        attempt = self._attempt_by_id.get(attempt_id, _UNPREPARED)
        rate = load_estimates.Profile().prefill_tokens_per_second
        if attempt.decision is not None:
            host = attempt.decision.host
            rate = self.estimates.profile(host).prefill_tokens_per_second
        loads = self.estimates.loads
        loads.record_start(host_id, attempt.uncached_tokens, now, rate)
        self.estimates.caches.record_sent(host_id, attempt.blocks, now)

    def end(self, host_id):
        """Record the end of an attempt."""
        self.estimates.loads.record_end(host_id)

    def drop_attempt(self, attempt_id):
        """Discard the stored decision of an attempt."""
        self._attempt_by_id.pop(attempt_id, None)

    def record_first_token(self, attempt_id, seconds, now):
        """Record the time to the first token relative to the predicted one."""
        attempt = self._attempt_by_id.get(attempt_id)
        if attempt is None or attempt.decision is None:
            return
        decision = attempt.decision
        ratio = seconds / decision.cost.first_token_seconds
        self.estimates.loads.record_first_token_ratio(decision.host.host_id, ratio, now)

    def record_gap(self, attempt_id, seconds, now):
        """Record the mean gap between tokens relative to the predicted one."""
        attempt = self._attempt_by_id.get(attempt_id)
        if attempt is None or attempt.decision is None:
            return
        decision = attempt.decision
        ratio = seconds / decision.cost.gap_seconds
        self.estimates.loads.record_gap(decision.host.host_id, ratio, now)

    def record_report(self, host_id, report, now):
        """Record a `peridothitch.policy.load_estimates.LoadReport`."""
        self.estimates.loads.record_report(host_id, report, now)

    def record_cached_tokens(self, attempt_id, cached_tokens, now):
        """Record the cached tokens that a reply reports."""
        attempt = self._attempt_by_id.get(attempt_id)
        if attempt is None:
            return
        self.estimates.caches.record_reply(
            attempt.decision.host.host_id,
            attempt.blocks,
            cached_tokens / TOKENS_PER_BLOCK,
            now,
        )

    def update(self, hosts, entry_hosts):
        """Set the current hosts and the number of entry hosts."""
        host_ids = {host.host_id for host in hosts}
        self.estimates.loads.entry_hosts = max(1, entry_hosts)
        self.estimates.loads.retain(host_ids)
        self.estimates.reclaims.retain(host_ids)
