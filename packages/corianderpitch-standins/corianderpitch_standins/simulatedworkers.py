"""Simulated workers of the users' platform, and checks of how callers use them."""

from dataclasses import dataclass, field

from corianderpitch.domain.scheduling.orders import OrderResult, StartRun, StopRun
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    WorkerReport,
)
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import JobId

HOLD_MAX_MS = 6000.0


@dataclass
class SimulatedRun:
    """A run in progress on a simulated worker; it ends at ``done_ms``."""

    number: int
    done_ms: float
    will_fail: bool
    started_ms: float = 0.0

    def percent(self, now_ms: float) -> float:
        """Return its progress in whole percents."""
        length_ms = max(1.0, self.done_ms - self.started_ms)
        return float(int(min(99.0, 100.0 * (now_ms - self.started_ms) / length_ms)))


@dataclass
class CompletedRun:
    """A run that ended as done.

    ``is_lease_expired`` is set once the worker's lease has expired or its process
    has ended. ``is_acknowledged`` is set once a holder has confirmed to the worker
    that it has committed this end.
    """

    worker: str
    incarnation_id: str
    sequence: int
    is_lease_expired: bool = False
    is_acknowledged: bool = False


@dataclass(frozen=True, slots=True)
class TextStart:
    """A start, and how many tasks with the same description run on all workers."""

    text: str
    at_ms: float
    at_work: int


@dataclass
class RunLedger:
    """Runs and ends of all workers; raises if a task runs more often than allowed.

    The methods raise ``AssertionError`` if a task runs on two workers at once, or
    starts again after an acknowledged completion.
    """

    running: dict[TaskRef, set[str]] = field(default_factory=dict)
    done: dict[TaskRef, list[CompletedRun]] = field(default_factory=dict)
    starts_after_completion: dict[TaskRef, int] = field(default_factory=dict)
    failed: dict[TaskRef, int] = field(default_factory=dict)
    started_ms: dict[TaskRef, float] = field(default_factory=dict)
    texts: dict[TaskRef, str] = field(default_factory=dict)
    starts_by_text: list[TextStart] = field(default_factory=list)

    def record_text(self, task: TaskRef, text: str, now_ms: float) -> None:
        """Record the description of a task that was just started."""
        self.texts[task] = text
        at_work = sum(
            1
            for other, workers in self.running.items()
            if workers and self.texts.get(other) == text
        )
        self.starts_by_text.append(TextStart(text, now_ms, at_work))

    def last_start_ms(self) -> dict[JobId, float]:
        """Return the time of the last start of each job's tasks."""
        last_ms: dict[JobId, float] = {}
        for task, at_ms in self.started_ms.items():
            last_ms[task.job_id] = max(at_ms, last_ms.get(task.job_id, 0.0))
        return last_ms

    def record_start(self, task: TaskRef, worker: str, now_ms: float) -> None:
        """Record the start of a run; raise if the task is already running."""
        self.started_ms[task] = now_ms
        others = self.running.setdefault(task, set())
        assert not others, f"TWICE: {task} starts on {worker} while it runs on {others}"
        others.add(worker)
        ends = self.done.get(task, [])
        acknowledged = [end for end in ends if end.is_acknowledged]
        assert not acknowledged, f"TWICE: {task} started after an acknowledged end"
        for end in ends:
            if not end.is_lease_expired:
                self.starts_after_completion[task] = (
                    self.starts_after_completion.get(task, 0) + 1
                )

    def record_end(self, task: TaskRef, worker: str) -> None:
        """Record that a worker no longer runs a task."""
        self.running.get(task, set()).discard(worker)

    def record_acknowledgement(
        self, worker: str, incarnation_id: str, committed_sequence: int
    ) -> None:
        """Record a holder's message that it has committed a worker's ends.

        ``committed_sequence`` is the sequence number up to which the holder has
        committed all ends. Raises if a task has already started again after one of
        these ends.
        """
        for task, ends in self.done.items():
            for end in ends:
                matches = (end.worker, end.incarnation_id) == (worker, incarnation_id)
                if (
                    matches
                    and end.sequence <= committed_sequence
                    and not end.is_lease_expired
                ):
                    end.is_acknowledged = True
                    assert not self.starts_after_completion.get(task), (
                        f"TWICE: {task} started again before its end was acknowledged"
                    )


class SimulatedWorker:
    """A worker whose process can end and start again, as a new incarnation.

    ``now_ms`` is the caller's clock. The worker's own clock starts at 0 with each
    incarnation; ``until_ms`` and ``lease_end_ms`` are times on the worker's clock.
    """

    def __init__(self, name: str, ledger: RunLedger):
        self.name = name
        self.ledger = ledger
        self.slowness = 1.0  # by which all new runs take longer
        self.incarnation_count = 0
        self.start_incarnation(0.0)

    def start_incarnation(self, now_ms: float) -> None:
        """Start a new process, without any state of the previous one."""
        self.incarnation_count += 1
        self.incarnation_id = str(self.incarnation_count)
        self.started_ms = now_ms
        self.fence = 0
        self.runs: dict[TaskRef, SimulatedRun] = {}
        self.ends: list[ReportedEnd] = []
        self.next_sequence = 1
        self.highest_run_numbers: dict[TaskRef, int] = {}
        self.lease_end_ms = 0.0
        self.is_up = True

    def crash(self) -> None:
        """End the process and all of its runs."""
        for task in self.runs:
            self.ledger.record_end(task, self.name)
        self.runs = {}
        self.is_up = False
        for ends in self.ledger.done.values():
            for end in ends:
                if (end.worker, end.incarnation_id) == (self.name, self.incarnation_id):
                    end.is_lease_expired = True

    def clock_ms(self, now_ms: float) -> float:
        """Return the time on the worker's own clock."""
        return now_ms - self.started_ms

    def advance(self, now_ms: float) -> None:
        """End the runs that are due, and those whose lease has expired."""
        for task, run in list(self.runs.items()):
            end_ms = min(run.done_ms, self.started_ms + self.lease_end_ms)
            if now_ms >= end_ms:
                expires_first = self.started_ms + self.lease_end_ms < run.done_ms
                kind = EndKind.FAILED if run.will_fail else EndKind.DONE
                self._end(task, run, EndKind.LAPSED if expires_first else kind)
        if self.clock_ms(now_ms) >= self.lease_end_ms:
            for ends in self.ledger.done.values():
                for end in ends:
                    if (end.worker, end.incarnation_id) == (
                        self.name,
                        self.incarnation_id,
                    ):
                        end.is_lease_expired = True

    def _end(self, task: TaskRef, run: SimulatedRun, kind: EndKind) -> None:
        del self.runs[task]
        self.ledger.record_end(task, self.name)
        self.highest_run_numbers[task] = max(
            self.highest_run_numbers.get(task, 0), run.number
        )
        self.ends.append(ReportedEnd(self.next_sequence, task, run.number, kind, ""))
        if kind is EndKind.DONE:
            self.ledger.done.setdefault(task, []).append(
                CompletedRun(self.name, self.incarnation_id, self.next_sequence)
            )
        if kind is EndKind.FAILED:
            self.ledger.failed[task] = self.ledger.failed.get(task, 0) + 1
        self.next_sequence += 1

    def start(
        self,
        order: StartRun,
        until_ms: float,
        now_ms: float,
        run_ms: float,
        fails: bool,
    ) -> OrderResult:
        """Execute an order to start a run that takes ``run_ms``.

        The order is rejected if its fencing token is lower than one already seen,
        if the lease has ended on the worker's clock, or if a run with this number
        or a higher one was already started.
        """
        if order.fence < self.fence:
            return OrderResult.SUPERSEDED
        self.fence = order.fence
        if until_ms <= self.clock_ms(now_ms):
            return OrderResult.TOO_LATE
        self._extend(until_ms, now_ms)
        run = self.runs.get(order.task)
        if run is not None and run.number == order.number:
            return OrderResult.DONE
        highest_number = self.highest_run_numbers.get(order.task, 0)
        if run is not None or order.number <= highest_number:
            return OrderResult.OLD_RUN
        self.ledger.record_start(order.task, self.name, now_ms)
        self.ledger.record_text(order.task, order.text, now_ms)
        done_ms = now_ms + run_ms * self.slowness
        self.runs[order.task] = SimulatedRun(order.number, done_ms, fails, now_ms)
        return OrderResult.DONE

    def stop(self, order: StopRun, now_ms: float) -> OrderResult:
        """Execute an order to stop a run, unless its fencing token is outdated."""
        if order.fence < self.fence:
            return OrderResult.SUPERSEDED
        self.fence = order.fence
        run = self.runs.get(order.task)
        if run is not None and run.number <= order.number:
            self._end(order.task, run, EndKind.STOPPED)
        self.highest_run_numbers[order.task] = max(
            self.highest_run_numbers.get(order.task, 0), order.number
        )
        return OrderResult.DONE

    def report(
        self, fence: int, committed_sequence: int, until_ms: float | None, now_ms: float
    ) -> WorkerReport | None:
        """Return the runs and the ends that are not committed.

        Returns ``None`` if the fencing token is lower than one already seen.
        """
        if fence < self.fence:
            return None
        self.fence = fence
        if until_ms is not None:
            self._extend(until_ms, now_ms)
        self.ledger.record_acknowledgement(
            self.name, self.incarnation_id, committed_sequence
        )
        self.ends = [end for end in self.ends if end.sequence > committed_sequence]
        running = tuple(
            ReportedRun(task, run.number, "", run.percent(now_ms))
            for task, run in self.runs.items()
        )
        return WorkerReport(
            self.incarnation_id, self.clock_ms(now_ms), running, tuple(self.ends)
        )

    def _extend(self, until_ms: float, now_ms: float) -> None:
        limit_ms = self.clock_ms(now_ms) + HOLD_MAX_MS
        self.lease_end_ms = max(self.lease_end_ms, min(until_ms, limit_ms))
