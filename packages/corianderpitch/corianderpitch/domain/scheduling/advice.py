"""Requests to the advice service, for queues that allow only some workers.

The advice service handles one call of an entry at a time, and slowly: each call
takes a fixed time, and some more for each worker in it. The next call is therefore
about the first step in the queue's order, with the workers that have the most free
capacity. Later steps of a job are asked about before they are ready.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from corianderpitch.domain.scheduling.ordering import order_key
from corianderpitch.domain.scheduling.placing import (
    count_runs_on,
    has_label,
    is_schedulable,
)
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep, Ticket
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.spreading import is_within_share
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.domain.scheduling.workloads import AdvicePolicy
from corianderpitch.ids import JobId, WorkerId

MAX_WORKERS_PER_CALL = 30  # the latency objective of a job includes one such call
TICKET_MARGIN_MS = 300.0  # upper bound of the time that a start order takes to arrive


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Request for which of these workers may run a step of a job."""

    job_id: JobId
    occurrence: int
    step: int
    workers: tuple[WorkerId, ...]


def permitted_workers(
    step: ActiveStep,
    policy: AdvicePolicy | None,
    workers: Iterable[WorkerView],
    now_ms: float,
) -> list[WorkerView]:
    """Return the workers on which a step's tasks may be started now."""
    if policy is None:
        return list(workers)
    return [worker for worker in workers if has_ticket(step, worker, now_ms)]


def has_ticket(step: ActiveStep, worker: WorkerView, now_ms: float) -> bool:
    """Return whether a step has a valid ticket for a worker."""
    ticket = step.tickets.get(worker.info.worker)
    return (
        ticket is not None
        and ticket.incarnation == worker.incarnation
        and now_ms + TICKET_MARGIN_MS < ticket.until_ms
    )


def next_request(
    scheduler: Scheduler, now_ms: float, wall_ms: float
) -> AdviceRequest | None:
    """Return the next call to make, ``None`` if none is needed."""
    ranked = sorted(
        (order_key(job, queue, now_ms), queue, job)
        for job in scheduler.jobs.values()
        if (queue := scheduler.queues.get(job.workload.queue)) is not None
        and queue.advice is not None
    )
    for steps_of in (_ready_steps, _pending_steps):
        for _, queue, job in ranked:
            schedulable = [
                worker
                for worker in scheduler.workers.values()
                if worker.info.service == queue.service
                and is_schedulable(worker, now_ms)
            ]
            for step in steps_of(job, wall_ms):
                workers = _workers_to_ask_about(step, schedulable, now_ms)
                if workers:
                    return AdviceRequest(
                        job.job_id, step.occurrence, step.number, workers
                    )
    return None


def _ready_steps(job: ActiveJob, wall_ms: float) -> list[ActiveStep]:
    return list(job.ready_steps(wall_ms))


def _pending_steps(job: ActiveJob, wall_ms: float) -> list[ActiveStep]:
    return [step for step in job.steps() if step.pending]


def _workers_to_ask_about(
    step: ActiveStep, schedulable: Iterable[WorkerView], now_ms: float
) -> tuple[WorkerId, ...]:
    """Return fitting workers without an answer yet, those with the most free first.

    The result is empty while a fitting worker has a valid ticket.
    """
    reservation = step.step.reservation
    limit = step.step.max_per_worker or math.inf
    fitting = [
        worker
        for worker in schedulable
        if reservation.fits_in(worker.free)
        and has_label(step, worker)
        and count_runs_on(step, worker.info.worker) < limit
    ]
    within_share = [w for w in fitting if is_within_share(step, w.info.worker)]
    fitting = within_share or fitting
    if any(has_ticket(step, worker, now_ms) for worker in fitting):
        return ()
    unknown = [
        worker
        for worker in fitting
        if (worker.info.worker, worker.incarnation) not in step.denied
    ]
    unknown.sort(key=lambda w: (-w.free.processors, w.info.worker))
    return tuple(worker.info.worker for worker in unknown[:MAX_WORKERS_PER_CALL])


def apply_advice(
    scheduler: Scheduler,
    request: AdviceRequest,
    allowed: Mapping[WorkerId, str],
    valid_until_ms: float,
) -> None:
    """Record the tickets of an answer, and the workers that it does not allow."""
    job = scheduler.jobs.get(request.job_id)
    steps = job.occurrences.get(request.occurrence) if job is not None else None
    if steps is None:
        return
    step = steps[request.step]
    for worker_id in request.workers:
        worker = scheduler.workers.get(worker_id)
        if worker is None or worker.incarnation is None:
            continue
        if worker_id in allowed:
            text = allowed[worker_id]
            step.tickets[worker_id] = Ticket(text, worker.incarnation, valid_until_ms)
        else:
            step.denied.add((worker_id, worker.incarnation))
