"""Bench of acknowledgements: every entry tells one which revision it has in force.

``config status`` asks all entries at once, and their answers meet at the one
that was asked. The bench looks for a pile-up there.
"""

import statistics
import time

from corianderpitch_standins.benchfleet import (
    LETTER_ENTRIES_PER_SITE,
    LETTER_SITES,
    fleet_text,
    process_time_s,
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
    """Measure how long all acknowledgements take, and what they cost the collector."""
    report.heading(f"Acknowledgements of all entries at one, {ROUNDS} rounds")
    points = []
    for per_site in (1, 4, LETTER_ENTRIES_PER_SITE):
        entries = per_site * LETTER_SITES
        took_ms, cpu_ms = _rounds(per_site)
        points.append((float(entries), statistics.median(took_ms)))
        report.note(
            f"{entries} entries",
            f"median {statistics.median(took_ms):.0f} ms, worst {max(took_ms):.0f} ms, "
            f"{cpu_ms:.1f} ms of the collector's processor a round with its pause",
        )
    intercept_ms, slope_ms = fit_line(points)
    report.note("fit", f"{intercept_ms:.0f} ms + {slope_ms:.2f} ms per entry")


def _rounds(per_site: int) -> tuple[list[float], float]:
    sites = [f"d{number}" for number in range(LETTER_SITES)]
    with LocalFleet(sites, has_proxy=False) as fleet:
        start_entries(fleet, per_site)
        fleet.apply_config(fleet_text(sites), 0, "first")
        fleet.wait_ready(60.0)
        entries = len(fleet.entries)
        wait_until(lambda: len(fleet.revisions()) == entries, 60.0, "all known")
        collector = next(iter(fleet.entries.values()))
        before_s = process_time_s(collector.process.pid)
        took_ms = [_one_round_ms(fleet, collector) for _ in range(ROUNDS)]
        cpu_s = process_time_s(collector.process.pid) - before_s
        return took_ms, cpu_s * 1000.0 / ROUNDS


def _one_round_ms(fleet: LocalFleet, collector: EntryProcess) -> float:
    """Return how long it took until the last entry had acknowledged."""
    time.sleep(PAUSE_S)
    started_s = time.monotonic()
    answer = fleet.ask_operator("/v1/status", entry=collector)
    took_ms = (time.monotonic() - started_s) * 1000.0
    if len(answer["entries"]) != len(fleet.entries):
        raise ConditionNotMet(f"{len(answer['entries'])} entries have answered")
    return took_ms
