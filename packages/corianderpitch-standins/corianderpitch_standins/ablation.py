"""Replays load patterns with one mechanism of the scheduler switched off at a time.

Each variant and the full policy replay the same seeds, so that their differences are
paired. A difference is printed with its standard error over the seeds.

    python -m corianderpitch_standins.ablation --seeds 10 --processes 2
"""

import contextlib
import math
import statistics
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import AbstractContextManager
from dataclasses import dataclass, replace
from unittest import mock

import cyclopts

from corianderpitch.domain.scheduling import (
    learning,
    ordering,
    placing,
    planning,
    sizing,
)
from corianderpitch_standins.loadreplay import (
    ReplayPolicy,
    ReplayReport,
    RotatingPeaks,
    replay,
)

LENGTH_S = 20.0
# Peaks that fit into all VMs together, and peaks that ask for more than there are.
PATTERNS = {
    "rising": RotatingPeaks(mean_per_s=14.0, peak_duration_s=8.0, rise_s=3.0),
    "overload": RotatingPeaks(mean_per_s=14.0, peak_duration_s=5.0),
    "misdeclared": RotatingPeaks(
        mean_per_s=14.0, peak_duration_s=5.0, estimate_error=0.5
    ),
}
POLICIES = {
    "rising": ReplayPolicy(workers=3, spare=48),
    "overload": ReplayPolicy(workers=3, spare=18),
    "misdeclared": ReplayPolicy(workers=3, spare=18),
}


def _arrival_order(job, queue, now_ms):
    """Sort key of a job in the order of arrival, lasting jobs first."""
    return (0 if job.workload.is_lasting else 1, job.accepted_ms, 0.0, job.job_id)


def _late_jobs_alike(job, queue, now_ms):
    """Sort key of a job by its remaining work only, lasting jobs first."""
    rank = 0 if job.workload.is_lasting else 1
    return (rank, job.remaining_core_ms, job.accepted_ms, job.job_id)


def _worst_fit(step, worker):
    """Sort key of a worker that places tasks on the emptiest one."""
    return (-worker.free.processors,)


@contextlib.contextmanager
def _without_late_check() -> Iterator[None]:
    """Size pools as if every job could still meet its objective."""
    with mock.patch.object(sizing, "will_miss_objective", lambda *_: False):
        yield


@contextlib.contextmanager
def _without_learning() -> Iterator[None]:
    """Believe the declared run times, whatever the finished runs show."""
    with (
        mock.patch.object(learning.RunTimeLearner, "expect", lambda *_: None),
        mock.patch.object(learning.RunTimeLearner, "observe_done", lambda *_: None),
    ):
        yield


@dataclass(frozen=True, slots=True)
class Variant:
    """A policy with one mechanism switched off.

    ``change`` adapts the policy, and ``patch`` replaces a decision while the replay
    runs.
    """

    name: str
    change: Callable[[ReplayPolicy], ReplayPolicy] = lambda policy: policy
    patch: Callable[[], AbstractContextManager] = contextlib.nullcontext


VARIANTS = (
    Variant("full policy"),
    Variant("no moves", lambda p: replace(p, resizes_pools=False)),
    Variant("no arrivals in the size", lambda p: replace(p, counts_arrivals=False)),
    Variant("no growth in the size", lambda p: replace(p, lead_ms=0.0)),
    Variant("no recent peak", lambda p: replace(p, demand_window_ms=0.0)),
    Variant("late jobs sized like others", patch=_without_late_check),
    Variant(
        "late jobs not put last",
        patch=lambda: mock.patch.object(planning, "order_key", _late_jobs_alike),
    ),
    Variant(
        "order of arrival",
        patch=lambda: mock.patch.object(planning, "order_key", _arrival_order),
    ),
    Variant(
        "late only without any slack",
        patch=lambda: mock.patch.object(ordering, "MIN_SHARE_OF_ESTIMATE", 1.0),
    ),
    Variant("declared run times only", patch=_without_learning),
    Variant("worst fit", patch=lambda: mock.patch.object(placing, "_rank", _worst_fit)),
)


def run_variant(pattern: str, number: int, seed: int) -> ReplayReport:
    """Replay a pattern under the variant with an index in ``VARIANTS``."""
    variant = VARIANTS[number]
    with variant.patch():
        policy = variant.change(POLICIES[pattern])
        return replay(PATTERNS[pattern], policy, seed, LENGTH_S)


def paired_difference(values: list[float], base: list[float]) -> tuple[float, float]:
    """Return the mean difference of paired values, and its standard error.

    >>> paired_difference([3.0, 5.0], [1.0, 1.0])
    (3.0, 1.0)
    """
    differences = [value - other for value, other in zip(values, base, strict=True)]
    spread = statistics.stdev(differences) if len(differences) > 1 else 0.0
    return statistics.mean(differences), spread / math.sqrt(len(differences))


def _format_row(name: str, reports: list[ReplayReport], base: list[ReplayReport]):
    share, share_error = paired_difference(
        [r.share_in_time for r in reports], [r.share_in_time for r in base]
    )
    vm_s, vm_s_error = paired_difference(
        [r.vm_s for r in reports], [r.vm_s for r in base]
    )
    in_time = statistics.mean(r.share_in_time for r in reports)
    moves = statistics.mean(r.moves for r in reports)
    return (
        f"| {name} | {in_time:.3f} | {share:+.3f} ± {share_error:.3f} "
        f"| {vm_s:+.0f} ± {vm_s_error:.0f} | {moves:.0f} |"
    )


def main(seeds: int = 10, processes: int = 2) -> None:
    """Print a table for each pattern.

    Parameters
    ----------
    seeds : int
        How many seeds each variant replays.
    processes : int
        How many replays run at the same time.
    """
    keys = [
        (pattern, number, seed)
        for pattern in PATTERNS
        for number in range(len(VARIANTS))
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(processes) as pool:
        reports = pool.map(run_variant, *zip(*keys, strict=True))
        results = dict(zip(keys, reports, strict=True))
    for pattern in PATTERNS:
        print(f"{pattern}, {seeds} seeds of {LENGTH_S:.0f} s")
        print("| variant | in time | difference | VM seconds | moves |")
        print("| --- | --- | --- | --- | --- |")
        by_variant = [
            [results[pattern, number, seed] for seed in range(1, seeds + 1)]
            for number in range(len(VARIANTS))
        ]
        for variant, reports in zip(VARIANTS, by_variant, strict=True):
            print(_format_row(variant.name, reports, by_variant[0]))


if __name__ == "__main__":
    cyclopts.run(main)
