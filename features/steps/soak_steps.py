"""Steps for the soak of real processes."""

import behave

from soak import run

_HOSTS = 3
_CALLERS = 6


@behave.when("the soak of the seed {seed:d} is played for {seconds:d} seconds")
def play(context, seed, seconds):
    # Promises with a time hold on a machine that has some to spare; see docs/PROOF.md.
    context.report = run.run(seed, float(seconds), _HOSTS, _CALLERS, timed=False)


@behave.then("no promise is broken")
def check(context):
    assert not context.report.broken, context.report
    assert context.report.answered
