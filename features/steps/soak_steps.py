"""Steps for the soak of real processes."""

import behave

from soak import run

_HOST_COUNT = 3
_CALLER_COUNT = 6


@behave.when("the soak of the seed {seed:d} runs for {seconds:d} seconds")
def run_soak(context, seed, seconds):
    # Guarantees with a time limit need a machine with idle capacity; see docs/PROOF.md.
    context.report = run.run(
        seed, float(seconds), _HOST_COUNT, _CALLER_COUNT, timed=False
    )


@behave.then("no guarantee is violated")
def check(context):
    assert not context.report.broken, context.report
    assert context.report.answered
