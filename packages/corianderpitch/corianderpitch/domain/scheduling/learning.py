"""Learns run times from the tasks that finish during a term.

A run teaches something only if the holder saw it begin and end, and nothing made it
longer or shorter than its task is: it began without a checkpoint, near its data, and
was neither slowed down nor part of a gang, whose members wait for each other. Runs that
were stopped, lost or failed teach nothing. A step teaches the model once it has ended,
as its shorter tasks end first.
"""

from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.runtimes import (
    MIN_RUN_MS,
    ObservedRuns,
    RunTimeModel,
)
from corianderpitch.domain.scheduling.workers import Run, WorkerView

FULL_SPEED_PERCENT = 100
MIN_OBSERVED_SHARE = 0.5  # of a step's tasks, for the step to teach something
MAX_STEPS_UPDATED = 50  # an update looks at all steps of a job


class RunTimeLearner:
    """Tells jobs what is expected of them, and learns from their finished tasks."""

    def __init__(self):
        self.model = RunTimeModel()

    def expect(self, job: ActiveJob) -> None:
        """Set the run times that are expected of a new job's steps."""
        queue, steps = job.workload.queue, job.workload.steps
        if queue in self.model.queues:
            job.set_expected([self.model.expect(queue, step) for step in steps])

    def observe_done(
        self,
        job: ActiveJob,
        step: ActiveStep,
        run: Run,
        worker: WorkerView,
        now_ms: float,
    ) -> None:
        """Learn from a run that was done, before its task is marked as done."""
        is_telling = run.begun_ms is not None and _is_telling(step, run, worker)
        if is_telling:
            step.observed = step.observed or ObservedRuns(step.step.log_estimate)
            step.observed.add(now_ms - run.begun_ms)
        runs = step.observed
        if runs is None:
            return
        if len(step.done) + 1 == step.step.count:
            if runs.count >= MIN_OBSERVED_SHARE * step.step.count:
                self.model.learn(job.workload.queue, step.step, runs)
        elif is_telling and _is_power_of_two(runs.count):
            self._update(job, step, runs)

    def _update(self, job: ActiveJob, step: ActiveStep, runs: ObservedRuns) -> None:
        """Set what is expected of a step of which some tasks have finished."""
        if len(job.workload.steps) > MAX_STEPS_UPDATED:
            return
        started = len(step.done) + len(step.runs)
        queue = job.workload.queue
        expected = self.model.expect(queue, step.step, runs, started)
        job.update_expected(step.number, expected)


def _is_power_of_two(count: int) -> bool:
    """Return whether an estimate is worth another update: each is twice as certain."""
    return count & (count - 1) == 0


def _is_telling(step: ActiveStep, run: Run, worker: WorkerView) -> bool:
    """Return whether the time of a run is that of its task."""
    kind = step.step
    is_near = not kind.data_rack or kind.data_rack in worker.info.labels
    return (
        is_near
        and kind.has_own_run_time
        and kind.estimate_ms >= MIN_RUN_MS
        and not run.was_resumed
        and run.pace_percent == FULL_SPEED_PERCENT
    )
