"""Steps for holders that are lost beside a store that comes back from a copy."""

import behave
import msgspec
import usage_fleet

_MOMENTS = (0.0, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0)
_MAX_COPY_AGE = 8.0
_PLAYED_SECONDS = 25.0
_FIRST_SECONDS = 22.0


class _Play:
    """One fleet and what happens to it, drawn from a seed."""

    def __init__(self, count, seed, moment):
        self.fleet = usage_fleet.UsageFleet(count, seed)
        self.moment = moment
        self.random = self.fleet.random
        self.first_window = self.fleet.window()
        self.last_copy_window = 0
        self.fleet.play(_FIRST_SECONDS)

    def lose_holder(self, change):
        """Lose the holder after its next report, then call ``change(play)``."""
        fleet = self.fleet
        before = len(fleet.platform.reports)
        fleet.play_until(lambda: len(fleet.platform.reports) > before)
        fleet.play(self.moment)
        fleet.play_until(lambda: fleet.holder)
        self.holder_id = fleet.holder.host_id
        fleet.lose_host(self.holder_id)
        change(self)
        fleet.play(self.random.choice((0.0, 0.5, 1.0, 4.0)))

    def restore(self, times):
        """Bring the store back from copies."""
        for _ in range(times):
            age = self.random.uniform(0, _MAX_COPY_AGE)
            self.fleet.restore(age, self.random.choice((0.25, 1.0, 2.0)))
            self.last_copy_window = self.fleet.window()
            self.fleet.play(self.random.choice((0.5, 2.0, 5.0)))
        self.fleet.play(_PLAYED_SECONDS)


def _restart_others(play):
    for host_id in list(play.fleet.host_by_id):
        play.fleet.lose_host(host_id)
        play.fleet.start_host(host_id)


def _lose_new_holder(play):
    fleet = play.fleet
    fleet.start_host("edge-new")
    before = len(fleet.platform.reports)
    fleet.play_until(lambda: len(fleet.platform.reports) > before)
    if fleet.holder is not None and len(fleet.host_by_id) > 1:
        fleet.lose_host(fleet.holder.host_id)


def _cut_off_deputy(play):
    fleet = play.fleet
    fleet.cut_off([play.random.choice(list(fleet.host_by_id))])


_CHANGE_BY_SUCCESSOR = {
    "its deputy remains": lambda play: None,
    "all other hosts are restarted": _restart_others,
    "a host starts and is lost as the holder": _lose_new_holder,
    "its deputy is cut off from all others": _cut_off_deputy,
}


@behave.given("{plays:d} plays of {count:d} hosts that report usage")
def make_plays(context, count, plays):
    context.plays = [
        _Play(count, context.seed + number, _MOMENTS[number % len(_MOMENTS)])
        for number in range(plays)
    ]


@behave.given("the holders' build tells no era of the store")
def make_earlier(context):
    for play in context.plays:
        play.fleet.play_until(lambda play=play: play.fleet.holder)
        play.fleet.holder.is_earlier_build = True
        play.fleet.play(2.0)


@behave.when("the holder is lost 0 to 5 seconds after a report and {successor}")
def lose_holder(context, successor):
    for play in context.plays:
        play.lose_holder(_CHANGE_BY_SUCCESSOR[successor])


@behave.when("the holder remains")
def keep_holder(context):
    for play in context.plays:
        play.fleet.play(play.moment)


@behave.when("the store comes back from copies of various ages")
def restore(context):
    for play in context.plays:
        play.restore(play.random.choice((1, 1, 2)))


@behave.when("the store comes back once from a copy of various ages")
def restore_once(context):
    for play in context.plays:
        play.restore(1)


@behave.then("no window is reported with different counts")
def check_conflicts(context):
    broken = [
        (play.moment, play.fleet.platform.accepted_by_window[window])
        for play in context.plays
        for window in play.fleet.conflicts()
    ]
    assert not broken, f"{len(broken)} windows: {broken[:5]}"


@behave.then("all windows that end after the last copy are reported")
def check_later_windows(context):
    _check_missing(context, lambda play: play.last_copy_window)


@behave.then("every window is reported")
def check_all_windows(context):
    _check_missing(context, lambda play: play.first_window)


def _check_missing(context, first_window):
    missing = [
        (play.moment, play.fleet.missing(first_window(play), play.fleet.window() - 3))
        for play in context.plays
    ]
    missing = [found for found in missing if found[1]]
    assert not missing, missing


class _EarlierReport(msgspec.Struct, array_like=True):
    """A host's report as builds without the store's era read it."""

    host_id: str
    incarnation: str
    counts_by_window: dict[int, dict[str, int]]
    demand_by_customer: dict[str, float]
    share_by_customer: dict[str, float]
    used_by_customer: dict[str, float]
    busy_by_service: dict[str, float]
    settled_seconds: float = 0.0
    departed: tuple = ()
    is_final: bool = False
    size_by_customer: dict[str, float] = {}
    lenders_digest: int = 0
    final_counts_by_window: dict[int, dict[str, int]] = {}
    held_number: int = 0


def _numbers_read_by_earlier_build(context):
    (play,) = context.plays
    reports = [host.make_report() for host in play.fleet.host_by_id.values()]
    encoded = [msgspec.msgpack.encode(report) for report in reports]
    read = [msgspec.msgpack.decode(e, type=_EarlierReport) for e in encoded]
    for report, earlier in zip(reports, read, strict=True):
        assert earlier.counts_by_window == report.counts_by_window
        assert earlier.final_counts_by_window == report.final_counts_by_window
    return {report.held_number for report in read if report.held_number}


@behave.then("the earlier build reads no number of the holder in its report")
def check_no_number(context):
    (play,) = context.plays
    assert play.fleet.holder is not None
    context.number = play.fleet.holder.fencing_number
    assert not _numbers_read_by_earlier_build(context)


@behave.then("the earlier build reads the number of the first holder in its report")
def check_number(context):
    (play,) = context.plays
    assert play.fleet.holder.fencing_number > context.number
    assert _numbers_read_by_earlier_build(context) == {context.number}
