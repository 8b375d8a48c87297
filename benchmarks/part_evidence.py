"""Measures memory, messages and time of the evidence on parts that crash upstreams.

Run: PYTHONPATH=src python benchmarks/part_evidence.py
"""

import time
import tracemalloc

import msgspec

from peridothitch.adapters import metrics, system_clock
from peridothitch.coordination import fact_table, single_host
from peridothitch.gateway.forwarding import part_guard, part_records
from peridothitch.policy import part_evidence

_CRASHES = 256
_REPORTERS = 12
_PARTS = 24
_ANSWERED_PARTS = 4096


class _Facts(single_host.LocalFactRegistry):
    def __init__(self):
        super().__init__()
        self.sizes = []

    def publish(self, fact):
        self.sizes.append(fact_table.wire_size(fact))
        return super().publish(fact)


class _Records:
    def read(self):
        return part_records.PartRecord()


def _report(crash, part_ids):
    return part_evidence.CrashReport(
        crash_id=f"i-{crash:010x}/1769792456399",
        service="neep-models",
        at=1_769_792_456.0 + crash,
        sent_at_by_part=dict.fromkeys(part_ids, 1_769_792_455.5 + crash),
    )


def main():
    """Print the figures, one a line."""
    tracemalloc.start()
    evidence = part_evidence.PartEvidence()
    before = tracemalloc.get_traced_memory()[0]
    began = time.process_time()
    for crash in range(_CRASHES):
        for reporter in range(_REPORTERS):
            ids = [f"{crash:04x}{reporter:04x}{part:04x}" for part in range(_PARTS)]
            evidence.add_report(_report(crash, ids))
    seconds = time.process_time() - began
    used = tracemalloc.get_traced_memory()[0] - before
    count = _CRASHES * _REPORTERS
    print(f"evidence, {_CRASHES} crashes, {_REPORTERS} reports of {_PARTS} parts:")
    print(f"  {used / 1e6:.2f} MB, {seconds / count * 1e3:.2f} ms a report")
    record = part_records.PartRecord(tuple(evidence.lasting_reports()))
    print(f"  record in the store: {len(msgspec.json.encode(record))} bytes")

    registry = _Facts()
    clock = system_clock.SystemClock()
    guard = part_guard.PartGuard(
        "edge-fife-a-1", registry, _Records(), None, clock, metrics.Metrics()
    )
    before = tracemalloc.get_traced_memory()[0]
    for part in range(_ANSWERED_PARTS):
        guard.record_answer("neep-models", (f"{part:012x}",))
    used = tracemalloc.get_traced_memory()[0] - before
    print(f"answered parts, {_ANSWERED_PARTS}: {used / 1e6:.2f} MB")
    tracemalloc.stop()
    began = time.process_time()
    for _ in range(_ANSWERED_PARTS):
        guard.check("neep-models", ("38656540b9db", "a9c67b628335"))
        guard.record_answer("neep-models", ("38656540b9db", "a9c67b628335"))
    seconds = time.process_time() - began
    print(f"  {seconds / _ANSWERED_PARTS * 1e6:.1f} us a request")
    for parts in (1, 3, _PARTS):
        fact = part_guard.crash_fact(
            "edge-fife-a-1", _report(1, [f"{part:012x}" for part in range(parts)]), 1
        )
        print(f"crash fact of {parts} parts: {fact_table.wire_size(fact)} bytes")


if __name__ == "__main__":
    main()
