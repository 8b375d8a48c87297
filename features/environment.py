"""Hooks of behave; hypothesis generates the same examples on every run."""

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")


def before_scenario(context, scenario):
    context.seed = 20261204
