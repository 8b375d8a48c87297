"""Model of traffic, version faults and disturbances for simulated version moves."""

import dataclasses
import datetime
import enum
import math

__all__ = ["DEPLOYMENTS", "Deployment", "Fault", "Kind", "Traffic", "draw_fault"]

START = datetime.datetime(2026, 3, 2, tzinfo=datetime.UTC)
DAY_HOUR, NIGHT_HOUR = 10.0, 1.0
NIGHT_SHARE = 0.1
OLD_FAILURE_RATE = 0.004
LOAD_THRESHOLD = 0.7
MEDIAN_FIRST_TOKEN_S, FIRST_TOKEN_SIGMA = 0.3, 0.4
MEDIAN_TOKEN_GAP_S, TOKEN_GAP_SIGMA = 0.03, 0.2
RECLAIM_WAVE_COUNT, RECLAIM_SECONDS = 2, 30.0
INCIDENT_SECONDS, INCIDENT_RATE = 60.0, 0.2


class Kind(enum.Enum):
    """Kinds of faults of a new version."""

    GOOD = "good"
    FAILS_AT_ONCE = "fails at once"
    FAILS_LATER = "fails later"
    SLOWS_AT_ONCE = "slows at once"
    SLOWS_LATER = "slows later"
    UNDER_LOAD_ONLY = "under load only"
    ONE_ROUTE_ONLY = "one route only"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Size of one deployment and traffic of one of its services."""

    name: str
    entry_hosts: int
    replicas: int
    requests_per_s: float
    share_by_route: dict
    window_s: float = 3600.0

    def scaled(self, factor):
        """Return the deployment at `factor` times its size."""
        return dataclasses.replace(
            self,
            name=f"{self.name} x{factor}",
            entry_hosts=self.entry_hosts * factor,
            replicas=self.replicas * factor,
            requests_per_s=self.requests_per_s * factor,
        )

    @property
    def new_hosts(self):
        """Count of upstream hosts with the new version until it is proved."""
        return max(1, round(0.05 * self.replicas))


DEPLOYMENTS = (
    Deployment(
        name="lanark",
        entry_hosts=7,
        replicas=6,
        requests_per_s=12.0,
        share_by_route={"ask": 0.55, "lookup": 0.2, "booking": 0.15, "rota": 0.1},
    ),
    Deployment(
        name="faelles",
        entry_hosts=7,
        replicas=9,
        requests_per_s=18.0,
        share_by_route={"headline": 0.5, "bulletin": 0.3, "archive": 0.2},
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """Difference of the new version's behaviour from the old one's."""

    kind: Kind
    failure_rate: float = 0.0
    drops: bool = False
    slowdown: float = 1.0
    onset: float = 0.0
    route: str = ""

    @property
    def is_bad(self):
        """Whether the move has to be rolled back."""
        return self.kind is not Kind.GOOD

    def effect(self, elapsed, route, load):
        """Return the added failure rate and the slowdown of a request.

        A load of 1 is the load per host of the old version.
        """
        if not self.is_bad:
            return 0.0, self.slowdown
        if elapsed < self.onset or self.route not in ("", route):
            return 0.0, 1.0
        if self.kind is Kind.UNDER_LOAD_ONLY and load < LOAD_THRESHOLD:
            return 0.0, 1.0
        return self.failure_rate, self.slowdown


def draw_fault(kind, deployment, generator):
    """Draw a random `Fault` of a kind."""
    if kind is Kind.GOOD:
        return Fault(kind=kind, slowdown=generator.uniform(0.9, 1.05))
    fails = kind in (Kind.FAILS_AT_ONCE, Kind.FAILS_LATER)
    if kind in (Kind.UNDER_LOAD_ONLY, Kind.ONE_ROUTE_ONLY):
        fails = generator.random() < 0.5
    later = kind in (Kind.FAILS_LATER, Kind.SLOWS_LATER)
    one_route = kind is Kind.ONE_ROUTE_ONLY
    return Fault(
        kind=kind,
        failure_rate=generator.uniform(0.3, 1.0) if fails else 0.0,
        drops=generator.random() < 0.3,
        slowdown=1.0 if fails else generator.uniform(2.0, 4.0),
        onset=generator.uniform(0.1, 0.7) if later else 0.0,
        route=generator.choice(list(deployment.share_by_route)) if one_route else "",
    )


class Traffic:
    """Request rate and disturbances during a move, the same for both versions.

    Parameters
    ----------
    deployment : Deployment
    night : bool
    generator : random.Random
    """

    def __init__(self, deployment, night, generator):
        self.deployment = deployment
        self._hour = NIGHT_HOUR if night else DAY_HOUR
        window = deployment.window_s
        self._waves = [generator.uniform(0, window) for _ in range(RECLAIM_WAVE_COUNT)]
        self._incident = generator.uniform(0, 2 * window)
        self._cut = generator.uniform(0, 2 * window)
        self._crash = generator.uniform(0, 4 * window)
        self._poison_every_s = window / 3

    def rate(self, second):
        """Return the service's requests/s at a time of the move."""
        hour = self._hour + second / 3600.0
        wave = 0.5 - 0.5 * math.cos(2 * math.pi * (hour - 2.0) / 24.0)
        share = NIGHT_SHARE + (1 - NIGHT_SHARE) * min(1.0, 1.5 * wave)
        return self.deployment.requests_per_s * share

    def slowdown(self, second):
        """Return the factor on all response times due to the load of the hour."""
        return 1.0 + 0.3 * self.rate(second) / self.deployment.requests_per_s

    def failure_rate(self, second):
        """Return the failure rate of both versions."""
        in_incident = 0 <= second - self._incident < INCIDENT_SECONDS
        return INCIDENT_RATE if in_incident else OLD_FAILURE_RATE

    def is_reclaimed(self, second, generator):
        """Return whether the request's host is reclaimed after a notice."""
        wave = any(0 <= second - begin < RECLAIM_SECONDS for begin in self._waves)
        return wave and generator.random() < 0.3

    def is_cut(self, second, data_centre):
        """Return whether the link to a data centre is cut."""
        return data_centre == 0 and 0 <= second - self._cut < 20.0

    def crashed(self, begin, end):
        """Return whether the new version's first host crashed in an interval."""
        return begin <= self._crash < end

    def is_poisoned(self, second, generator):
        """Return whether a request crashes every host that runs it."""
        per_request = 1.0 / max(1.0, self._poison_every_s * self.rate(second))
        return generator.random() < per_request
