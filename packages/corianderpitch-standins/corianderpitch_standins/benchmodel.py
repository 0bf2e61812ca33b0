"""Benchmark of dispatch and lending decisions in simulated queues."""

import statistics
from collections.abc import Callable
from dataclasses import replace

from corianderpitch.domain.lending import LendingPolicy
from corianderpitch_standins.benchreport import Report
from corianderpitch_standins.model import (
    DispatchModel,
    DispatchResult,
    DispatchScenario,
)
from corianderpitch_standins.modellending import LendingModel, LendingScenario

SEEDS = range(5)
FIXED_SHARES = tuple((1 / 8, (6,)) for _ in range(8))
QUEUE_PER_DATA_CENTRE = ((3 / 8, (8, 8)), (3 / 8, (8, 8)), (2 / 8, (8, 8)))
SINGLE_QUEUE = ((1.0, (8,) * 6),)
SHORT_LENGTH_MS = 20_000.0


def constant_load(load: float) -> Callable[[float], float]:
    """Return a function that gives the same load at any time."""
    return lambda now_ms: load


def run_all_seeds(scenario: DispatchScenario) -> list[DispatchResult]:
    """Run a scenario once with each seed."""
    return [DispatchModel(scenario, seed).run() for seed in SEEDS]


def median_missed_share(scenario: DispatchScenario) -> float:
    """Return the median share of requests that were not answered in time."""
    return statistics.median(result.missed_share for result in run_all_seeds(scenario))


def bench_sharing(report: Report) -> None:
    """Compare ways to share 48 slots among 8 entries."""
    report.heading("Sharing slots (model: 48 slots, 100 ms runs, 400 ms deadlines)")
    for load in (0.8, 0.95):
        fixed = median_missed_share(
            DispatchScenario(FIXED_SHARES, constant_load(load), False)
        )
        apart = median_missed_share(
            DispatchScenario(QUEUE_PER_DATA_CENTRE, constant_load(load), False)
        )
        shared = median_missed_share(
            DispatchScenario(QUEUE_PER_DATA_CENTRE, constant_load(load), True)
        )
        one = median_missed_share(
            DispatchScenario(SINGLE_QUEUE, constant_load(load), False)
        )
        report.note(f"missed at load {load}, fixed shares per entry", f"{fixed:.1%}")
        report.note(f"missed at load {load}, no borrowing", f"{apart:.1%}")
        report.note(f"missed at load {load}, borrowing", f"{shared:.1%}")
        report.note(f"missed at load {load}, one queue", f"{one:.1%}")
        if load == 0.95:
            report.at_most("borrowing over fixed shares", shared / fixed, 0.3, "times")


def bench_burst(report: Report) -> None:
    """Measure goodput and refusals at two and five times the capacity."""
    report.heading("Overload (model)")
    for load in (2.0, 5.0):
        scenario = DispatchScenario(
            QUEUE_PER_DATA_CENTRE, constant_load(load), True, length_ms=SHORT_LENGTH_MS
        )
        results = run_all_seeds(scenario)
        capacity = scenario.slots / scenario.run_ms * scenario.length_ms
        goodput = statistics.median(r.in_time for r in results) / capacity
        waits = sorted(w for r in results for w in r.refusal_ms)
        report.at_least(f"goodput at load {load}", goodput, 0.95, "of capacity")
        p99_ms = waits[int(len(waits) * 0.99)]
        report.note(
            f"refusals at load {load}",
            f"p50 {statistics.median(waits):.1f} ms, p99 {p99_ms:.0f} ms",
        )


def bench_fairness(report: Report) -> None:
    """Measure the delays of a tenant with a low load while another one overloads."""
    report.heading("Fairness (model: a calm tenant at load 0.1)")
    calm = DispatchScenario(
        SINGLE_QUEUE,
        constant_load(0.1),
        False,
        length_ms=SHORT_LENGTH_MS,
        tenants=(("calm", 1.0),),
    )
    flood = DispatchScenario(
        SINGLE_QUEUE,
        constant_load(3.1),
        False,
        length_ms=SHORT_LENGTH_MS,
        tenants=(("calm", 0.1), ("flood", 3.0)),
    )
    alone, flooded = run_all_seeds(calm), run_all_seeds(flood)
    total_ms = [_p99_ms([r.total_ms for r in results]) for results in (alone, flooded)]
    wait_ms = [_p99_ms([r.wait_ms for r in results]) for results in (alone, flooded)]
    report.at_most(
        "p99 wait of the calm tenant under a flood",
        wait_ms[1] / wait_ms[0],
        1.1,
        "times",
        f"{wait_ms[0]:.1f} ms alone, {wait_ms[1]:.1f} ms beside the flood",
    )
    report.at_most(
        "p99 wait and run of the calm tenant under a flood",
        total_ms[1] / total_ms[0],
        1.1,
        "times",
        f"{total_ms[0]:.1f} ms alone, {total_ms[1]:.1f} ms beside the flood",
    )


def _p99_ms(by_tenant: list[dict[str, list[float]]]) -> float:
    samples = sorted(ms for tenants in by_tenant for ms in tenants.get("calm", ()))
    return samples[int(len(samples) * 0.99)]


LENDING_POLICIES = {
    "no lending": None,
    "reacting at once": LendingPolicy(
        pressure_hold_ms=0.0, slack_hold_ms=0.0, max_moves_per_hour=1e6
    ),
    "hysteresis (default)": LendingPolicy(),
}


def bench_lending(report: Report) -> None:
    """Compare policies for lending VMs of the spare pool, for both users."""
    report.heading("Lending (model: 5 pools of 6 VMs, queues peak in turn, 5 minutes)")
    shapes = {
        "Polsterwerk, peaks of 8 s": LendingScenario(None, load=0.25, peak_ms=8_000.0),
        "Valomerkki, peaks of 20 s": LendingScenario(None, load=0.25, peak_ms=20_000.0),
    }
    for shape, scenario in shapes.items():
        for name, policy in LENDING_POLICIES.items():
            chosen = replace(scenario, policy=policy)
            results = [LendingModel(chosen, seed).run() for seed in SEEDS[:3]]
            missed = statistics.median(r.missed_share for r in results)
            moves = statistics.median(r.moves for r in results)
            idle = statistics.median(r.idle_vm_hours for r in results)
            report.note(
                f"{shape}, {name}",
                f"{missed:.1%} missed, {moves:.0f} moves, {idle:.2f} idle VM hours",
            )
    bench_pool_sizes(report)


def bench_pool_sizes(report: Report) -> None:
    """Report how many VMs keep missed requests at 5 %, with and without lending."""
    for name in ("no lending", "hysteresis (default)"):
        vms = _required_vms(LENDING_POLICIES[name], 0.05)
        report.note(f"VMs in all pools for at most 5 % missed, {name}", f"{vms}")


def _required_vms(policy: LendingPolicy | None, limit: float) -> int:
    """Return how many VMs all pools need to miss at most ``limit`` of the requests.

    The demand is always that of 6 VMs for each pool. Pools of 4 to 12 VMs are tried,
    and 65 is returned if none of these sizes is sufficient.
    """
    for vms in range(4, 13):
        scenario = LendingScenario(
            policy, load=0.25 * 6 / vms, vms_per_pool=vms, length_ms=120_000.0
        )
        if LendingModel(scenario, 0).run().missed_share <= limit:
            return vms * scenario.pools
    return 13 * 5
