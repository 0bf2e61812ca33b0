"""Benchmark of acknowledgements: each entry reports the revision that it applies.

``config status`` asks one entry, the collector, which queries all others at once. The
benchmark measures whether their simultaneous answers delay the collector.
"""

import statistics
import time

from corianderpitch_standins.benchfleet import (
    TARGET_ENTRIES_PER_SITE,
    TARGET_SITES,
    fleet_config_text,
    read_processor_time_s,
    start_entries,
)
from corianderpitch_standins.benchreport import Report, fit_line
from corianderpitch_standins.localfleet import (
    ConditionNotMet,
    EntryProcess,
    LocalFleet,
    wait_until,
)

ROUNDS = 20
PAUSE_S = 0.5


def bench_acknowledgements(report: Report) -> None:
    """Measure the time for all acknowledgements and the collector's processor time."""
    report.heading(f"Acknowledgements of all entries at one, {ROUNDS} rounds")
    points = []
    for per_site in (1, 4, TARGET_ENTRIES_PER_SITE):
        entries = per_site * TARGET_SITES
        took_ms, cpu_ms = _measure_rounds(per_site)
        points.append((float(entries), statistics.median(took_ms)))
        report.note(
            f"{entries} entries",
            f"median {statistics.median(took_ms):.0f} ms, worst {max(took_ms):.0f} ms, "
            f"{cpu_ms:.1f} ms of the collector's processor a round with its pause",
        )
    intercept_ms, slope_ms = fit_line(points)
    report.note("fit", f"{intercept_ms:.0f} ms + {slope_ms:.2f} ms per entry")


def _measure_rounds(per_site: int) -> tuple[list[float], float]:
    sites = [f"d{number}" for number in range(TARGET_SITES)]
    with LocalFleet(sites, has_proxy=False) as fleet:
        start_entries(fleet, per_site)
        fleet.apply_config(fleet_config_text(sites), 0, "first")
        fleet.wait_ready(60.0)
        entries = len(fleet.entries)
        wait_until(
            lambda: len(fleet.revisions()) == entries,
            60.0,
            "all entries report a revision",
        )
        collector = next(iter(fleet.entries.values()))
        before_s = read_processor_time_s(collector.process.pid)
        took_ms = [_measure_round_ms(fleet, collector) for _ in range(ROUNDS)]
        cpu_s = read_processor_time_s(collector.process.pid) - before_s
        return took_ms, cpu_s * 1000.0 / ROUNDS


def _measure_round_ms(fleet: LocalFleet, collector: EntryProcess) -> float:
    """Return the time until the last entry has acknowledged, in milliseconds."""
    time.sleep(PAUSE_S)
    started_s = time.monotonic()
    answer = fleet.send_operator_request("/v1/status", entry=collector)
    took_ms = (time.monotonic() - started_s) * 1000.0
    if len(answer["entries"]) != len(fleet.entries):
        raise ConditionNotMet(f"only {len(answer['entries'])} entries have answered")
    return took_ms
