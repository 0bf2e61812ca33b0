"""Schedulers with workers and jobs, that several tests share."""

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.orders import StartRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    WorkerInfo,
    WorkerReport,
)
from corianderpitch.domain.scheduling.workloads import Queue, Step, Workload
from corianderpitch.ids import JobId, QueueName, ServiceName, VmId, WorkerId

QUEUE = Queue(QueueName("quotes"), ServiceName("counter"), max_attempts=2)
NOW_MS = 50_000.0
ONE_STEP = (Step(1, Shape(1.0, 100), 100.0),)


def make_scheduler(workers=("w1", "w2"), processors=4.0):
    scheduler = Scheduler(Term(1, 5, NOW_MS))
    scheduler.set_queues({QUEUE.name: QUEUE})
    for name in workers:
        add_worker(scheduler, name, processors)
    return scheduler


def add_worker(scheduler, name, processors=4.0, service=QUEUE.service, rack="r1"):
    info = WorkerInfo(
        WorkerId(name),
        service,
        name,
        "here",
        Shape(processors, 8000),
        ("a", rack),
        VmId(f"vm-{name}"),
        "1",
    )
    scheduler.set_worker(info, NOW_MS)
    scheduler.mark_recorded([WorkerId(name)])
    report(scheduler, name)


def report(scheduler, name, running=(), ended=(), requested_ms=NOW_MS, incarnation="1"):
    worker_report = WorkerReport(incarnation, 1000.0, tuple(running), tuple(ended))
    scheduler.apply_report(WorkerId(name), worker_report, requested_ms, requested_ms)


def make_job(name="a", steps=ONE_STEP, version=9):
    return ActiveJob(Workload(JobId(name), QUEUE.name, "", tuple(steps)), 0.0, version)


def starts(scheduler, now_ms=NOW_MS):
    plan(scheduler, now_ms, 0.0)
    return [o for o in scheduler.pop_orders() if isinstance(o, StartRun)]


def running(order):
    return ReportedRun(order.task, order.number, "", 100.0)


def done(order, sequence=1):
    return ReportedEnd(sequence, order.task, order.number, EndKind.DONE, "")


def crash(scheduler, name, silent_ms):
    """End a worker's process, as the list of VMs shows it."""
    scheduler.mark_silent(WorkerId(name), silent_ms)
    scheduler.mark_terminated([WorkerId(name)])
