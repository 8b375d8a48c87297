"""Steps for prompt parts that crash upstreams."""

import contextlib
import json
import time

import behave
import part_fleet

from peridothitch import errors
from peridothitch.adapters import metrics
from peridothitch.gateway.forwarding import part_guard, part_records
from peridothitch.policy import part_evidence
from peridothitch.ports import facts

_SETTLING_SECONDS = 1.0
"""Time from a crash until an entry host has weighed it."""

_REFUSED_CODE = 1017


@behave.given('{count:d} more replicas of "{service}"')
def add_replicas(context, count, service):
    for number in range(count):
        context.bench.add_replica(f"{service}-{number}", service)


@behave.given(
    'each replica crashes when it begins an answer on the prompt part "{part}"'
)
def set_deadly_part(context, part):
    for replica in context.bench.replica_by_id.values():
        replica.deadly_parts = frozenset({part})


def _send(context, parts, number):
    prompt = ",".join(f"{part}:20" for part in (*parts, f"own{number}"))
    return context.bench.request(f"/helper/{number}", Peridothitch_Prompt_Prefix=prompt)


def _crash_count(context):
    return sum(
        not replica.is_listening for replica in context.bench.replica_by_id.values()
    )


@behave.when(
    'callers send different prompts with the part "{part}" until it is refused'
)
def send_until_refused(context, part):
    for number in range(len(context.bench.replica_by_id)):
        sound = _send(context, ("system",), f"sound-{number}")
        assert sound.status == 200, sound
        response = _send(context, ("system", part), number)
        if response.status == 503:
            assert json.loads(response.body)["code"] == _REFUSED_CODE, response
            return
        time.sleep(_SETTLING_SECONDS)
    raise AssertionError(f"never refused; {_crash_count(context)} replicas crashed")


@behave.then("at most {count:d} replicas have crashed")
def check_crashes(context, count):
    assert _crash_count(context) <= count, _crash_count(context)


@behave.then("a prompt with the same first part is answered")
def check_sound(context):
    response = _send(context, ("system",), "sound")
    assert response.status == 200, response


_BAD_INTERVAL = 200
_LOAD_BY_TROUBLE = {
    "one bad part": {},
    "two bad parts at once": {"bad_parts": ("bad-1", "bad-2"), "bad_share": 0.1},
    "many requests with a bad part": {"bad_share": 0.4},
    "few requests with a bad part": {"bad_share": 0.015, "duration": 90.0},
    "crashes for other reasons": {"crash_interval": 1.5},
    "several upstreams lost at once": {"crash_interval": 4.0, "crash_count": 5},
    "entry hosts killed": {"kill_interval": 1.0},
    "entry hosts cut off": {"cuts": True},
    "a loss of power of all entry hosts": {"power_loss_at": 6.0},
    "a lost record, then a loss of power": {"restore_at": 10.0, "power_loss_at": 12.0},
    "a lost record, all who knew killed, then a loss of power": {
        "kill_interval": 0.7,
        "restore_at": 20.0,
        "power_loss_at": 22.0,
    },
    "prompts made of random parts": {"has_random_parts": True, "crash_interval": 3.0},
}


@behave.then(
    "in {seeds:d} days with {trouble} at most {count:d} requests with a bad part come"
    " too late"
)
def check_days(context, seeds, trouble, count):
    load = part_fleet.Load(**_LOAD_BY_TROUBLE[trouble])
    for seed in range(seeds):
        fleet = part_fleet.PartFleet(load, context.seed + seed)
        fleet.play()
        late = fleet.late_sends_by_part
        assert max(late.values()) <= count, (seed, late)
        refused = fleet.refused_count
        assert refused <= fleet.sound_count / 100, (seed, refused, fleet.sound_count)


@behave.when(
    "{crashes:d} crashes with {parts:d} random parts each are reported beside those of"
    " a bad part"
)
def report_random_parts(context, crashes, parts):
    context.evidence = part_evidence.PartEvidence()
    for crash in range(crashes):
        ids = [f"{crash}-{number}" for number in range(parts)]
        if crash % _BAD_INTERVAL == 0:
            ids[-1] = "bad"
        for half in (ids[::2], ids[1::2]):
            report = part_evidence.CrashReport(
                crash_id=str(crash),
                service="model",
                at=float(crash),
                sent_at_by_part=dict.fromkeys(half, crash - 0.1),
            )
            context.evidence.add_report(report)


@behave.then(
    "the bad part is blamed and at most {crashes:d} crashes of {parts:d} parts are kept"
)
def check_bounds(context, crashes, parts):
    evidence = context.evidence
    assert evidence.blamed == {("model", "bad")}, evidence.blamed
    assert evidence.size <= crashes * parts, evidence.size


def _start_guard(context):
    context.fleet = part_fleet.PartFleet(part_fleet.Load(), context.seed, 1, 10)
    context.guard = context.fleet.guard()


def _reported_parts(context):
    return context.fleet.reported_parts()


@behave.when(
    "{count:d} upstreams crash at the same moment and are not noticed to be down"
)
def crash_many(context, count):
    _start_guard(context)
    for number in range(count):
        host = context.fleet.crash(number)
        sent_at = context.fleet.clock.monotonic()
        context.guard.record_break(host, (f"part-{number}",), sent_at, is_down=False)


@behave.then("after {checks:d} checks all {count:d} crashes are reported")
def check_all_reported(context, checks, count):
    for _ in range(checks):
        context.fleet.clock.seconds += 0.4
        context.guard.report_crashes()
    assert len(_reported_parts(context)) == count, _reported_parts(context)


@behave.when(
    'an upstream that is up breaks off an answer on "{early}" and later crashes on'
    ' "{late}"'
)
def break_then_crash(context, early, late):
    _start_guard(context)
    clock = context.fleet.clock
    host = context.fleet.upstream_host(0)
    context.guard.record_break(host, (early,), clock.monotonic(), is_down=False)
    clock.seconds += 1.0
    context.guard.report_crashes()
    clock.seconds += 9.0
    sent_at = clock.monotonic()
    context.fleet.crash(0)
    context.guard.record_break(host, (late,), sent_at, is_down=True)
    clock.seconds += 1.0
    context.guard.report_crashes()


@behave.then('only "{part}" is reported')
def check_one_reported(context, part):
    assert _reported_parts(context) == [[part]], _reported_parts(context)


@behave.when('a bad part "{part}" crashes upstreams beside {count:d} parts that recur')
def crash_beside(context, part, count):
    context.evidence = part_evidence.PartEvidence()
    for crash in range(count):
        others = [f"part-{number}" for number in range(count) if number != crash]
        report = part_evidence.CrashReport(
            crash_id=str(crash),
            service="model",
            at=float(crash),
            sent_at_by_part=dict.fromkeys((*others, part), crash - 0.1),
        )
        context.evidence.add_report(report)


@behave.then('each recorded crash has the part "{part}"')
def check_recorded(context, part):
    assert context.evidence.blamed == {("model", part)}, context.evidence.blamed
    reports = context.evidence.lasting_reports()
    assert reports and all(part in report.sent_at_by_part for report in reports)


class _SharedRecord:
    """The store's record; `cut_off` hosts don't reach it."""

    def __init__(self):
        self.versions = []
        self.tried = 0
        self.cut_off = frozenset()

    def write(self, at, seen_count, record):
        self.tried += 1
        if seen_count != len(self.versions):
            return False
        self.versions.append((at, record))
        return True


class _DelayedRecords:
    """The record as one host's mirror shows it."""

    def __init__(self, shared, number, virtual_clock, delay):
        self._shared, self._number = shared, number
        self._clock, self._delay = virtual_clock, delay

    def _seen(self):
        latest = self._clock.seconds - self._delay
        return [record for at, record in self._shared.versions if at <= latest]

    def read(self):
        seen = self._seen()
        return seen[-1] if seen else part_records.PartRecord()

    def write(self, record):
        if self._number in self._shared.cut_off:
            raise errors.StoreUnavailableError("cut off")
        return self._shared.write(self._clock.seconds, len(self._seen()), record)


class _NoFacts(facts.FactRegistry):
    def publish(self, fact):
        return True

    def facts(self, kind):
        return {}

    def subscribe(self, kind, callback):
        pass


@behave.given(
    "{count:d} hosts that have answered a part which the store's record blames"
)
def start_answered(context, count):
    context.virtual_clock = part_fleet.VirtualClock()
    context.shared = _SharedRecord()
    crashed_at = context.virtual_clock.now().timestamp()
    report = part_evidence.CrashReport(
        crash_id="crash-1", service="model", at=crashed_at, sent_at_by_part={"x": 0.0}
    )
    blamed = part_records.PartRecord((report,))
    context.shared.versions.append((-60.0, blamed))
    context.virtual_clock.seconds = 1.0
    context.guards = []
    for number in range(count):
        records = _DelayedRecords(context.shared, number, context.virtual_clock, 1.0)
        guard = part_guard.PartGuard(
            f"edge-{number}",
            _NoFacts(),
            records,
            lambda host: False,
            context.virtual_clock,
            metrics.Metrics(),
            lambda number=number: number,
        )
        guard.record_answer("model", ["x"])
        context.guards.append(guard)


@behave.when("the first {count:d} are cut off from the store")
def cut_first(context, count):
    context.shared.cut_off = frozenset(range(count))


@behave.when(
    "they keep the record up to date for {seconds:d} seconds, news of it taking"
    " 1 second"
)
def keep_record(context, seconds):
    for _ in range(seconds * 4):
        context.virtual_clock.seconds += 0.25
        for guard in context.guards:
            with contextlib.suppress(errors.StoreError):
                guard.save()


@behave.then("the record has been written")
def check_written(context):
    assert not context.shared.versions[-1][1].reports, context.shared.versions


@behave.then("the record has been written, with at most {count:d} writes tried")
def check_writes(context, count):
    check_written(context)
    assert context.shared.tried <= count, context.shared.tried
