"""Benchmark of each role in one process: bytes, processor time and memory."""

import random
import time
import tracemalloc
from collections.abc import Callable

from corianderpitch.domain.dispatch import DispatchPolicy, ServiceDispatcher
from corianderpitch.domain.effects import Offer, SendGrant
from corianderpitch.domain.fairqueue import QueuedRequest
from corianderpitch.domain.fleetsections import FleetFile
from corianderpitch.domain.jobs import Job, Priority, Shape, Task, TaskState, Worker
from corianderpitch.domain.jobs import start as start_job
from corianderpitch.domain.lending import ServiceNeed
from corianderpitch.domain.manager import (
    EntryReport,
    SiteSnapshot,
    Snapshot,
    plan_step,
)
from corianderpitch.domain.outcomes import Answered
from corianderpitch.domain.placement import (
    JobsSnapshot,
    UsageEstimator,
    WorkerFailureTracker,
    apply_task_reports,
    place_jobs,
)
from corianderpitch.domain.slots import InstanceSpec, RunResult
from corianderpitch.domain.tickets import TicketStore
from corianderpitch.domain.vms import (
    OperationKind,
    SiteFleet,
    VmOperation,
    VmRecord,
    VmState,
)
from corianderpitch.messages import (
    Heartbeat,
    PermitGrant,
    PermitRelease,
    PermitRequest,
    Report,
    ReportQuery,
    SlotRequest,
    VmChange,
)
from corianderpitch.records import decode_row, encode_row
from corianderpitch.wire import encode
from corianderpitch_standins.benchreport import Report as BenchReport
from corianderpitch_standins.benchreport import fit_line

VM_SIZES = (43, 172, 344)
JOB_SIZES = (86, 344, 1376)
SLOT_SIZES = (16, 64, 256)
TARGET_SITES = 16


def bench_roles(report: BenchReport) -> None:
    """Measure the cost of each role's state, messages and decisions."""
    report.heading("Roles (one process)")
    _bench_message_sizes(report)
    _bench_dispatcher(report)
    _bench_fleet_rows(report)
    _bench_manager(report)
    _bench_scheduler(report)
    _bench_tickets(report)


def _bench_message_sizes(report: BenchReport) -> None:
    entry, permit = "entry-graz-a-1", "entry-graz-a-1.0a1b2c3d.1.123456"
    request = "entry-graz-a-1.0a1b2c3d.123456"
    offer = Offer(permit, "theke-graz-a-1", "10.0.0.10:8080", entry)
    needs = (ServiceNeed("theke", 12),)
    reboot = VmOperation("autumn:theke-graz-a-1", OperationKind.REBOOT, None, "autumn")
    record = VmRecord("theke", "rack-1", "10.0.0.10:8080", VmState.DRAINING, reboot)
    samples = {
        "heartbeat": Heartbeat(12345, 12344, 4567, 8910, (), needs),
        "permit request": PermitRequest(
            "theke", request, "counters", "urgent", 987.5, frozenset()
        ),
        "permit grant": PermitGrant("theke", request, offer),
        "permit release": PermitRelease("theke", permit, RunResult.COMPLETED, 43.25),
        "ask for slots": SlotRequest("theke", entry, 12, 8, 650.0),
        "change of a VM": VmChange("graz-a", 4567, 4568, "theke-graz-a-1", record),
        "report query": ReportQuery(("theke-graz-a-1",)),
        "report": Report(
            EntryReport(entry, "graz-a", 1234, (), (), frozenset({entry}), needs)
        ),
    }
    for name, message in samples.items():
        report.note(f"bytes of a {name}", str(len(encode(message))))


def _bench_dispatcher(report: BenchReport) -> None:
    points = []
    for slots in SLOT_SIZES:
        dispatcher = _make_dispatcher(slots)
        points.append(
            (float(slots), _time_us(lambda d=dispatcher: _grant_and_release(d), 2000))
        )
    _note_fit(report, "permit, granted and released", "slot", points, "us")


def _make_dispatcher(slots: int) -> ServiceDispatcher:
    dispatcher = ServiceDispatcher(
        "o", "p", frozenset(), DispatchPolicy(), 0.0, random.Random(1)
    )
    specs = [InstanceSpec(f"vm{n}", "a:1", 8, True) for n in range(slots // 8)]
    dispatcher.update_instances(specs, 0.0)
    for spec in specs:
        dispatcher.record_load(spec.vm_id, 0, False, 0.0)
    return dispatcher


def _grant_and_release(dispatcher: ServiceDispatcher) -> None:
    queued_request = QueuedRequest("r", "m", "t", "c", 1000.0, 0.0)
    for effect in dispatcher.submit(queued_request, 0.0):
        if isinstance(effect, SendGrant):
            permit_id = effect.offer.permit_id
            dispatcher.release(permit_id, RunResult.COMPLETED, 1.0, 0.0)


def _make_fleet(vms: int) -> SiteFleet:
    records = {
        f"theke-graz-a-{n}": VmRecord("theke", f"rack-{n // 20}", f"10.0.{n}.1:8080")
        for n in range(vms)
    }
    return SiteFleet(records)


def _bench_fleet_rows(report: BenchReport) -> None:
    sizes, times = [], []
    for vms in VM_SIZES:
        data = encode_row(_make_fleet(vms))
        sizes.append((float(vms), float(len(data))))
        took_us = _time_us(lambda d=data: decode_row(SiteFleet, d), 50)
        times.append((float(vms), took_us))
    _note_fit(report, "row of a data centre's VMs", "VM", sizes, "bytes")
    _note_fit(report, "decoding that row", "VM", times, "us")


def _bench_manager(report: BenchReport) -> None:
    points = []
    for vms in VM_SIZES:
        snapshot = _make_snapshot(vms)
        took_us = _time_us(lambda s=snapshot: plan_step(s, 0), 10)
        points.append((float(vms * TARGET_SITES), took_us))
    _note_fit(report, "a plan of the manager, 16 data centres", "VM", points, "us")


def _make_snapshot(vms: int) -> Snapshot:
    config = FleetFile.model_validate(
        {
            "name": "bench",
            "sites": {f"d{n}": {"region": "r"} for n in range(TARGET_SITES)},
            "pools": {"theke": {"vm_processors": 1, "vm_memory_mb": 1}},
            "services": {
                "theke": {
                    "pool": "theke",
                    "instance_slots": 8,
                    "instance_connections": 64,
                    "budget": {"min_available": 1},
                }
            },
        }
    )
    sites = {
        site: SiteSnapshot(_make_fleet(vms), 1, frozenset({f"e-{site}"}))
        for site in config.sites
    }
    reports = {
        f"e-{site}": EntryReport(f"e-{site}", site, 1, (), (), frozenset())
        for site in config.sites
    }
    return Snapshot(config, sites, {}, reports)


def _bench_scheduler(report: BenchReport) -> None:
    points = []
    for size in JOB_SIZES:
        view = _make_jobs_snapshot(size)
        failures, estimator = WorkerFailureTracker(), UsageEstimator()

        def one_round(view: JobsSnapshot = view) -> None:
            apply_task_reports(view, failures, 0)  # noqa: B023 - called in this iteration
            place_jobs(view, estimator, frozenset())  # noqa: B023 - as above

        points.append((float(size), _time_us(one_round, 20)))
    _note_fit(report, "a round of the scheduler", "running job", points, "us")
    row = encode_row(_make_job(1))
    report.note("bytes of a job's row", str(len(row)))


def _make_job(number: int) -> Job:
    shape = Shape(1.0, 1024)
    return Job(f"job-{number}", "team", "k", Priority.ORDINARY, shape, "{}", number)


def _make_jobs_snapshot(size: int) -> JobsSnapshot:
    """Return a snapshot in which each worker runs one job, with ten jobs queued."""
    capacity = Shape(1.0, 2048)
    workers = {f"w{n}": Worker(f"w{n}", "r", capacity) for n in range(size)}
    running = [start_job(_make_job(n), f"w{n}") for n in range(size)]
    tasks = {
        job.task_id: Task(
            job.task_id, job.job_id, job.worker, TaskState.RUNNING, job.shape
        )
        for job in running
    }
    queued = [_make_job(size + n) for n in range(10)]
    jobs = {job.job_id: job for job in [*running, *queued]}
    return JobsSnapshot(jobs, workers, tasks, {}, 1e9)


def _bench_tickets(report: BenchReport) -> None:
    points = []
    for count in (1000, 2000, 4000):
        tracemalloc.start()
        store = TicketStore("e", "i", b"s" * 32)
        for _ in range(count):
            ticket = store.issue("theke", "counters", "urgent", 0.0)
            store.begin(ticket, 0.0)
            store.finish(ticket, Answered(200, "application/json", bytes(200)))
        points.append((float(count), tracemalloc.get_traced_memory()[0] / 1024.0))
        tracemalloc.stop()
    _note_fit(report, "memory of answers of 200 bytes", "ticket", points, "KB")


def _note_fit(
    report: BenchReport,
    name: str,
    unit_of_size: str,
    points: list[tuple[float, float]],
    unit: str,
) -> None:
    intercept, slope = fit_line(points)
    measured = ", ".join(f"{y:.0f} at {x:.0f}" for x, y in points)
    fit = f"{intercept:.1f} + {slope:.3f} per {unit_of_size}"
    report.note(name, f"{measured} {unit}; fit {fit}")


def _time_us(function: Callable[[], object], repeats: int) -> float:
    """Return the mean processor time of a call, in microseconds."""
    function()
    started_s = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - started_s) / repeats * 1e6
