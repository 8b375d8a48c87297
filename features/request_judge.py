"""Checks histories of one request against what the stand-ins ran."""

import dataclasses
import json
import random

import request_bench as benches
import request_faults as faults

from peridothitch import errors

EVENT_COUNT = benches.TOKENS + 2
OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Violated guarantees of one history; a string is empty if its guarantee held.

    A request is rightly quarantined when two upstreams were killed while they ran it,
    since this cannot be distinguished from a request that crashes them.
    """

    lost: str = ""
    repeated: str = ""
    wrong: str = ""
    quarantined: bool = False

    @property
    def marks(self):
        pairs = (("L", self.lost), ("D", self.repeated), ("W", self.wrong))
        return "".join(mark for mark, text in pairs if text)


@dataclasses.dataclass
class Caller:
    """One caller that sends its request until it has the whole answer."""

    kind: str
    token_by_id: dict = dataclasses.field(default_factory=dict)
    fault_texts: list = dataclasses.field(default_factory=list)
    bodies: set = dataclasses.field(default_factory=set)
    done: bool = False

    @property
    def last_event_id(self):
        if self.kind != "bulletin" or not self.token_by_id:
            return None
        return max(self.token_by_id)

    def receive(self, result):
        if self.kind not in benches.STREAMED:
            self._receive_plain(result)
            return
        if self.kind == "chat":
            self.token_by_id = {}
        self._receive_events(result)

    def _receive_plain(self, result):
        if result.cut or result.code or not self._is_final(result):
            return
        self.done = True
        self.bodies.add(result.body)
        if result.status == OK and b'"key":"key-1"' not in result.body:
            self.fault_texts.append("the answer of another request")

    def _is_final(self, result):
        return result.status == OK or self.kind == "payment"

    def _receive_events(self, result):
        if result.status != OK:
            return
        for part in result.body.split(b"\n\n"):
            if b"event: error" in part or b"data: " not in part:
                continue
            self._receive_event(part)
        self.done = "[DONE]" in self.token_by_id.values()

    def _receive_event(self, part):
        number = len(self.token_by_id)
        for line in part.splitlines():
            if line.startswith(b"id: "):
                number = int(line[4:])
        text = part.rpartition(b"data: ")[2].decode()
        if text != "[DONE]":
            text = json.loads(text)["choices"][0]["delta"].get("content", "")
        elif number in self.token_by_id:
            number += 1
        if number in self.token_by_id:
            self.fault_texts.append(f"event {number} arrived twice")
        if number != len(self.token_by_id):
            self.fault_texts.append(f"event {number} out of order")
        self.token_by_id[number] = text

    def text(self):
        texts = [self.token_by_id[number] for number in sorted(self.token_by_id)]
        return "".join(text for text in texts if text != "[DONE]")


def make_bench(kind, poisoned=False, plan=()):
    """Return a bench with a request of a kind."""
    bench = benches.Bench(faults.INJECTOR_BY_FAULT, plan)
    bench.request = benches.make_request(kind, poisoned)
    return bench


def run_history(kind, plan, sampled=True, poisoned=False):
    """Run one history; returns its `Verdict` and the bench."""
    bench = benches.Bench(faults.INJECTOR_BY_FAULT, plan, sampled)
    bench.request = benches.make_request(kind, poisoned)
    caller = Caller(kind)
    results = []
    for number in range(benches.MAX_SEND_COUNT):
        host_id = _live_host(bench, number)
        result, before = _send(bench, host_id, caller)
        results.append((result, before))
        if not result.cut or kind in benches.STREAMED:
            caller.receive(result)
        if caller.done:
            break
        if bench.absence_round_count:
            _wait_for_return(bench)
        bench.clock.advance(4 * benches.SECOND)
        bench.settle()
    bench.results = results
    return _make_verdict(bench, caller, results), bench


def _wait_for_return(bench):
    for _ in range(bench.absence_round_count):
        bench.clock.advance(4 * benches.SECOND)
        bench.settle()
    bench.runs_before_return = bench.runs()
    bench.absence_round_count = 0


def _live_host(bench, number):
    while True:
        dead = bench.network.dead
        live = [name for name in sorted(bench.handler_by_id) if name not in dead]
        if live:
            return live[number % len(live)]
        bench.clock.advance(benches.SECOND)


def _send(bench, host_id, caller):
    before = bench.runs()
    nested = len(bench.nested)
    result = bench.send(host_id, caller.last_event_id)
    if len(bench.nested) > nested:
        before = None
    return result, before


def _make_verdict(bench, caller, results):
    quarantined = _is_quarantined(bench, caller, results)
    return Verdict(
        quarantined=quarantined,
        lost="" if quarantined else _lost(bench, caller, results),
        repeated=_repeated(bench, caller),
        wrong=_wrong(bench, caller, results),
    )


def _is_quarantined(bench, caller, results):
    is_refused = results[-1][0].code == errors.Code.REQUEST_QUARANTINED
    return is_refused and not caller.done and bench.kill_count >= 2


def _lost(bench, caller, results):
    if caller.done:
        return _not_completed(bench, caller)
    last = results[-1][0]
    if caller.kind == "payment" and last.ran == "unknown":
        return ""
    return f"{caller.kind} ended with {last.status} {last.code} {last.ran}"


def _not_completed(bench, caller):
    before = bench.runs_before_return
    if caller.kind not in benches.DURABLE or not before:
        return ""
    return "resumed only when it was sent again" if bench.runs() > before else ""


def _repeated(bench, caller):
    if caller.kind == "payment" and bench.runs() > 1:
        return f"ran {bench.runs()} times"
    return ""


def _wrong(bench, caller, results):
    for result, before in results:
        if (
            result.ran == "no"
            and before is not None
            and result.run_count_after > before
        ):
            return f"reported as not run with code {result.code}, but it ran"
    if caller.fault_texts:
        return caller.fault_texts[0]
    if caller.done and caller.kind in benches.STREAMED:
        return _wrong_text(bench, caller)
    if caller.kind == "payment" and len(caller.bodies) > 1:
        return "two different answers"
    return ""


def _wrong_text(bench, caller):
    tokens = [token.split("/")[0].strip() for token in caller.text().split()]
    if tokens != [f"t{index}" for index in range(benches.TOKENS)]:
        return f"answer contains {tokens}"
    if caller.text() not in bench.texts():
        return f"no engine wrote {caller.text()!r}"
    return ""


def cells():
    """Return each combination of fault, step and kind of request."""
    return [
        (fault, step, kind)
        for fault in faults.FAULTS
        for step in benches.STEPS
        for kind in benches.KINDS
    ]


def generate_plan(source):
    """Return a kind, a plan of one to four faults and whether tokens are sampled."""
    plan = [
        (source.choice(benches.STEPS), source.choice(faults.FAULTS))
        for _ in range(source.randint(1, 4))
    ]
    return source.choice(benches.KINDS), plan, source.random() < 0.5


def histories(seed, count):
    """Yield generated plans."""
    source = random.Random(seed)
    for _ in range(count):
        yield generate_plan(source)
