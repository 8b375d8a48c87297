"""One soak: warm up, strike, heal, recover, stop, and check."""

import dataclasses
import datetime
import pathlib
import tempfile
import time

from soak import callers, environment, fault_plan, invariants

__all__ = ["Report", "run"]

_START_SECONDS = 30.0
_WARM_SECONDS = 2.0
_RECOVERY_SECONDS = 12.0
"""Until requests are served again after the last fault; the platform's bound."""

_RULES_SECONDS = 2.5
_CALM_SECONDS = 2.0
_CALM_SHARE = 0.95
_STREAK = 20
_UNTIMED_FACTOR = 5.0
"""How much longer things may take where promises with a time are not checked."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Result of one soak.

    Attributes
    ----------
    seed : int
    faults, attempts, answered : int
    recovered_seconds : float
        From the last fault until requests are served again.
    broken : tuple of str
    folder : str
        Settings and logs, empty if they were removed.
    """

    seed: int
    faults: int
    attempts: int
    answered: int
    recovered_seconds: float
    broken: tuple
    folder: str


def run(seed, seconds, host_count, caller_count, keep=False, timed=True):
    """Play one seed; returns a `Report`.

    Parameters
    ----------
    seed : int
    seconds : float
        Of faults.
    host_count, caller_count : int
    keep : bool
        Whether logs are kept though nothing was broken.
    timed : bool
        Whether promises with a time are checked; else they may take longer.
    """
    folder = tempfile.TemporaryDirectory(prefix=f"soak-{seed}-")
    path = pathlib.Path(folder.name)
    soak = _Soak(seed, seconds, host_count, caller_count, path, timed)
    report = soak.play()
    if keep or report.broken:
        folder._finalizer.detach()
        return dataclasses.replace(report, folder=folder.name)
    folder.cleanup()
    return report


class _Soak:
    def __init__(self, seed, seconds, host_count, caller_count, folder, timed):
        self._seed = seed
        self._plan = fault_plan.draw(seed, datetime.timedelta(seconds=seconds))
        self._world = environment.SoakEnvironment(folder, host_count, seed)
        self._callers = callers.Callers(self._world.pick_host, caller_count, seed)
        self._struck = []
        self._broken = []
        self._timed = timed
        self._patience = 1.0 if timed else _UNTIMED_FACTOR

    def play(self):
        """Play to the end; returns the `Report`."""
        self._world.start()
        self._wait_for(
            self._world.is_ready,
            _START_SECONDS,
            "RECOVER not all hosts became ready at the start",
        )
        self._callers.start()
        time.sleep(_WARM_SECONDS)
        self._strike()
        self._world.clear_faults()
        healed = time.monotonic()
        self._wait_for(
            lambda: self._is_served_since(healed),
            _RECOVERY_SECONDS,
            "RECOVER requests are not served again",
        )
        recovered = time.monotonic() - healed
        self._wait_for(
            self._world.is_ready,
            _RECOVERY_SECONDS,
            "RECOVER not all hosts are ready again",
        )
        if self._timed:
            self._check_rules()
            self._check_calm()
        self._callers.stop()
        timeout_kill_count = {
            host.name: host.timeout_kill_count for host in self._world.hosts
        }
        if self._timed and any(timeout_kill_count.values()):
            self._broken.append(f"STOP not ended in time: {timeout_kill_count}")
        codes = self._world.close()
        # A host that had to be killed has no code.
        if any(code != 0 for code in codes):
            self._broken.append(f"STOP exit codes {codes}")
        attempts = self._callers.attempts
        self._broken += invariants.check(
            self._world, attempts, self._struck, self._timed
        )
        return Report(
            seed=self._seed,
            faults=len(self._plan),
            attempts=len(attempts),
            answered=sum(a.status == 200 and a.complete for a in attempts),
            recovered_seconds=round(recovered, 2),
            broken=tuple(self._broken),
            folder="",
        )

    def _wait_for(self, condition, seconds, otherwise):
        end = time.monotonic() + seconds * self._patience
        while not condition():
            if time.monotonic() > end:
                self._broken.append(otherwise)
                return
            time.sleep(0.05)

    def _strike(self):
        began = time.monotonic()
        pending = list(self._plan)
        ends = []
        while pending or ends:
            now = time.monotonic() - began
            while pending and pending[0].at.total_seconds() <= now:
                fault = pending.pop(0)
                end = self._world.begin(fault, self._callers)
                until = now + fault.length.total_seconds()
                ends.append((until, end))
                self._struck.append((began + now, began + until, fault))
            for item in [item for item in ends if item[0] <= now]:
                ends.remove(item)
                item[1]()
            time.sleep(0.01)

    def _is_served_since(self, moment):
        last = self._callers.attempts[-_STREAK:]
        return len(last) == _STREAK and all(
            a.began >= moment and (a.left or a.status == 200) for a in last
        )

    def _check_rules(self):
        """Ask each host for routes and keys that were added and dropped."""
        time.sleep(_RULES_SECONDS)
        cases = [
            (prefix, callers.API_KEY, (200, 500, 502))
            for prefix in self._world.extra_routes[-2:]
        ]
        cases += [
            (p, callers.API_KEY, (404,)) for p in sorted(self._world.dropped_routes)[:2]
        ]
        cases += [("/lookup/", key, (401,)) for key in self._world.dropped_keys]
        for host in self._world.hosts:
            for prefix, key, statuses in cases:
                status = self._callers.probe(host.address, prefix, key)
                if status not in statuses:
                    self._broken.append(
                        f"CONFIG {host.name} answers {status} to {prefix} with {key}"
                    )

    def _check_calm(self):
        before = len(self._callers.attempts)
        time.sleep(_CALM_SECONDS)
        calm = [a for a in self._callers.attempts[before:] if not a.left]
        good = sum(a.status == 200 and a.complete for a in calm)
        if good < _CALM_SHARE * len(calm):
            self._broken.append(f"RECOVER {good} of {len(calm)} calm requests served")
