"""An overloaded service and its callers on a virtual clock, without a network.

Upstreams read prompts one after the other, the urgent first, and write the answers of
all that run at once. Callers come again once after a refusal.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random

from peridothitch.gateway.forwarding import job as jobs
from peridothitch.gateway.forwarding import room_account
from peridothitch.policy import admission, placement, return_times, room
from peridothitch.ports import forwarding, raw

_SECOND = datetime.timedelta(seconds=1)
_TOKENS_PER_SECOND = 30_000.0
_STEP_SECONDS = 0.004
_SLOTS = 48
_POLL_SECONDS = 0.02
_HOST_COUNT = 6


@dataclasses.dataclass(frozen=True)
class Kind:
    name: str
    priority: int
    share: float
    prompt_tokens: int
    output_tokens: int
    target: float
    deadline: float


KINDS = (
    Kind("chat", 0, 0.25, 540, 280, 0.5, 15.0),
    Kind("draft", 1, 0.30, 1800, 24, 0.8, 3.0),
    Kind("digest", 2, 0.45, 2900, 54, 2.5, 5.0),
)


@dataclasses.dataclass(frozen=True)
class Upstream:
    host_id: str
    slots: int = _SLOTS


class _Engine:
    def __init__(self, name):
        self.host = Upstream(name)
        self.queue = []
        self.reading = None
        self.free_at = 0.0
        self.running = 0
        self.is_live = True

    @property
    def token_seconds(self):
        return _STEP_SECONDS * (1 + self.running / 16)

    def estimate(self, call, now):
        ahead = sum(
            queued.prompt for _, _, queued in self.queue if queued.rank <= call.rank
        )
        seconds = max(0.0, self.free_at - now)
        seconds += (ahead + call.prompt) / _TOKENS_PER_SECOND
        return placement.Estimate(
            self.host.host_id,
            seconds,
            seconds,
            busy=self.running + len(self.queue),
            token_seconds=self.token_seconds,
            is_modelled=True,
        )


@dataclasses.dataclass
class _Call:
    kind: Kind
    customer: str
    asked_at: float
    prompt: float
    output: float
    hint: int
    tries: int = 0
    arrived: float = 0.0
    ticket: object = None

    @property
    def rank(self):
        return self.kind.priority

    @property
    def deadline(self):
        return self.asked_at + self.kind.deadline


def make_call(kind, target, deadline):
    """Return a call of a kind with another target and deadline, from now."""
    kind = dataclasses.replace(kind, target=target, deadline=deadline)
    return _Call(kind, "c0", 0.0, kind.prompt_tokens, kind.output_tokens, 1)


class Results(collections.Counter):
    """Counts of (kind or customer or size, outcome)."""

    def share(self, name, outcome):
        return self[name, outcome] / max(1, self[name, "asked"])


class RoomService:
    """Plays calls for a service; `decides` is "room" or "former"."""

    def __init__(self, decides, seed, engine_count=8):
        self._decides = decides
        self._random = random.Random(seed)
        self._engines = [_Engine(f"u{number}") for number in range(engine_count)]
        self._accounts = [room_account.RoomAccount() for _ in range(_HOST_COUNT)]
        self._events = []
        self._numbers = itertools.count()
        self._customers = {}
        self.results = Results()
        self.wait_count = 0
        self.longest_refused_wait = 0.0
        """Longest wait of a refused call, in parts of its target."""

    def at(self, moment, action, *arguments):
        heapq.heappush(self._events, (moment, next(self._numbers), action, arguments))

    def offer(self, load, begin, end, share_by_kind=None, customers=None):
        """Add calls for a multiple of what all upstreams can read."""
        shares = share_by_kind or {kind.name: kind.share for kind in KINDS}
        mean = sum(shares[kind.name] * kind.prompt_tokens for kind in KINDS)
        rate = load * len(self._engines) * _TOKENS_PER_SECOND / mean
        weight_by_customer = customers or {f"c{number}": 1 for number in range(12)}
        now = begin
        while (now := now + self._random.expovariate(rate)) < end:
            kind = self._random.choices(KINDS, [shares[each.name] for each in KINDS])[0]
            size = self._random.lognormvariate(-0.08, 0.4)
            output = kind.output_tokens * self._random.lognormvariate(-0.08, 0.4)
            call = _Call(
                kind,
                self._random.choices(*zip(*weight_by_customer.items(), strict=True))[0],
                now,
                kind.prompt_tokens * size,
                output,
                int(output * self._random.lognormvariate(0, 0.5)) + 1,
            )
            self.at(now, self._arrive, call)

    def lose(self, share):
        """Stop a share of the upstreams; what runs there is lost."""
        for engine in self._engines[: int(share * len(self._engines))]:
            engine.is_live = False

    def run(self):
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments, now)
        return self.results

    def _arrive(self, call, now):
        call.arrived = now
        call.ticket = None
        if not call.tries:
            self._count(call, "asked")
        call.tries += 1
        account = self._random.choice(self._accounts)
        self._judge(account, self.make_job(call, now), call, now)

    def _judge(self, account, job, call, now):
        live = [engine for engine in self._engines if engine.is_live]
        engine = min(live, key=lambda each: each.estimate(call, now).seconds)
        estimate = engine.estimate(call, now)
        moment = now * _SECOND
        if self._decides == "former":
            delay = admission.refusal_delay(
                estimate.seconds * _SECOND,
                call.kind.target * _SECOND,
                (call.deadline - now) * _SECOND,
                call.kind.priority,
            )
            if delay is None:
                self._send(account, job, call, engine, now)
            else:
                self._refuse(call, delay / _SECOND, now)
            return
        if call.ticket is None:
            draw = self._random.random()
            call.ticket = account.open(job, estimate, draw, moment)
        decision, prospect = account.judge(call.ticket, engine.host, estimate, moment)
        if decision.verdict is room.Verdict.WAIT:
            self.wait_count += 1
            self.at(now + _POLL_SECONDS, self._judge, account, job, call)
            return
        account.record_decision(call.ticket, decision, moment)
        if decision.verdict is room.Verdict.ADMIT:
            self._send(account, job, call, engine, now)
            return
        wait = (now - call.arrived) / call.kind.target
        self.longest_refused_wait = max(self.longest_refused_wait, wait)
        draw = self._random.random()
        self._refuse(call, return_times.return_delay(prospect, draw), now)

    def _refuse(self, call, delay, now):
        self._count(call, "told no")
        back_at = now + min(delay, (call.deadline - now) / 3) + 0.004
        if call.tries == 1 and back_at < call.deadline:
            self.at(back_at, self._arrive, call)
        else:
            self._count(call, "refused")

    def _send(self, account, job, call, engine, now):
        estimate = engine.estimate(call, now)
        entry = (call.rank, next(self._numbers), call)
        call.sent = (account, job, estimate, now)
        heapq.heappush(engine.queue, entry)
        self._read_next(engine, now)

    def _read_next(self, engine, now):
        if engine.reading is not None or engine.running >= _SLOTS:
            return
        while engine.queue:
            _, _, call = heapq.heappop(engine.queue)
            if now >= call.deadline:
                self._end(call, None, "failed", now)
                continue
            engine.reading = call
            engine.free_at = now + call.prompt / _TOKENS_PER_SECOND
            self.at(engine.free_at, self._start, engine, call)
            return

    def _start(self, engine, call, now):
        engine.reading = None
        engine.running += 1
        account, job, estimate, sent_at = call.sent
        account.record_start(job, estimate, now - sent_at, now * _SECOND)
        duration = call.output * engine.token_seconds
        self.at(min(now + duration, call.deadline), self._stop, engine, call, now)
        self._read_next(engine, now)

    def _stop(self, engine, call, started, now):
        engine.running -= 1
        is_cut = not engine.is_live or now >= call.deadline
        in_time = started - call.asked_at <= call.kind.target
        outcome = "failed" if is_cut else "in time" if in_time else "late"
        self._end(call, started, outcome, now)
        self._read_next(engine, now)

    def _end(self, call, started, outcome, now):
        account, job, estimate, sent_at = call.sent
        if outcome == "failed":
            first = None if started is None else started - sent_at
            account.record_cut(job, estimate, first, now - sent_at, now * _SECOND)
        else:
            account.record_stream(job, estimate, now - started)
        self._count(call, outcome)

    def _count(self, call, outcome):
        self.results[call.kind.name, outcome] += 1
        self.results[call.customer, outcome] += 1
        self.results["all", outcome] += 1
        if call.prompt > 1.5 * call.kind.prompt_tokens:
            self.results[f"large {call.kind.name}", outcome] += 1

    def make_job(self, call, now):
        kind = call.kind
        customer = self._customers.setdefault(
            call.customer, forwarding.Customer(name=call.customer)
        )
        return jobs.Job(
            request=raw.RawRequest(
                method="POST",
                target="/",
                fields=(),
                body=b"",
                has_body=False,
                arrived=now * _SECOND,
            ),
            metadata=forwarding.RequestMetadata(
                prompt_tokens=int(call.prompt),
                expected_tokens=call.hint,
                deadline=(call.deadline - now) * _SECOND,
            ),
            route=forwarding.Route(
                name=kind.name,
                host="h",
                prefix="/",
                shares=(),
                priority=kind.priority,
                latency_objective=kind.target * _SECOND,
                streamed=True,
            ),
            service="s",
            customer=customer,
            table_version=1,
            deadline=call.deadline * _SECOND,
            need=placement.RequestNeed(prompt_tokens=call.prompt),
            digest="",
        )
