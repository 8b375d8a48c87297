"""Runs one soak: warm-up, fault injection, recovery, shutdown and checks."""

import dataclasses
import datetime
import pathlib
import tempfile
import time

from soak import callers, environment, fault_plan, invariants

__all__ = ["Report", "run"]

_STARTUP_TIMEOUT_SECONDS = 30.0
_WARM_UP_SECONDS = 2.0
_RECOVERY_TIMEOUT_SECONDS = 12.0
"""The platform's limit from the last fault until requests are served again."""

_RULES_PROPAGATION_SECONDS = 2.5
_FAULT_FREE_SECONDS = 2.0
_MIN_SERVED_SHARE = 0.95
_SERVED_STREAK_COUNT = 20
_UNTIMED_TIMEOUT_FACTOR = 5.0
"""Factor on timeouts where time-bounded promises are not checked."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Result of one soak.

    Attributes
    ----------
    seed : int
    faults, attempts, answered : int
    recovered_seconds : float
        Time from the last fault until requests are served again.
    broken : tuple of str
        A sentence for each violation of a promise.
    folder : str
        Directory of settings and logs; empty if it was removed.
    """

    seed: int
    faults: int
    attempts: int
    answered: int
    recovered_seconds: float
    broken: tuple
    folder: str


def run(seed, seconds, host_count, caller_count, keep=False, timed=True):
    """Run the soak of one seed; returns a `Report`.

    Parameters
    ----------
    seed : int
    seconds : float
        Duration of the fault phase.
    host_count, caller_count : int
    keep : bool
        Whether logs are kept even if no check fails.
    timed : bool
        Whether time-bounded promises are checked; otherwise timeouts are longer.
    """
    folder = tempfile.TemporaryDirectory(prefix=f"soak-{seed}-")
    path = pathlib.Path(folder.name)
    soak = _Soak(seed, seconds, host_count, caller_count, path, timed)
    report = soak.run_phases()
    if keep or report.broken:
        folder._finalizer.detach()
        return dataclasses.replace(report, folder=folder.name)
    folder.cleanup()
    return report


class _Soak:
    def __init__(self, seed, seconds, host_count, caller_count, folder, timed):
        self._seed = seed
        self._plan = fault_plan.draw(seed, datetime.timedelta(seconds=seconds))
        self._environment = environment.SoakEnvironment(folder, host_count, seed)
        self._callers = callers.Callers(self._environment.pick_host, caller_count, seed)
        self._fault_intervals = []
        self._violations = []
        self._timed = timed
        self._timeout_factor = 1.0 if timed else _UNTIMED_TIMEOUT_FACTOR

    def run_phases(self):
        """Run all phases; returns the `Report`."""
        self._environment.start()
        self._wait_for(
            self._environment.is_ready,
            _STARTUP_TIMEOUT_SECONDS,
            "RECOVER not all hosts became ready at the start",
        )
        self._callers.start()
        time.sleep(_WARM_UP_SECONDS)
        self._inject_faults()
        self._environment.clear_faults()
        healed = time.monotonic()
        self._wait_for(
            lambda: self._is_served_since(healed),
            _RECOVERY_TIMEOUT_SECONDS,
            "RECOVER requests are not served again",
        )
        recovered = time.monotonic() - healed
        self._wait_for(
            self._environment.is_ready,
            _RECOVERY_TIMEOUT_SECONDS,
            "RECOVER not all hosts are ready again",
        )
        if self._timed:
            self._check_rules()
            self._check_fault_free()
        self._callers.stop()
        kill_count_by_host = {
            host.name: host.timeout_kill_count for host in self._environment.hosts
        }
        if self._timed and any(kill_count_by_host.values()):
            self._violations.append(f"STOP not ended in time: {kill_count_by_host}")
        codes = self._environment.close()
        # The code of a host that had to be killed is None.
        if any(code != 0 for code in codes):
            self._violations.append(f"STOP exit codes {codes}")
        attempts = self._callers.attempts
        self._violations += invariants.check(
            self._environment, attempts, self._fault_intervals, self._timed
        )
        return Report(
            seed=self._seed,
            faults=len(self._plan),
            attempts=len(attempts),
            answered=sum(a.status == 200 and a.complete for a in attempts),
            recovered_seconds=round(recovered, 2),
            broken=tuple(self._violations),
            folder="",
        )

    def _wait_for(self, condition, seconds, violation):
        end = time.monotonic() + seconds * self._timeout_factor
        while not condition():
            if time.monotonic() > end:
                self._violations.append(violation)
                return
            time.sleep(0.05)

    def _inject_faults(self):
        began = time.monotonic()
        pending = list(self._plan)
        active_faults = []
        while pending or active_faults:
            now = time.monotonic() - began
            while pending and pending[0].at.total_seconds() <= now:
                fault = pending.pop(0)
                end = self._environment.start_fault(fault, self._callers)
                ends_at = now + fault.length.total_seconds()
                active_faults.append((ends_at, end))
                self._fault_intervals.append((began + now, began + ends_at, fault))
            for item in [item for item in active_faults if item[0] <= now]:
                active_faults.remove(item)
                item[1]()
            time.sleep(0.01)

    def _is_served_since(self, since):
        last = self._callers.attempts[-_SERVED_STREAK_COUNT:]
        return len(last) == _SERVED_STREAK_COUNT and all(
            a.began >= since and (a.disconnects or a.status == 200) for a in last
        )

    def _check_rules(self):
        """Check on each host the routes and keys that were added or removed."""
        time.sleep(_RULES_PROPAGATION_SECONDS)
        cases = [
            (prefix, callers.API_KEY, (200, 500, 502))
            for prefix in self._environment.extra_routes[-2:]
        ]
        cases += [
            (p, callers.API_KEY, (404,))
            for p in sorted(self._environment.dropped_routes)[:2]
        ]
        cases += [("/lookup/", key, (401,)) for key in self._environment.dropped_keys]
        for host in self._environment.hosts:
            for prefix, key, statuses in cases:
                status = self._callers.probe(host.address, prefix, key)
                if status not in statuses:
                    self._violations.append(
                        f"CONFIG {host.name} answers {status} to {prefix} with {key}"
                    )

    def _check_fault_free(self):
        before = len(self._callers.attempts)
        time.sleep(_FAULT_FREE_SECONDS)
        fault_free_attempts = [
            a for a in self._callers.attempts[before:] if not a.disconnects
        ]
        served = sum(a.status == 200 and a.complete for a in fault_free_attempts)
        if served < _MIN_SERVED_SHARE * len(fault_free_attempts):
            self._violations.append(
                f"RECOVER {served} of {len(fault_free_attempts)} calm requests served"
            )
