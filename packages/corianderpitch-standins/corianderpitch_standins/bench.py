"""Measures performance against its targets; ``make bench`` runs all parts.

The figures are ratios or costs within one run. No test depends on them.
"""

import argparse

from corianderpitch_standins.benchacks import bench_acknowledgements
from corianderpitch_standins.benchfleet import (
    bench_control_cost,
    bench_roll_out,
    bench_throughput,
    bench_wave,
)
from corianderpitch_standins.benchmodel import (
    bench_burst,
    bench_fairness,
    bench_lending,
    bench_sharing,
)
from corianderpitch_standins.benchreport import Report
from corianderpitch_standins.benchroles import bench_roles
from corianderpitch_standins.benchtasks import bench_tasks

PARTS = {
    "sharing": bench_sharing,
    "burst": bench_burst,
    "fairness": bench_fairness,
    "lending": bench_lending,
    "throughput": bench_throughput,
    "roll-out": bench_roll_out,
    "acknowledgements": bench_acknowledgements,
    "control": bench_control_cost,
    "wave": bench_wave,
    "roles": bench_roles,
    "tasks": bench_tasks,
}


def main() -> None:
    """Run the chosen parts and list the targets that were missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", metavar="part", help=", ".join(PARTS))
    chosen = parser.parse_args().parts or list(PARTS)
    unknown = [part for part in chosen if part not in PARTS]
    if unknown:
        parser.error(
            f"unknown parts: {', '.join(unknown)}; allowed are {', '.join(PARTS)}"
        )
    report = Report()
    for part in chosen:
        PARTS[part](report)
    missed = report.missed_targets()
    print(f"\n{len(missed)} targets missed")
    for figure in missed:
        print(f"  {figure.name}: {figure.value}, target {figure.target}")


if __name__ == "__main__":
    main()
