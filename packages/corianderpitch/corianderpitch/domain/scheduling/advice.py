"""Queues whose policy allows only some workers: which steps to ask about, and when.

The advice service answers one call of an entry at a time, and slowly: a fixed time
a call and some more for each worker named. So the step that comes first in the
queue's order is asked about first, with the workers that have the most room, and
the following step of a job is asked about before its turn has come.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from corianderpitch.domain.scheduling.ordering import order_key
from corianderpitch.domain.scheduling.placing import is_usable
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep, Ticket
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.domain.scheduling.workloads import AdvicePolicy
from corianderpitch.ids import JobId, WorkerId

MAX_WORKERS = 30  # named in one call; the objective of a job counts one such call
TICKET_MARGIN_MS = 300.0  # a start that is sent now arrives within this


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask which of these workers may run a step of a job."""

    job_id: JobId
    occurrence: int
    step: int
    workers: tuple[WorkerId, ...]


def permitted(
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
    """Tell whether a step holds a ticket for a worker that is still good."""
    ticket = step.tickets.get(worker.info.worker)
    return (
        ticket is not None
        and ticket.life == worker.life
        and now_ms + TICKET_MARGIN_MS < ticket.until_ms
    )


def next_question(
    scheduler: Scheduler, now_ms: float, wall_ms: float
) -> AskAdvice | None:
    """Return the call to make next, ``None`` if nothing has to be asked."""
    ranked = sorted(
        (order_key(job, queue, now_ms), queue, job)
        for job in scheduler.jobs.values()
        if (queue := scheduler.queues.get(job.workload.queue)) is not None
        and queue.advice is not None
    )
    for steps_of in (_steps_due, _steps_to_come):
        for _, queue, job in ranked:
            usable = [
                worker
                for worker in scheduler.workers.values()
                if worker.info.service == queue.service and is_usable(worker, now_ms)
            ]
            for step in steps_of(job, wall_ms):
                workers = _workers_to_name(step, usable, now_ms)
                if workers:
                    return AskAdvice(job.job_id, step.occurrence, step.number, workers)
    return None


def _steps_due(job: ActiveJob, wall_ms: float) -> list[ActiveStep]:
    return list(job.ready_steps(wall_ms))


def _steps_to_come(job: ActiveJob, wall_ms: float) -> list[ActiveStep]:
    return [step for step in job.steps() if step.pending]


def _workers_to_name(
    step: ActiveStep, usable: Iterable[WorkerView], now_ms: float
) -> tuple[WorkerId, ...]:
    """Return workers with room that nothing is known of, the freest first.

    While there are tickets for enough places, nothing is asked.
    """
    room = step.step.room
    label = step.step.label
    fitting = [
        worker
        for worker in usable
        if room.fits_in(worker.free) and (not label or label in worker.info.labels)
    ]
    if any(has_ticket(step, worker, now_ms) for worker in fitting):
        return ()
    unknown = [
        worker
        for worker in fitting
        if (worker.info.worker, worker.life) not in step.denied
    ]
    unknown.sort(key=lambda w: (-w.free.processors, w.info.worker))
    return tuple(worker.info.worker for worker in unknown[:MAX_WORKERS])


def take_advice(
    scheduler: Scheduler,
    question: AskAdvice,
    allowed: Mapping[WorkerId, str],
    valid_until_ms: float,
) -> None:
    """Take an answer in: tickets, and the workers that were not allowed."""
    job = scheduler.jobs.get(question.job_id)
    steps = job.occurrences.get(question.occurrence) if job is not None else None
    if steps is None:
        return
    step = steps[question.step]
    for worker_id in question.workers:
        worker = scheduler.workers.get(worker_id)
        if worker is None or worker.life is None:
            continue
        if worker_id in allowed:
            text = allowed[worker_id]
            step.tickets[worker_id] = Ticket(text, worker.life, valid_until_ms)
        else:
            step.denied.add((worker_id, worker.life))
